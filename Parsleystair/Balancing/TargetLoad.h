#pragma once

#include <cstdint>

namespace parsleystair {

/// Load of a target as the target states it in a response.
struct target_load
{
  /// Requests that the target runs, and requests in its queue.
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  /// Requests that the target can run concurrently; above 0.
  uint32_t mConcurrency = 1;
  /// Duration of work at present relative to the usual one; above 0. It changes
  /// many times a second, as targets share their machines with others.
  double mSlowdown = 1;

  bool operator==(const target_load&) const = default;
};

} // namespace parsleystair
