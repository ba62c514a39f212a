#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// IP address and port.
struct socket_address
{
  std::string mHost;
  uint16_t mPort = 0;

  bool operator==(const socket_address&) const = default;
};

/// Reads "10.0.0.1:80", or "[::1]:80" for IPv6. Nothing for another text.
std::optional<socket_address> FindSocketAddress(const std::string& aText);

/// A router that is asked for configuration and group records when a process
/// starts while the store is down.
struct seed_peer
{
  vm_name mVm;
  socket_address mAddress;

  bool operator==(const seed_peer&) const = default;
};

/// Bounds on what one process takes from callers.
struct caller_limits
{
  /// Request line and headers of one request, in bytes; 1,024 to 1,048,576.
  uint32_t mMaxHeaderBytes = 16'384;
  /// Body of one request, in bytes; 0 to 16,777,216.
  uint32_t mMaxBodyBytes = 1'048'576;

  bool operator==(const caller_limits&) const = default;
};

/// What one router process is told at its start.
struct router_settings
{
  vm_name mVm;
  failure_domain_name mFailureDomain;
  /// Listener for callers.
  socket_address mCallers;
  /// Listener for operators.
  socket_address mOperators;
  /// Listener for other routers.
  socket_address mPeers;
  /// The platform's store and VM list.
  socket_address mPlatform;
  std::vector<seed_peer> mSeedPeers;
  /// Worker tasks; 1 to 64.
  uint32_t mWorkers = 2;
  caller_limits mLimits;
  /// Longest graceful shutdown; 0 to 3,600,000 ms.
  duration mShutdownLimit = 30s;

  bool operator==(const router_settings&) const = default;
};

/// Reads the JSON text of a settings file. Throws `value_error` for the first
/// unknown or wrong setting.
router_settings ParseRouterSettings(const std::string& aText);

/// Reads a settings file. Throws `system_error` when it can't be read and
/// `value_error` like `ParseRouterSettings`.
router_settings LoadRouterSettings(const std::string& aPath);

/// The whole content of a file. Throws `system_error` when it can't be read or
/// is larger than `aMaxBytes`.
std::string ReadTextFile(const std::string& aPath, size_t aMaxBytes);

} // namespace parsleystair
