#include "GatewayFixture.h"
#include "UnitTests/Support/FullListener.h"

namespace parsleystair {

// Guards against responses that are modified, unsigned or belong to another
// request.
TEST_F(gateway_test, ForwardsRequestAndResponseUnchanged)
{
  const gateway_instance& gateway = StartGateway("a");
  http_request request = Request("GET", "/read/menu", "r-1");
  request.mQuery = "day=mon%20day";
  const http_result result = Call(gateway, request);
  ASSERT_EQ(result.mResponse.mStatus, 200u);
  EXPECT_EQ(result.mResponse.mBody.substr(7), " ran /read/menu?day=mon%20day");
  EXPECT_EQ(FindHeader(result.mResponse.mHeaders, "X-Request-Id"), "r-1");
  EXPECT_TRUE(FindHeader(result.mResponse.mHeaders, "X-Response-Signature"));
  EXPECT_EQ(RunCount("r-1"), 1u);
}

// Guards against status 404 for a configured route, and 200 for a path without
// a route.
TEST_F(gateway_test, FindsRoutesByHostAndPrefix)
{
  const gateway_instance& gateway = StartGateway("a");
  EXPECT_EQ(
    Call(gateway, Request("GET", "/nothing/x", "r-1")).mResponse.mStatus, 404u);
  EXPECT_EQ(Call(gateway, Request("GET", "/read", "r-2")).mResponse.mStatus,
            404u);
  EXPECT_EQ(Call(gateway, Request("GET", "/read/", "r-3")).mResponse.mStatus,
            200u);
}

// Guards against a non-idempotent request that runs twice after its response
// was lost, and against an error response that claims that the request has not
// run.
TEST_F(gateway_test, NonIdempotentRequestIsNotRetriedAfterLostResponse)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetDropsResponses(true);
  mTargets.at("orders-2")->SetDropsResponses(true);
  const http_result result =
    Call(gateway, Request("POST", "/order/7", "order-1"));
  EXPECT_EQ(result.mResponse.mStatus, 502u);
  EXPECT_EQ(RunCount("order-1"), 1u);
}

// Guards against a non-idempotent request that fails without a retry although
// it is certain that it has not run.
TEST_F(gateway_test, NonIdempotentRequestIsRetriedWhenItHasNotRun)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetFull(true);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "order-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("POST", "/order/7", id)).mResponse.mStatus,
              200u);
    EXPECT_EQ(RunCount(id), 1u);
  }
}

// Guards against a 503 response without Retry-After, and against one for a
// request that did run.
TEST_F(gateway_test, FullServiceRefusesRequestWithRetryAfter)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetFull(true);
  mTargets.at("orders-2")->SetFull(true);
  const http_result result =
    Call(gateway, Request("POST", "/order/7", "order-1"));
  EXPECT_EQ(result.mResponse.mStatus, 503u);
  EXPECT_TRUE(FindHeader(result.mResponse.mHeaders, "Retry-After"));
  EXPECT_EQ(RunCount("order-1"), 0u);
}

// Guards against a read that fails although another target could serve it.
TEST_F(gateway_test, ReadIsRetriedAfterLostResponse)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetDropsResponses(true);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "read-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200u);
  }
}

// Guards against forwarding the response to another request to a caller.
TEST_F(gateway_test, ResponseToAnotherRequestIsNotForwarded)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetAnswersOthers(true);
  mTargets.at("plain-2")->SetAnswersOthers(true);
  http_request request = Request("GET", "/read/x", "r-1");
  request.mHeaders[2].mValue = "300";
  const http_result result = Call(gateway, request);
  EXPECT_GE(result.mResponse.mStatus, 500u);
  EXPECT_FALSE(FindHeader(result.mResponse.mHeaders, "X-Response-Signature"));
}

// Guards against a request that stays pending after the timeout of its route.
TEST_F(gateway_test, RespondsWhenTheRouteTimesOut)
{
  PutConfiguration(2, 200ms);
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetWork(10s);
  mTargets.at("plain-2")->SetWork(10s);
  const time_point start = MonotonicNow();
  const http_result result = Call(gateway, Request("GET", "/read/x", "r-1"));
  EXPECT_EQ(result.mResponse.mStatus, 504u);
  EXPECT_GE(MonotonicNow() - start, 200ms);
}

// Guards against a caller that is told that its request may have run, and so
// doesn't repeat it, though no connection to a target was made.
TEST_F(gateway_test, RequestThatWaitsForAConnectionHasNotRun)
{
  const full_listener full;
  for (const std::string name : { "plain-1", "plain-2" }) {
    mTargets.at(name)->SetPublicPort(full.Port());
    mKv.Put(TargetKey(name), mTargets.at(name)->Entry("plain", "ready"));
  }
  // Shorter than the time after which a connection is given up.
  PutConfiguration(2, 200ms);
  const gateway_instance& gateway = StartGateway("a");
  const http_result result = Call(gateway, Request("GET", "/read/x", "r-1"));
  EXPECT_EQ(result.mResponse.mStatus, 503u);
  EXPECT_TRUE(FindHeader(result.mResponse.mHeaders, "Retry-After"));
  EXPECT_EQ(RunCount("r-1"), 0u);
}

// Guards against targets that continue to process a read after its caller has
// closed the connection.
TEST_F(gateway_test, CancelsReadWhenTheCallerDisconnects)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetWork(10s);
  mTargets.at("plain-2")->SetWork(10s);
  auto connection = std::make_unique<http_connection>(
    mLoop, "127.0.0.1", gateway.mSettings.mCallers.mPort);
  connection->Call(
    Request("GET", "/read/x", "r-1"), kTimeout, [](const http_result&) {});
  EXPECT_TRUE(RunUntil([&] { return RunCount("r-1") == 1; }));
  connection.reset();
  EXPECT_TRUE(RunUntil([&] {
    return mTargets.at("plain-1")->Cancelled() +
             mTargets.at("plain-2")->Cancelled() ==
           1;
  }));
}

// Guards against keys that are granted to no target, and against requests that
// are sent to a target that does not own the key.
TEST_F(gateway_test, GrantsKeysAndRoutesToTheirOwner)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  for (const uint32_t key : { 0u, 100u, 40'000u, 65'535u }) {
    http_request request =
      Request("GET", "/history/x", "h-" + std::to_string(key));
    request.mHeaders.push_back({ "X-Shard-Key", std::to_string(key) });
    EXPECT_EQ(Call(gateway, request).mResponse.mStatus, 200u) << key;
  }
}

// Guards against keys that stay with a draining target.
TEST_F(gateway_test, MovesKeysOfDrainingTarget)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  keyed_target& draining = *mTargets.at("keyed-1");
  mKv.Put("servers/keyed-1", draining.Entry("keyed", "draining"));
  keyed_target& remaining = *mTargets.at("keyed-2");
  EXPECT_TRUE(RunUntil([&] {
    return remaining.Holds(0) && remaining.Holds(100) &&
           remaining.Holds(65'535) && !draining.Holds(0) &&
           !draining.Holds(100) && !draining.Holds(65'535);
  }));
}

// Guards against routers that receive new owners only from the store.
TEST_F(gateway_test, SecondGatewayReceivesOwnersFromTheLeader)
{
  const gateway_instance& first = StartGateway("a");
  WaitForKeyOwner(first);
  const gateway_instance& second = StartGateway("b");
  WaitForKeyOwner(second);
  const std::string storedRanges = mKv.Get("parsleystair/ranges/keyed");
  EXPECT_FALSE(storedRanges.empty());
  EXPECT_NE(mGateways.at("b").mTask->DumpText().find("keyed-1"),
            std::string::npos);
}

// Guards against requests that fail, and grants that expire, while the store is
// unavailable.
TEST_F(gateway_test, ServesWhileTheStoreIsUnavailable)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  mKv.SetUnavailable(true);
  RunFor(4s);
  EXPECT_EQ(Call(gateway, Request("GET", "/read/x", "r-1")).mResponse.mStatus,
            200u);
  http_request keyedRequest = Request("GET", "/history/x", "h-1");
  keyedRequest.mHeaders.push_back({ "X-Shard-Key", "100" });
  EXPECT_EQ(Call(gateway, keyedRequest).mResponse.mStatus, 200u);
  mKv.SetUnavailable(false);
  PutConfiguration(9);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 9") !=
           std::string::npos;
  }));
}

// Guards against a configuration that is missed when the store drops its
// history, and against replacing a configuration by an older version.
TEST_F(gateway_test, ReadsConfigurationAfterDroppedHistory)
{
  const gateway_instance& gateway = StartGateway("a");
  mKv.DropHistory();
  PutConfiguration(5);
  mKv.DropHistory();
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 5") !=
           std::string::npos;
  }));
  PutConfiguration(4);
  RunFor(500ms);
  EXPECT_NE(gateway.mTask->DumpText().find("\"configurationVersion\": 5"),
            std::string::npos);
}

// Guards against a router that, after a store outage, waits for the reply to a
// lost watch request for as long as for a watch without changes (found as DRAIN
// on civ-gateway, scale-2).
TEST_F(gateway_test, TimesOutLostWatchSoonAfterAnOutage)
{
  const gateway_instance& gateway = StartGateway("a");
  mKv.SetUnavailable(true);
  RunFor(1500ms);
  mKv.SetUnresponsive(true);
  mKv.SetUnavailable(false);
  RunFor(900ms);
  mKv.SetUnresponsive(false);
  PutConfiguration(5);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 5") !=
           std::string::npos;
  }));
}

// Guards against invalid target entries that make valid entries unusable.
TEST_F(gateway_test, IgnoresInvalidTargetEntries)
{
  mKv.Put("servers/odd-1", "no json");
  mKv.Put("servers/odd-2", R"({"service":"plain","address":7})");
  mKv.Put("servers/odd-3",
          R"({"service":"plain","address":"127.0.0.1:1",)"
          R"("zone":"z","slots":4,"state":"odd"})");
  const gateway_instance& gateway = StartGateway("a");
  EXPECT_EQ(Call(gateway, Request("GET", "/read/x", "r-1")).mResponse.mStatus,
            200u);
  EXPECT_EQ(gateway.mTask->DumpText().find("odd-"), std::string::npos);
}

// Guards against a shutdown that aborts pending requests, and against a process
// that does not exit after a shutdown.
TEST_F(gateway_test, ShutdownCompletesPendingRequestsAndStopsTheLoop)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetWork(1s);
  mTargets.at("plain-2")->SetWork(1s);
  http_connection connection(
    mLoop, "127.0.0.1", gateway.mSettings.mCallers.mPort);
  std::optional<http_result> result;
  connection.Call(Request("GET", "/read/x", "r-1"),
                  kTimeout,
                  [&](http_result aResult) { result = std::move(aResult); });
  EXPECT_TRUE(RunUntil([&] { return RunCount("r-1") == 1; }));
  gateway.mTask->Shutdown();
  EXPECT_FALSE(gateway.mTask->IsReady());
  // The gateway stops the loop when the shutdown is complete.
  mLoop.Run();
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->mResponse.mStatus, 200u);
  EXPECT_EQ(FindHeader(result->mResponse.mHeaders, "connection"), "close");
}

// Guards against grants that expire after the leader has stopped.
TEST_F(gateway_test, AnotherLeaderTakesOver)
{
  const gateway_instance& first = StartGateway("a");
  WaitForKeyOwner(first);
  const gateway_instance& second = StartGateway("b");
  WaitForKeyOwner(second);
  StopGateway("a");
  EXPECT_TRUE(RunUntil([&] {
    return second.mTask->DumpText().find("\"leading\": true") !=
           std::string::npos;
  }));
  RunFor(3500ms);
  EXPECT_TRUE(mTargets.at("keyed-1")->Holds(100) ||
              mTargets.at("keyed-2")->Holds(100));
}

// Guards against one billed store call per change when many changes occur in
// quick succession.
TEST_F(gateway_test, ManyChangesNeedFewStoreCalls)
{
  const gateway_instance& gateway = StartGateway("a");
  RunFor(500ms);
  const uint64_t callsBefore = mKv.Calls();
  constexpr uint32_t kChanges = 60;
  for (uint32_t change = 1; change <= kChanges; ++change) {
    PutConfiguration(1 + change);
    RunFor(30ms);
  }
  // Two renewals of the leader's lease per second, and one watch request every
  // 0.4 s.
  EXPECT_LE(mKv.Calls() - callsBefore, 13U);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 61") !=
           std::string::npos;
  }));
}

// Guards against a router that misses changes while it waits for the reply to a
// watch request that the store accepted while it was unresponsive. Found by
// gateway_soak, seed 8.
TEST_F(gateway_test, ReceivesChangesSoonAfterAnUnresponsiveStore)
{
  const gateway_instance& gateway = StartGateway("a");
  const auto hasConfiguration = [&](const std::string& aVersion) {
    return gateway.mTask->DumpText().find("\"configurationVersion\": " +
                                          aVersion) != std::string::npos;
  };
  RunFor(300ms);
  PutConfiguration(2);
  ASSERT_TRUE(RunUntil([&] { return hasConfiguration("2,"); }));
  // The next watch request is sent 0.1 s after the change and never receives
  // a reply.
  mKv.SetUnresponsive(true);
  RunFor(500ms);
  mKv.SetUnresponsive(false);
  PutConfiguration(3);
  mTargets.at("plain-1")->SetFull(true);
  mKv.Remove("servers/plain-2");
  const time_point start = MonotonicNow();
  RunUntil([&] { return hasConfiguration("3,"); });
  EXPECT_LT(MonotonicNow() - start, 5s);
  // The other watch requests were lost as well.
  RunUntil([&] {
    return gateway.mTask->DumpText().find("plain-2") == std::string::npos;
  });
  EXPECT_LT(MonotonicNow() - start, 8s);
}

// Guards against names of services that break the text format of the metrics:
// one such name would make all metrics of the router unreadable.
TEST_F(gateway_test, NamesOfServicesAreEscapedInMetrics)
{
  mKv.Put(kConfigurationKey,
          EncodeOperatorConfiguration(
            2, { { "odd", true, R"(a"b\c)" } }, { { R"(a"b\c)" } }));
  const gateway_instance& gateway = StartGateway("a");
  EXPECT_NE(Call(gateway, Request("GET", "/odd/x", "r-1")).mResponse.mStatus,
            404U);
  EXPECT_NE(gateway.mTask->MetricsText().find(R"({service="a\"b\\c",)"),
            std::string::npos)
    << gateway.mTask->MetricsText();
}

} // namespace parsleystair
