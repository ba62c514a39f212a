#include "Parsleystair/Gateway/FenceConnections.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const target_name kTarget("t");
const fence kFence(7);
const time_point kStart(100s);

target_connection_id Connection(uint64_t aNumber)
{
  return target_connection_id(aNumber);
}

} // namespace

// Guards against a fence that is granted over a connection which was set up
// after the fence was first sent, and so may lead to a later incarnation.
TEST(FenceConnections, LaterConnectionsCarryNoKnownFence)
{
  fence_connections fences;
  EXPECT_FALSE(fences.BoundOf(kTarget, kFence));
  fences.HandleSend(kTarget, kFence, Connection(2), kStart);
  for (const duration later : { duration(0ms), duration(1s) }) {
    fences.HandleSend(kTarget, kFence, Connection(1), kStart + later);
    const auto bound = fences.BoundOf(kTarget, kFence);
    ASSERT_TRUE(bound);
    EXPECT_TRUE(bound->Allows(Connection(2), kStart + 10ms));
    EXPECT_TRUE(bound->Allows(Connection(1), kStart));
    // Being set up when the fence was sent.
    EXPECT_FALSE(bound->Allows(Connection(1), kStart + 10ms));
    EXPECT_FALSE(bound->Allows(Connection(3), kStart + 10ms));
  }
  EXPECT_FALSE(fences.BoundOf(target_name("u"), kFence));
  EXPECT_FALSE(fences.BoundOf(kTarget, fence(8)));
}

// Guards against an owner that gets no grant any more because its first one was
// not sent, and against forgetting that another one was.
TEST(FenceConnections, OnlyUnsentFencesMayUseAnotherConnection)
{
  fence_connections fences;
  fences.HandleSend(kTarget, kFence, Connection(2), kStart);
  fences.HandleSend(kTarget, kFence, Connection(1), kStart);
  fences.HandleNotSent(kTarget, kFence);
  EXPECT_TRUE(fences.BoundOf(kTarget, kFence));
  fences.HandleNotSent(kTarget, kFence);
  EXPECT_FALSE(fences.BoundOf(kTarget, kFence));
}

// Guards against memory that grows with each change of the record, and against
// forgetting a fence that is still granted.
TEST(FenceConnections, OnlyOldFencesOutsideTheRecordAreForgotten)
{
  fence_connections fences;
  fences.HandleSend(kTarget, fence(1), Connection(1), kStart);
  fences.HandleSend(kTarget, fence(2), Connection(1), kStart);
  fences.RemoveUnused({ fence(2) }, kStart + 30s);
  EXPECT_TRUE(fences.BoundOf(kTarget, fence(1)));
  fences.RemoveUnused({ fence(2) }, kStart + 2min);
  EXPECT_FALSE(fences.BoundOf(kTarget, fence(1)));
  EXPECT_TRUE(fences.BoundOf(kTarget, fence(2)));
}

} // namespace parsleystair
