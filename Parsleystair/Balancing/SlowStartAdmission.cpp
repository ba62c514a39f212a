#include "Parsleystair/Balancing/SlowStartAdmission.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>
#include <iterator>

namespace parsleystair {

namespace {

/// Routers that share the rate of a target. One could be lost without the
/// others knowing; each further one adds a request to what may arrive at once.
constexpr size_t kSenders = 2;
/// Fraction of the rate for the first router in rank while its list isn't
/// confirmed. Two such routers and the senders of a confirmed list stay within
/// 1.5 times the rate.
constexpr double kReducedFraction = 0.25;
/// Requests that a bucket holds.
constexpr double kMaxTokens = 1;
/// Time without a request of this router after which a target gets one. Callers
/// judge a target that gets none for 4 s as lost.
constexpr duration kMaxIdleTime = 1s;
/// How much earlier a confirmation may seem than the one before, as reports to
/// the leader take different times. The lease of a former leader ends later
/// after its last confirmation.
constexpr duration kMaxConfirmationJitter = 400ms;
/// Time after which a bucket that isn't used is dropped; it is full by then at
/// any rate that lets a target become warm.
constexpr duration kStateRetention = 30s;

/// Order of a router for a target, lowest first.
std::pair<bool, uint64_t> RankKey(const known_target& aTarget,
                                  const sending_router& aRouter)
{
  const discovered_target& target = aTarget.mTarget;
  return { aRouter.mFailureDomain != target.mFailureDomain,
           Hash64(aRouter.mHost + " " + target.mName.Value()) };
}

} // namespace

slow_start_admission::slow_start_admission(std::string aSelf)
  : mSelf(std::move(aSelf))
  , mLists(1)
{
}

void slow_start_admission::HandleRouters(
  const std::vector<sending_router>& aRouters,
  time_point aConfirmedAt,
  time_point aNow)
{
  if (mConfirmedAt != time_point::min() &&
      aConfirmedAt + kMaxConfirmationJitter < mConfirmedAt) {
    return;
  }
  // The list may have changed and changed back while this router had none.
  const bool isLate =
    mConfirmedAt != time_point::min() && aNow > mConfirmedAt + kListValidity;
  if (isLate) {
    mFullFrom = aNow + kListOverlap;
  }
  mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
  if (mLists.back().mRouters != aRouters) {
    mLists.back().mReplacedAt = aNow;
    mLists.push_back({ aRouters });
    ++mVersion;
  }
}

void slow_start_admission::RemoveFormerLists(time_point aNow)
{
  while (mLists.size() > 1 &&
         mLists.front().mReplacedAt + kListOverlap <= aNow) {
    mLists.pop_front();
    ++mVersion;
  }
}

slow_start_admission::share slow_start_admission::ShareOf(
  const known_target& aTarget,
  const std::vector<sending_router>& aList) const
{
  const auto self = std::find_if(
    aList.begin(), aList.end(), [this](const sending_router& aRouter) {
      return aRouter.mHost == mSelf;
    });
  if (self == aList.end()) {
    return {};
  }
  const auto ownKey = RankKey(aTarget, *self);
  const auto rank = static_cast<size_t>(std::count_if(
    aList.begin(), aList.end(), [&](const sending_router& aRouter) {
      return RankKey(aTarget, aRouter) < ownKey;
    }));
  const size_t senders = std::min(kSenders, aList.size());
  return { rank < senders ? 1.0 / static_cast<double>(senders) : 0, rank == 0 };
}

slow_start_admission::share slow_start_admission::ShareOf(
  const known_target& aTarget) const
{
  share smallest{ 1, true };
  for (const router_period& period : mLists) {
    const share each = ShareOf(aTarget, period.mRouters);
    smallest.mFraction = std::min(smallest.mFraction, each.mFraction);
    smallest.mIsFirst = smallest.mIsFirst && each.mIsFirst;
  }
  return smallest;
}

double slow_start_admission::PresentFraction(const share& aShare,
                                             time_point aNow) const
{
  if (mConfirmedAt == time_point::min() || aNow > mConfirmedAt + kReducedTime) {
    return 0;
  }
  if (aNow <= mConfirmedAt + kListValidity && aNow >= mFullFrom) {
    return aShare.mFraction;
  }
  return aShare.mIsFirst ? kReducedFraction : 0;
}

slow_start_admission::target_state& slow_start_admission::Refill(
  const known_target& aTarget,
  double aRate,
  time_point aNow)
{
  RemoveFormerLists(aNow);
  target_state& state = mTargets[aTarget.mTarget.mName];
  if (state.mVersion != mVersion) {
    state.mVersion = mVersion;
    state.mShare = ShareOf(aTarget);
  }
  const double fraction = PresentFraction(state.mShare, aNow);
  if (state.mRefilledAt != time_point::min() && aNow > state.mRefilledAt) {
    state.mTokens += fraction * aRate * ToSeconds(aNow - state.mRefilledAt);
  }
  state.mTokens = std::min(state.mTokens, kMaxTokens);
  state.mRefilledAt = aNow;
  return state;
}

bool slow_start_admission::MaySend(const known_target& aTarget,
                                   double aRate,
                                   time_point aNow)
{
  if (aRate <= 0 || !aTarget.IsLimited(aNow)) {
    return true;
  }
  const target_state& state = Refill(aTarget, aRate, aNow);
  return state.mTokens >= 1 && PresentFraction(state.mShare, aNow) > 0;
}

bool slow_start_admission::TryTake(const known_target& aTarget,
                                   double aRate,
                                   time_point aNow)
{
  if (!MaySend(aTarget, aRate, aNow)) {
    return false;
  }
  if (aRate > 0 && aTarget.IsLimited(aNow)) {
    target_state& state = mTargets.at(aTarget.mTarget.mName);
    state.mTokens -= 1;
    state.mLastTaken = aNow;
  }
  return true;
}

std::vector<const known_target*> slow_start_admission::SendableOf(
  const std::vector<const known_target*>& aTargets,
  double aRate,
  time_point aNow)
{
  std::vector<const known_target*> sendable;
  std::copy_if(aTargets.begin(),
               aTargets.end(),
               std::back_inserter(sendable),
               [&](const known_target* aTarget) {
                 return MaySend(*aTarget, aRate, aNow);
               });
  return sendable;
}

bool slow_start_admission::IsDue(const known_target& aTarget,
                                 time_point aNow) const
{
  const auto found = mTargets.find(aTarget.mTarget.mName);
  return aTarget.IsLimited(aNow) && found != mTargets.end() &&
         (found->second.mLastTaken == time_point::min() ||
          aNow - found->second.mLastTaken >= kMaxIdleTime);
}

void slow_start_admission::Expire(time_point aNow)
{
  std::erase_if(mTargets, [&](const auto& aEntry) {
    return aNow - aEntry.second.mRefilledAt > kStateRetention;
  });
}

} // namespace parsleystair
