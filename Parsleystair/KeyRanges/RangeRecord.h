#pragma once

#include "Parsleystair/Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Number of a term of leadership. Each elected leader has a higher one than
/// all leaders before it; 0 stands for none.
using term_number = strong_id<struct term_tag, uint64_t>;

/// Highest key number of a keyed service.
inline constexpr uint32_t kMaxKeyNumber = 65'535;

/// Interval of keys from `mFirst` to `mLast`, both inclusive.
struct key_interval
{
  uint32_t mFirst = 0;
  uint32_t mLast = 0;

  [[nodiscard]] bool Contains(uint32_t aKey) const
  {
    return mFirst <= aKey && aKey <= mLast;
  }
  [[nodiscard]] bool Overlaps(const key_interval& aOther) const
  {
    return mFirst <= aOther.mLast && aOther.mFirst <= mLast;
  }
  [[nodiscard]] uint32_t Size() const { return mLast - mFirst + 1; }

  // clang-tidy 14 mistakes the 0 in the generated comparison for a null
  // pointer.
  auto operator<=>(const key_interval&) const = default; // NOLINT
};

/// Keys of `aKeys` that are not in `aRemoved`, as intervals in ascending order.
std::vector<key_interval> Subtract(const key_interval& aKeys,
                                   const key_interval& aRemoved);

/// One run of a target's process. A target that restarts under the same name is
/// another incarnation and another owner.
struct target_incarnation
{
  target_name mName;
  /// Start time, in milliseconds since the Unix epoch.
  uint64_t mStartedMs = 0;

  bool operator==(const target_incarnation&) const = default;
};

/// Interval of keys and the only target that may serve them.
struct owned_range
{
  key_interval mKeys;
  target_incarnation mOwner;
  fence mFence;
  /// State that the previous owner returned when it released the keys; empty if
  /// there is none.
  std::string mHandover;

  bool operator==(const owned_range&) const = default;
};

/// Assignment of the keys of one service to owners. The authoritative copy is a
/// value in the store, which is changed only by compare-and-swap on its
/// revision.
struct range_record
{
  /// Fence for the next change of the record; higher than all fences assigned
  /// so far.
  uint64_t mNextFence = 1;
  /// Term of the leader that wrote the record; 0 if a leader without terms
  /// wrote it.
  term_number mTerm;
  /// Sorted by key, without overlaps. Keys outside all ranges have no owner.
  std::vector<owned_range> mRanges;

  bool operator==(const range_record&) const = default;
};

/// Range that contains a key; null if the key has no owner.
const owned_range* FindRange(const range_record& aRecord, uint32_t aKey);

/// Assigns the keys of `aRange` to its owner: removes them from the ranges that
/// they overlap, and merges adjacent ranges that differ only in their keys.
void AssignKeys(range_record& aRecord, const owned_range& aRange);

/// Throws `invariant_error` if ranges are malformed, overlap or are out of
/// order, or if a fence is not below `mNextFence`.
void ValidateRecord(const range_record& aRecord);

std::string EncodeRangeRecord(const range_record& aRecord);

/// Throws `parse_error` if the text is not a valid range record. Handovers that
/// can't be used are left out.
range_record DecodeRangeRecord(const std::string& aText);

} // namespace parsleystair
