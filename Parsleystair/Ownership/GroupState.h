#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipSettings.h"
#include "Parsleystair/Ownership/RouterTable.h"

#include <map>
#include <optional>
#include <set>

namespace parsleystair {

/// Progress of a move as known to this router.
struct move_progress
{
  /// Revision of the record with which this router first saw the move, and the
  /// time when it did.
  store_revision mRevision;
  time_point mSeenAt;
  /// When a quorum of holders had acknowledged that record, so that no older
  /// record can be confirmed any more.
  std::optional<time_point> mQuorumAckedAt;
  /// The old owner has accepted a grant without the slot and runs no request of
  /// it.
  bool mReleased = false;

  bool operator==(const move_progress&) const = default;
};

/// A write to the store that has not been answered yet.
struct pending_write
{
  store_revision mExpected;
  group_record mRecord;
  time_point mSentAt;

  bool operator==(const pending_write&) const = default;
};

/// The newest known record of one group, with the confirmations and
/// acknowledgements from which authority and the progress of moves follow.
class group_state
{
public:
  group_state(group_index aGroup, const ownership_settings& aSettings);

  [[nodiscard]] const group_record& Record() const { return mRecord; }
  [[nodiscard]] bool Exists() const
  {
    return mRecord.mRevision > store_revision();
  }

  /// Replaces the known record by a newer one. Returns false when `aRecord` is
  /// not newer.
  bool ApplyRecord(const group_record& aRecord, time_point aNow);

  /// The store has a record of this revision that cannot be decoded. This ends
  /// the authority of all older records.
  void HandleUnreadableRecord(store_revision aRevision);

  /// The store returned no newer record to a read sent at `aAskedAt`.
  void HandleStoreConfirmation(time_point aAskedAt);

  /// A holder confirmed that it knows no newer record than `aRevision`; the
  /// request was sent at `aAskedAt`.
  void HandleHolderConfirmation(const vm_name& aHolder,
                                store_revision aRevision,
                                time_point aAskedAt);

  /// Updates authority and the progress of moves. To be called after a
  /// confirmation, an acknowledgement, a new record or a change of the router
  /// view.
  void Update(const router_table& aRouters, time_point aNow);

  /// A holder acknowledged that it knows this or a newer record, in reply to an
  /// announcement sent at `aSentAt`.
  void HandleAck(const vm_name& aHolder,
                 store_revision aRevision,
                 time_point aSentAt);

  /// Another router that is ready to confirm has sent its record of the group.
  /// After a restart, this router is ready once all other holders have done so.
  void HandleFetchedRecord(const vm_name& aVm);

  /// True when this router may confirm revisions: it knows every record that it
  /// acknowledged before a restart.
  [[nodiscard]] bool IsReady() const { return mReady; }

  /// Time at which the known record was last confirmed to be the newest: when
  /// the request was sent, not when the answer arrived.
  [[nodiscard]] std::optional<time_point> ConfirmedAt() const;

  /// Grants of this group may be sent before this time, and only to target
  /// processes first seen before `ConfirmedAt`.
  [[nodiscard]] time_point AuthorityUntil() const;

  /// Newest revision that this router knows of, whether or not its record could
  /// be decoded.
  [[nodiscard]] store_revision NewestRevision() const
  {
    return mNewestRevision;
  }

  /// Live holders other than this router whose acknowledgement of the known
  /// record is missing or older than half of its validity.
  [[nodiscard]] std::vector<vm_name> Unacknowledged(
    const router_table& aRouters,
    time_point aNow) const;

  /// True when a quorum of holders has acknowledged `aRevision`, so that no
  /// quorum can confirm an older record.
  [[nodiscard]] bool IsQuorumAcked(store_revision aRevision,
                                   const router_table& aRouters,
                                   time_point aNow) const;

  [[nodiscard]] const std::map<slot_id, move_progress>& Progress() const
  {
    return mProgress;
  }

  /// A target accepted the grants of `aRevision` in reply to a message sent at
  /// `aSentAt`. Releases the moving slots that it owned, except those in
  /// `aBusy`.
  void HandleAcceptedGrant(const target_id& aTarget,
                           store_revision aRevision,
                           const std::vector<slot_id>& aBusy,
                           time_point aSentAt);

  /// True when the slot's move can finish. `aExtraWait` is the additional wait
  /// for a target that does not check grants.
  [[nodiscard]] bool CanFinishMove(const slot_id& aSlot,
                                   duration aExtraWait,
                                   time_point aNow) const;

  /// True when at least one move can finish, without regard to additional
  /// waits.
  [[nodiscard]] bool HasFinishableMove(time_point aNow) const;

  /// Asserts that `aNext` may replace the known record: an owner changes only
  /// after a release or a completed wait, and each change raises the fence.
  void CheckNextRecord(const group_record& aNext, time_point aNow) const;

  /// Set from the sending of a write until its reply; one write at a time.
  std::optional<pending_write> mPendingWrite;
  /// Set while the record has to be read back after a write that did not
  /// succeed: when the reply to that write was handled.
  std::optional<time_point> mReadBackSince;
  time_point mReadBackSentAt = time_point::min();
  /// When this router first found a change to write. Routers of higher rank
  /// number wait so that those before them can write it.
  std::optional<time_point> mChangePendingSince;
  time_point mAnnouncedAt = time_point::min();
  /// When to evaluate the next record again although no input has changed.
  time_point mNextEvaluationAt = time_point::min();
  /// The at-most-once records have been copied since this router began to join.
  bool mRecordsCopied = false;
  /// Time up to which at-most-once records were lost with their holders and
  /// could not be copied.
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

/// Number of holders that form a quorum: all that are not joining while one is
/// joining, otherwise more than half.
size_t Quorum(const group_record& aRecord);

} // namespace parsleystair
