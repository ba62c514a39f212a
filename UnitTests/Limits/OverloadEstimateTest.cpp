#include "Parsleystair/Limits/OverloadEstimate.h"

#include "OverloadSimulation.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const service_name kService("s");

/// Load of 0.6 of a capacity, with a peak of 1.5 for 15 s, at routers that
/// don't know of one another. `aEstimates`: the routers estimate the
/// Retry-After.
played_requests PlayPeak(bool aEstimates)
{
  constexpr size_t kRouters = 6;
  const time_point start(1h);
  simulated_capacity target(8, 24);
  std::vector<overload_table> routers(kRouters);
  std::mt19937_64 random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  std::optional<simulated_callers> callers;
  const auto rate = [&](time_point aNow) {
    const bool isPeak = aNow >= start + 10s && aNow < start + 25s;
    return (isPeak ? 1.5 : 0.6) * target.Capacity();
  };
  callers.emplace(
    std::vector<simulated_callers::group>{ { rate } },
    [&](const simulated_callers::request& aRequest, time_point aNow) {
      overload_table& router = routers[random() % kRouters];
      const bool taken = target.Take(
        [&, aRequest](time_point aEnd) {
          router.AddResponse(kService, {}, aEnd);
          callers->Served(aRequest, aEnd);
        },
        aNow);
      if (taken) {
        return;
      }
      router.AddRefusal(kService, {}, aNow);
      const duration retryAfter =
        aEstimates ? DrawRetryAfter(router.BacklogTime(kService, {}, aNow),
                                    aRequest.mDeadline - aNow,
                                    draw(random))
                   : kMinRetryAfter;
      callers->Refused(aRequest, retryAfter, aNow);
    });
  for (time_point now = start; now < start + 40s;
       now += simulated_callers::kStep) {
    target.Run(now);
    callers->Step(now);
  }
  return callers->Results()[0];
}

} // namespace

// Guards against callers that come back while there is still no capacity, and
// are refused again and again.
TEST(OverloadEstimate, FewerRequestsAreRefusedAgainInAPeak)
{
  const played_requests fixed = PlayPeak(false);
  const played_requests estimated = PlayPeak(true);
  RecordProperty("fixedRefusedAgain", static_cast<int>(fixed.mRefusedAgain));
  RecordProperty("estimatedRefusedAgain",
                 static_cast<int>(estimated.mRefusedAgain));
  RecordProperty("requests", static_cast<int>(fixed.mRequests));
  RecordProperty("fixedServed", static_cast<int>(fixed.mServed));
  RecordProperty("estimatedServed", static_cast<int>(estimated.mServed));
  EXPECT_GT(fixed.mRefusedAgain, 100u);
  EXPECT_LT(estimated.mRefusedAgain * 2, fixed.mRefusedAgain);
  EXPECT_GE(estimated.mServed * 100, fixed.mServed * 98);
}

// Guards against callers that are told to wait though nothing is overloaded.
TEST(OverloadEstimate, WithoutOverloadTheTimeIsTheShortest)
{
  overload_table table;
  const time_point now(1h);
  EXPECT_EQ(table.BacklogTime(kService, {}, now), duration::zero());
  table.AddRefusal(kService, {}, now);
  EXPECT_EQ(table.BacklogTime(kService, {}, now), duration::zero());
  for (int i = 0; i < 100; ++i) {
    table.AddResponse(kService, {}, now);
  }
  table.AddRefusal(kService, {}, now);
  table.AddRefusal(kService, {}, now);
  EXPECT_EQ(table.BacklogTime(kService, {}, now), duration::zero());
  EXPECT_EQ(DrawRetryAfter(duration::zero(), 10s, 0.99), kMinRetryAfter);
}

// Guards against a Retry-After that a caller doesn't honour, or that lets all
// callers return at one time.
TEST(OverloadEstimate, ReturnsAreSpreadWithinAThirdOfTheTimeLeft)
{
  EXPECT_EQ(DrawRetryAfter(60s, 3s, 0), kMinRetryAfter);
  EXPECT_GT(DrawRetryAfter(60s, 3s, 0.9), 800ms);
  EXPECT_LE(DrawRetryAfter(60s, 3s, 0.999), 1s);
  EXPECT_LE(DrawRetryAfter(700ms, 30s, 0.999), 700ms);
  EXPECT_EQ(DrawRetryAfter(60s, -1s, 0.9), kMinRetryAfter);
  EXPECT_EQ(DrawRetryAfter(60s, duration::zero(), 0.9), kMinRetryAfter);
}

// Guards against estimates of an owner that its neighbours or a whole service
// hide, and against an overload that never ends.
TEST(OverloadEstimate, OwnersHaveTheirOwnEstimate)
{
  overload_table table;
  const target_name hot("hot");
  const target_name cool("cool");
  time_point now(1h);
  for (int i = 0; i < 60; ++i) {
    table.AddResponse(kService, cool, now);
  }
  table.AddResponse(kService, hot, now);
  table.AddRefusal(kService, hot, now);
  table.AddRefusal(kService, hot, now);
  EXPECT_EQ(table.BacklogTime(kService, cool, now), duration::zero());
  EXPECT_GT(table.BacklogTime(kService, hot, now), 5s);
  const auto started = table.Update(now);
  ASSERT_EQ(started.size(), 1u);
  EXPECT_EQ(started[0].mSubject, (overload_subject{ kService, hot }));
  EXPECT_TRUE(started[0].mOverloaded);
  EXPECT_EQ(table.Overloaded(), 1u);
  now += 60s;
  const auto ended = table.Update(now);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_FALSE(ended[0].mOverloaded);
  EXPECT_EQ(table.Overloaded(), 0u);
  EXPECT_TRUE(table.Update(now).empty());
}

// Guards against refusals of the leader's limits that ignore what the leader
// knows of the other routers, and against shares out of range.
TEST(OverloadEstimate, LimitedShareGivesTheBacklog)
{
  EXPECT_EQ(BacklogTimeOfShare(1), duration::zero());
  EXPECT_EQ(BacklogTimeOfShare(0.5), 3s);
  EXPECT_GT(BacklogTimeOfShare(0.1), 20s);
  EXPECT_EQ(BacklogTimeOfShare(0), 60s);
  EXPECT_EQ(BacklogTimeOfShare(1e-9), 60s);
}

} // namespace parsleystair
