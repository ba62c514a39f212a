#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/KeyRanges/LoadReport.h"
#include "Parsleystair/KeyRanges/RangeActions.h"
#include "Parsleystair/KeyRanges/RangePlanner.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace parsleystair {

struct range_settings
{
  /// Time for which a grant holds unless it is renewed.
  duration mHold = 3s;
  /// Time between renewals. A new leader has `mHold` less this to take over
  /// before grants run out.
  duration mRenewInterval = 800ms;
  /// Longest time for which a leader renews grants though the store does not
  /// confirm that it leads. With the hold, bridges outages of the store of up
  /// to 9 s; the keys of an owner that is lost together with the leader wait as
  /// long.
  duration mMaxConfirmationAgeToRenew = 7s;
  /// Longest age of the proof with which a leader takes keys away. An owner
  /// that a router without the lead released would be without its keys for
  /// nothing.
  duration mMaxConfirmationAgeToMove = 1500ms;
  /// How slow a target's clock may run, as a factor of its holds.
  double mClockDriftFactor = 1.02;
  /// Longest time between the end of an unanswered call and its arrival.
  duration mMaxDeliveryDelay = 300ms;
  /// Wait for all targets to register before the first keys are given out.
  duration mInitialAssignmentDelay = 1s;
};

/// Decides who owns the keys of one service, as the one leader of all routers.
///
/// Keys get a new owner in three steps, each of which may be repeated by
/// another leader: the old owner releases them or its grant runs out; the
/// record names the new owner with a higher fence; the new owner is granted
/// them. Grants are given only as the record says, so that two leaders that
/// don't know of each other renew the same grants.
class range_controller
{
public:
  explicit range_controller(const range_settings& aSettings);

  /// This router leads from `aSince` on. Earlier leaders may renew grants for
  /// `mMaxConfirmationAgeToRenew` after that.
  void StartLeading(time_point aSince);
  void StopLeading();

  /// The store confirmed at `aAskedAt` that this router leads.
  void HandleProof(time_point aAskedAt);

  /// No earlier leader can renew grants after `aNow`.
  void HandleFormerLeaderGone(time_point aNow);

  /// The record as the store holds it; older revisions are ignored.
  void HandleRecord(const range_record& aRecord, store_revision aRevision);

  /// Targets of the service as they are known now.
  void HandleTargets(const std::vector<const known_target*>& aTargets,
                     time_point aNow);

  void HandleLoad(const service_load& aLoad, time_point aNow);

  void HandleGrantEnd(order_id aOrder, order_end aResult, time_point aNow);
  void HandleReleaseEnd(order_id aOrder,
                        order_end aResult,
                        const std::string& aHandover,
                        time_point aNow);
  /// `aRevision`: of the record, when it was written. The end of an earlier
  /// write than the last one is ignored: the store tells what it wrote.
  void HandleWriteEnd(order_id aWrite,
                      bool aWritten,
                      store_revision aRevision,
                      time_point aNow);

  /// All that is to be done now. Call again after each event and at `NextStep`.
  std::vector<range_action> Step(time_point aNow);

  /// Time of the next step that no event starts; none while not leading.
  [[nodiscard]] std::optional<time_point> NextStep() const;

  [[nodiscard]] bool IsLeading() const { return mLeading; }
  [[nodiscard]] const range_record& Record() const { return mRecord; }
  [[nodiscard]] size_t OpenMoves() const { return mMoves.size(); }

private:
  /// What is known of a target that owns or may own keys.
  struct owner_state
  {
    discovered_target mTarget;
    /// It has an entry in the directory and may get keys.
    bool mRegistered = false;
    bool mUsable = false;
    /// Latest time at which a grant of this router may have arrived.
    time_point mLastGrantTime = time_point::min();
    /// Highest fence that the target may have taken, and the highest one that
    /// it must not be given again, as it may have restarted since.
    fence mGrantedFence;
    fence mRetiredFence;
    time_point mNextFenceChangeTime = time_point::min();
    /// Most recent latencies of all routers, in milliseconds.
    std::deque<uint32_t> mLatencies;
    /// First of the failed grants since the last accepted one.
    std::optional<time_point> mFailingSince;
  };

  /// Keys on their way to a new owner.
  struct move
  {
    key_interval mKeys;
    /// Empty name: nobody owns the keys.
    target_incarnation mOldOwner;
    fence mOldFence;
    /// The new owner, if the planner chose it already.
    target_name mNewOwner;
    /// The owner stays and gets a new fence.
    bool mKeepsOwner = false;
    bool mReady = false;
    std::string mHandover;
    /// End of the old owner's grant.
    time_point mGrantExpiry;
    std::optional<order_id> mPendingRelease;
    time_point mNextReleaseTime = time_point::min();
  };

  struct pending_grant
  {
    target_name mTarget;
    key_interval mKeys;
    fence mFence;
  };

  void RemoveFormerLeaderGrants(const target_name& aTarget,
                                const key_interval& aKeys);
  void HandleFenced(const pending_grant& aGrant, time_point aNow);
  void ClearPendingWork();
  void AddRequiredMoves(time_point aNow);
  void AddMove(const key_interval& aKeys,
               const owned_range* aOwner,
               const target_name& aTo,
               time_point aNow);
  void AddFenceChanges(const target_name& aOwner);
  void AddFenceChange(const key_interval& aKeys, const owned_range& aRange);
  void AddBalanceMoves(time_point aNow);
  void StepMoves(time_point aNow, std::vector<range_action>& aActions);
  void StepWrite(time_point aNow, std::vector<range_action>& aActions);
  void StepGrants(time_point aNow, std::vector<range_action>& aActions);
  void GrantKeys(const key_interval& aKeys,
                 const owned_range& aRange,
                 time_point aNow,
                 std::vector<range_action>& aActions);
  void ApplyMove(const move& aMove,
                 range_record& aRecord,
                 std::vector<owner_candidate>& aCandidates) const;
  [[nodiscard]] std::vector<owner_candidate> OwnerCandidates(
    time_point aNow) const;
  [[nodiscard]] static double CapacityOf(const owner_state& aOwner);
  /// The owner must not get its keys with the recorded fence any more.
  [[nodiscard]] bool NeedsNewFence(const owned_range& aRange) const;
  [[nodiscard]] bool MustMove(const owned_range& aRange, time_point aNow) const;
  [[nodiscard]] bool IsFailing(const owner_state& aState,
                               time_point aNow) const;
  [[nodiscard]] bool HasOwnerRestarted(const target_incarnation& aOwner) const;
  [[nodiscard]] time_point RangeExpiry(const owned_range& aRange,
                                       time_point aNow) const;
  /// End of a grant that arrived at a time at the latest.
  [[nodiscard]] time_point GrantExpiry(time_point aGranted) const;
  [[nodiscard]] bool HasPendingGrant(const target_name& aTarget,
                                     const key_interval& aKeys) const;
  [[nodiscard]] std::vector<key_interval> SubtractMoves(
    const key_interval& aKeys) const;
  [[nodiscard]] bool MayRenew(time_point aNow) const;
  [[nodiscard]] bool MayMove(time_point aNow) const;

  range_settings mSettings;
  bool mLeading = false;
  time_point mLeadershipConfirmedAt = time_point::min();
  /// Earlier leaders may renew grants until then.
  time_point mFormerLeaderRenewsUntil = time_point::min();
  /// Fences from this one on were given out by this leader.
  uint64_t mFirstOwnFence = 0;
  /// Keys that their owners may still get from earlier leaders.
  std::vector<owned_range> mFormerLeaderGrants;
  range_record mRecord;
  store_revision mRevision;
  key_load mLoad;
  std::map<target_name, owner_state> mOwners;
  std::optional<time_point> mFirstRegistration;
  std::vector<move> mMoves;
  std::optional<range_record> mPendingRecord;
  order_id mPendingWrite;
  time_point mNextWriteTime = time_point::min();
  time_point mNextBalanceTime = time_point::min();
  uint64_t mNextOrderId = 1;
  std::map<order_id, pending_grant> mPendingGrants;
  /// Next renewal of the keys that begin at a number.
  std::map<uint32_t, time_point> mNextGrantTimes;
  time_point mNextStepTime = time_point::min();
};

} // namespace parsleystair
