#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleystair {

using route_name = strong_id<struct route_tag, std::string>;

/// One of the services that share the requests of a route.
struct weighted_service
{
  service_name mService;
  /// Share of the requests relative to the sum of all weights.
  uint32_t mWeight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// Requests of one host whose path begins with a prefix.
struct route
{
  route_name mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPrefix;
  /// Requests may be executed more than once.
  bool mIdempotent = false;
  /// Maximum time until the final response.
  duration mTimeout{};
  /// Latency up to which a response has its full value.
  duration mLatencyTarget{};
  /// Maximum number of targets to which one request may be sent.
  uint32_t mMaxAttempts = 1;
  /// 0 is the highest.
  uint32_t mPriority = 0;
  std::vector<weighted_service> mServices;
  /// Regions whose targets may run the requests; empty if all may.
  std::set<region_name> mAllowedRegions;

  bool operator==(const route&) const = default;
};

struct routed_service
{
  service_name mName;
  /// Path of the health check.
  std::string mHealthPath;
  /// Maximum connections of all routers together to one target.
  uint32_t mMaxConnections = 0;
  /// Each key is served by one target only.
  bool mKeyed = false;
  /// Time for which keys that arrive without a handover are slow.
  duration mWarmUp{};
  /// Duration of a target's slow start.
  duration mSlowStart{};
  /// Requests per second that a target bears during its slow start; 0 if there
  /// is no limit.
  double mSlowStartRate = 0;

  bool operator==(const routed_service&) const = default;
};

/// Limits on requests and connections of callers.
struct request_limits
{
  uint32_t mMaxHeaderBytes = 16 * 1024;
  uint32_t mMaxBodyBytes = 1024 * 1024;
  duration mHeaderTimeout = 60s;
  duration mIdleTimeout = 60s;

  bool operator==(const request_limits&) const = default;
};

/// One version of the configuration that operators declare.
struct route_configuration
{
  uint64_t mVersion = 0;
  request_limits mLimits;
  std::vector<route> mRoutes;
  std::map<service_name, routed_service> mServices;

  bool operator==(const route_configuration&) const = default;
};

} // namespace parsleystair
