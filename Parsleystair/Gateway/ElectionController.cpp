#include "Parsleystair/Gateway/ElectionController.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

// Why a new leader knows every router that may still send orders: a router
// leads only after one write has created the leader key and added the router to
// the stored terms. The write fails if another router has changed the terms
// since they were read, so no entry is lost. Only the leader removes entries of
// others, and only when they send no orders any more.

namespace parsleystair {

namespace {

constexpr duration kLeaseRenewInterval = 500ms;
/// Upper bound of the random delay between the removal of the leader key and a
/// router's campaign, so that most routers see another router's entry before
/// they write their own.
constexpr duration kCampaignJitter = 150ms;
constexpr duration kCampaignRetryDelay = 500ms;
/// Interval of the requests to a former leader that doesn't respond. A process
/// that was killed restarts within seconds and then responds.
constexpr duration kAbdicationInterval = 600ms;

bool HasAddressOf(const leader_entry& aLeft, const leader_entry& aRight)
{
  return aLeft.mHost == aRight.mHost && aLeft.mPort == aRight.mPort;
}

} // namespace

election_controller::election_controller(election_settings aSettings,
                                         uint64_t aSeed)
  : mSettings(std::move(aSettings))
  , mRandom(aSeed)
{
}

void election_controller::HandleKey(const std::optional<stored_item>& aItem,
                                    time_point aNow)
{
  mKeyObserved = true;
  mKeyExists = aItem.has_value();
  mLeader.reset();
  if (!aItem) {
    if (mLeading) {
      StopLeading("the leader key was removed");
    }
    std::uniform_int_distribution<int64_t> jitter(0, kCampaignJitter.count());
    ScheduleCampaign(aNow + mSettings.mCampaignDelay +
                     duration(jitter(mRandom)));
    return;
  }
  try {
    mLeader = DecodeLeaderEntry(aItem->mValue);
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "leader_entry_unreadable")
      .Add("error", exception.what());
  }
  const bool isSelf = mLeader && HasAddressOf(*mLeader, mSettings.mSelf) &&
                      mLeader->mIncarnation == mSettings.mSelf.mIncarnation;
  if (isSelf) {
    HandleOwnEntry(*mLeader, aItem->mRevision, aNow);
    return;
  }
  if (mLeader && mLeader->mTerm == term_number(0)) {
    mLeaderWithoutTerm = mLeader;
  }
  if (mLeading) {
    StopLeading("another router is the leader");
  }
}

void election_controller::HandleOwnEntry(const leader_entry& aEntry,
                                         store_revision aRevision,
                                         time_point aNow)
{
  if (mLeading) {
    return;
  }
  const bool isCampaignEntry =
    mCampaign && mCampaign->mEntry && *mCampaign->mEntry == aEntry;
  if (isCampaignEntry && !mResigned) {
    // The reply to the write was lost or is slower than the watch. The entry
    // may be old, so only a renewal of its lease confirms the leadership.
    StartLeading(aRevision, aNow);
    return;
  }
  // This router doesn't lead in the entry's term any more.
  mActions.emplace_back(end_lease{ aEntry.mLease });
}

bool election_controller::IsCampaigning() const
{
  return mCampaign && !mCampaign->mOutcomeUnknown;
}

void election_controller::ScheduleCampaign(time_point aTime)
{
  if (!mResigned && !mLeading) {
    mNextCampaignAt = aTime;
  }
}

void election_controller::AbandonCampaign(time_point aNow)
{
  mCampaign.reset();
  ScheduleCampaign(aNow + kCampaignRetryDelay);
}

void election_controller::StepCampaign(time_point aNow)
{
  if (mResigned || mLeading || mKeyExists || !mKeyObserved || IsCampaigning() ||
      !mNextCampaignAt) {
    return;
  }
  if (aNow < *mNextCampaignAt) {
    AddStepTime(*mNextCampaignAt);
    return;
  }
  mNextCampaignAt.reset();
  mCampaign = campaign();
  mActions.emplace_back(read_terms{});
  mActions.emplace_back(open_lease{});
}

void election_controller::HandleTermsRead(
  call_outcome aOutcome,
  const std::optional<stored_item>& aItem,
  time_point aNow)
{
  if (!IsCampaigning() || mCampaign->mTerms) {
    return;
  }
  if (aOutcome != call_outcome::kDone) {
    AbandonCampaign(aNow);
    return;
  }
  leader_terms terms;
  try {
    if (aItem) {
      terms = DecodeLeaderTerms(aItem->mValue);
    }
  } catch (const parse_error& exception) {
    // Without the terms this router can't know who may still send orders.
    log_line(log_severity::kError, "leader_terms_unreadable")
      .Add("error", exception.what());
    AbandonCampaign(aNow);
    return;
  }
  mCampaign->mTerms = std::move(terms);
  mCampaign->mTermsRevision = aItem ? aItem->mRevision : store_revision(0);
  WriteLeaderIfReady();
}

void election_controller::HandleLeaseOpened(const lease_reply& aReply,
                                            time_point aNow)
{
  if (!IsCampaigning() || mCampaign->mLease) {
    return;
  }
  if (aReply.mOutcome != call_outcome::kDone) {
    AbandonCampaign(aNow);
    return;
  }
  mCampaign->mLease = aReply.mLease;
  WriteLeaderIfReady();
}

void election_controller::WriteLeaderIfReady()
{
  if (!mCampaign->mTerms || !mCampaign->mLease) {
    return;
  }
  if (mKeyExists || mResigned) {
    mActions.emplace_back(end_lease{ *mCampaign->mLease });
    mCampaign.reset();
    return;
  }
  leader_terms& terms = *mCampaign->mTerms;
  if (mLeaderWithoutTerm) {
    RemoveLeader(terms, *mLeaderWithoutTerm);
    terms.mLeaders.push_back(*mLeaderWithoutTerm);
  }
  leader_entry entry = mSettings.mSelf;
  entry.mTerm = terms.mNext;
  entry.mLease = *mCampaign->mLease;
  RemoveLeader(terms, entry);
  terms.mLeaders.push_back(entry);
  terms.mNext = term_number(terms.mNext.Value() + 1);
  mCampaign->mEntry = entry;

  conditional_write write;
  write.mConditions = { { mSettings.mLeaderKey, store_revision(0) },
                        { mSettings.mTermsKey, mCampaign->mTermsRevision } };
  write.mWrites = {
    { mSettings.mLeaderKey, EncodeLeaderEntry(entry), entry.mLease },
    { mSettings.mTermsKey, EncodeLeaderTerms(terms), lease_id(0) }
  };
  mActions.emplace_back(write_leader{ entry, std::move(write) });
}

void election_controller::HandleLeaderWritten(const leader_entry& aWritten,
                                              const write_reply& aReply,
                                              time_point aSentAt,
                                              time_point aNow)
{
  const bool isDone = aReply.mOutcome == call_outcome::kDone;
  if (mLeading && isDone && aWritten.mTerm == mLeadership.mTerm &&
      aReply.mRevision == mRevision) {
    Confirm(aSentAt);
    return;
  }
  if (!IsCampaigning() || mCampaign->mEntry != aWritten) {
    return;
  }
  if (isDone && !mResigned) {
    StartLeading(aReply.mRevision, aNow);
    Confirm(aSentAt);
    mNextRenewalAt = aNow + kLeaseRenewInterval;
    return;
  }
  if (aReply.mOutcome != call_outcome::kUnknown) {
    AbandonCampaign(aNow);
    return;
  }
  // The watch reports the key if it was written.
  mCampaign->mOutcomeUnknown = true;
  ScheduleCampaign(aNow + kCampaignRetryDelay);
}

void election_controller::StartLeading(store_revision aRevision,
                                       time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(mCampaign && mCampaign->mEntry && mCampaign->mTerms);
  mLeader = mCampaign->mEntry;
  mTerms = *mCampaign->mTerms;
  mCampaign.reset();
  mNextCampaignAt.reset();
  mLeading = true;
  mKeyExists = true;
  mRevision = aRevision;
  mTermsRevision = aRevision;
  mTermsWritePending = false;
  mLease = mLeader->mLease;
  mLeadership = { mLeader->mTerm, time_point::min(), aNow };
  mLeaderWithoutTerm.reset();
  mFormerLeaders = mTerms.mLeaders;
  std::erase(mFormerLeaders, *mLeader);
  mNextRenewalAt = aNow;
  mNextAbdicationRequestAt = aNow;
}

void election_controller::StopLeading(const char* aReason)
{
  mLeading = false;
  mEndReason = aReason;
  mFormerLeaders.clear();
}

void election_controller::Confirm(time_point aSentAt)
{
  mLeadership.mConfirmedAt = std::max(mLeadership.mConfirmedAt, aSentAt);
}

void election_controller::HandleLeaseRenewed(const renew_lease& aRenewal,
                                             call_outcome aOutcome,
                                             time_point aSentAt,
                                             time_point aNow)
{
  if (!mLeading || aRenewal.mLease != mLease) {
    return;
  }
  if (aOutcome == call_outcome::kDone) {
    Confirm(aSentAt);
  } else if (aOutcome == call_outcome::kGone) {
    mKeyExists = false;
    StopLeading("the lease no longer exists");
    ScheduleCampaign(aNow + kCampaignJitter);
  }
}

void election_controller::HandleAbdicated(const request_abdication& aRequest,
                                          time_point /*aNow*/)
{
  if (!mLeading || aRequest.mBefore != mLeadership.mTerm) {
    return;
  }
  std::erase_if(mFormerLeaders, [&](const leader_entry& aFormer) {
    return HasAddressOf(aFormer, aRequest.mLeader);
  });
}

void election_controller::HandleTermsWritten(const write_reply& aReply)
{
  mTermsWritePending = false;
  if (!mLeading) {
    return;
  }
  if (aReply.mOutcome == call_outcome::kDone) {
    mTermsRevision = aReply.mRevision;
  }
  // After a conflict, either an earlier write took effect without a reply, or
  // this router no longer leads.
  if (aReply.mOutcome == call_outcome::kDone ||
      aReply.mOutcome == call_outcome::kConflict) {
    mTerms.mLeaders = { *mLeader };
  }
}

void election_controller::StepDown(std::optional<term_number> aBefore)
{
  // The reply to a campaign's write may arrive after the elected router's lease
  // has ended. It must not make this router the leader after it has abdicated.
  if (mCampaign &&
      (!aBefore || !mCampaign->mEntry || mCampaign->mEntry->mTerm < *aBefore)) {
    mCampaign.reset();
  }
  if (mLeading && (!aBefore || mLeadership.mTerm < *aBefore)) {
    StopLeading("another router is the leader");
  }
}

void election_controller::Resign()
{
  mResigned = true;
  mNextCampaignAt.reset();
  if (mLeading) {
    StopLeading("shutdown");
    mActions.emplace_back(end_lease{ mLease });
  }
}

std::vector<election_action> election_controller::Step(time_point aNow)
{
  mNextStepTime.reset();
  StepCampaign(aNow);
  if (mLeading) {
    StepLeadership(aNow);
  }
  return std::exchange(mActions, {});
}

void election_controller::StepLeadership(time_point aNow)
{
  const time_point formerLeadersEnd =
    mLeadership.mSince + mSettings.mMaxRenewalTime;
  if (aNow >= formerLeadersEnd) {
    mFormerLeaders.clear();
  }
  if (aNow >= mNextRenewalAt) {
    mNextRenewalAt = aNow + kLeaseRenewInterval;
    mActions.emplace_back(renew_lease{ mLease });
    WriteTerms();
  }
  if (!mFormerLeaders.empty()) {
    if (aNow >= mNextAbdicationRequestAt) {
      mNextAbdicationRequestAt = aNow + kAbdicationInterval;
      for (const leader_entry& former : mFormerLeaders) {
        mActions.emplace_back(request_abdication{ former, mLeadership.mTerm });
      }
    }
    AddStepTime(mNextAbdicationRequestAt);
    AddStepTime(formerLeadersEnd);
  }
  AddStepTime(mNextRenewalAt);
}

void election_controller::WriteTerms()
{
  if (!mFormerLeaders.empty() || mTerms.mLeaders.size() <= 1 ||
      mTermsWritePending) {
    return;
  }
  mTermsWritePending = true;
  const leader_terms remaining{ mTerms.mNext, { *mLeader } };
  conditional_write write;
  write.mConditions = { Condition(), { mSettings.mTermsKey, mTermsRevision } };
  write.mWrites = {
    { mSettings.mTermsKey, EncodeLeaderTerms(remaining), lease_id(0) }
  };
  mActions.emplace_back(write_terms{ std::move(write) });
}

void election_controller::AddStepTime(time_point aTime)
{
  mNextStepTime = mNextStepTime ? std::min(*mNextStepTime, aTime) : aTime;
}

std::optional<time_point> election_controller::NextStepTime() const
{
  return mNextStepTime;
}

} // namespace parsleystair
