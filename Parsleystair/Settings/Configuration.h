#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleystair {

/// Where the parts of a request that name its key are found.
enum class key_source
{
  kPath,
  kHeader,
  kQuery,
};

/// What happens to a non-idempotent request without an `Idempotency-Key`.
enum class missing_key_policy
{
  kRefuse,
  kSendOnce,
};

/// Which idempotency keys a rule takes.
enum class key_format
{
  kUuidV7,
  kAny,
};

/// Whether each key of a service has one owner or any target may serve it.
enum class ownership_mode
{
  kExclusive,
  kShared,
};

/// How one kind of request is recognised and treated.
struct request_rule
{
  rule_name mName;
  /// HTTP method in capitals.
  std::string mMethod;
  /// Path with `{name}` for a segment that may be anything.
  std::string mPath;
  key_source mKeySource = key_source::kPath;
  /// Name of the path segment, header or query parameter that is the key.
  std::string mKeyName;
  bool mIdempotent = true;
  missing_key_policy mWithoutKey = missing_key_policy::kRefuse;
  key_format mKeyFormat = key_format::kUuidV7;
  /// 0 is served first, 9 last.
  uint32_t mPriority = 5;
  /// Longest time from arrival to answer; a caller may ask for less.
  duration mDeadline = 2s;
  /// Longest time in the queue of a target.
  duration mMaxQueueTime = 500ms;
  /// First try included; 1 to 5.
  uint32_t mMaxAttempts = 3;

  bool operator==(const request_rule&) const = default;
};

/// One back-end server.
struct target_configuration
{
  target_name mName;
  /// IP address.
  std::string mHost;
  uint16_t mPort = 0;
  failure_domain_name mFailureDomain;
  /// Requests that the target runs at the same time.
  uint32_t mConcurrency = 4;
  /// Connections that the target takes from all routers together.
  uint32_t mConnections = 55;
  /// The target refuses requests and grants that don't match its newest grant.
  bool mChecksGrants = false;
  /// The operator wants the target emptied.
  bool mDraining = false;

  bool operator==(const target_configuration&) const = default;
};

/// Time of day, in minutes after midnight UTC, in which keys are not moved.
struct no_move_window
{
  uint32_t mFromMinute = 0;
  uint32_t mToMinute = 0;

  bool operator==(const no_move_window&) const = default;
};

/// One service: its targets, its key space and its kinds of request.
struct service_configuration
{
  service_name mName;
  ownership_mode mOwnership = ownership_mode::kExclusive;
  /// 1 to 65,536; never changes for a service.
  uint32_t mSlotCount = 256;
  /// Hot keys with a slot of their own, from `mSlotCount` on, in this order. An
  /// empty text keeps the place of a key that was withdrawn, so that the slots
  /// of the others stay the same.
  std::vector<std::string> mNamedKeys;
  /// Retries as a share of first tries, in percent.
  uint32_t mRetryBudgetPercent = 10;
  std::vector<no_move_window> mNoMoveWindows;
  std::vector<target_configuration> mTargets;
  std::vector<request_rule> mRules;

  bool operator==(const service_configuration&) const = default;
};

/// Weights of the three measures in the cost of a placement.
struct measure_weights
{
  double mImbalance = 1;
  double mChurn = 1;
  double mUnavailableTime = 1;

  bool operator==(const measure_weights&) const = default;
};

struct failure_domain_configuration
{
  failure_domain_name mName;
  region_name mRegion;

  bool operator==(const failure_domain_configuration&) const = default;
};

/// Everything that operators decide, in force as one immutable value.
struct configuration
{
  configuration_revision mRevision;
  /// Never changes for a deployment.
  uint32_t mGroupCount = 64;
  measure_weights mWeights;
  std::vector<failure_domain_configuration> mFailureDomains;
  std::vector<service_configuration> mServices;

  /// Null when there is none of that name.
  [[nodiscard]] const service_configuration* FindService(
    const service_name& aName) const;

  /// Empty when the failure domain is unknown.
  [[nodiscard]] region_name RegionOf(const failure_domain_name& aName) const;

  bool operator==(const configuration&) const = default;
};

/// Null when the service has no target of that name.
const target_configuration* FindTarget(const service_configuration& aService,
                                       const target_name& aName);

/// Slot of a key: its named slot, or a hash of service and key.
slot_index SlotOf(const service_configuration& aService,
                  const std::string& aKey);

/// Slots of a service, named keys included.
uint32_t TotalSlots(const service_configuration& aService);

/// Group that a slot belongs to.
group_index GroupOf(const service_name& aService,
                    slot_index aSlot,
                    uint32_t aGroupCount);

} // namespace parsleystair
