#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <optional>

namespace parsleystair {

/// Why keys may get a new owner or a new fence.
enum class ready_reason
{
  /// The old owner has released the keys.
  kReleased,
  /// All grants of the keys have expired.
  kGrantExpired,
  /// The record names no owner of the keys.
  kNoOwner,
  /// The owner keeps the keys.
  kFenceChange,
};

/// Move of keys that waits for nothing but the write of the record, and what
/// the leader knew about the old owner's grants at that time.
struct ready_move
{
  ready_reason mReason = ready_reason::kNoOwner;
  key_interval mKeys;
  /// The name is empty if the keys had no owner.
  target_incarnation mOldOwner;
  fence mOldFence;
  /// Time since the last grant call of this router to the old owner has ended;
  /// empty if there was none.
  std::optional<duration> mLastGrantAge;
  /// Time since former leaders have stopped renewing grants of the keys,
  /// negative if they may still do so. Empty if they have no such grants.
  std::optional<duration> mFormerLeadersStoppedFor;

  bool operator==(const ready_move&) const = default;
};

} // namespace parsleystair
