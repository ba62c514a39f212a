#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GrantMessage.h"
#include "Parsleystair/Ownership/GroupRecord.h"

#include <variant>
#include <vector>

namespace parsleystair {

/// A target of one service; names are unique within a service only.
struct target_id
{
  service_name mService;
  target_name mTarget;

  auto operator<=>(const target_id&) const = default;
};

/// Send a grant message. Not to be sent at or after `mValidUntil`.
struct send_grants
{
  target_id mTarget;
  grant_message mMessage;
  time_point mValidUntil;

  bool operator==(const send_grants&) const = default;
};

/// Find out whether a target that does not check grants still answers; report
/// by `HandleAnswered` or `HandleGrantFailure`.
struct probe_target
{
  target_id mTarget;

  bool operator==(const probe_target&) const = default;
};

/// Write a record if the group's key still has revision `mExpected` (0: does
/// not exist).
struct write_group
{
  store_revision mExpected;
  group_record mRecord;

  bool operator==(const write_group&) const = default;
};

/// Read one group's key from the store.
struct read_group
{
  group_index mGroup;

  bool operator==(const read_group&) const = default;
};

struct group_revision
{
  group_index mGroup;
  store_revision mRevision;

  bool operator==(const group_revision&) const = default;
};

/// Ask a holder to confirm each of these.
struct ask_confirm
{
  vm_name mHolder;
  std::vector<group_revision> mGroups;

  bool operator==(const ask_confirm&) const = default;
};

/// Make a holder know a record.
struct announce_record
{
  vm_name mHolder;
  group_record mRecord;

  bool operator==(const announce_record&) const = default;
};

/// Copy the at-most-once records of a group that this router joins from these
/// holders; report by `HandleRecordsCopied`.
struct copy_group_records
{
  group_record mRecord;
  std::vector<vm_name> mHolders;

  bool operator==(const copy_group_records&) const = default;
};

/// Ask another router for all records that it knows to be complete; report by
/// `HandleFetchedGroups`.
struct fetch_groups
{
  vm_name mVm;

  bool operator==(const fetch_groups&) const = default;
};

using ownership_action = std::variant<send_grants,
                                      probe_target,
                                      write_group,
                                      read_group,
                                      ask_confirm,
                                      announce_record,
                                      copy_group_records,
                                      fetch_groups>;

using ownership_actions = std::vector<ownership_action>;

} // namespace parsleystair
