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

/// Adds `aCount` grants; returns how many of them are to be sent immediately.
size_t AddGrants(grant_queue& aQueue, uint32_t aCount)
{
  size_t sent = 0;
  for (uint32_t key = 0; key < aCount; ++key) {
    sent += aQueue.Add(kService, Order(key), kStart) ? 1 : 0;
  }
  return sent;
}

} // namespace

// Guards against one connection to an owner for each of its ranges: the owner
// resets connections above its limit, and loses the keys whose grants are lost
// with them.
TEST(GrantQueue, BoundsGrantsInFlightAndSendsEachOnce)
{
  grant_queue queue;
  size_t inFlight = AddGrants(queue, 10);
  EXPECT_EQ(inFlight, 2U);
  std::vector<uint32_t> sent;
  while (inFlight > 0) {
    const auto next =
      queue.HandleOutcome(order_result::kAccepted, kStart + 100ms);
    EXPECT_TRUE(next.mDropped.empty());
    for (const auto& grant : next.mToSend) {
      sent.push_back(grant.mOrder.mKeys.mFirst);
    }
    inFlight = inFlight - 1 + next.mToSend.size();
    EXPECT_LE(inFlight, 2U);
  }
  EXPECT_EQ(sent, (std::vector<uint32_t>{ 2, 3, 4, 5, 6, 7, 8, 9 }));
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against grants that are sent long after the leadership was confirmed.
TEST(GrantQueue, DropsGrantsThatWereQueuedTooLong)
{
  grant_queue queue;
  AddGrants(queue, 5);
  const auto next =
    queue.HandleOutcome(order_result::kNoResponse, kStart + 301ms);
  EXPECT_TRUE(next.mToSend.empty());
  EXPECT_EQ(next.mDropped.size(), 3U);
}

// Guards against repeated connection attempts to a target that has gone.
TEST(GrantQueue, DropsAllGrantsOfAnUnreachableTarget)
{
  grant_queue queue;
  AddGrants(queue, 5);
  EXPECT_EQ(queue.HandleOutcome(order_result::kNotSent, kStart).mDropped.size(),
            3U);
  queue.HandleOutcome(order_result::kNotSent, kStart);
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against sending grants that were decided during a previous term of
// leadership, and against cancelled grants that count as in flight.
TEST(GrantQueue, ClearRemovesQueuedGrants)
{
  grant_queue queue;
  AddGrants(queue, 5);
  queue.Clear();
  EXPECT_TRUE(queue.IsIdle());
  AddGrants(queue, 2);
  const auto next = queue.HandleOutcome(order_result::kAccepted, kStart);
  EXPECT_TRUE(next.mToSend.empty() && next.mDropped.empty());
}

// Guards against grants that are lost, or sent out of turn, because the
// connections that may carry them are busy.
TEST(GrantQueue, GrantsPutBackAreSentWhenAnotherOneHasEnded)
{
  grant_queue queue;
  AddGrants(queue, 3);
  EXPECT_TRUE(queue.PutBack({ kService, Order(1), kStart }));
  const auto next = queue.HandleOutcome(order_result::kAccepted, kStart);
  ASSERT_EQ(next.mToSend.size(), 2U);
  EXPECT_EQ(next.mToSend[0].mOrder.mKeys.mFirst, 1U);
  EXPECT_EQ(next.mToSend[1].mOrder.mKeys.mFirst, 2U);
  EXPECT_TRUE(queue.PutBack(next.mToSend[1]));
  EXPECT_FALSE(queue.PutBack(next.mToSend[0]));
  const auto last = queue.HandleOutcome(order_result::kAccepted, kStart);
  ASSERT_EQ(last.mToSend.size(), 1U);
  queue.HandleOutcome(order_result::kAccepted, kStart);
  EXPECT_TRUE(queue.IsIdle());
}

} // namespace parsleystair
