#include "Parsleystair/Core/Clock.h"
#include "PerformanceTest/gateway_soak/SoakWorld.h"

// Requests that crash each target which begins to run them, and come again.

namespace parsleystair {

namespace {

constexpr duration kLongestInterval = 400ms;
constexpr duration kShortestDownTime = 300ms;
constexpr duration kLongestExtraDownTime = 2s;
/// The promise: once the third target has crashed for this long, no more than
/// this many attempts reach targets.
constexpr duration kStability = 3s;
constexpr size_t kCrashes = 3;
constexpr size_t kAllowedLateAttempts = 3;

} // namespace

void soak_world::StartCrashingRequest(duration aTime)
{
  const std::string path =
    "/fragile/crash-" + std::to_string(mNextRequest) +
    (mPhase == play_phase::kCrashing ? "-healed" : "-faults");
  SendCrashingRequest(path, MonotonicNow() + aTime);
}

void soak_world::SendCrashingRequest(const std::string& aPath, time_point aEnd)
{
  if (MonotonicNow() >= aEnd) {
    return;
  }
  SendPath(aPath, false, mGateways[Random(kGateways)]);
  Heal(RandomTime(kLongestInterval),
       [this, aPath, aEnd] { SendCrashingRequest(aPath, aEnd); });
}

void soak_world::HandleCrashingRun(const std::string& aId)
{
  if (mRequests.at(aId).mPath.ends_with("-healed")) {
    mCrashingRuns.emplace_back(aId, MonotonicNow());
  }
}

void soak_world::CrashTarget(const std::string& aName)
{
  target& each = mTargets.at(aName);
  if (each.mTarget == nullptr) {
    return;
  }
  ++mFaults["target-crash"];
  each.mTarget = nullptr;
  Heal(kShortestDownTime + RandomTime(kLongestExtraDownTime),
       [this, aName] { StartTarget(aName); });
}

void soak_world::CheckCrashes()
{
  if (mCrashingRuns.size() < kCrashes) {
    Violation("only " + std::to_string(mCrashingRuns.size()) +
              " targets were crashed");
    return;
  }
  const time_point from = mCrashingRuns[kCrashes - 1].second + kStability;
  std::set<std::string> late;
  for (const auto& [id, at] : mCrashingRuns) {
    if (at > from) {
      late.insert(id);
    }
  }
  if (late.size() > kAllowedLateAttempts) {
    Violation("a crashing request reached targets in " +
              std::to_string(late.size()) + " late attempts");
  }
}

} // namespace parsleystair
