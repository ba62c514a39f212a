#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <variant>

namespace parsleystair {

/// Identifies an order to a target or a write of the record.
using order_id = strong_id<struct order_tag, uint64_t>;

/// Name and address of the target that an order is sent to.
struct order_address
{
  target_name mTarget;
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const order_address&) const = default;
};

/// Grants keys to a target for the time `mGrantDuration`, or renews the grant.
struct grant_order
{
  order_id mId;
  order_address mAddress;
  key_interval mKeys;
  fence mFence;
  duration mGrantDuration{};
  std::string mHandover;
  /// Time after which nothing of the order may leave this router, as the next
  /// leader takes the grant to be expired `mGrantDuration` later.
  time_point mSendUntil = time_point::max();
  /// Time until which a connection may be opened for the order, if it is the
  /// first one with its fence. Another one, or a later one, needs a connection
  /// that leads to the process which accepted the fence before.
  time_point mConnectUntil = time_point::max();

  bool operator==(const grant_order&) const = default;
};

/// Asks a target to release keys. The target answers when its work on the keys
/// has ended.
struct release_order
{
  order_id mId;
  order_address mAddress;
  key_interval mKeys;
  fence mFence;
  /// Time after which nothing of the order may leave this router, as another
  /// router may assign the same fence.
  time_point mSendUntil = time_point::max();

  bool operator==(const release_order&) const = default;
};

/// Writes a record to the store, on the condition that the stored record is
/// unchanged and that this router still leads.
struct write_record
{
  order_id mId;
  range_record mRecord;
  /// Expected revision of the stored record; 0 if there is none.
  store_revision mExpectedRevision;

  bool operator==(const write_record&) const = default;
};

using range_action = std::variant<grant_order, release_order, write_record>;

/// Result of an order.
enum class order_result
{
  kAccepted,
  /// A response says that the target accepted the order, but it may be a
  /// repeated response to an earlier order on the same connection.
  kUnverified,
  /// The target refused the order, as it knows a higher fence for some of the
  /// keys.
  kFenced,
  /// Any other response. It may come from a target that is overloaded or
  /// faulty, or from another server at its address, and says nothing about the
  /// keys that the target holds.
  kRejected,
  /// This router tried to send the order, but nothing left it.
  kNotSent,
  /// This router dropped the order before anything left it, for a reason of its
  /// own. This says nothing about the state of the target.
  kNotAttempted,
  /// This router dropped the order because no connection was open that leads to
  /// the process which accepted the fence before, or to none.
  kNoConnection,
  /// No answer arrived. The order has reached the target's system. Its process
  /// may have accepted it, or may take it later.
  kNoResponse,
  /// No answer arrived, and the target's system has not acknowledged the order.
  /// The network may deliver it later.
  kUnacknowledged,
};

} // namespace parsleystair
