#include "Parsleystair/Limits/OutlierTracker.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr uint32_t kConsecutiveFailuresToEject = 5;
/// At most one in this many targets may be ejected at a time.
constexpr size_t kMaxEjectedDivisor = 3;
constexpr duration kBaseEjectionTime = 2s;
constexpr uint32_t kMaxDoublings = 4;

} // namespace

void outlier_tracker::SetTargets(const std::vector<target_name>& aTargets)
{
  std::map<target_name, target_health> targets;
  for (const target_name& name : aTargets) {
    targets[name] = mTargets[name];
  }
  mTargets = std::move(targets);
}

void outlier_tracker::HandleResult(const target_name& aTarget,
                                   bool aFailed,
                                   time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  target_health& health = found->second;
  // Ignore results of requests that were sent before the ejection.
  if (aNow < health.mEjectedUntil) {
    return;
  }
  if (!aFailed) {
    health = target_health();
    return;
  }

  // A failure after an ejection ejects the target again, for twice as
  // long, up to 32 s.
  health.mConsecutiveFailures += 1;
  const bool wasEjected = health.mEjectionCount > 0;
  if (health.mConsecutiveFailures < kConsecutiveFailuresToEject &&
      !wasEjected) {
    return;
  }
  if ((EjectedCount(aNow) + 1) * kMaxEjectedDivisor > mTargets.size()) {
    return;
  }
  const uint32_t doublings = std::min(health.mEjectionCount, kMaxDoublings);
  health.mEjectedUntil = aNow + kBaseEjectionTime * (1u << doublings);
  health.mEjectionCount += 1;
  health.mConsecutiveFailures = 0;
}

bool outlier_tracker::IsEjected(const target_name& aTarget,
                                time_point aNow) const
{
  const auto found = mTargets.find(aTarget);
  return found != mTargets.end() && aNow < found->second.mEjectedUntil;
}

size_t outlier_tracker::EjectedCount(time_point aNow) const
{
  return static_cast<size_t>(
    std::count_if(mTargets.begin(), mTargets.end(), [&](const auto& aTarget) {
      return aNow < aTarget.second.mEjectedUntil;
    }));
}

} // namespace parsleystair
