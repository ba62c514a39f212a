#pragma once

#include "Parsleystair/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Highest key number of a keyed service.
inline constexpr uint32_t kMaxKeyNumber = 65'535;

/// Keys from `mFrom` to `mTo`, both included.
struct key_interval
{
  uint32_t mFrom = 0;
  uint32_t mTo = 0;

  [[nodiscard]] bool Contains(uint32_t aKey) const
  {
    return mFrom <= aKey && aKey <= mTo;
  }
  [[nodiscard]] bool Overlaps(const key_interval& aOther) const
  {
    return mFrom <= aOther.mTo && aOther.mFrom <= mTo;
  }
  [[nodiscard]] uint32_t Size() const { return mTo - mFrom + 1; }

  // clang-tidy 14 takes the compiler's own comparison with 0 for a pointer.
  auto operator<=>(const key_interval&) const = default; // NOLINT
};

/// Keys of an interval that are not in another one, in order.
std::vector<key_interval> Subtract(const key_interval& aKeys,
                                   const key_interval& aRemoved);

/// One life of a target: a restarted one with the same name is another owner.
struct target_incarnation
{
  target_name mName;
  /// Start, in milliseconds since 1970 UTC.
  uint64_t mStartedMs = 0;

  bool operator==(const target_incarnation&) const = default;
};

/// Keys and the one target that may serve them.
struct owned_range
{
  key_interval mKeys;
  target_incarnation mOwner;
  fence mFence;
  /// State that the last owner handed over; empty if there is none.
  std::string mHandover;

  bool operator==(const owned_range&) const = default;
};

/// Who owns which keys of one service: the one source of truth, a value of the
/// store that changes only under the condition that nobody changed it since.
struct range_record
{
  /// Fence of the next change of owner; above all that were given out.
  uint64_t mNextFence = 1;
  /// In the order of keys, without overlaps. Keys in no range have no owner.
  std::vector<owned_range> mRanges;

  bool operator==(const range_record&) const = default;
};

/// Range that holds a key; null if nobody owns it.
const owned_range* FindRange(const range_record& aRecord, uint32_t aKey);

/// Gives keys to an owner, cutting what they overlap, and joins neighbours that
/// agree in all but their keys.
void AssignKeys(range_record& aRecord, const owned_range& aRange);

/// Throws `invariant_error` when ranges overlap, are out of order, or have
/// fences that were not given out.
void ValidateRecord(const range_record& aRecord);

std::string EncodeRangeRecord(const range_record& aRecord);

/// Throws `parse_error`.
range_record DecodeRangeRecord(const std::string& aText);

} // namespace parsleystair
