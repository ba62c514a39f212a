#pragma once

#include "Parsleystair/Limits/RequestQueue.h"
#include "Parsleystair/Upstream/TargetPool.h"

#include <algorithm>

namespace parsleystair {

/// A worker's way to one target: its connections, and the requests that run
/// there or wait for it.
struct target_lane
{
  /// Requests that wait for one target at most.
  static constexpr size_t kMaxQueue = 1'000;

  target_lane(event_loop& aLoop, const target_configuration& aTarget)
    : mTarget(aTarget)
    , mPool(aLoop, aTarget.mHost, aTarget.mPort, Concurrency(aTarget))
    , mQueue(std::make_unique<adaptive_limit>(1, Concurrency(aTarget)),
             kMaxQueue)
  {
  }

  static uint32_t Concurrency(const target_configuration& aTarget)
  {
    return std::max<uint32_t>(1, aTarget.mConcurrency);
  }

  [[nodiscard]] size_t Load() const
  {
    return mQueue.InFlight() + mQueue.Waiting();
  }

  target_configuration mTarget;
  target_pool mPool;
  request_queue mQueue;
};

} // namespace parsleystair
