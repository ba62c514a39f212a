#pragma once

#include "Parsleystair/Core/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Why a slot is moved.
enum class move_reason
{
  kInitial,
  kTargetLost,
  kTargetLeaving,
  kBalance,
  kOperator,
};

/// A move that has been written as an intent and has not ended.
struct slot_move
{
  target_name mTo;
  move_reason mReason = move_reason::kInitial;

  bool operator==(const slot_move&) const = default;
};

/// Who owns one slot.
struct slot_ownership
{
  /// Empty before the first move has ended.
  target_name mOwner;
  fence mFence;
  std::optional<slot_move> mMove;
  /// Calendar time of the last change of owner, in ms since 1970.
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

/// One of the three routers that keep a group's at-most-once records and
/// confirm its revision.
struct group_holder
{
  vm_name mVm;
  incarnation mIncarnation;
  /// Not ready yet: replaces a lost holder and is still copying records.
  bool mJoining = false;

  bool operator==(const group_holder&) const = default;
};

/// All that the store says of one group of slots.
struct group_record
{
  group_index mGroup;
  /// `mod_revision` of the store's key; 0 before the first write. Not part of
  /// the stored value.
  store_revision mRevision;
  std::vector<group_holder> mHolders;
  /// Calendar time, in ms since 1970, up to which the holders may have lost
  /// at-most-once records; 0 when none were lost.
  uint64_t mRecordsLostUntilMs = 0;
  std::map<slot_id, slot_ownership> mSlots;

  bool operator==(const group_record&) const = default;
};

/// JSON with a checksum, without the revision.
std::string EncodeGroupRecord(const group_record& aRecord);

/// Throws `parse_error` when the text doesn't parse, its checksum is wrong or a
/// value is out of range.
group_record DecodeGroupRecord(const std::string& aText,
                               store_revision aRevision);

/// Key of a group's record in the store.
std::string GroupKey(group_index aGroup);

} // namespace parsleystair
