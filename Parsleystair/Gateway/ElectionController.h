#pragma once

#include "Parsleystair/Core/StoreEra.h"
#include "Parsleystair/Gateway/LeaderEntry.h"
#include "Parsleystair/KeyRanges/RangeController.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace parsleystair {

struct election_settings
{
  /// Store key of the leader's entry, bound to the leader's lease.
  std::string mLeaderKey;
  /// Store key of the `leader_terms`. It must not begin with `mLeaderKey`, as
  /// routers watch that prefix.
  std::string mTermsKey;
  /// This router; term and lease are not used.
  leader_entry mSelf;
  /// How much later than other routers this router campaigns.
  duration mCampaignDelay{};
  /// Longest time for which a former leader sends orders after another router
  /// was elected.
  duration mMaxRenewalTime = range_settings().mMaxConfirmationAgeToRenew;
  /// Time after the end of a leader's process, or after it has stopped sending
  /// orders, at which all grants of it have expired.
  duration mGrantLifetime = range_settings().MaxFormerGrantLifetime();
  /// Start of this process.
  time_point mStartedAt = time_point::min();
};

/// Reads the `leader_terms` of all eras.
struct read_terms
{
  std::string mPrefix;

  bool operator==(const read_terms&) const = default;
};

struct open_lease
{
  bool operator==(const open_lease&) const = default;
};

/// Writes the leader's entry and the terms together.
struct write_leader
{
  leader_entry mEntry;
  conditional_write mWrite;

  bool operator==(const write_leader&) const = default;
};

struct renew_lease
{
  lease_id mLease;
  /// Term of the leadership that the lease is for. A restored store may assign
  /// the number of the lease again.
  term_number mTerm;

  bool operator==(const renew_lease&) const = default;
};

struct end_lease
{
  lease_id mLease;

  bool operator==(const end_lease&) const = default;
};

/// Asks the process at the address of a former leader to stop leading in all
/// terms before `mBefore` and to cancel its orders.
struct request_abdication
{
  leader_entry mLeader;
  term_number mBefore;
  /// Asks also for the ownership records that the process knows.
  bool mAsksRecords = false;

  bool operator==(const request_abdication&) const = default;
};

/// Removes former leaders from the stored terms.
struct write_terms
{
  conditional_write mWrite;

  bool operator==(const write_terms&) const = default;
};

/// Reply of a router to `request_abdication`: it leads in no term before that
/// of the request and sends no orders of such terms.
struct abdication_reply
{
  /// Time after which all grants have expired that an earlier process at the
  /// router's address may have made, if the records that the router has told
  /// don't name them.
  duration mForgottenGrantsExpireIn{};
  /// See `election_controller::LostGrantsExpireIn`.
  std::optional<duration> mLostGrantsExpireIn;
  /// Addresses of all routers that the router knows.
  std::vector<std::string> mRouters;

  bool operator==(const abdication_reply&) const = default;
};

/// What a router tells others of a restore that it saw.
struct lost_grants
{
  store_era mEra;
  /// See `election_controller::LostGrantsExpireIn`.
  duration mExpireIn{};

  bool operator==(const lost_grants&) const = default;
};

using election_action = std::variant<read_terms,
                                     open_lease,
                                     write_leader,
                                     renew_lease,
                                     end_lease,
                                     request_abdication,
                                     write_terms>;

/// Elects at most one router as the leader through a store key that is bound to
/// a lease.
///
/// A router may believe that it leads for some time after its lease ended. Each
/// write of a leader is therefore conditional on the revision of the leader
/// key, and each leader records its term in the store before it sends orders.
/// A new leader asks all recorded leaders to abdicate. Only when all have, or
/// when the longest time for which they send orders has passed, former leaders
/// are gone.
///
/// A store that was restored from an older copy has forgotten leaders and
/// ownership records. The next leader therefore recovers: it takes every router
/// that it knows for a former leader, and asks each for the records that it
/// knows. Until all have told, or until every grant of a former leader must
/// have expired, the records don't name all holders of keys. The latter time
/// counts from the restore, whichever router leads since.
class election_controller
{
public:
  election_controller(election_settings aSettings, uint64_t aSeed);

  /// The store has come back from an older copy in the era `aEra`. This router
  /// leads no more.
  void HandleEra(const store_era& aEra, time_point aNow);

  /// `aHosts`: addresses of all live routers, as the leader knows them now.
  void HandleRouters(const std::vector<std::string>& aHosts, time_point aNow);

  /// Addresses of routers that were live or leading some time ago, and so may
  /// still send orders.
  [[nodiscard]] std::vector<std::string> KnownRouters(time_point aNow) const;

  /// Name of the leader key in the present era.
  [[nodiscard]] std::string LeaderKey() const
  {
    return NameInEra(mSettings.mLeaderKey, mEra);
  }

  /// Handles the present state of the leader key in the store; `aItem` is empty
  /// if the key doesn't exist.
  void HandleKey(const std::optional<stored_item>& aItem, time_point aNow);

  /// `aItems`: terms of all eras that are stored.
  void HandleTermsRead(call_outcome aOutcome,
                       const std::vector<stored_item>& aItems,
                       time_point aNow);
  void HandleLeaseOpened(const lease_reply& aReply, time_point aNow);
  /// `aSentAt`: time at which the write was sent.
  void HandleLeaderWritten(const leader_entry& aWritten,
                           const write_reply& aReply,
                           time_point aSentAt,
                           time_point aNow);
  void HandleLeaseRenewed(const renew_lease& aRenewal,
                          call_outcome aOutcome,
                          time_point aSentAt,
                          time_point aNow);
  void HandleAbdicated(const request_abdication& aRequest,
                       const abdication_reply& aReply,
                       time_point aNow);
  /// What another router has told in a report or in the response to one.
  void HandleLostGrants(const lost_grants& aTold, time_point aNow);
  /// This router has written all ownership records in the present era.
  void HandleRecordsWritten();
  /// `aReply`: to a write of the present leadership.
  void HandleTermsWritten(const write_reply& aReply);

  /// Stops leading without waiting for the store, because another router leads
  /// in a later term than this router. `aBefore`: that term; if empty, any term
  /// of this router ends.
  void StepDown(std::optional<term_number> aBefore);

  /// Stops leading and never campaigns again.
  void Resign();

  /// Returns the actions that are due now. Call `Step` after each event and at
  /// the time that `NextStepTime` returns.
  std::vector<election_action> Step(time_point aNow);
  [[nodiscard]] std::optional<time_point> NextStepTime() const;

  [[nodiscard]] bool IsLeading() const { return mLeading; }
  /// Term, start and last confirmation of the current leadership.
  [[nodiscard]] const leadership& Leadership() const { return mLeadership; }
  /// Whether no former leader sends orders any more.
  [[nodiscard]] bool AreFormerLeadersGone() const
  {
    return mLeading && mFormerLeaders.empty() && !mMayHaveUnknownLeaders;
  }
  /// Time from which on the records name all holders of keys, in a leadership
  /// that recovers; empty while it isn't known.
  [[nodiscard]] std::optional<time_point> RecoveryEnd() const
  {
    return mRecoveryEnd;
  }
  /// Latest end of a leadership's recovery, as far as it is known now;
  /// `time_point::min()` in a leadership that doesn't recover.
  [[nodiscard]] time_point RecoveryDeadline() const;
  /// Whether a leader that recovers may write records in the present era
  /// before its recovery has ended.
  [[nodiscard]] bool MayWriteRecords() const
  {
    return mSurveyState != survey_state::kOpen;
  }
  /// Time after which all grants have expired that an earlier process at this
  /// router's address may have made: this process can't tell their records.
  [[nodiscard]] duration ForgottenGrantsExpireIn(time_point aNow) const;
  /// Time after which all grants of earlier eras have expired that the records
  /// in the store don't name; empty if the era of `aTerm` isn't the era that
  /// this router knows.
  [[nodiscard]] std::optional<duration> LostGrantsExpireIn(
    term_number aTerm,
    time_point aNow) const;
  /// What this router tells in reports and their responses; empty in the first
  /// era.
  [[nodiscard]] std::optional<lost_grants> LostGrants(time_point aNow) const;
  /// Former leaders that may still send orders.
  [[nodiscard]] const std::vector<leader_entry>& FormerLeaders() const
  {
    return mFormerLeaders;
  }
  /// Write condition that holds only while this router leads.
  [[nodiscard]] item_condition Condition() const
  {
    return { LeaderKey(), mRevision };
  }
  /// The recorded leader: this router or another one.
  [[nodiscard]] const std::optional<leader_entry>& Leader() const
  {
    return mLeader;
  }
  /// Why the last leadership ended.
  [[nodiscard]] const char* EndReason() const { return mEndReason; }
  [[nodiscard]] store_revision Revision() const { return mRevision; }

private:
  /// Attempt of this router to become the leader.
  struct campaign
  {
    /// Terms as read from the store, then as written.
    std::optional<leader_terms> mTerms;
    /// Revision of the terms that were read.
    store_revision mTermsRevision;
    std::optional<lease_id> mLease;
    /// Entry that is being written; empty before the write is sent.
    std::optional<leader_entry> mEntry;
    /// Whether the write has ended with an unknown outcome.
    bool mOutcomeUnknown = false;
  };

  /// Whether this leader still finds out which records the store has lost.
  enum class survey_state : uint8_t
  {
    kOpen,
    /// All routers that may have led have told their records.
    kComplete,
    /// Records were written in this era before all routers had told theirs.
    /// What they tell later doesn't shorten the recovery.
    kClosed,
  };

  [[nodiscard]] bool IsCampaigning() const;
  [[nodiscard]] std::string TermsKey() const
  {
    return NameInEra(mSettings.mTermsKey, mEra);
  }
  /// How much later than usual this router campaigns, so that the leader of the
  /// time before a restore is elected again if it lives, or else a router that
  /// remembers what the store has lost.
  [[nodiscard]] duration RecoveryCampaignDelay(time_point aNow) const;
  /// Whether this router has followed the list of live routers for longer than
  /// any order or grant of a former leader lasts.
  [[nodiscard]] bool KnowsAllRouters(time_point aNow) const;
  /// Takes routers for former leaders that this leader hasn't asked yet.
  void AddPossibleLeaders(const std::vector<std::string>& aHosts);
  void RememberLeader(const leader_entry& aLeader, time_point aNow);
  void SetRecoveryEndIfKnown(time_point aNow);
  void LimitLostGrants(duration aExpireIn, time_point aNow);
  void ScheduleCampaign(time_point aTime);
  void AbandonCampaign(time_point aNow);
  void WriteLeaderIfReady(time_point aNow);
  void HandleOwnEntry(const leader_entry& aEntry,
                      store_revision aRevision,
                      time_point aNow);
  void StartLeading(store_revision aRevision, time_point aNow);
  void StopLeading(const char* aReason);
  void Confirm(time_point aSentAt);
  void StepCampaign(time_point aNow);
  void StepLeadership(time_point aNow);
  /// Time from which a leader that recovers asks routers no more that led in an
  /// earlier era at most.
  [[nodiscard]] time_point LostLeadersRemovalTime() const;
  void RemoveLeadersOfLostEras(time_point aNow);
  void WriteTerms(time_point aNow);
  /// Whether the stored terms are to show how far the recovery is, so that a
  /// successor doesn't begin again.
  [[nodiscard]] bool MustWriteProgress(time_point aNow) const;
  void AddStepTime(time_point aTime);

  election_settings mSettings;
  std::mt19937_64 mRandom;
  store_era mEra = kFirstEra;
  /// Whether this router led when the present era began.
  bool mLedBeforeEra = false;
  /// Whether any router has led in the present era.
  bool mEraHasLeader = false;
  /// Addresses of routers and the time at which each was live last.
  std::map<std::string, time_point> mRouters;
  /// Time from which and until which this router has followed the list of live
  /// routers.
  time_point mRouterListFrom = time_point::min();
  time_point mRouterListUntil = time_point::min();
  std::optional<leader_entry> mLeader;
  /// The last leader that is known from the leader key only, as it wrote no
  /// term.
  std::optional<leader_entry> mLeaderWithoutTerm;
  /// The state of the leader key has been received at least once.
  bool mKeyObserved = false;
  bool mKeyExists = false;
  bool mResigned = false;
  std::optional<campaign> mCampaign;
  std::optional<time_point> mNextCampaignAt;
  bool mLeading = false;
  leadership mLeadership;
  store_revision mRevision;
  lease_id mLease;
  const char* mEndReason = "";
  std::vector<leader_entry> mFormerLeaders;
  /// Addresses of the possible leaders that this leader asks or has asked.
  std::set<std::string> mAskedRouters;
  /// Routers that this one has never heard of may send orders.
  bool mMayHaveUnknownLeaders = false;
  /// All former leaders have told the records that they know.
  bool mKnowsAllRecords = false;
  /// Time at which all grants have expired that earlier processes at the
  /// addresses of former leaders may have made.
  time_point mForgottenGrantsEnd = time_point::min();
  survey_state mSurveyState = survey_state::kOpen;
  std::optional<time_point> mRecoveryEnd;
  bool mRecordsWritten = false;
  /// Time at which no leader of an earlier era sends orders any more.
  time_point mLostLeadersEnd = time_point::min();
  /// Time at which all grants of earlier eras have expired that the records in
  /// the store don't name.
  time_point mLostGrantsEnd = time_point::min();
  /// Time until which this router may renew grants of the era before without
  /// having recorded them in the present era.
  time_point mUnrecordedGrantsUntil = time_point::min();
  /// Stored terms while this router leads, and their revision.
  leader_terms mTerms;
  store_revision mTermsRevision;
  std::optional<leader_terms> mPendingTerms;
  /// The records that are written name all holders of keys once the time in
  /// `mPendingTerms` has passed.
  bool mPendingTermsComplete = false;
  bool mProgressWriteFailed = false;
  time_point mNextRenewalAt = time_point::min();
  time_point mNextAbdicationRequestAt = time_point::min();
  std::vector<election_action> mActions;
  std::optional<time_point> mNextStepTime;
};

} // namespace parsleystair
