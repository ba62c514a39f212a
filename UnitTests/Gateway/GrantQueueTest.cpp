#include "Parsleystair/Gateway/GrantQueue.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const service_name kService("s");
const time_point kStart(100s);

grant_order Order(uint32_t aFrom)
{
  grant_order order;
  order.mKeys = { aFrom, aFrom };
  return order;
}

/// Adds grants until some wait; returns how many are sent at once.
size_t AddGrants(grant_queue& aQueue, uint32_t aCount)
{
  size_t sent = 0;
  for (uint32_t key = 0; key < aCount; ++key) {
    sent += aQueue.Add(kService, Order(key), kStart) ? 1 : 0;
  }
  return sent;
}

} // namespace

// Guards against as many connections to an owner as it has ranges: it resets
// what is above its limit, and loses its keys with the grants.
TEST(GrantQueue, BoundsGrantsInFlightAndSendsEachOnce)
{
  grant_queue queue;
  size_t inFlight = AddGrants(queue, 10);
  EXPECT_EQ(inFlight, 2U);
  std::vector<uint32_t> sent;
  while (inFlight > 0) {
    const auto next = queue.HandleOutcome(order_end::kAccepted, kStart + 100ms);
    EXPECT_TRUE(next.mDropped.empty());
    for (const auto& grant : next.mToSend) {
      sent.push_back(grant.mOrder.mKeys.mFrom);
    }
    inFlight = inFlight - 1 + next.mToSend.size();
    EXPECT_LE(inFlight, 2U);
  }
  EXPECT_EQ(sent, (std::vector<uint32_t>{ 2, 3, 4, 5, 6, 7, 8, 9 }));
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against grants that are sent long after the lead was proven.
TEST(GrantQueue, DropsGrantsThatWereQueuedTooLong)
{
  grant_queue queue;
  AddGrants(queue, 5);
  const auto next = queue.HandleOutcome(order_end::kUnanswered, kStart + 301ms);
  EXPECT_TRUE(next.mToSend.empty());
  EXPECT_EQ(next.mDropped.size(), 3U);
}

// Guards against one failed connection after another to a target that has gone.
TEST(GrantQueue, DropsAllGrantsOfAnUnreachableTarget)
{
  grant_queue queue;
  AddGrants(queue, 5);
  EXPECT_EQ(queue.HandleOutcome(order_end::kNotSent, kStart).mDropped.size(),
            3U);
  queue.HandleOutcome(order_end::kNotSent, kStart);
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against grants of a former lead.
TEST(GrantQueue, ClearRemovesQueuedGrants)
{
  grant_queue queue;
  AddGrants(queue, 5);
  queue.Clear();
  const auto next = queue.HandleOutcome(order_end::kAccepted, kStart);
  EXPECT_TRUE(next.mToSend.empty() && next.mDropped.empty());
}

} // namespace parsleystair
