#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/RouterSettings.h"

#include <map>

namespace parsleystair {

/// What one gateway process is told at its start.
struct gateway_settings
{
  vm_name mVm;
  failure_domain_name mFailureDomain;
  std::map<failure_domain_name, region_name> mRegions;
  /// Listeners for callers, for the platform's readiness checks, for
  /// operators, and for reports of other gateways.
  socket_address mCallers;
  socket_address mReadiness;
  socket_address mOperators;
  socket_address mPeers;
  socket_address mStore;
  /// Part of a processor core that this process may use.
  double mProcessorShare = 1;
  /// Time from SIGTERM until the platform kills the process.
  duration mShutdownGrace = 6s;
  /// Longest grant that targets take.
  duration mMaxGrantDuration = 10s;
  /// Repeats of all gateways together for each request, and besides.
  double mRetryRatio = 0.2;
  uint32_t mRetrySlack = 64;

  bool operator==(const gateway_settings&) const = default;
};

/// Reads the JSON text of a settings file. Throws `value_error` for the first
/// wrong setting; unknown ones are ignored, as the platform adds some.
gateway_settings ParseGatewaySettings(const std::string& aText);

/// Reads a settings file. Throws `system_error` when it can't be read and
/// `value_error` like `ParseGatewaySettings`.
gateway_settings LoadGatewaySettings(const std::string& aPath);

} // namespace parsleystair
