#pragma once

#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <cstddef>
#include <string_view>

namespace parsleystair {

/// Longest handover of a target that is kept, in bytes.
inline constexpr size_t kMaxHandoverBytes = 256;
/// Most bytes of handovers in one record. The store limits the length of the
/// record, and one that it refuses would stop all moves of its service.
inline constexpr size_t kMaxRecordHandoverBytes = 256 * 1024;

/// Whether a handover can be kept and sent on: visible ASCII characters, at
/// most `kMaxHandoverBytes`.
bool IsUsableHandover(std::string_view aHandover);

/// Removes the handovers of the oldest fences from a record until the rest has
/// at most `aMaxBytes`. Keys whose handover is removed before their owner got
/// it are slow for a while.
void LimitHandovers(range_record& aRecord, size_t aMaxBytes);

} // namespace parsleystair
