#pragma once

#include "Parsleystair/Ownership/GroupRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// A slot that a target may serve, with the fencing token of its ownership.
struct granted_slot
{
  slot_id mSlot;
  fence mFence;

  bool operator==(const granted_slot&) const = default;
};

/// The slots of one group that a target may serve.
struct group_grant
{
  group_index mGroup;
  store_revision mRevision;
  /// Unset in a renewal of a revision that the target has already accepted.
  std::optional<std::vector<granted_slot>> mSlots;

  bool operator==(const group_grant&) const = default;
};

/// Body of `POST /grants`. The grants expire at `mBaseClockMs + mTtlMs` on the
/// target's clock.
struct grant_message
{
  vm_name mVm;
  /// `mClockMs` of the target's latest reply; 0 before the first reply.
  uint64_t mBaseClockMs = 0;
  /// `mBootId` of the target's latest reply; 0 before the first reply.
  uint64_t mBootId = 0;
  uint32_t mTtlMs = 0;
  std::vector<group_grant> mGroups;

  bool operator==(const grant_message&) const = default;
};

struct accepted_grant
{
  group_index mGroup;
  store_revision mRevision;

  bool operator==(const accepted_grant&) const = default;
};

/// Slots that the target no longer owns but for which it still runs requests.
struct busy_slots
{
  group_index mGroup;
  std::vector<slot_id> mSlots;

  bool operator==(const busy_slots&) const = default;
};

/// Reply to `POST /grants`.
struct grant_reply
{
  /// Monotonic clock of the target, in ms; greater than 0.
  uint64_t mClockMs = 0;
  /// Random ID of the target process, greater than 0; differs after a restart.
  uint64_t mBootId = 0;
  std::vector<accepted_grant> mAccepted;
  /// Groups for which the target already accepted a higher revision.
  std::vector<group_index> mStale;
  /// Groups renewed at a revision whose slot list the target does not have.
  std::vector<group_index> mUnknown;
  std::vector<busy_slots> mBusy;

  bool operator==(const grant_reply&) const = default;
};

std::string EncodeGrantMessage(const grant_message& aMessage);
/// Throws `parse_error`.
grant_message DecodeGrantMessage(const std::string& aText);

std::string EncodeGrantReply(const grant_reply& aReply);
/// Throws `parse_error`.
grant_reply DecodeGrantReply(const std::string& aText);

} // namespace parsleystair
