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
  struct waiting_grant
  {
    service_name mService;
    grant_order mOrder;
    time_point mSince;
  };

  /// What to do with waiting grants after one has ended.
  struct next_grants
  {
    std::vector<waiting_grant> mSend;
    /// Waited too long, or the target can't be reached now.
    std::vector<waiting_grant> mGiveUp;
  };

  /// True: send it now. Else it waits.
  bool Add(const service_name& aService,
           const grant_order& aOrder,
           time_point aNow);

  next_grants HandleEnd(order_end aEnd, time_point aNow);

  /// Forgets all that wait.
  void Clear() { mWaiting.clear(); }

  [[nodiscard]] bool IsIdle() const { return mOpen == 0 && mWaiting.empty(); }

private:
  size_t mOpen = 0;
  std::deque<waiting_grant> mWaiting;
};

} // namespace parsleystair
