#include "GatewayFixture.h"

namespace parsleystair {

namespace {

/// Runs gateways whose targets say in their answers that they leave while their
/// entries say `ready`.
class leaving_target_test : public gateway_test
{
protected:
  /// Sends requests to the service `orders` and returns how many succeeded.
  size_t CallOrders(const gateway_instance& aGateway, size_t aCount)
  {
    size_t succeeded = 0;
    for (size_t i = 0; i < aCount; ++i) {
      const std::string id = "order-" + std::to_string(++mCalls);
      const http_result result =
        Call(aGateway, Request("POST", "/order/1", id));
      succeeded += result.mResponse.mStatus == 200 ? 1 : 0;
    }
    return succeeded;
  }

  /// Sends requests until a target has got one.
  void CallUntilArrival(const gateway_instance& aGateway,
                        const keyed_target& aTarget)
  {
    constexpr size_t kMaxCalls = 50;
    for (size_t i = 0; i < kMaxCalls && aTarget.Arrivals() == 0; ++i) {
      CallOrders(aGateway, 1);
    }
    EXPECT_GT(aTarget.Arrivals(), 0u);
  }

  static constexpr size_t kRequests = 30;
  size_t mCalls = 0;
};

} // namespace

// Guards against requests to a target that has said that it leaves: while the
// store is away, and after its entry has said `ready` once more.
TEST_F(leaving_target_test, LeavingTargetGetsNoRequestsUntilItsNextStart)
{
  keyed_target& target = *mTargets.at("orders-1");
  target.SetLeaving(true);
  const gateway_instance& gateway = StartGateway("a");
  CallUntilArrival(gateway, target);
  EXPECT_EQ(CallOrders(gateway, kRequests), kRequests);
  mKv.SetUnavailable(true);
  RunFor(3s);
  EXPECT_EQ(CallOrders(gateway, kRequests), kRequests);
  mKv.SetUnavailable(false);
  mKv.Put(TargetKey("orders-1"), target.Entry("orders", "ready"));
  RunFor(3s);
  EXPECT_EQ(CallOrders(gateway, kRequests), kRequests);
  EXPECT_EQ(target.Arrivals(), 1u);

  target.SetLeaving(false);
  target.SetStarted(2000);
  mKv.Put(TargetKey("orders-1"), target.Entry("orders", "ready"));
  RunFor(1s);
  EXPECT_EQ(CallOrders(gateway, kRequests), kRequests);
  EXPECT_GT(target.Arrivals(), 1u);
}

// Guards against requests to a target that has said that it leaves in a refusal
// only.
TEST_F(leaving_target_test, RefusalThatSaysLeavingEndsRequests)
{
  keyed_target& target = *mTargets.at("orders-1");
  target.SetLeaving(true);
  target.SetFull(true);
  const gateway_instance& gateway = StartGateway("a");
  CallUntilArrival(gateway, target);
  target.SetFull(false);
  // Leaves no other target to choose.
  mKv.Put(TargetKey("orders-2"),
          mTargets.at("orders-2")->Entry("orders", "draining"));
  RunFor(1s);
  EXPECT_EQ(CallOrders(gateway, kRequests), 0u);
  EXPECT_EQ(target.Arrivals(), 1u);
}

// Guards against a health check that passes and brings back a target whose
// response to it says that it leaves.
TEST_F(leaving_target_test, HealthCheckThatSaysLeavingBringsNoTargetBack)
{
  keyed_target& target = *mTargets.at("orders-1");
  target.SetPublicPort(FreePort());
  mKv.Put(TargetKey("orders-1"), target.Entry("orders", "ready"));
  const gateway_instance& gateway = StartGateway("a");
  // One of them is sent to the port where nobody listens.
  CallOrders(gateway, kRequests);
  target.SetLeaving(true);
  target.SetPublicPort(target.Port());
  mKv.Put(TargetKey("orders-1"), target.Entry("orders", "ready"));
  EXPECT_TRUE(RunUntil([&] { return target.Arrivals() > 0; }));
  // Leaves no other target to choose.
  mKv.Put(TargetKey("orders-2"),
          mTargets.at("orders-2")->Entry("orders", "draining"));
  RunFor(1s);
  const size_t ran = target.Ran().size();
  EXPECT_EQ(CallOrders(gateway, kRequests), 0u);
  EXPECT_EQ(target.Ran().size(), ran);
}

// Guards against keys that stay with a target that says only in responses to
// orders that it leaves.
TEST_F(leaving_target_test, KeysOfALeavingTargetAreMoved)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  keyed_target& leaving = *mTargets.at("keyed-1");
  keyed_target& remaining = *mTargets.at("keyed-2");
  const size_t arrivals = leaving.Arrivals();
  leaving.SetLeaving(true);
  EXPECT_TRUE(RunUntil([&] {
    return remaining.Holds(0) && remaining.Holds(100) &&
           remaining.Holds(65'535) && !leaving.Holds(0) &&
           !leaving.Holds(100) && !leaving.Holds(65'535);
  }));
  for (uint32_t key = 0; key <= 65'535; key += 4369) {
    http_request request =
      Request("GET", "/history/a", "key-" + std::to_string(key));
    request.mHeaders.push_back({ "X-Shard-Key", std::to_string(key) });
    EXPECT_EQ(Call(gateway, request).mResponse.mStatus, 200u) << key;
  }
  EXPECT_EQ(leaving.Arrivals(), arrivals);
}

// Guards against requests that wait, or reach a target, when all targets of a
// service leave. Callers get the refusal that they get of draining entries.
TEST_F(leaving_target_test, ServiceWhoseTargetsLeaveRefusesAtOnce)
{
  for (const std::string name : { "orders-1", "orders-2" }) {
    mTargets.at(name)->SetLeaving(true);
  }
  for (const std::string name : { "plain-1", "plain-2" }) {
    mKv.Put(TargetKey(name), mTargets.at(name)->Entry("plain", "draining"));
  }
  const gateway_instance& gateway = StartGateway("a");
  CallUntilArrival(gateway, *mTargets.at("orders-1"));
  CallUntilArrival(gateway, *mTargets.at("orders-2"));
  const http_result expected = Call(gateway, Request("GET", "/read/x", "r-1"));
  EXPECT_EQ(expected.mResponse.mStatus, 503u);
  for (size_t i = 0; i < kRequests; ++i) {
    const std::string id = "refused-" + std::to_string(i);
    const time_point start = MonotonicNow();
    const http_result refused = Call(gateway, Request("POST", "/order/1", id));
    EXPECT_LT(MonotonicNow() - start, 500ms);
    EXPECT_EQ(refused.mResponse.mStatus, expected.mResponse.mStatus);
    EXPECT_EQ(refused.mResponse.mBody, expected.mResponse.mBody);
    EXPECT_EQ(RunCount(id), 0u);
  }
  EXPECT_EQ(mTargets.at("orders-1")->Arrivals(), 1u);
  EXPECT_EQ(mTargets.at("orders-2")->Arrivals(), 1u);
}

// Guards against a target that is taken out of use by what another server at
// its address says of itself.
TEST_F(leaving_target_test, OnlyTheTargetItselfSaysThatItLeaves)
{
  const target_name target("orders-1");
  http_response answer;
  EXPECT_FALSE(mRequests.IsLeaving(answer, target));
  answer.mHeaders = { { "server-leaving", "1" } };
  EXPECT_TRUE(mRequests.IsLeaving(answer, target));
  answer.mHeaders.push_back({ "X-Instance-Id", "orders-1" });
  EXPECT_TRUE(mRequests.IsLeaving(answer, target));
  answer.mHeaders.back().mValue = "another";
  EXPECT_FALSE(mRequests.IsLeaving(answer, target));
  answer.mHeaders = { { "Server-Leaving", "0" } };
  EXPECT_FALSE(mRequests.IsLeaving(answer, target));
}

} // namespace parsleystair
