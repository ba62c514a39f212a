#pragma once

#include "Parsleystair/KeyRanges/RangeActions.h"

#include <deque>
#include <vector>

namespace parsleystair {

/// Limits the grants in flight to one target and queues the others. A target
/// accepts a bounded number of connections, and routers need them for requests.
class grant_queue
{
public:
  struct queued_grant
  {
    service_name mService;
    grant_order mOrder;
    time_point mQueuedAt;
  };

  /// Grants taken from the queue after a grant has ended.
  struct dequeued_grants
  {
    std::vector<queued_grant> mToSend;
    /// Grants not to be sent: queued for too long, or the target is
    /// unreachable.
    std::vector<queued_grant> mDropped;
  };

  /// Returns true if the grant is to be sent now; otherwise it is queued.
  bool Add(const service_name& aService,
           const grant_order& aOrder,
           time_point aNow);

  /// Queues a grant that is in flight and was not sent, as the connections that
  /// may carry it are busy, until another one in flight has ended. Returns
  /// false if no other one is in flight.
  bool PutBack(const queued_grant& aGrant);

  /// `aOutcome`: of a grant that was in flight.
  dequeued_grants HandleOutcome(order_result aOutcome, time_point aNow);

  /// Removes all grants: the queued ones, and those in flight, which must have
  /// been cancelled. Returns the number of queued ones.
  size_t Clear();

  [[nodiscard]] bool IsIdle() const { return mInFlight == 0 && mQueue.empty(); }

private:
  size_t mInFlight = 0;
  std::deque<queued_grant> mQueue;
};

} // namespace parsleystair
