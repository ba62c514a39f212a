#include "Parsleystair/Balancing/TargetBalancer.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

class target_balancer_test : public testing::Test
{
protected:
  target_balancer_test()
  {
    for (const char* name : { "near", "far", "other" }) {
      known_target known;
      known.mTarget.mName = target_name(name);
      known.mTarget.mService = service_name("s");
      known.mTarget.mFailureDomain = failure_domain_name(name);
      mKnown.push_back(known);
    }
    mRequest.mService = service_name("s");
    mRequest.mLatencyTarget = 1s;
    mRequest.mIdempotent = true;
  }

  static router_location Site()
  {
    router_location site;
    site.mFailureDomain = failure_domain_name("near");
    site.mRegions = { { failure_domain_name("near"), region_name("r") },
                      { failure_domain_name("far"), region_name("r") },
                      { failure_domain_name("other"), region_name("q") } };
    return site;
  }

  std::string Choose()
  {
    std::vector<const known_target*> targets;
    for (const known_target& each : mKnown) {
      targets.push_back(&each);
    }
    const known_target* chosen = mBalancer.Choose(mRequest, targets, mNow);
    return chosen == nullptr ? "" : chosen->mTarget.mName.Value();
  }

  void Serve(const std::string& aTarget, duration aLatency, attempt_outcome aResult)
  {
    const target_name name(aTarget);
    const attempt_id send = mBalancer.HandleSent(name, service_name("s"), mNow);
    mNow += aLatency;
    mBalancer.HandleOutcome(name, send, aResult, 1000, mNow);
  }

  void ServeAll(duration aLatency)
  {
    for (int i = 0; i < 20; ++i) {
      for (const known_target& each : mKnown) {
        Serve(each.mTarget.mName.Value(), aLatency, attempt_outcome::kResponded);
      }
    }
  }

  time_point mNow{ 1h };
  std::vector<known_target> mKnown;
  choice_request mRequest;
  target_balancer mBalancer{ Site(), 7 };
};

} // namespace

// Guards against paid traffic between regions without a benefit in latency.
TEST_F(target_balancer_test, PrefersNearTargetWhenAllAreAlike)
{
  ServeAll(50ms);
  for (int i = 0; i < 50; ++i) {
    EXPECT_NE(Choose(), "other");
  }
}

// Guards against choosing a nearby target that responds late while a distant
// one responds in time.
TEST_F(target_balancer_test, AvoidsSlowTarget)
{
  ServeAll(50ms);
  for (int i = 0; i < 10; ++i) {
    Serve("near", 1200ms, attempt_outcome::kResponded);
  }
  EXPECT_EQ(Choose(), "far");
}

// Guards against choosing a target that fails while others work.
TEST_F(target_balancer_test, AvoidsFailingTarget)
{
  ServeAll(50ms);
  for (int i = 0; i < 6; ++i) {
    Serve("near", 1ms, attempt_outcome::kFailedResponse);
  }
  EXPECT_EQ(Choose(), "far");
  // The target is chosen again once its failure rate has decayed.
  mNow += 30s;
  EXPECT_EQ(Choose(), "near");
}

// Guards against choosing a target that has stopped responding.
TEST_F(target_balancer_test, AvoidsSilentTarget)
{
  ServeAll(50ms);
  mBalancer.HandleSent(target_name("near"), service_name("s"), mNow);
  mNow += 400ms;
  EXPECT_TRUE(mBalancer.IsSilent(target_name("near"), mNow));
  EXPECT_EQ(Choose(), "far");
}

// Guards against an ejected target that returns without a successful health
// check, and against one whose health is never checked.
TEST_F(target_balancer_test, EjectedTargetReturnsAfterHealthProbe)
{
  ServeAll(50ms);
  Serve("near", 1ms, attempt_outcome::kNotConnected);
  EXPECT_TRUE(mBalancer.IsEjected(target_name("near")));
  EXPECT_TRUE(mBalancer.TakeDueHealthChecks(mNow).empty());
  mNow += 1s;
  ASSERT_EQ(mBalancer.TakeDueHealthChecks(mNow).size(), 1u);
  EXPECT_TRUE(mBalancer.TakeDueHealthChecks(mNow).empty());
  mBalancer.HandleHealthCheck(target_name("near"), false, mNow);
  mNow += 1s;
  ASSERT_EQ(mBalancer.TakeDueHealthChecks(mNow).size(), 1u);
  mBalancer.HandleHealthCheck(target_name("near"), true, mNow);
  EXPECT_FALSE(mBalancer.IsEjected(target_name("near")));
}

// Guards against a service without any usable target because a fault of the
// router's own network path ejected all of them.
TEST_F(target_balancer_test, ChoosesOneEvenIfAllAreEjected)
{
  for (const known_target& each : mKnown) {
    Serve(each.mTarget.mName.Value(), 1ms, attempt_outcome::kNotConnected);
  }
  EXPECT_NE(Choose(), "");
}

// Guards against retrying a request at the target where it failed.
TEST_F(target_balancer_test, AvoidsTriedTargets)
{
  ServeAll(50ms);
  mRequest.mAttemptedTargets = { target_name("near") };
  EXPECT_EQ(Choose(), "far");
}

} // namespace parsleystair
