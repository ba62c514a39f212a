#pragma once

#include "Parsleystair/Gateway/LeaderEntry.h"
#include "Parsleystair/KeyRanges/RangeController.h"

#include <optional>
#include <random>
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
};

/// Reads the `leader_terms`.
struct read_terms
{
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

  bool operator==(const request_abdication&) const = default;
};

/// Removes former leaders from the stored terms.
struct write_terms
{
  conditional_write mWrite;

  bool operator==(const write_terms&) const = default;
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
class election_controller
{
public:
  election_controller(election_settings aSettings, uint64_t aSeed);

  /// Handles the present state of the leader key in the store; `aItem` is empty
  /// if the key doesn't exist.
  void HandleKey(const std::optional<stored_item>& aItem, time_point aNow);

  /// `aItem` is empty if no terms are stored.
  void HandleTermsRead(call_outcome aOutcome,
                       const std::optional<stored_item>& aItem,
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
  /// The process at the former leader's address leads in no term before that of
  /// the request and sends no orders of such terms.
  void HandleAbdicated(const request_abdication& aRequest, time_point aNow);
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
    return mLeading && mFormerLeaders.empty();
  }
  /// Former leaders that may still send orders.
  [[nodiscard]] const std::vector<leader_entry>& FormerLeaders() const
  {
    return mFormerLeaders;
  }
  /// Write condition that holds only while this router leads.
  [[nodiscard]] item_condition Condition() const
  {
    return { mSettings.mLeaderKey, mRevision };
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

  [[nodiscard]] bool IsCampaigning() const;
  void ScheduleCampaign(time_point aTime);
  void AbandonCampaign(time_point aNow);
  void WriteLeaderIfReady();
  void HandleOwnEntry(const leader_entry& aEntry,
                      store_revision aRevision,
                      time_point aNow);
  void StartLeading(store_revision aRevision, time_point aNow);
  void StopLeading(const char* aReason);
  void Confirm(time_point aSentAt);
  void StepCampaign(time_point aNow);
  void StepLeadership(time_point aNow);
  void WriteTerms();
  void AddStepTime(time_point aTime);

  election_settings mSettings;
  std::mt19937_64 mRandom;
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
  /// Stored terms while this router leads, and their revision.
  leader_terms mTerms;
  store_revision mTermsRevision;
  bool mTermsWritePending = false;
  time_point mNextRenewalAt = time_point::min();
  time_point mNextAbdicationRequestAt = time_point::min();
  std::vector<election_action> mActions;
  std::optional<time_point> mNextStepTime;
};

} // namespace parsleystair
