#include "Parsleystair/Gateway/GrantQueue.h"

namespace parsleystair {

namespace {

/// Most grants in flight to a target. A grant takes one round trip, 24 ms
/// between regions, and a target owns about ten ranges at most.
constexpr size_t kMaxInFlight = 2;
/// Longest time in the queue. Grants are decided while the leadership was
/// confirmed recently, so they must not be sent much later. A new leader
/// tolerates this delay, because it starts when the former leader's lease of
/// 1.5 s has expired.
constexpr duration kMaxQueueTime = 300ms;

} // namespace

bool grant_queue::Add(const service_name& aService,
                      const grant_order& aOrder,
                      time_point aNow)
{
  if (mInFlight < kMaxInFlight) {
    ++mInFlight;
    return true;
  }
  mQueue.push_back({ aService, aOrder, aNow });
  return false;
}

bool grant_queue::PutBack(const queued_grant& aGrant)
{
  if (mInFlight <= 1) {
    return false;
  }
  --mInFlight;
  mQueue.push_front(aGrant);
  return true;
}

grant_queue::dequeued_grants grant_queue::HandleOutcome(order_result aOutcome,
                                                        time_point aNow)
{
  --mInFlight;
  dequeued_grants next;
  while (!mQueue.empty() && mInFlight < kMaxInFlight) {
    const queued_grant first = mQueue.front();
    mQueue.pop_front();
    const bool withinMaxTime = aNow - first.mQueuedAt <= kMaxQueueTime;
    if (aOutcome == order_result::kNotSent || !withinMaxTime) {
      next.mDropped.push_back(first);
      continue;
    }
    ++mInFlight;
    next.mToSend.push_back(first);
  }
  return next;
}

size_t grant_queue::Clear()
{
  const size_t queued = mQueue.size();
  mQueue.clear();
  mInFlight = 0;
  return queued;
}

} // namespace parsleystair
