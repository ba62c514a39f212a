#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <variant>

namespace parsleystair {

/// Names one order to a target.
using order_id = strong_id<struct order_tag, uint64_t>;

/// Where a target takes orders.
struct order_address
{
  target_name mTarget;
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const order_address&) const = default;
};

/// Gives keys to a target for a time, or renews them.
struct grant_order
{
  order_id mId;
  order_address mTo;
  key_interval mKeys;
  fence mFence;
  duration mHold{};
  std::string mHandover;

  bool operator==(const grant_order&) const = default;
};

/// Takes keys away; is answered when the work on them has ended.
struct release_order
{
  order_id mId;
  order_address mTo;
  key_interval mKeys;
  fence mFence;

  bool operator==(const release_order&) const = default;
};

/// Writes a record on the condition that the old one is unchanged and this
/// router still leads.
struct write_record
{
  order_id mId;
  range_record mRecord;
  /// Revision of the old record; 0 if there is none.
  store_revision mExpected;

  bool operator==(const write_record&) const = default;
};

using range_action = std::variant<grant_order, release_order, write_record>;

/// How an order ended.
enum class order_end
{
  kAccepted,
  /// The target knows a higher fence for some of the keys.
  kFenced,
  /// The target refused the order as malformed.
  kRejected,
  /// The order never left this router.
  kNotSent,
  /// This router did not try to send the order; says nothing of the target.
  kHeldBack,
  /// The target may have taken the order, or may take it later.
  kUnanswered,
};

} // namespace parsleystair
