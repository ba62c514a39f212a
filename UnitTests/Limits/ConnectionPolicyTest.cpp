#include "Parsleystair/Limits/ConnectionPolicy.h"

#include <gtest/gtest.h>

#include <limits>

namespace parsleystair {

// Guards against a target that is kept from connections for longer than its
// queue is full, and against one that holds back those of other targets.
TEST(ConnectionBackoff, EndsSoonAndWithAResponse)
{
  connection_backoff backoff;
  const time_point now(1h);
  const target_name target("t");
  EXPECT_FALSE(backoff.IsActive(target, now));
  backoff.HandleFailure(target, now);
  EXPECT_TRUE(backoff.IsActive(target, now + 249ms));
  EXPECT_FALSE(backoff.IsActive(target_name("other"), now));
  EXPECT_FALSE(backoff.IsActive(target, now + 250ms));
  backoff.HandleFailure(target, now);
  backoff.HandleSuccess(target);
  EXPECT_FALSE(backoff.IsActive(target, now));
}

// Guards against idle connections beyond the descriptors and the memory of a
// small router, and against fewer than before.
TEST(MaxIdleConnections, FollowsTheLimitWithinTheRouterSBounds)
{
  constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();
  EXPECT_EQ(MaxIdleConnections(kUnlimited, 10), 2u);
  EXPECT_EQ(MaxIdleConnections(1, 10), 2u);
  EXPECT_EQ(MaxIdleConnections(7, 6), 7u);
  // Deployments A and B of docs/hard-load.md.
  EXPECT_EQ(MaxIdleConnections(6, 165), 6u);
  EXPECT_EQ(MaxIdleConnections(17, 179), 5u);
  EXPECT_EQ(MaxIdleConnections(400, 900), 2u);
  EXPECT_EQ(MaxIdleConnections(7, 0), 7u);
}

} // namespace parsleystair
