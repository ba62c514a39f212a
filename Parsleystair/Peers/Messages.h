#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GroupRecord.h"
#include "Parsleystair/Request/Outcome.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// One process on one VM; a restarted process is another one.
struct vm_identity
{
  vm_name mName;
  incarnation mIncarnation;

  auto operator<=>(const vm_identity&) const = default;
};

/// Content that has crashed targets, with the time it stays refused.
struct crash_notice
{
  uint64_t mFingerprint = 0;
  uint32_t mCrashes = 0;
  /// From the moment the notice is sent.
  uint32_t mRemainingMs = 0;

  bool operator==(const crash_notice&) const = default;
};

/// A router that the sender has heard of, with the age of that knowledge.
struct member_notice
{
  vm_identity mVm;
  std::string mHost;
  uint16_t mPeerPort = 0;
  failure_domain_name mFailureDomain;
  bool mLeaving = false;
  /// Time since the sender or its source heard from the router itself.
  uint32_t mAgeMs = 0;
  /// Configuration in force at that router.
  configuration_revision mConfiguration;
  /// Time since that configuration came into force there.
  uint32_t mInForceMs = 0;

  bool operator==(const member_notice&) const = default;
};

/// Sent periodically; the reply is the receiver's own heartbeat.
struct heartbeat_message
{
  /// First the sender itself, then the routers it knows.
  std::vector<member_notice> mMembers;
  /// Sum of all group revisions that the sender knows.
  uint64_t mGroupDigest = 0;
  std::vector<crash_notice> mCrashes;

  bool operator==(const heartbeat_message&) const = default;
};

/// Asks a holder if it knows of no newer record than this.
struct confirm_message
{
  group_index mGroup;
  store_revision mRevision;

  bool operator==(const confirm_message&) const = default;
};

enum class confirm_result
{
  /// The holder knows of no newer record.
  kConfirmed,
  /// The holder knows of a newer one.
  kNewer,
  /// The holder has lost its memory and has not recovered it yet.
  kNotReady,
};

/// Makes a holder know a record; acknowledged by an empty reply.
struct announce_message
{
  group_record mRecord;

  bool operator==(const announce_message&) const = default;
};

/// Names one request across all its tries.
struct request_key
{
  service_name mService;
  rule_name mRule;
  /// Value of the `Idempotency-Key` header.
  std::string mKey;

  auto operator<=>(const request_key&) const = default;
};

/// Asks a holder to let one attempt of a request run.
struct begin_message
{
  group_index mGroup;
  store_revision mRevision;
  request_key mKey;
  execution_id mExecution;
  /// Hash of method, path and body.
  uint64_t mFingerprint = 0;
  /// Time in a UUIDv7 key, in ms since 1970; 0 for other keys.
  uint64_t mKeyTimeMs = 0;

  bool operator==(const begin_message&) const = default;
};

enum class begin_result
{
  kAccepted,
  /// Another attempt was accepted before and has not finished.
  kDuplicate,
  /// Another attempt has finished; the reply holds its answer if it was kept.
  kFinished,
  /// The key was used with other content.
  kFingerprintMismatch,
  /// The holder knows a newer record of the group, or is not a holder.
  kStaleRevision,
  /// The holder has not copied the records yet.
  kNotReady,
  /// The key is older than the holder's records.
  kExpired,
  kFull,
};

struct begin_reply
{
  begin_result mResult = begin_result::kNotReady;
  /// The attempt that was accepted, for kDuplicate and kFinished.
  execution_id mWinner;
  std::optional<http_response> mResponse;

  bool operator==(const begin_reply&) const = default;
};

/// Tells a holder the whole answer of an attempt that ran. Without an answer:
/// the outcome will stay unknown.
struct finish_message
{
  group_index mGroup;
  request_key mKey;
  execution_id mExecution;
  std::optional<http_response> mResponse;

  bool operator==(const finish_message&) const = default;
};

/// Tells a holder that an attempt did not run and never will.
struct withdraw_message
{
  group_index mGroup;
  request_key mKey;
  execution_id mExecution;

  bool operator==(const withdraw_message&) const = default;
};

/// One request that a holder has a record of.
struct request_record
{
  request_key mKey;
  execution_id mExecution;
  uint64_t mFingerprint = 0;
  bool mFinished = false;
  std::optional<http_response> mResponse;
  /// Time since the record was made.
  uint32_t mAgeMs = 0;

  bool operator==(const request_record&) const = default;
};

/// Asks a holder for its records of a group, as part of `mRecord`, which the
/// receiver takes over if it is newer than what it knows.
struct copy_records_message
{
  group_record mRecord;

  bool operator==(const copy_records_message&) const = default;
};

struct copy_records_reply
{
  /// False when the holder has no complete records itself.
  bool mReady = false;
  std::vector<request_record> mRecords;
  /// The group's record lists an earlier process on this VM, whose records are
  /// lost for good.
  bool mLost = false;

  bool operator==(const copy_records_reply&) const = default;
};

struct configuration_reply
{
  configuration_revision mRevision;
  /// JSON as stored; empty when the peer has none.
  std::string mText;

  bool operator==(const configuration_reply&) const = default;
};

struct groups_reply
{
  std::vector<group_record> mRecords;

  bool operator==(const groups_reply&) const = default;
};

} // namespace parsleystair
