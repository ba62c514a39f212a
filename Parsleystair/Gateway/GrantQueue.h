#pragma once

#include "Parsleystair/KeyRanges/RangeActions.h"

#include <deque>
#include <vector>

namespace parsleystair {

/// Grants of one target that wait for others to be answered. A target takes a
/// bounded number of connections, and routers need them for requests.
class grant_queue
{
public:
  struct queued_grant
  {
    service_name mService;
    grant_order mOrder;
    time_point mQueuedAt;
  };

  /// What to do with waiting grants after one has ended.
  struct dequeued_grants
  {
    std::vector<queued_grant> mToSend;
    /// Waited too long, or the target can't be reached now.
    std::vector<queued_grant> mDropped;
  };

  /// True: send it now. Else it waits.
  bool Add(const service_name& aService,
           const grant_order& aOrder,
           time_point aNow);

  dequeued_grants HandleOutcome(order_end aOutcome, time_point aNow);

  /// Forgets all that wait.
  void Clear() { mQueue.clear(); }

  [[nodiscard]] bool IsIdle() const { return mInFlight == 0 && mQueue.empty(); }

private:
  size_t mInFlight = 0;
  std::deque<queued_grant> mQueue;
};

} // namespace parsleystair
