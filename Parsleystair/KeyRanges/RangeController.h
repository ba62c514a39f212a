#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/KeyRanges/DecayingCount.h"
#include "Parsleystair/KeyRanges/KeyLimits.h"
#include "Parsleystair/KeyRanges/LoadReport.h"
#include "Parsleystair/KeyRanges/RangeActions.h"
#include "Parsleystair/KeyRanges/RangePlanner.h"
#include "Parsleystair/KeyRanges/ReadyMove.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace parsleystair {

struct range_settings
{
  /// Validity of a grant, counted from its last renewal.
  duration mGrantDuration = 3s;
  /// Time between renewals of a grant. When the leader fails, the next one has
  /// at least `mGrantDuration - mRenewInterval` to renew the grants before they
  /// expire.
  duration mRenewInterval = 800ms;
  /// Maximum age of the store's last confirmation of leadership at which
  /// renewals of grants still leave the leader. Together with `mGrantDuration`,
  /// this keeps grants valid through store outages of up to 9 s. If the leader
  /// and an owner fail together, the owner's keys stay unassigned for as long.
  duration mMaxConfirmationAgeToRenew = 7s;
  /// Maximum age of the store's last confirmation of leadership at which the
  /// leader still moves keys. A router that has lost leadership can't record a
  /// new owner, so a release that it sent would only interrupt the keys. It is
  /// also the maximum age at which connections are opened for grants: a target
  /// that restarts forgets its fences, so a router that has lost leadership
  /// must not reach the new process.
  duration mMaxConfirmationAgeToMove = 1500ms;
  /// Factor by which a target with a slow clock may hold a grant for longer
  /// than `mGrantDuration`.
  double mClockDriftFactor = 1.02;
  /// Maximum time for which the network holds bytes that were sent, as in the
  /// queue of an overloaded link. An order without an answer may be taken this
  /// long after its connection was closed.
  duration mMaxNetworkDelay = 4s;
  /// Maximum time for which the operating system of a process that was killed
  /// resends what the process has written: the TCP user timeout.
  duration mMaxResendTime = 600ms;
  /// Time from the first registration of a target to the first assignment of
  /// keys, so that all targets can register.
  duration mInitialAssignmentDelay = 1s;

  /// Longest time for which a target holds a grant after the order's arrival.
  [[nodiscard]] duration MaxHoldTime() const
  {
    return std::chrono::duration_cast<duration>(mGrantDuration *
                                                mClockDriftFactor);
  }
  /// Longest time for which a target holds a grant after the last order of a
  /// former leader was sent.
  [[nodiscard]] duration MaxFormerGrantLifetime() const
  {
    return mMaxResendTime + mMaxNetworkDelay + MaxHoldTime();
  }
};

/// Period in which a router leads.
struct leadership
{
  term_number mTerm;
  /// Time at which the last request that the store answered with a confirmation
  /// of the leadership was sent; `time_point::min()` if there is none.
  time_point mConfirmedAt = time_point::min();
  /// Time at which this router learned that it leads. All former leaders were
  /// confirmed for the last time before.
  time_point mSince = time_point::min();
  /// The store was restored from an older copy and the records may not name all
  /// holders of keys, until `range_controller::HandleRecordsRecovered`.
  bool mRecovers = false;
  /// This router led when the store was restored, and no other router has led
  /// since.
  bool mContinues = false;

  bool operator==(const leadership&) const = default;
};

/// Assigns the keys of one service to targets. Only the controller of the
/// router that leads is active.
///
/// Keys change owner in three steps, each of which a later leader may repeat:
/// 1. The old owner releases the keys, or its grant expires.
/// 2. The new owner is written to the record with a higher fence.
/// 3. The keys are granted to the new owner.
/// Grants always follow the record, so that two routers that both believe that
/// they lead renew the same grants.
class range_controller
{
public:
  explicit range_controller(const range_settings& aSettings);

  /// Former leaders may still renew grants for `mMaxConfirmationAgeToRenew`
  /// after `aLeadership.mSince`. The record must have been read after that
  /// time.
  void StartLeading(const leadership& aLeadership);
  /// Orders without a result must be cancelled before `aNow`.
  void StopLeading(time_point aNow);

  /// The store confirmed that this router leads; the request for the
  /// confirmation was sent at `aAskedAt`.
  void HandleLeadershipConfirmed(time_point aAskedAt);

  /// No former leader sends orders after `aNow`.
  void HandleFormerLeadersGone(time_point aNow);

  /// In a leadership that recovers, the records that were handed over before
  /// `aFrom` name every target that holds keys from then on.
  void HandleRecordsRecovered(time_point aFrom);

  /// In a leadership that recovers, the record may be written in the present
  /// era before it names every target that holds keys.
  void HandleRecordWritable();

  /// Takes over the record in the store. Revisions that are not newer than the
  /// known one are ignored. A record of a later term ends the leadership.
  void HandleRecord(const range_record& aRecord, store_revision aRevision);

  /// Replaces the list of the service's known targets.
  void HandleTargets(const std::vector<const known_target*>& aTargets,
                     time_point aNow);

  void HandleLoad(const service_load& aLoad, time_point aNow);

  void HandleGrantResult(order_id aOrder,
                         order_result aResult,
                         time_point aNow);
  void HandleReleaseResult(order_id aOrder,
                           order_result aResult,
                           const std::string& aHandover,
                           time_point aNow);
  /// `aRevision` is the revision of the written record; it is read only if
  /// `aWritten` is true. Results of writes other than the pending one are
  /// ignored, as the store's watch reports what they wrote.
  void HandleWriteResult(order_id aWrite,
                         bool aWritten,
                         store_revision aRevision,
                         time_point aNow);

  /// Returns the actions that are due now. Call `Step` after each event and at
  /// the time that `NextStepTime` returns.
  std::vector<range_action> Step(time_point aNow);

  /// Time at which `Step` must be called if no event occurs before; empty while
  /// this router does not lead.
  [[nodiscard]] std::optional<time_point> NextStepTime() const;

  [[nodiscard]] bool IsLeading() const { return mLeading; }
  /// Whether another router has written the record in a later term than that of
  /// this router's leadership.
  [[nodiscard]] bool IsSuperseded() const { return mRecord.mTerm > mTerm; }
  [[nodiscard]] const range_record& Record() const { return mRecord; }
  /// Revision of the record in the store; 0 if there is none.
  [[nodiscard]] store_revision RecordRevision() const { return mRevision; }
  [[nodiscard]] size_t PendingMoves() const { return mMoves.size(); }

  /// Limits for the keys of owners that get more requests than they can serve.
  [[nodiscard]] key_limits Limits(time_point aNow);

  /// Returns the moves that the steps since the last call found ready.
  std::vector<ready_move> TakeReadyMoves();

private:
  /// State of a target that owns keys or may get them.
  struct owner_state
  {
    discovered_target mTarget;
    /// Whether the target has an entry in the directory; others lose their
    /// keys.
    bool mRegistered = false;
    bool mUsable = false;
    /// End of the slow start in which the target gets only few requests.
    time_point mLimitedUntil = time_point::min();
    /// The target's failure domain is evacuated: its keys move to others, as
    /// far as there are any.
    bool mEvacuated = false;
    /// Time at which the last grant call that may have reached the target
    /// ended.
    time_point mLastGrantTime = time_point::min();
    /// Latest time at which a grant that was sent may arrive at the target.
    time_point mLastGrantArrival = time_point::min();
    /// Highest fence that the target may have accepted, and highest fence that
    /// must not be granted again, as the target may have restarted since.
    fence mGrantedFence;
    fence mRetiredFence;
    time_point mNextFenceChangeTime = time_point::min();
    /// Most recent latencies that the routers reported, in milliseconds.
    std::deque<uint32_t> mLatencies;
    /// Responses that the routers reported, and the highest rate of them, which
    /// falls slowly.
    decaying_count mResponses;
    double mMaxResponseRate = 0;
    time_point mMaxResponseRateAt = time_point::min();
    /// Time of the first failed grant since the last accepted one.
    std::optional<time_point> mFailingSince;
  };

  /// Change of the owner or the fence of some keys.
  struct move
  {
    key_interval mKeys;
    /// The name is empty if the keys have no owner.
    target_incarnation mOldOwner;
    fence mOldFence;
    /// New owner, if the planner has chosen it already; else empty.
    target_name mNewOwner;
    /// The owner keeps the keys and gets a new fence.
    bool mKeepsOwner = false;
    /// Set if the move only waits for the write of the record.
    std::optional<ready_reason> mReady;
    /// Whether `mReadyMoves` has had the move.
    bool mReported = false;
    std::string mHandover;
    /// Time at which the old owner's grant has expired at the latest.
    time_point mGrantExpiry;
    std::optional<order_id> mPendingRelease;
    time_point mNextReleaseTime = time_point::min();
  };

  struct pending_grant
  {
    target_name mTarget;
    key_interval mKeys;
    fence mFence;
    /// Time of the decision; the order is sent later.
    time_point mDecidedAt;
  };

  void RemoveFormerLeaderGrants(const target_name& aTarget,
                                const key_interval& aKeys);
  void HandleFenced(const pending_grant& aGrant, time_point aNow);
  /// `aMaxDelay`: time after `aEnd` at which the grant may still arrive.
  void RecordGrantCall(const pending_grant& aGrant,
                       time_point aEnd,
                       duration aMaxDelay);
  void ClearPendingWork();
  void KeepOwnGrants();
  void RemoveKeptGrant(const key_interval& aKeys);
  void StepKeptGrants(time_point aNow, std::vector<range_action>& aActions);
  void AddRequiredMoves(time_point aNow);
  void AddMove(const key_interval& aKeys,
               const owned_range* aOwner,
               const target_name& aTo,
               time_point aNow);
  void AddFenceChanges(const target_name& aOwner);
  void AddFenceChange(const key_interval& aKeys, const owned_range& aRange);
  void AddBalanceMoves(time_point aNow);
  void StepMoves(time_point aNow, std::vector<range_action>& aActions);
  void ReportReadyMoves(time_point aNow);
  void StepWrite(time_point aNow, std::vector<range_action>& aActions);
  void StepGrants(time_point aNow, std::vector<range_action>& aActions);
  void GrantKeys(const key_interval& aKeys,
                 const owned_range& aRange,
                 time_point aSendUntil,
                 time_point aConnectUntil,
                 time_point aNow,
                 std::vector<range_action>& aActions);
  /// Whether the record of the present era names a grant.
  [[nodiscard]] bool IsRecorded(const owned_range& aGrant) const;
  void ApplyMove(const move& aMove,
                 range_record& aRecord,
                 std::vector<owner_candidate>& aCandidates) const;
  [[nodiscard]] std::vector<owner_candidate> OwnerCandidates(
    time_point aNow) const;
  /// Requests in a second that an owner can be sent, so that a queue before it
  /// becomes short.
  [[nodiscard]] static double AdmittedRate(const owner_state& aOwner);
  static void CountResponses(owner_state& aOwner,
                             size_t aCount,
                             time_point aNow);
  /// Requests that a target can serve in a millisecond.
  [[nodiscard]] static double CapacityOf(const owner_state& aOwner);
  /// Whether the recorded fence must not be granted to the owner any more.
  [[nodiscard]] bool NeedsNewFence(const owned_range& aRange) const;
  [[nodiscard]] bool MustMove(const owned_range& aRange, time_point aNow) const;
  /// Whether a target gets no keys, and loses its own, as it is in slow start
  /// and others can serve them.
  [[nodiscard]] bool IsSparedInSlowStart(const owner_state& aState,
                                         time_point aNow) const;
  /// Whether the owner goes on getting grants of the keys until they move.
  [[nodiscard]] bool MayKeep(const owned_range& aRange, time_point aNow) const;
  /// Whether a target may be chosen as the new owner of keys.
  [[nodiscard]] static bool IsCandidate(const owner_state& aState);
  [[nodiscard]] bool HasCandidate() const;
  [[nodiscard]] bool IsFailing(const owner_state& aState,
                               time_point aNow) const;
  [[nodiscard]] bool HasOwnerRestarted(const target_incarnation& aOwner) const;
  /// Whether former leaders may have granted some of the keys to the owner.
  [[nodiscard]] bool HasFormerLeaderGrant(const target_name& aOwner,
                                          const key_interval& aKeys) const;
  [[nodiscard]] time_point RangeExpiry(const owned_range& aRange,
                                       time_point aNow) const;
  /// Latest expiry of this router's grants to a target.
  [[nodiscard]] time_point GrantExpiry(const owner_state& aOwner) const;
  [[nodiscard]] bool HasPendingGrant(const target_name& aTarget,
                                     const key_interval& aKeys) const;
  [[nodiscard]] std::vector<key_interval> SubtractMoves(
    const key_interval& aKeys) const;
  [[nodiscard]] bool MayRenew(time_point aNow) const;
  [[nodiscard]] bool MayMove(time_point aNow) const;
  /// Fence for the next change of the record.
  [[nodiscard]] uint64_t NextFence() const;

  range_settings mSettings;
  bool mLeading = false;
  term_number mTerm;
  time_point mLeadershipConfirmedAt = time_point::min();
  /// Time until which former leaders may renew grants.
  time_point mFormerLeaderRenewsUntil = time_point::min();
  /// Time until which former leaders may open connections to targets.
  time_point mFormerLeaderConnectsUntil = time_point::min();
  /// Next fence of the record when this router became the leader. Lower fences
  /// were assigned by former leaders.
  uint64_t mFirstOwnFence = 0;
  /// Keys that former leaders may still grant to their owners.
  std::vector<owned_range> mFormerLeaderGrants;
  /// Time until which targets may hold keys without being named by the record.
  time_point mRecoversUntil = time_point::min();
  bool mMayWriteWhileRecovering = false;
  /// Keys that this router granted before a restore of the store and that can
  /// have got no other owner.
  std::vector<owned_range> mKeptGrants;
  /// Last confirmation of the leadership in which these keys were granted.
  time_point mKeptGrantsConfirmedAt = time_point::min();
  range_record mRecord;
  store_revision mRevision;
  key_load mLoad;
  std::map<target_name, owner_state> mOwners;
  std::optional<time_point> mFirstRegistration;
  std::vector<move> mMoves;
  std::vector<ready_move> mReadyMoves;
  std::optional<range_record> mPendingRecord;
  order_id mPendingWrite;
  time_point mNextWriteTime = time_point::min();
  time_point mNextBalanceTime = time_point::min();
  uint64_t mNextOrderId = 1;
  std::map<order_id, pending_grant> mPendingGrants;
  /// Time of the next grant of a range of keys, by the first key of the range.
  std::map<uint32_t, time_point> mNextGrantTimes;
  time_point mNextStepTime = time_point::min();
};

} // namespace parsleystair
