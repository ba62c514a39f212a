#pragma once

#include "Parsleystair/Dump/LatencyHistogram.h"
#include "Parsleystair/Ownership/OwnershipDump.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Platform/EtcdStore.h"
#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Tasks/WorkerCounters.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleystair {

/// One router as another one sees it.
struct member_report
{
  vm_identity mVm;
  std::string mState;
  failure_domain_name mFailureDomain;
  configuration_revision mConfiguration;
  duration mInForceFor{};
  /// Time since the last sign of life.
  duration mAge{};

  bool operator==(const member_report&) const = default;
};

/// At-most-once records that a router holds.
struct record_report
{
  size_t mRecords = 0;
  size_t mBytes = 0;
  size_t mOpenAttempts = 0;

  bool operator==(const record_report&) const = default;
};

/// The state of one router process at one time.
struct router_report
{
  vm_identity mVm;
  failure_domain_name mFailureDomain;
  region_name mRegion;
  bool mIsReady = false;
  bool mIsDraining = false;
  duration mUptime{};
  std::shared_ptr<const configuration> mConfiguration;
  duration mInForceFor{};
  uint64_t mRefusedConfigurations = 0;
  ownership_dump mOwnership;
  store_counters mStore;
  worker_counters mWorkers;
  size_t mOpenRequests = 0;
  std::vector<member_report> mMembers;
  record_report mRecords;
  std::vector<crash_notice> mCrashes;
  time_point mNow;
};

/// The whole state, as JSON for `/dump`.
std::string DumpJson(const router_report& aReport);

/// Members and revisions in force, as JSON for `/status`.
std::string StatusJson(const router_report& aReport);

/// Counters and gauges in the Prometheus text format, for `/metrics`.
std::string MetricsText(const router_report& aReport);

/// Owner of a key, since when and why, as JSON for `/owner`; empty when the
/// service is unknown.
std::string OwnerJson(const router_report& aReport,
                      const service_name& aService,
                      const std::string& aKey);

} // namespace parsleystair
