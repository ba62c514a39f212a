#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GrantMessage.h"
#include "Parsleystair/Ownership/GroupRecord.h"

#include <variant>
#include <vector>

namespace parsleystair {

/// A target of one service. Target names are unique only within a service.
struct target_id
{
  service_name mService;
  target_name mTarget;

  auto operator<=>(const target_id&) const = default;
};

/// Sends a grant message, which must not be sent at or after `mValidUntil`.
struct send_grants
{
  target_id mTarget;
  grant_message mMessage;
  time_point mValidUntil;

  bool operator==(const send_grants&) const = default;
};

/// Probes whether a target that does not check grants still answers. The result
/// is reported by `HandleAnswered` or `HandleGrantFailure`.
struct probe_target
{
  target_id mTarget;

  bool operator==(const probe_target&) const = default;
};

/// Writes a record if the group's key in the store still has revision
/// `mExpected` (0: the key does not exist).
struct write_group
{
  store_revision mExpected;
  group_record mRecord;

  bool operator==(const write_group&) const = default;
};

/// Reads one group's key from the store.
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

/// Asks a holder to confirm that it knows no newer record of each group.
struct request_confirmation
{
  vm_name mHolder;
  std::vector<group_revision> mGroups;

  bool operator==(const request_confirmation&) const = default;
};

/// Sends a record to a holder, which acknowledges it.
struct announce_record
{
  vm_name mHolder;
  group_record mRecord;

  bool operator==(const announce_record&) const = default;
};

/// Copies the at-most-once records of a group that this router joins from
/// `mHolders`. Completion is reported by `HandleRecordsCopied`.
struct copy_group_records
{
  group_record mRecord;
  std::vector<vm_name> mHolders;

  bool operator==(const copy_group_records&) const = default;
};

/// Asks another router for the records of all groups for which it is ready to
/// confirm. The reply is reported by `HandleFetchGroupsReply`.
struct fetch_groups
{
  vm_name mVm;

  bool operator==(const fetch_groups&) const = default;
};

using ownership_action = std::variant<send_grants,
                                      probe_target,
                                      write_group,
                                      read_group,
                                      request_confirmation,
                                      announce_record,
                                      copy_group_records,
                                      fetch_groups>;

using ownership_actions = std::vector<ownership_action>;

} // namespace parsleystair
