#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/RouterSettings.h"

#include <map>

namespace parsleystair {

/// Settings of one gateway process.
struct gateway_settings
{
  vm_name mVm;
  failure_domain_name mFailureDomain;
  std::map<failure_domain_name, region_name> mRegions;
  /// Addresses on which the gateway listens for callers, for the platform's
  /// readiness checks, for operators and for other gateways.
  socket_address mCallers;
  socket_address mReadiness;
  socket_address mOperators;
  socket_address mPeers;
  socket_address mStore;
  /// Processor time that this process may use, in cores.
  double mProcessorShare = 1;
  /// Memory that this process may use, in bytes.
  uint64_t mMemoryBytes = 512 * 1024 * 1024;
  /// The whole deployment starts for the first time, so the store has no state
  /// of other gateways yet.
  bool mFirstStart = false;
  /// Time between SIGTERM and the platform killing the process.
  duration mShutdownGrace = 6s;
  /// Longest grant duration that targets accept.
  duration mMaxGrantDuration = 10s;
  /// Longest time for which the network holds bytes that were sent.
  duration mMaxNetworkDelay = 4s;
  /// Time within which a configuration takes effect that the store has
  /// accepted.
  duration mConfigurationApplyTime = 2s;
  /// Retry budget of all gateways together: retries per request, and retries
  /// allowed in addition in each time window.
  double mRetryRatio = 0.2;
  uint32_t mRetrySlack = 64;

  bool operator==(const gateway_settings&) const = default;
};

/// Parses the JSON text of a settings file. Throws `value_error` for the first
/// invalid setting. Ignores unknown settings, because the platform adds some.
gateway_settings ParseGatewaySettings(const std::string& aText);

/// Reads and parses a settings file. Throws `system_error` if the file can't be
/// read, and `value_error` as `ParseGatewaySettings` does.
gateway_settings LoadGatewaySettings(const std::string& aPath);

} // namespace parsleystair
