#include "GatewayFixture.h"

namespace parsleystair {

namespace {

class overload_test : public gateway_test
{
protected:
  /// Sends a request that is refused as not run; returns its Retry-After.
  duration RetryAfterOf(const gateway_instance& aGateway,
                        const http_request& aRequest)
  {
    const http_result result = Call(aGateway, aRequest);
    EXPECT_EQ(result.mResponse.mStatus, 503u);
    return FromSeconds(std::stod(
      FindHeader(result.mResponse.mHeaders, "Retry-After").value_or("0")));
  }
};

} // namespace

// Guards against a Retry-After that ignores how much was refused, that callers
// don't honour, or that says more than the shortest time after one refusal.
TEST_F(overload_test, RetryAfterFollowsTheRefusals)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetFull(true);
  mTargets.at("orders-2")->SetFull(true);
  EXPECT_EQ(RetryAfterOf(gateway, Request("POST", "/order/7", "order-0")),
            200ms);
  duration longest{};
  for (int i = 1; i < 8; ++i) {
    const duration time = RetryAfterOf(
      gateway, Request("POST", "/order/7", "order-" + std::to_string(i)));
    EXPECT_GE(time, 200ms);
    // The callers have 4 s.
    EXPECT_LE(time, 1334ms);
    longest = std::max(longest, time);
  }
  EXPECT_GT(longest, 400ms);
  EXPECT_NE(gateway.mTask->MetricsText().find("overload_refusals_total 8"),
            std::string::npos);
  RunFor(300ms);
  EXPECT_NE(gateway.mTask->MetricsText().find("overloads 1"),
            std::string::npos);
}

// Guards against an immediate refusal, and against one refused connection after
// another, while own connections to the owner of a key are in use and one of
// them may become free in time.
TEST_F(overload_test, WaitsForAnOwnConnectionAfterARefusedOne)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  const std::string name =
    mTargets.at("keyed-1")->Holds(100) ? "keyed-1" : "keyed-2";
  keyed_target& owner = *mTargets.at(name);
  owner.SetWork(4s);
  http_connection pending(mLoop, "127.0.0.1", gateway.mSettings.mCallers.mPort);
  http_request first = Request("GET", "/history/x", "h-1");
  first.mHeaders.push_back({ "X-Shard-Key", "100" });
  pending.Call(first, kTimeout, [](const http_result&) {});
  ASSERT_TRUE(RunUntil([&] { return RunCount("h-1") == 1; }));
  const uint16_t closed = FreePort();
  owner.SetPublicPort(closed);
  mKv.Put(TargetKey(name), owner.Entry("keyed", "ready"));
  ASSERT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find(
             "\"port\": " + std::to_string(closed)) != std::string::npos;
  }));
  http_request second = Request("GET", "/history/x", "h-2");
  second.mHeaders.push_back({ "X-Shard-Key", "100" });
  const time_point start = MonotonicNow();
  EXPECT_GE(RetryAfterOf(gateway, second), 200ms);
  // A quarter of the latency target of 1 s.
  EXPECT_GE(MonotonicNow() - start, 240ms);
  EXPECT_EQ(RunCount("h-2"), 0u);
  const std::string text = gateway.mTask->MetricsText();
  EXPECT_NE(text.find("the owner's connections are in use"), std::string::npos);
  EXPECT_NE(text.find("connections_total{use=\"refused\"} "),
            std::string::npos);
}

} // namespace parsleystair
