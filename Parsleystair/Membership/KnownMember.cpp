#include "Parsleystair/Membership/KnownMember.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <limits>

namespace parsleystair {

namespace {

// Earlier incarnations that are remembered per name, so that a late message of
// one of them can't bring it back.
constexpr size_t kMaxSuperseded = 4;

} // namespace

uint32_t ToMilliseconds(duration aDuration)
{
  const auto milliseconds =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(milliseconds, 0, kMax));
}

// Incarnations are random, so nothing in them tells which is newer. Another
// one is taken in only after the known one has been silent, because two
// processes of one name never live side by side for long and a late message of
// an earlier one arrives while the new one is heard.
bool known_member::MayTake(incarnation aIncarnation,
                           time_point aHeardAt,
                           duration aSuspectAfter) const
{
  if (aIncarnation == mNotice.mVm.mIncarnation) {
    return true;
  }
  const bool isSuperseded =
    std::find(mSuperseded.begin(), mSuperseded.end(), aIncarnation) !=
    mSuperseded.end();
  return !isSuperseded && (!mHeardAt || aHeardAt > *mHeardAt + aSuspectAfter);
}

void known_member::Hear(const member_notice& aNotice,
                        time_point aHeardAt,
                        time_point aNow)
{
  if (mNotice.mVm.mIncarnation != aNotice.mVm.mIncarnation) {
    ReplaceIncarnation(aNotice.mVm.mIncarnation);
  }
  if (mHeardAt && aHeardAt < *mHeardAt) {
    return;
  }
  mHeardAt = aHeardAt;
  mPassedOn = 0;
  mNotice.mHost = aNotice.mHost;
  mNotice.mPeerPort = aNotice.mPeerPort;
  mNotice.mFailureDomain = aNotice.mFailureDomain;
  // A process that is leaving never stays after all.
  mNotice.mLeaving = mNotice.mLeaving || aNotice.mLeaving;
  if (aNotice.mConfiguration > mNotice.mConfiguration) {
    mNotice.mConfiguration = aNotice.mConfiguration;
    mInForceSince = aNow - std::chrono::milliseconds(aNotice.mInForceMs);
  }
}

void known_member::ReplaceIncarnation(incarnation aIncarnation)
{
  if (mHeardAt) {
    mSuperseded.push_back(mNotice.mVm.mIncarnation);
  }
  if (mSuperseded.size() > kMaxSuperseded) {
    mSuperseded.pop_front();
  }
  mNotice.mVm.mIncarnation = aIncarnation;
  mNotice.mLeaving = false;
  mNotice.mConfiguration = configuration_revision();
  mHeardAt.reset();
  mHeardDirectlyAt.reset();
  mLostAt.reset();
}

member_state known_member::StateAt(const member_context& aContext) const
{
  if (mLostAt && !(mHeardAt > mLostAt)) {
    return member_state::kLost;
  }
  // Silence counts from the newest of: a sign of life, the end of the own
  // pause, and the time since when the member should be heard directly.
  const time_point heardAt = mHeardAt.value_or(mKnownSince);
  time_point since = std::max(heardAt, aContext.mResumedAt);
  duration allowance = aContext.mRelayAllowance;
  if (mDirectSince) {
    since = std::max(since, *mDirectSince);
    // If others hear it well after this router did, only the link to it is
    // broken, and news takes the way through others.
    const time_point directly =
      std::max({ mHeardDirectlyAt.value_or(*mDirectSince),
                 *mDirectSince,
                 aContext.mResumedAt });
    const bool isRelayed = heardAt - directly > aContext.mSuspectAfter;
    allowance = isRelayed ? allowance : duration::zero();
  }
  const duration silence = aContext.mNow - since;
  if (silence > aContext.mLostAfter + allowance) {
    return member_state::kLost;
  }
  if (silence > aContext.mSuspectAfter + allowance) {
    // The list and the silence agree that it has ended.
    return mListed ? member_state::kSuspect : member_state::kLost;
  }
  if (!mHeardAt) {
    return member_state::kSuspect;
  }
  return mNotice.mLeaving ? member_state::kLeaving : member_state::kLive;
}

member_notice known_member::NoticeAt(time_point aNow) const
{
  PARSLEYSTAIR_INVARIANT(mHeardAt.has_value());
  member_notice notice = mNotice;
  notice.mAgeMs = ToMilliseconds(aNow - *mHeardAt);
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
  if (mHeardAt) {
    described.mAge = aContext.mNow - *mHeardAt;
  }
  described.mConfiguration = mNotice.mConfiguration;
  described.mInForce = aContext.mNow - mInForceSince;
  return described;
}

} // namespace parsleystair
