#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipSettings.h"
#include "Parsleystair/Ownership/RouterTable.h"

#include <map>
#include <optional>
#include <set>

namespace parsleystair {

/// How far a move has come in the eyes of this router.
struct move_progress
{
  /// Record with which this router first saw the slot moving, and when.
  store_revision mRevision;
  time_point mSeenAt;
  /// When enough holders knew that record that no older one can be confirmed.
  std::optional<time_point> mQuorumAckedAt;
  /// The old owner has accepted the loss and runs no request of the slot.
  bool mReleased = false;

  bool operator==(const move_progress&) const = default;
};

/// A write whose outcome is not known yet.
struct pending_write
{
  store_revision mExpected;
  group_record mRecord;
  time_point mSentAt;

  bool operator==(const pending_write&) const = default;
};

/// The newest known record of one group and what this router may conclude from
/// it.
class group_state
{
public:
  group_state(group_index aGroup, const ownership_settings& aSettings);

  [[nodiscard]] const group_record& Record() const { return mRecord; }
  [[nodiscard]] bool Exists() const
  {
    return mRecord.mRevision > store_revision();
  }

  /// Takes over a newer record. False when it is not newer.
  bool ApplyRecord(const group_record& aRecord, time_point aNow);

  /// Notes that the store has a record of this revision that does not parse;
  /// it ends all authority of older ones.
  void HandleUnreadableRecord(store_revision aRevision);

  /// The store showed no newer record; asked at `aAskedAt`.
  void HandleStoreConfirmation(time_point aAskedAt);

  /// A holder knows no newer record than `aRevision`; asked at `aAskedAt`.
  void HandleHolderConfirmation(const vm_name& aHolder,
                                store_revision aRevision,
                                time_point aAskedAt);

  /// Updates authority and the progress of moves after any of: confirmation,
  /// acknowledgement, new record, change of the view of routers.
  void Update(const router_table& aRouters, time_point aNow);

  /// A holder knows this or a newer record; answer to an announcement that was
  /// sent at `aSentAt`.
  void HandleAck(const vm_name& aHolder,
                 store_revision aRevision,
                 time_point aSentAt);

  /// Another router that knows the group's newest record gave its record;
  /// counts towards being ready after a restart.
  void HandleFetchedRecord(const vm_name& aVm);

  /// True when this router may confirm: its memory covers all that it
  /// acknowledged in earlier lives.
  [[nodiscard]] bool IsReady() const { return mReady; }

  /// When the newest proof was asked for.
  [[nodiscard]] std::optional<time_point> ConfirmedAt() const;

  /// Grants of this group may be sent before this time, and only to target
  /// processes that were first heard of before the proof was asked for.
  [[nodiscard]] time_point AuthorityUntil() const;

  /// Newest revision that this router knows of.
  [[nodiscard]] store_revision NewestRevision() const
  {
    return mNewestRevision;
  }

  /// Live holders, other than self, whose acknowledgement of the newest record
  /// is missing or about to end.
  [[nodiscard]] std::vector<vm_name> Unacknowledged(
    const router_table& aRouters,
    time_point aNow) const;

  /// True when no holder set can confirm a record older than `aRevision`.
  [[nodiscard]] bool IsQuorumAcked(store_revision aRevision,
                                   const router_table& aRouters,
                                   time_point aNow) const;

  [[nodiscard]] const std::map<slot_id, move_progress>& Progress() const
  {
    return mProgress;
  }

  /// The old owner of these slots, all but the busy ones, accepted a list at
  /// `aRevision` in reply to a message sent at `aSentAt`.
  void HandleAcceptedGrant(const target_id& aTarget,
                           store_revision aRevision,
                           const std::vector<slot_id>& aBusy,
                           time_point aSentAt);

  /// True when the slot may get its new owner. `aExtraWait` is added for
  /// targets that do not check grants.
  [[nodiscard]] bool CanFinishMove(const slot_id& aSlot,
                                   duration aExtraWait,
                                   time_point aNow) const;

  /// True when a wait or release has ended that may let a move finish.
  [[nodiscard]] bool HasFinishableMove(time_point aNow) const;

  /// Asserts that `aNext` may replace the known record: no owner changes
  /// without a release or a completed wait, and fences rise with each change.
  void CheckNextRecord(const group_record& aNext, time_point aNow) const;

  /// One write at a time; set while its outcome is open.
  std::optional<pending_write> mPendingWrite;
  /// Set while a write may or may not have happened: when that became known.
  std::optional<time_point> mReadBackSince;
  time_point mReadBackSentAt = time_point::min();
  /// When this router first saw work that a router before it in line left.
  std::optional<time_point> mChangePendingSince;
  time_point mAnnouncedAt = time_point::min();
  /// When to work out the next record again although nothing was heard.
  time_point mNextEvaluationAt = time_point::min();
  /// At-most-once records were copied since this router began to join.
  bool mRecordsCopied = false;
  /// Time up to which records could not be copied, since their holders were
  /// lost.
  std::optional<wall_time> mRecordsLostUntil;
  size_t mRank = 0;

private:
  [[nodiscard]] std::vector<vm_name> ReadyHolders() const;
  [[nodiscard]] bool HasAck(const vm_name& aHolder,
                            store_revision aRevision,
                            duration aValidity,
                            time_point aNow) const;
  void UpdateReady(const vm_name& aSelf);
  void UpdateHolderConfirmation(const vm_name& aSelf, time_point aNow);

  ownership_settings mSettings;
  group_record mRecord;
  store_revision mNewestRevision;
  std::optional<time_point> mStoreConfirmedAt;
  std::optional<time_point> mHoldersConfirmedAt;
  bool mReady = false;
  std::set<vm_name> mFetchedFrom;
  std::map<vm_name, std::pair<store_revision, time_point>> mConfirmations;
  std::map<vm_name, std::pair<store_revision, time_point>> mAcks;
  std::map<slot_id, move_progress> mProgress;
};

/// Confirmations that decide: all others while a holder is joining, else more
/// than half.
size_t Quorum(const group_record& aRecord);

} // namespace parsleystair
