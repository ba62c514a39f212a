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
/// How much later than the leader of the time before a restore other routers
/// campaign, and routers that have started only recently. It covers the
/// interval of the leader's calls, from which it learns of the restore.
constexpr duration kRecoveryCampaignDelay = 800ms;
constexpr duration kNewRouterCampaignDelay = 1600ms;
/// Shortest time for which a leader asks for lost records: two requests to each
/// router.
constexpr duration kMinSurveyTime = 1500ms;
/// Time that remains to record kept grants in the present era when a leader
/// stops waiting for routers that haven't told their records.
constexpr duration kRecordKeptGrantsTime = 2s;
/// Time for which routers that are no longer live are remembered; longer than
/// the orders and grants of a leader can last.
constexpr duration kRouterRetention = 30s;
/// Age up to which a list of live routers counts as current. Each router gets
/// one twice a second from the leader, and loses it with the leader until
/// another one is elected.
constexpr duration kMaxRouterListAge = 4s;

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

void election_controller::HandleEra(const store_era& aEra, time_point aNow)
{
  if (aEra <= mEra) {
    return;
  }
  if (mLeader) {
    RememberLeader(*mLeader, aNow);
  }
  for (const leader_entry& former : mFormerLeaders) {
    RememberLeader(former, aNow);
  }
  mEra = aEra;
  mEraHasLeader = false;
  mLedBeforeEra = mLeading;
  mUnrecordedGrantsUntil =
    mLeading ? mLeadership.mConfirmedAt + mSettings.mMaxRenewalTime
             : time_point::min();
  // The store confirmed no leader of an earlier era after the restore, which
  // was before this router learned of it.
  mLostLeadersEnd = aNow + mSettings.mMaxRenewalTime;
  mLostGrantsEnd = mLostLeadersEnd + mSettings.mGrantLifetime;
  // The state of the leader key is read again.
  mKeyObserved = false;
  mKeyExists = false;
  mLeader.reset();
  mLeaderWithoutTerm.reset();
  mCampaign.reset();
  mNextCampaignAt.reset();
  if (mLeading) {
    StopLeading("the store was restored from a copy");
  }
}

void election_controller::HandleRouters(const std::vector<std::string>& aHosts,
                                        time_point aNow)
{
  for (const std::string& host : aHosts) {
    mRouters[host] = aNow;
  }
  std::erase_if(mRouters, [&](const auto& aRouter) {
    return aNow - aRouter.second > kRouterRetention;
  });
  if (mRouterListUntil == time_point::min() ||
      aNow - mRouterListUntil > kMaxRouterListAge) {
    mRouterListFrom = aNow;
  }
  mRouterListUntil = aNow;
}

void election_controller::RememberLeader(const leader_entry& aLeader,
                                         time_point aNow)
{
  mRouters[aLeader.mHost] = aNow;
}

std::vector<std::string> election_controller::KnownRouters(
  time_point aNow) const
{
  std::vector<std::string> hosts;
  for (const auto& [host, lastLive] : mRouters) {
    if (aNow - lastLive <= kRouterRetention) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

duration election_controller::ForgottenGrantsExpireIn(time_point aNow) const
{
  // An earlier process at this address had ended when this one started.
  const duration age = mSettings.mStartedAt <= aNow - mSettings.mGrantLifetime
                         ? mSettings.mGrantLifetime
                         : aNow - mSettings.mStartedAt;
  return mSettings.mGrantLifetime - age;
}

std::optional<duration> election_controller::LostGrantsExpireIn(
  term_number aTerm,
  time_point aNow) const
{
  const auto told = LostGrants(aNow);
  return told && EraOfNumber(aTerm.Value()) == mEra
           ? std::optional(told->mExpireIn)
           : std::nullopt;
}

std::optional<lost_grants> election_controller::LostGrants(
  time_point aNow) const
{
  if (mEra == kFirstEra) {
    return std::nullopt;
  }
  return lost_grants{ mEra, std::max(mLostGrantsEnd - aNow, duration::zero()) };
}

void election_controller::HandleLostGrants(const lost_grants& aTold,
                                           time_point aNow)
{
  // A leader whose records don't name all holders isn't told less than the time
  // that counts from the restore. A router tells less only after a later leader
  // has written records that name all, to which all leaders before it have
  // abdicated, and which all leaders after it read.
  if (mEra != kFirstEra && aTold.mEra == mEra) {
    LimitLostGrants(aTold.mExpireIn, aNow);
  }
}

void election_controller::LimitLostGrants(duration aExpireIn, time_point aNow)
{
  const duration longest = mSettings.mMaxRenewalTime + mSettings.mGrantLifetime;
  mLostGrantsEnd = std::min(
    mLostGrantsEnd, aNow + std::clamp(aExpireIn, duration::zero(), longest));
}

time_point election_controller::RecoveryDeadline() const
{
  if (!mLeadership.mRecovers) {
    return time_point::min();
  }
  return std::min(mRecoveryEnd.value_or(time_point::max()), mLostGrantsEnd);
}

bool election_controller::KnowsAllRouters(time_point aNow) const
{
  return mRouterListUntil != time_point::min() &&
         aNow - mRouterListUntil <= kMaxRouterListAge &&
         aNow - mRouterListFrom >=
           mSettings.mMaxRenewalTime + mSettings.mGrantLifetime;
}

duration election_controller::RecoveryCampaignDelay(time_point aNow) const
{
  if (mEra == kFirstEra || mEraHasLeader || mLedBeforeEra) {
    return duration::zero();
  }
  return KnowsAllRouters(aNow) ? kRecoveryCampaignDelay
                               : kNewRouterCampaignDelay;
}

void election_controller::HandleKey(const std::optional<stored_item>& aItem,
                                    time_point aNow)
{
  mKeyObserved = true;
  mKeyExists = aItem.has_value();
  if (mLeader) {
    RememberLeader(*mLeader, aNow);
  }
  mLeader.reset();
  if (!aItem) {
    if (mLeading) {
      StopLeading("the leader key was removed");
    }
    std::uniform_int_distribution<int64_t> jitter(0, kCampaignJitter.count());
    if (!mNextCampaignAt) {
      ScheduleCampaign(aNow + mSettings.mCampaignDelay +
                       RecoveryCampaignDelay(aNow) + duration(jitter(mRandom)));
    }
    return;
  }
  mNextCampaignAt.reset();
  mEraHasLeader = true;
  try {
    mLeader = DecodeLeaderEntry(aItem->mValue);
    RememberLeader(*mLeader, aNow);
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
  mActions.emplace_back(read_terms{ mSettings.mTermsKey });
  mActions.emplace_back(open_lease{});
}

void election_controller::HandleTermsRead(
  call_outcome aOutcome,
  const std::vector<stored_item>& aItems,
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
  terms.mNext = term_number(FirstNumberOf(mEra));
  terms.mRecovered = mEra == kFirstEra;
  store_revision revision;
  for (const stored_item& item : aItems) {
    const bool isCurrent = item.mKey == TermsKey();
    try {
      const leader_terms stored = DecodeLeaderTerms(item.mValue);
      if (isCurrent) {
        terms = stored;
        revision = item.mRevision;
        if (stored.mLostGrantsExpireIn) {
          LimitLostGrants(*stored.mLostGrantsExpireIn, aNow);
        }
        continue;
      }
      for (const leader_entry& former : stored.mLeaders) {
        RememberLeader(former, aNow);
      }
    } catch (const parse_error& exception) {
      log_line(log_severity::kError, "leader_terms_unreadable")
        .Add("key", item.mKey)
        .Add("error", exception.what());
      if (isCurrent) {
        // Without the terms this router can't know who may still send orders.
        AbandonCampaign(aNow);
        return;
      }
    }
  }
  mCampaign->mTerms = std::move(terms);
  mCampaign->mTermsRevision = revision;
  WriteLeaderIfReady(aNow);
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
  WriteLeaderIfReady(aNow);
}

void election_controller::WriteLeaderIfReady(time_point aNow)
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
  if (terms.mLostGrantsExpireIn) {
    terms.mLostGrantsExpireIn = LostGrantsExpireIn(entry.mTerm, aNow);
  }
  mCampaign->mEntry = entry;

  conditional_write write;
  write.mConditions = { { LeaderKey(), store_revision(0) },
                        { TermsKey(), mCampaign->mTermsRevision } };
  write.mWrites = { { LeaderKey(), EncodeLeaderEntry(entry), entry.mLease },
                    { TermsKey(), EncodeLeaderTerms(terms), lease_id(0) } };
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
  mPendingTerms.reset();
  mProgressWriteFailed = false;
  mLease = mLeader->mLease;
  const bool isFirstOfEra = mLeader->mTerm.Value() == FirstNumberOf(mEra);
  mLeadership = { mLeader->mTerm,
                  time_point::min(),
                  aNow,
                  !mTerms.mRecovered,
                  mLedBeforeEra && isFirstOfEra };
  mLeaderWithoutTerm.reset();
  mFormerLeaders = mTerms.mLeaders;
  std::erase(mFormerLeaders, *mLeader);
  mMayHaveUnknownLeaders = false;
  mAskedRouters.clear();
  mRecoveryEnd.reset();
  mRecordsWritten = false;
  mForgottenGrantsEnd = aNow;
  mSurveyState =
    mTerms.mLostGrantsExpireIn ? survey_state::kClosed : survey_state::kOpen;
  if (mLeadership.mRecovers && mSurveyState == survey_state::kOpen) {
    mMayHaveUnknownLeaders = !KnowsAllRouters(aNow);
    mKnowsAllRecords = !mMayHaveUnknownLeaders;
    AddPossibleLeaders(KnownRouters(aNow));
  }
  mNextRenewalAt = aNow;
  mNextAbdicationRequestAt = aNow;
  SetRecoveryEndIfKnown(aNow);
}

void election_controller::AddPossibleLeaders(
  const std::vector<std::string>& aHosts)
{
  for (const std::string& host : aHosts) {
    if (!mAskedRouters.insert(host).second) {
      continue;
    }
    leader_entry router;
    router.mVm = vm_name(host);
    router.mHost = host;
    router.mPort = mSettings.mSelf.mPort;
    const bool isListed = std::any_of(
      mFormerLeaders.begin(), mFormerLeaders.end(), [&](const auto& aFormer) {
        return HasAddressOf(aFormer, router);
      });
    if (!isListed && !HasAddressOf(router, mSettings.mSelf)) {
      mFormerLeaders.push_back(std::move(router));
    }
  }
}

void election_controller::StopLeading(const char* aReason)
{
  mLeading = false;
  mEndReason = aReason;
  mFormerLeaders.clear();
  mMayHaveUnknownLeaders = false;
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
  if (!mLeading || aRenewal.mLease != mLease ||
      aRenewal.mTerm != mLeadership.mTerm) {
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
                                          const abdication_reply& aReply,
                                          time_point aNow)
{
  if (!mLeading || aRequest.mBefore != mLeadership.mTerm) {
    return;
  }
  mForgottenGrantsEnd = std::max(
    mForgottenGrantsEnd,
    aNow + std::min(aReply.mForgottenGrantsExpireIn, mSettings.mGrantLifetime));
  if (mLeadership.mRecovers && aReply.mLostGrantsExpireIn) {
    LimitLostGrants(*aReply.mLostGrantsExpireIn, aNow);
  }
  if (mLeadership.mRecovers && !mRecoveryEnd &&
      mSurveyState == survey_state::kOpen) {
    AddPossibleLeaders(aReply.mRouters);
  }
  std::erase_if(mFormerLeaders, [&](const leader_entry& aFormer) {
    return HasAddressOf(aFormer, aRequest.mLeader);
  });
  SetRecoveryEndIfKnown(aNow);
}

void election_controller::SetRecoveryEndIfKnown(time_point aNow)
{
  if (!mLeadership.mRecovers || mRecoveryEnd || !AreFormerLeadersGone()) {
    return;
  }
  if (mKnowsAllRecords && mSurveyState == survey_state::kOpen) {
    mSurveyState = survey_state::kComplete;
    mRecoveryEnd =
      std::min(std::max(aNow, mForgottenGrantsEnd), mLostGrantsEnd);
  } else {
    mRecoveryEnd = mLostGrantsEnd;
  }
}

void election_controller::HandleTermsWritten(const write_reply& aReply)
{
  const auto written = std::exchange(mPendingTerms, std::nullopt);
  if (!mLeading || !written) {
    return;
  }
  const bool isDone = aReply.mOutcome == call_outcome::kDone;
  if (isDone) {
    mTermsRevision = aReply.mRevision;
  }
  if (!written->mRecovered) {
    mProgressWriteFailed = !isDone;
    if (isDone) {
      mTerms = *written;
    }
    if (isDone && mPendingTermsComplete) {
      mLostGrantsEnd = std::min(mLostGrantsEnd, *mRecoveryEnd);
    } else if (isDone && mSurveyState == survey_state::kOpen) {
      mSurveyState = survey_state::kClosed;
    }
    return;
  }
  // After a conflict, either an earlier write took effect without a reply, or
  // this router no longer leads.
  if (isDone || aReply.mOutcome == call_outcome::kConflict) {
    mTerms = *written;
  }
}

void election_controller::HandleRecordsWritten()
{
  mRecordsWritten = true;
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
  RemoveLeadersOfLostEras(aNow);
  if (aNow >= formerLeadersEnd) {
    mKnowsAllRecords &= AreFormerLeadersGone();
    mFormerLeaders.clear();
    mMayHaveUnknownLeaders = false;
  }
  SetRecoveryEndIfKnown(aNow);
  if (aNow >= mNextRenewalAt) {
    mNextRenewalAt = aNow + kLeaseRenewInterval;
    mActions.emplace_back(renew_lease{ mLease, mLeadership.mTerm });
    WriteTerms(aNow);
  }
  if (!AreFormerLeadersGone()) {
    if (aNow >= mNextAbdicationRequestAt) {
      mNextAbdicationRequestAt = aNow + kAbdicationInterval;
      for (const leader_entry& former : mFormerLeaders) {
        mActions.emplace_back(request_abdication{
          former, mLeadership.mTerm, mLeadership.mRecovers });
      }
    }
    AddStepTime(mNextAbdicationRequestAt);
    AddStepTime(formerLeadersEnd);
    if (mLeadership.mRecovers && aNow < LostLeadersRemovalTime()) {
      AddStepTime(LostLeadersRemovalTime());
    }
  }
  AddStepTime(mNextRenewalAt);
}

time_point election_controller::LostLeadersRemovalTime() const
{
  return std::max(mLostLeadersEnd, mLeadership.mSince + kMinSurveyTime);
}

void election_controller::RemoveLeadersOfLostEras(time_point aNow)
{
  if (!mLeadership.mRecovers || aNow < LostLeadersRemovalTime()) {
    return;
  }
  const size_t removed =
    std::erase_if(mFormerLeaders, [this](const leader_entry& aFormer) {
      return aFormer.mTerm.Value() < FirstNumberOf(mEra);
    });
  mKnowsAllRecords &= removed == 0 && !mMayHaveUnknownLeaders;
  mMayHaveUnknownLeaders = false;
}

bool election_controller::MustWriteProgress(time_point aNow) const
{
  if (mTerms.mLostGrantsExpireIn || mProgressWriteFailed ||
      aNow >= RecoveryDeadline()) {
    return false;
  }
  // A leader that keeps grants of the era before for longer than a successor
  // could know records them first, and the terms show before that the records
  // don't name all holders yet.
  const bool mustRecordKept =
    mSurveyState == survey_state::kOpen && mLeadership.mContinues &&
    aNow >= mUnrecordedGrantsUntil - kRecordKeptGrantsTime;
  return mustRecordKept ||
         (mSurveyState == survey_state::kComplete && mRecordsWritten);
}

void election_controller::WriteTerms(time_point aNow)
{
  if (mPendingTerms) {
    return;
  }
  leader_terms terms = mTerms;
  if (MustWriteProgress(aNow)) {
    mPendingTermsComplete = mSurveyState == survey_state::kComplete;
    terms.mLostGrantsExpireIn = RecoveryDeadline() - aNow;
  } else {
    const bool isCurrent = mTerms.mLeaders.size() <= 1 && mTerms.mRecovered;
    const bool isRecovering =
      !mTerms.mRecovered && (!mRecordsWritten || aNow < RecoveryDeadline());
    if (!AreFormerLeadersGone() || isCurrent || isRecovering) {
      return;
    }
    terms.mLeaders = { *mLeader };
    terms.mRecovered = true;
    terms.mLostGrantsExpireIn.reset();
  }
  conditional_write write;
  write.mConditions = { Condition(), { TermsKey(), mTermsRevision } };
  write.mWrites = { { TermsKey(), EncodeLeaderTerms(terms), lease_id(0) } };
  mPendingTerms = std::move(terms);
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
