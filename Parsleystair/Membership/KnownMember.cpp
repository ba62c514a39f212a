#include "Parsleystair/Membership/KnownMember.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <limits>

namespace parsleystair {

namespace {

// Number of earlier incarnations stored per name, so that a late message of an
// earlier incarnation can't replace the current one.
constexpr size_t kMaxEarlierIncarnations = 4;

} // namespace

uint32_t ToMilliseconds(duration aDuration)
{
  const auto milliseconds =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(milliseconds, 0, kMax));
}

// Incarnations are random, so their values don't show which one is newer.
// Another incarnation is accepted only after a time without a confirmation of
// the known one: two processes with one name run at the same time only briefly,
// and a late message of an earlier incarnation arrives while the new one is
// being confirmed.
bool known_member::Accepts(incarnation aIncarnation,
                           time_point aConfirmedAt,
                           duration aSuspectAfter) const
{
  if (aIncarnation == mNotice.mVm.mIncarnation) {
    return true;
  }
  const bool isEarlier = std::find(mEarlierIncarnations.begin(),
                                   mEarlierIncarnations.end(),
                                   aIncarnation) != mEarlierIncarnations.end();
  return !isEarlier &&
         (!mConfirmedAt || aConfirmedAt > *mConfirmedAt + aSuspectAfter);
}

void known_member::ApplyNotice(const member_notice& aNotice,
                               time_point aConfirmedAt,
                               time_point aNow)
{
  if (mNotice.mVm.mIncarnation != aNotice.mVm.mIncarnation) {
    ReplaceIncarnation(aNotice.mVm.mIncarnation);
  }
  if (mConfirmedAt && aConfirmedAt < *mConfirmedAt) {
    return;
  }
  mConfirmedAt = aConfirmedAt;
  mRelayCount = 0;
  mNotice.mHost = aNotice.mHost;
  mNotice.mPeerPort = aNotice.mPeerPort;
  mNotice.mFailureDomain = aNotice.mFailureDomain;
  // A process that has started leaving never returns to the live state.
  mNotice.mLeaving = mNotice.mLeaving || aNotice.mLeaving;
  if (aNotice.mConfiguration > mNotice.mConfiguration) {
    mNotice.mConfiguration = aNotice.mConfiguration;
    mInForceSince = aNow - std::chrono::milliseconds(aNotice.mInForceMs);
  }
}

void known_member::ReplaceIncarnation(incarnation aIncarnation)
{
  if (mConfirmedAt) {
    mEarlierIncarnations.push_back(mNotice.mVm.mIncarnation);
  }
  if (mEarlierIncarnations.size() > kMaxEarlierIncarnations) {
    mEarlierIncarnations.pop_front();
  }
  mNotice.mVm.mIncarnation = aIncarnation;
  mNotice.mLeaving = false;
  mNotice.mConfiguration = configuration_revision();
  mConfirmedAt.reset();
  mDirectlyConfirmedAt.reset();
  mLostAt.reset();
}

member_state known_member::StateAt(const member_context& aContext) const
{
  if (mLostAt && !(mConfirmedAt > mLostAt)) {
    return member_state::kLost;
  }
  // Silence is measured from the latest of the newest confirmation, the end of
  // this process's last pause, and the start of the direct exchange with the
  // member.
  const time_point confirmedAt = mConfirmedAt.value_or(mKnownSince);
  time_point since = std::max(confirmedAt, aContext.mResumedAt);
  duration allowance = aContext.mRelayAllowance;
  if (mDirectSince) {
    since = std::max(since, *mDirectSince);
    // If other routers received a heartbeat from the member well after this
    // router did, only the link between this router and the member is broken,
    // and its notices arrive through other routers.
    const time_point directlyConfirmedAt =
      std::max({ mDirectlyConfirmedAt.value_or(*mDirectSince),
                 *mDirectSince,
                 aContext.mResumedAt });
    const bool isRelayed =
      confirmedAt - directlyConfirmedAt > aContext.mSuspectAfter;
    allowance = isRelayed ? allowance : duration::zero();
  }
  const duration silence = aContext.mNow - since;
  if (silence > aContext.mLostAfter + allowance) {
    return member_state::kLost;
  }
  if (silence > aContext.mSuspectAfter + allowance) {
    // An unlisted member that is silent has stopped: the list and the silence
    // agree.
    return mListed ? member_state::kSuspect : member_state::kLost;
  }
  if (!mConfirmedAt) {
    return member_state::kSuspect;
  }
  return mNotice.mLeaving ? member_state::kLeaving : member_state::kLive;
}

member_notice known_member::MakeNotice(time_point aNow) const
{
  PARSLEYSTAIR_INVARIANT(mConfirmedAt.has_value());
  member_notice notice = mNotice;
  notice.mAgeMs = ToMilliseconds(aNow - *mConfirmedAt);
  notice.mInForceMs = ToMilliseconds(aNow - mInForceSince);
  return notice;
}

member known_member::Describe(const member_context& aContext) const
{
  member described;
  described.mVm = mNotice.mVm;
  described.mAddress = { mNotice.mVm.mName, mNotice.mHost, mNotice.mPeerPort };
  described.mFailureDomain = mNotice.mFailureDomain;
  described.mState = StateAt(aContext);
  described.mListed = mListed;
  if (mConfirmedAt) {
    described.mAge = aContext.mNow - *mConfirmedAt;
  }
  described.mConfiguration = mNotice.mConfiguration;
  described.mInForce = aContext.mNow - mInForceSince;
  return described;
}

} // namespace parsleystair
