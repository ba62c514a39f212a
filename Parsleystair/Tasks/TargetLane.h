#pragma once

#include "Parsleystair/Tasks/Messages.h"
#include "Parsleystair/Upstream/TargetPool.h"

#include <deque>

namespace parsleystair {

/// A worker's way to one target: connections, a limit on requests at a time,
/// and the requests that wait for it.
struct target_lane
{
  target_lane(event_loop& aLoop,
              const target_configuration& aTarget,
              uint32_t aLimit)
    : mTarget(aTarget)
    , mLimit(aLimit)
    , mPool(aLoop, aTarget.mHost, aTarget.mPort, aLimit)
  {
  }

  [[nodiscard]] bool HasRoom() const { return mPool.InFlight() < mLimit; }

  target_configuration mTarget;
  uint32_t mLimit;
  target_pool mPool;
  std::deque<flow_id> mQueue;
};

} // namespace parsleystair
