#include "GatewayFixture.h"

// Allowed regions of routes, through a whole router in the region `piemonte`.

namespace parsleystair {

namespace {

class allowed_regions_test : public gateway_test
{
protected:
  allowed_regions_test()
  {
    AddTarget("plain-3", "plain", false, "verona-b");
    AddTarget("plain-4", "plain", false, "verona-b");
    PutRegions(2, { "veneto" });
  }

  /// All routes are allowed in `aRegions` only.
  void PutRegions(uint32_t aVersion, const std::vector<std::string>& aRegions)
  {
    constexpr uint32_t kMaxAttempts = 4;
    mKv.Put(kConfigurationKey,
            EncodeOperatorConfiguration(
              aVersion,
              { { "read", true, "plain", 5s, kMaxAttempts, aRegions },
                { "order", false, "orders", 5s, kMaxAttempts, aRegions },
                { "history", true, "keyed", 5s, kMaxAttempts, aRegions } },
              { { "plain" }, { "orders" }, { "keyed", true } }));
  }

  [[nodiscard]] size_t ArrivalsInPiemonte() const
  {
    size_t count = 0;
    for (const std::string name :
         { "plain-1", "plain-2", "orders-1", "orders-2" }) {
      count += mTargets.at(name)->Arrivals();
    }
    return count;
  }

  /// Expects a refusal that is immediate and says that the request has not run.
  void ExpectRefused(const gateway_instance& aGateway,
                     const http_request& aRequest)
  {
    const time_point start = MonotonicNow();
    const http_result result = Call(aGateway, aRequest);
    EXPECT_LT(MonotonicNow() - start, 150ms);
    EXPECT_EQ(result.mResponse.mStatus, 503u);
  }

  static http_request KeyedRequest(const std::string& aId)
  {
    http_request request = Request("GET", "/history/a", aId);
    request.mHeaders.push_back({ "X-Shard-Key", "100" });
    return request;
  }
};

} // namespace

// Guards against requests in another region although it is nearer: first
// attempts, retries after rejections, hedges, and the choice among targets that
// are all ejected.
TEST_F(allowed_regions_test, NoAttemptLeavesTheRegion)
{
  const gateway_instance& gateway = StartGateway("a");
  for (int i = 0; i < 20; ++i) {
    const http_result result =
      Call(gateway, Request("GET", "/read/x", "r-" + std::to_string(i)));
    EXPECT_EQ(result.mResponse.mStatus, 200u);
  }
  // Slower than the delay of a hedge, which is half of the latency target.
  for (const std::string name : { "plain-3", "plain-4" }) {
    mTargets.at(name)->SetWork(700ms);
  }
  EXPECT_EQ(Call(gateway, Request("GET", "/read/x", "slow")).mResponse.mStatus,
            200u);
  EXPECT_NE(gateway.mTask->MetricsText().find("kind=\"hedge\"} 1"),
            std::string::npos);
  for (const std::string name : { "plain-3", "plain-4" }) {
    mTargets.at(name)->SetFull(true);
  }
  for (int i = 0; i < 20; ++i) {
    Call(gateway, Request("GET", "/read/x", "full-" + std::to_string(i)));
  }
  for (const std::string name : { "plain-3", "plain-4" }) {
    mTargets.at(name)->SetFull(false);
    mTargets.at(name)->SetDropsResponses(true);
  }
  for (int i = 0; i < 10; ++i) {
    Call(gateway, Request("GET", "/read/x", "lost-" + std::to_string(i)));
  }
  EXPECT_EQ(ArrivalsInPiemonte(), 0u);
}

// Guards against requests that wait, or run in another region, when the region
// has no target, and against a route that operators aren't told of.
TEST_F(allowed_regions_test, RegionWithoutTargetsIsRefusedAtOnce)
{
  const gateway_instance& gateway = StartGateway("a");
  for (int i = 0; i < 10; ++i) {
    ExpectRefused(gateway,
                  Request("POST", "/order/1", "o-" + std::to_string(i)));
  }
  EXPECT_EQ(ArrivalsInPiemonte(), 0u);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->MetricsText().find("unservable_routes 2.0") !=
           std::string::npos;
  }));
  PutRegions(3, { "piemonte" });
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->MetricsText().find("unservable_routes 0.0") !=
           std::string::npos;
  }));
  EXPECT_EQ(Call(gateway, Request("POST", "/order/1", "o")).mResponse.mStatus,
            200u);
}

// Guards against a key that is served by an owner in another region, or whose
// requests wait for it.
TEST_F(allowed_regions_test, OwnerInAnotherRegionGetsNoRequests)
{
  PutRegions(3, { "piemonte" });
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  const auto arrivals = [&] {
    return mTargets.at("keyed-1")->Arrivals() +
           mTargets.at("keyed-2")->Arrivals();
  };
  // A target that owns no keys is in the region.
  AddTarget("keyed-3", "keyed", true, "verona-b");
  PutRegions(4, { "veneto" });
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 4") !=
           std::string::npos;
  }));
  const size_t before = arrivals();
  ExpectRefused(gateway, KeyedRequest("k-1"));
  ExpectRefused(gateway, KeyedRequest("k-2"));
  EXPECT_EQ(arrivals(), before);
  EXPECT_NE(gateway.mTask->MetricsText().find(
              "reason=\"the owner of the key is in no allowed region\"} 2"),
            std::string::npos);
}

} // namespace parsleystair
