#include "Parsleystair/Gateway/Forwarder.h"

#include <algorithm>
#include <iterator>
#include <limits>

// Chooses the target of an attempt: the owner of the key, or the best of the
// targets that may get the request.

namespace parsleystair {

namespace {

/// Share of a target's connections that the routers divide evenly among
/// themselves for requests; the rest is for orders and health checks.
constexpr double kRequestConnectionShare = 0.95;
constexpr size_t kMinConnectionLimit = 1;

} // namespace

const known_target* forwarder::ChooseTarget(const open_request& aRequest,
                                            time_point aNow)
{
  const double slowStartRate = SlowStartRate(aRequest.mService);
  if (aRequest.mKeyed) {
    const known_target* owner = FindOwner(aRequest);
    return owner != nullptr && mSlowStart.MaySend(*owner, slowStartRate, aNow)
             ? owner
             : nullptr;
  }
  choice_request choice;
  choice.mService = aRequest.mService;
  choice.mLatencyTarget = aRequest.mRoute->mLatencyTarget;
  choice.mIdempotent = aRequest.mRoute->mIdempotent;
  choice.mAttemptedTargets = aRequest.mAttemptedTargets;
  std::vector<const known_target*> usable = AllowedTargets(aRequest);
  if (slowStartRate > 0) {
    usable = mSlowStart.SendableOf(usable, slowStartRate, aNow);
  }
  const size_t limit = ConnectionLimit(aRequest.mService);
  std::vector<const known_target*> withCapacity;
  std::copy_if(usable.begin(),
               usable.end(),
               std::back_inserter(withCapacity),
               [&](const known_target* aTarget) {
                 return !IsAtConnectionLimit(
                   aTarget->mTarget.mName, limit, aNow);
               });
  if (slowStartRate > 0 && aRequest.mAttemptedTargets.empty()) {
    const auto due =
      std::find_if(withCapacity.begin(),
                   withCapacity.end(),
                   [&](const known_target* aTarget) {
                     return mSlowStart.IsDue(*aTarget, aNow) &&
                            !mBalancer.IsEjected(aTarget->mTarget.mName);
                   });
    if (due != withCapacity.end()) {
      return *due;
    }
  }
  return mBalancer.Choose(
    choice, withCapacity.empty() ? usable : withCapacity, aNow);
}

allowed_domains forwarder::AllowedDomains(const open_request& aRequest) const
{
  return { aRequest.mRoute->mAllowedRegions, mSettings.mLocation.mRegions };
}

std::vector<const known_target*> forwarder::AllowedTargets(
  const open_request& aRequest) const
{
  std::vector<const known_target*> targets =
    mView.mDirectory.UsableOf(aRequest.mService);
  const allowed_domains allowed = AllowedDomains(aRequest);
  if (!allowed.AllowsAll()) {
    std::erase_if(targets, [&](const known_target* aTarget) {
      return !allowed.Allows(aTarget->mTarget.mFailureDomain);
    });
  }
  return targets;
}

const char* forwarder::UnservableReason(const open_request& aRequest) const
{
  const bool isRestricted = !aRequest.mRoute->mAllowedRegions.empty();
  if (!isRestricted && mView.mDirectory.Evacuated().empty()) {
    return nullptr;
  }
  if (AllowedTargets(aRequest).empty()) {
    return isRestricted ? "no target in an allowed region"
                        : "no target outside the evacuated zones";
  }
  const bool isOwnerOutside = aRequest.mKeyed &&
                              FindOwnerInService(aRequest) != nullptr &&
                              FindOwner(aRequest) == nullptr;
  return isOwnerOutside ? "the owner of the key is in no allowed region"
                        : nullptr;
}

double forwarder::SlowStartRate(const service_name& aService) const
{
  const routed_service* service = mView.mRoutes->FindService(aService);
  return service == nullptr ? 0 : service->mSlowStartRate;
}

std::optional<duration> forwarder::SlowStartLeft(const open_request& aRequest,
                                                 time_point aNow) const
{
  std::vector<const known_target*> targets;
  if (!aRequest.mKeyed) {
    targets = AllowedTargets(aRequest);
  } else if (const known_target* owner = FindOwner(aRequest)) {
    targets = { owner };
  }
  std::optional<duration> shortest;
  for (const known_target* target : targets) {
    if (!target->IsLimited(aNow)) {
      return std::nullopt;
    }
    const duration left = target->mLimitedUntil - aNow;
    shortest = std::min(left, shortest.value_or(left));
  }
  return shortest;
}

void forwarder::FinishInSlowStart(open_request& aRequest,
                                  duration aLeft,
                                  time_point aNow)
{
  ++mCounters.mSlowStartRefused;
  // Callers that all come back at the end would find the target without room.
  std::uniform_int_distribution<int64_t> wait(aLeft.count() / 2, aLeft.count());
  aRequest.mRetryAfter = duration(wait(mRandom));
  FinishWithFailure(aRequest, "the target is in slow start", aNow);
}

size_t forwarder::ConnectionLimit(const service_name& aService) const
{
  const routed_service* service = mView.mRoutes->FindService(aService);
  if (service == nullptr || service->mMaxConnections == 0) {
    return std::numeric_limits<size_t>::max();
  }
  const double share = kRequestConnectionShare * service->mMaxConnections /
                       static_cast<double>(mRouterCount);
  return std::max(kMinConnectionLimit, static_cast<size_t>(share));
}

bool forwarder::IsAtConnectionLimit(const target_name& aTarget,
                                    size_t aLimit,
                                    time_point aNow) const
{
  const size_t limit = mBackoff.IsActive(aTarget, aNow) ? 1 : aLimit;
  return mConnections.IsAtLimit(aTarget, limit);
}

const owned_range* forwarder::FindOwnedRange(const open_request& aRequest) const
{
  const auto record = mView.mRanges.find(aRequest.mService);
  if (record == mView.mRanges.end() || !aRequest.mTerms.mKey) {
    return nullptr;
  }
  return FindRange(record->second, *aRequest.mTerms.mKey);
}

const known_target* forwarder::FindOwner(const open_request& aRequest) const
{
  const known_target* owner = FindOwnerInService(aRequest);
  const bool isAllowed = owner != nullptr && AllowedDomains(aRequest).Allows(
                                               owner->mTarget.mFailureDomain);
  return isAllowed ? owner : nullptr;
}

const known_target* forwarder::FindOwnerInService(
  const open_request& aRequest) const
{
  const owned_range* range = FindOwnedRange(aRequest);
  if (range == nullptr) {
    return nullptr;
  }
  const known_target* target = mView.mDirectory.Find(range->mOwner.mName);
  const bool sameProcess =
    target != nullptr && target->mTarget.mStartedMs == range->mOwner.mStartedMs;
  return sameProcess && target->IsUsable() ? target : nullptr;
}

} // namespace parsleystair
