#pragma once

#include "Parsleystair/Core/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Reason for a move of a slot to another owner.
enum class move_reason
{
  kInitial,
  kTargetLost,
  kTargetDraining,
  kBalance,
  kOperator,
};

/// A move whose intent is written to the store and that has not finished.
struct slot_move
{
  target_name mDestination;
  move_reason mReason = move_reason::kInitial;

  bool operator==(const slot_move&) const = default;
};

/// Owner and pending move of one slot.
struct slot_ownership
{
  /// Empty until the first move has finished.
  target_name mOwner;
  fence mFence;
  std::optional<slot_move> mMove;
  /// Wall-clock time of the last change of owner, in ms since 1970.
  uint64_t mSinceMs = 0;

  bool operator==(const slot_ownership&) const = default;
};

/// A slot of a service.
struct slot_id
{
  service_name mService;
  slot_index mSlot;

  auto operator<=>(const slot_id&) const = default;
};

/// One of the three routers that store a group's at-most-once records and
/// confirm the group's revision.
struct group_holder
{
  vm_name mVm;
  incarnation mIncarnation;
  /// True while this holder, which was added to the group, still copies the
  /// at-most-once records of the other holders.
  bool mJoining = false;

  bool operator==(const group_holder&) const = default;
};

/// The stored ownership record of one group of slots.
struct group_record
{
  group_index mGroup;
  /// `mod_revision` of the group's key in the store; 0 before the first write.
  /// It is not part of the stored value.
  store_revision mRevision;
  std::vector<group_holder> mHolders;
  /// Wall-clock time, in ms since 1970, up to which at-most-once records may
  /// have been lost with their holders; 0 when none were lost.
  uint64_t mRecordsLostUntilMs = 0;
  std::map<slot_id, slot_ownership> mSlots;

  bool operator==(const group_record&) const = default;
};

/// Encodes a record as JSON with a checksum, without the revision.
std::string EncodeGroupRecord(const group_record& aRecord);

/// Throws `parse_error` when the text is not a valid record, its checksum is
/// wrong or a value is out of range.
group_record DecodeGroupRecord(const std::string& aText,
                               store_revision aRevision);

/// Store key of a group's record.
std::string GroupKey(group_index aGroup);

} // namespace parsleystair
