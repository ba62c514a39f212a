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
  const std::vector<const known_target*> usable = AllowedTargets(aRequest);
  const size_t limit = ConnectionLimit(aRequest.mService);
  std::vector<const known_target*> withCapacity;
  std::copy_if(usable.begin(),
               usable.end(),
               std::back_inserter(withCapacity),
               [&](const known_target* aTarget) {
                 return !mConnections.IsAtLimit(aTarget->mTarget.mName, limit);
               });
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
