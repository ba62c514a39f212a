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
  if (aRequest.mKeyed) {
    return FindOwner(aRequest);
  }
  choice_request choice;
  choice.mService = aRequest.mService;
  choice.mLatencyTarget = aRequest.mRoute->mLatencyTarget;
  choice.mIdempotent = aRequest.mRoute->mIdempotent;
  choice.mAttemptedTargets = aRequest.mAttemptedTargets;
  std::vector<const known_target*> usable =
    mView.mDirectory.UsableOf(aRequest.mService);
  const size_t limit = ConnectionLimit(aRequest.mService);
  std::vector<const known_target*> withCapacity;
  std::copy_if(usable.begin(),
               usable.end(),
               std::back_inserter(withCapacity),
               [&](const known_target* aTarget) {
                 return !IsAtConnectionLimit(
                   aTarget->mTarget.mName, limit, aNow);
               });
  return mBalancer.Choose(
    choice, withCapacity.empty() ? usable : withCapacity, aNow);
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
