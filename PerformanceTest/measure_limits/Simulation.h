#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <string>

namespace parsleystair {

/// How the routers of a simulation limit what they send.
enum class limit_policy
{
  /// Each router takes all of the target's concurrency; first in first out
  /// without bounds, two retries.
  kFixedUnbounded,
  /// The same limit with `request_queue`.
  kFixedQueue,
  /// A router's share of the concurrency, rounded up, with `request_queue`.
  kFixedShareQueue,
  /// `adaptive_limit` with `request_queue`.
  kAdaptiveQueue,
  /// Rate changed by the moving average of latency, with `request_queue`.
  kAverageLatency,
};

/// One simulation: routers that share one target.
struct simulation_settings
{
  limit_policy mPolicy = limit_policy::kFixedUnbounded;
  /// Offered load as a multiple of the target's configured capacity.
  double mLoad = 1;
  /// Requests that the target runs at a time; others wait there.
  uint32_t mConcurrency = 4;
  /// Requests that the target runs at a time from the middle of the warm-up on,
  /// unknown to the routers; goodput is measured against this.
  uint32_t mActualConcurrency = 4;
  /// Connections of the target; requests beyond them are refused.
  uint32_t mConnections = 55;
  uint32_t mRouters = 12;
  /// Routers that get requests; the others are idle.
  uint32_t mActiveRouters = 12;
  uint64_t mSeed = 1;
  duration mLength = 60s;
  /// Not counted.
  duration mWarmUp = 10s;
};

struct simulation_result
{
  /// Answers within the deadline as a share of the target's actual capacity.
  double mGoodput = 0;
  /// Of answers within the deadline.
  double mP99Ms = 0;
  /// Share of requests refused as not run.
  double mShed = 0;
  /// Share of the target's work whose answer came too late or twice.
  double mWasted = 0;
};

/// Name in the output.
std::string NameOf(limit_policy aPolicy);

simulation_result Simulate(const simulation_settings& aSettings);

} // namespace parsleystair
