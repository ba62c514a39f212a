#include "Parsleystair/Gateway/GrantQueue.h"

namespace parsleystair {

namespace {

/// Grants that are sent to a target at a time. A grant takes one round trip, 24
/// ms between regions, and a target has some ten ranges at most.
constexpr size_t kGrantsAtOnce = 2;
/// Longest wait behind others. Grants are given as long as the lead was proven
/// lately, so they must not be sent much later. A new leader allows for it: it
/// starts when the former one's lease of 1.5 s has run out.
constexpr duration kMaxWait = 300ms;

} // namespace

bool grant_queue::Add(const service_name& aService,
                      const grant_order& aOrder,
                      time_point aNow)
{
  if (mOpen < kGrantsAtOnce) {
    ++mOpen;
    return true;
  }
  mWaiting.push_back({ aService, aOrder, aNow });
  return false;
}

grant_queue::next_grants grant_queue::HandleEnd(order_end aEnd, time_point aNow)
{
  --mOpen;
  next_grants next;
  while (!mWaiting.empty() && mOpen < kGrantsAtOnce) {
    const waiting_grant first = mWaiting.front();
    mWaiting.pop_front();
    const bool inTime = aNow - first.mSince <= kMaxWait;
    if (aEnd == order_end::kNotSent || !inTime) {
      next.mGiveUp.push_back(first);
      continue;
    }
    ++mOpen;
    next.mSend.push_back(first);
  }
  return next;
}

} // namespace parsleystair
