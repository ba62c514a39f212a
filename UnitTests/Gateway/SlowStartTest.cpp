#include "GatewayFixture.h"

namespace parsleystair {

namespace {

constexpr double kRate = 2;

/// A gateway whose services limit the requests to targets in slow start.
class slow_start_test : public gateway_test
{
protected:
  slow_start_test()
  {
    mKv.Put(kConfigurationKey,
            EncodeOperatorConfiguration(2,
                                        { { "read", true, "plain" },
                                          { "order", false, "orders" },
                                          { "history", true, "keyed" } },
                                        { { "plain", false, kRate, 10s },
                                          { "orders", false, kRate, 10s },
                                          { "keyed", true, kRate, 10s } }));
    StartGateway("a");
    // The router has had the list of routers for long enough.
    RunFor(slow_start_admission::kListOverlap + 2s);
  }

  /// Writes a later entry of the same incarnation.
  void EnterSlowStart(const std::string& aTarget,
                      const std::string& aService,
                      duration aRest)
  {
    mTargets.at(aTarget)->SetSlowStart(aRest);
    mKv.Put(TargetKey(aTarget), mTargets.at(aTarget)->Entry(aService, "ready"));
  }

  http_result CallNext(const std::string& aMethod, const std::string& aPath)
  {
    http_request request =
      Request(aMethod, aPath, "r-" + std::to_string(++mCount));
    request.mHeaders.push_back({ "X-Shard-Key", "100" });
    return Call(mGateways.at("a"), request);
  }

  /// Seconds in the Retry-After of a refusal that says "not run".
  static double RetryAfter(const http_result& aResult)
  {
    EXPECT_EQ(aResult.mResponse.mStatus, 503u);
    const auto text = FindHeader(aResult.mResponse.mHeaders, "Retry-After");
    return text ? std::stod(*text) : -1;
  }

  size_t mCount = 0;
};

} // namespace

// Guards against a target in slow start that gets all that it is chosen for,
// and against one that gets nothing.
TEST_F(slow_start_test, TargetInSlowStartGetsItsRateWhileOthersServe)
{
  EnterSlowStart("plain-1", "plain", 9s);
  RunFor(300ms);
  const size_t before = mTargets.at("plain-1")->Arrivals();
  const time_point end = MonotonicNow() + 3s;
  while (MonotonicNow() < end) {
    EXPECT_EQ(CallNext("GET", "/read/x").mResponse.mStatus, 200u);
  }
  const size_t arrivals = mTargets.at("plain-1")->Arrivals() - before;
  EXPECT_GE(arrivals, 3u);
  EXPECT_LE(arrivals, static_cast<size_t>(3 * kRate + 2));
  EXPECT_NE(mGateways.at("a").mTask->MetricsText().find(
              "parsleystair_targets_in_slow_start 1"),
            std::string::npos);
}

// Guards against requests that are sent in spite of the limit, as no other
// target is left, and against a retry time beyond the slow start.
TEST_F(slow_start_test, RequestsBeyondTheRateAreRefusedAsNotRun)
{
  mKv.Remove(TargetKey("orders-2"));
  EnterSlowStart("orders-1", "orders", 4s);
  RunFor(300ms);
  const size_t before = mTargets.at("orders-1")->Ran().size();
  size_t refused = 0;
  for (size_t i = 0; i < 20; ++i) {
    const http_result result = CallNext("POST", "/order/1");
    if (result.mResponse.mStatus != 200) {
      ++refused;
      EXPECT_GT(RetryAfter(result), 0);
      EXPECT_LE(RetryAfter(result), 4);
    }
  }
  EXPECT_GT(refused, 0u);
  EXPECT_EQ(mTargets.at("orders-1")->Ran().size() - before, 20 - refused);
  RunFor(4s);
  EXPECT_EQ(CallNext("POST", "/order/1").mResponse.mStatus, 200u);
}

// Guards against keys that stay with an owner in slow start, and against
// requests to it beyond the rate until they have moved.
TEST_F(slow_start_test, KeysMoveToAWarmOwner)
{
  WaitForKeyOwner(mGateways.at("a"));
  const std::string owner =
    mTargets.at("keyed-1")->Holds(100) ? "keyed-1" : "keyed-2";
  const std::string other = owner == "keyed-1" ? "keyed-2" : "keyed-1";
  EnterSlowStart(owner, "keyed", 9s);
  ASSERT_TRUE(RunUntil([&] { return mTargets.at(other)->Holds(100); }));
  RunFor(300ms);
  const size_t before = mTargets.at(owner)->Ran().size();
  for (size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(CallNext("GET", "/history/a").mResponse.mStatus, 200u);
  }
  EXPECT_EQ(mTargets.at(owner)->Ran().size(), before);
}

// Guards against requests beyond the rate to an owner whose keys nobody else
// can take.
TEST_F(slow_start_test, OwnerThatKeepsItsKeysGetsOnlyItsRate)
{
  WaitForKeyOwner(mGateways.at("a"));
  EnterSlowStart("keyed-1", "keyed", 4s);
  EnterSlowStart("keyed-2", "keyed", 4s);
  RunFor(300ms);
  size_t served = 0;
  for (size_t i = 0; i < 20; ++i) {
    const http_result result = CallNext("GET", "/history/a");
    if (result.mResponse.mStatus == 200) {
      ++served;
    } else {
      EXPECT_LE(RetryAfter(result), 4);
    }
  }
  EXPECT_GE(served, 1u);
  EXPECT_LE(served, 6u);
}

} // namespace parsleystair
