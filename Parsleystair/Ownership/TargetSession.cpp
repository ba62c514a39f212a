#include "Parsleystair/Ownership/TargetSession.h"

#include <algorithm>

namespace parsleystair {

bool target_session::HandleReply(const grant_reply& aReply,
                                 time_point aSentAt,
                                 time_point aNow)
{
  HandleAnswer(aSentAt, aNow);
  if (mBootId != 0 && aSentAt < mReplySentAt) {
    return false;
  }
  // A restarted target has lost the slot lists of the revisions it accepted.
  if (aReply.mBootId != mBootId) {
    mAccepted.clear();
    mBootIdSeenAt = aNow;
  }
  mBootId = aReply.mBootId;
  mClockMs = aReply.mClockMs;
  mClockSeenAt = aNow;
  mReplySentAt = aSentAt;
  for (const accepted_grant& grant : aReply.mAccepted) {
    mAccepted[grant.mGroup] = grant.mRevision;
  }
  for (const group_index& group : aReply.mUnknown) {
    mAccepted.erase(group);
  }
  return true;
}

void target_session::HandleAnswer(time_point aSentAt, time_point aNow)
{
  // An answer that arrives after the loss timeout does not show that the target
  // is still reachable.
  if (aNow - aSentAt >= mSettings.mTargetLossTimeout) {
    return;
  }
  mLastAnswerAt = aNow;
  mAnsweredSentAt = std::max(mAnsweredSentAt.value_or(aSentAt), aSentAt);
  mUnansweredSince.reset();
}

void target_session::RestartLossDetection(time_point aNow)
{
  if (mUnansweredSince) {
    mUnansweredSince = aNow;
  }
  mLastAnswerAt = aNow;
}

void target_session::HandleSent(time_point aNow)
{
  mDueAt = aNow + mSettings.mRenewInterval;
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

bool target_session::IsLost(time_point aNow) const
{
  if (!mUnansweredSince) {
    return false;
  }
  const duration unanswered = aNow - *mUnansweredSince;
  if (!mLastAnswerAt) {
    return unanswered >= mSettings.mTargetLossTimeout;
  }
  // The first unanswered message may have been sent up to one renewal interval
  // after the last answer.
  return aNow - *mLastAnswerAt >= mSettings.mTargetLossTimeout &&
         unanswered >= mSettings.mTargetLossTimeout - mSettings.mRenewInterval;
}

bool target_session::HasOutdatedClock(time_point aNow) const
{
  return !mClockSeenAt || aNow - *mClockSeenAt >= mSettings.mGrantTtl / 2;
}

bool target_session::HasAccepted(const group_revision& aRevision) const
{
  const auto found = mAccepted.find(aRevision.mGroup);
  return found != mAccepted.end() && found->second == aRevision.mRevision;
}

} // namespace parsleystair
