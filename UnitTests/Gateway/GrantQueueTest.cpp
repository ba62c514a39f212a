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
size_t Fill(grant_queue& aQueue, uint32_t aCount)
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
TEST(GrantQueue, SendsFewGrantsAtOnceAndEachOnce)
{
  grant_queue queue;
  size_t open = Fill(queue, 10);
  EXPECT_EQ(open, 2U);
  std::vector<uint32_t> sent;
  while (open > 0) {
    const auto next = queue.HandleEnd(order_end::kAccepted, kStart + 100ms);
    EXPECT_TRUE(next.mGiveUp.empty());
    for (const auto& each : next.mSend) {
      sent.push_back(each.mOrder.mKeys.mFrom);
    }
    open = open - 1 + next.mSend.size();
    EXPECT_LE(open, 2U);
  }
  EXPECT_EQ(sent, (std::vector<uint32_t>{ 2, 3, 4, 5, 6, 7, 8, 9 }));
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against grants that are sent long after the lead was proven.
TEST(GrantQueue, GivesUpGrantsThatWaitedTooLong)
{
  grant_queue queue;
  Fill(queue, 5);
  const auto next = queue.HandleEnd(order_end::kUnanswered, kStart + 301ms);
  EXPECT_TRUE(next.mSend.empty());
  EXPECT_EQ(next.mGiveUp.size(), 3U);
}

// Guards against one failed connection after another to a target that has gone.
TEST(GrantQueue, GivesUpAllWhenTheTargetCantBeReached)
{
  grant_queue queue;
  Fill(queue, 5);
  EXPECT_EQ(queue.HandleEnd(order_end::kNotSent, kStart).mGiveUp.size(), 3U);
  queue.HandleEnd(order_end::kNotSent, kStart);
  EXPECT_TRUE(queue.IsIdle());
}

// Guards against grants of a former lead.
TEST(GrantQueue, ForgetsWaitingGrants)
{
  grant_queue queue;
  Fill(queue, 5);
  queue.Clear();
  const auto next = queue.HandleEnd(order_end::kAccepted, kStart);
  EXPECT_TRUE(next.mSend.empty() && next.mGiveUp.empty());
}

} // namespace parsleystair
