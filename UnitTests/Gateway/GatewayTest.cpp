#include "GatewayFixture.h"

namespace parsleystair {

// Guards against answers that are changed, unsigned or another request's.
TEST_F(gateway_test, PassesRequestAndAnswerUnchanged)
{
  const gateway_instance& gateway = StartGateway("a");
  http_request request = Request("GET", "/read/menu", "r-1");
  request.mQuery = "day=mon%20day";
  const http_result result = Call(gateway, request);
  ASSERT_EQ(result.mAnswer.mStatus, 200u);
  EXPECT_EQ(result.mAnswer.mBody.substr(7), " ran /read/menu?day=mon%20day");
  EXPECT_EQ(FindHeader(result.mAnswer.mHeaders, "X-Request-Id"), "r-1");
  EXPECT_TRUE(FindHeader(result.mAnswer.mHeaders, "X-Response-Signature"));
  EXPECT_EQ(Runs("r-1"), 1u);
}

// Guards against a 404 for what is configured, and a 200 for what is not.
TEST_F(gateway_test, FindsRoutesByHostAndPrefix)
{
  const gateway_instance& gateway = StartGateway("a");
  EXPECT_EQ(Call(gateway, Request("GET", "/nothing/x", "r-1")).mAnswer.mStatus,
            404u);
  EXPECT_EQ(Call(gateway, Request("GET", "/read", "r-2")).mAnswer.mStatus,
            404u);
  EXPECT_EQ(Call(gateway, Request("GET", "/read/", "r-3")).mAnswer.mStatus,
            200u);
}

// Guards against an unsafe request that runs twice after a lost answer, and a
// refusal that claims that it has not run.
TEST_F(gateway_test, UnsafeRequestIsNotRepeatedAfterLostAnswer)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetLosesAnswers(true);
  mTargets.at("orders-2")->SetLosesAnswers(true);
  const http_result result =
    Call(gateway, Request("POST", "/order/7", "order-1"));
  EXPECT_EQ(result.mAnswer.mStatus, 502u);
  EXPECT_EQ(Runs("order-1"), 1u);
}

// Guards against an unsafe request that is given up though it surely has not
// run.
TEST_F(gateway_test, UnsafeRequestIsRepeatedWhenItHasNotRun)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetFull(true);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "order-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("POST", "/order/7", id)).mAnswer.mStatus,
              200u);
    EXPECT_EQ(Runs(id), 1u);
  }
}

// Guards against a refusal without a time to come back, and one that is false.
TEST_F(gateway_test, RefusalOfFullServiceIsTrueAndSaysWhenToRetry)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetFull(true);
  mTargets.at("orders-2")->SetFull(true);
  const http_result result =
    Call(gateway, Request("POST", "/order/7", "order-1"));
  EXPECT_EQ(result.mAnswer.mStatus, 503u);
  EXPECT_TRUE(FindHeader(result.mAnswer.mHeaders, "Retry-After"));
  EXPECT_EQ(Runs("order-1"), 0u);
}

// Guards against a read that fails though another target could serve it.
TEST_F(gateway_test, ReadIsRepeatedAfterLostAnswer)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetLosesAnswers(true);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "read-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/x", id)).mAnswer.mStatus,
              200u);
  }
}

// Guards against an answer to another request that reaches a caller.
TEST_F(gateway_test, AnswerToAnotherRequestIsNotPassedOn)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetAnswersOthers(true);
  mTargets.at("plain-2")->SetAnswersOthers(true);
  http_request request = Request("GET", "/read/x", "r-1");
  request.mHeaders[2].mValue = "300";
  const http_result result = Call(gateway, request);
  EXPECT_GE(result.mAnswer.mStatus, 500u);
  EXPECT_FALSE(FindHeader(result.mAnswer.mHeaders, "X-Response-Signature"));
}

// Guards against a request that is held past its route's timeout.
TEST_F(gateway_test, AnswersAtTheRoutesTimeout)
{
  PutConfiguration(2, 200ms);
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetWork(10s);
  mTargets.at("plain-2")->SetWork(10s);
  const time_point start = MonotonicNow();
  const http_result result = Call(gateway, Request("GET", "/read/x", "r-1"));
  EXPECT_EQ(result.mAnswer.mStatus, 504u);
  EXPECT_GE(MonotonicNow() - start, 200ms);
}

// Guards against targets that go on working for a caller that has left.
TEST_F(gateway_test, CancelsReadWhenTheCallerLeaves)
{
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("plain-1")->SetWork(10s);
  mTargets.at("plain-2")->SetWork(10s);
  auto connection = std::make_unique<http_connection>(
    mLoop, "127.0.0.1", gateway.mSettings.mCallers.mPort);
  connection->Call(
    Request("GET", "/read/x", "r-1"), kTimeout, [](const http_result&) {});
  EXPECT_TRUE(RunUntil([&] { return Runs("r-1") == 1; }));
  connection.reset();
  EXPECT_TRUE(RunUntil([&] {
    return mTargets.at("plain-1")->Cancelled() +
             mTargets.at("plain-2")->Cancelled() ==
           1;
  }));
}

// Guards against keys that nobody is granted, and requests that reach a target
// without the key.
TEST_F(gateway_test, GrantsKeysAndRoutesToTheirOwner)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeys(gateway);
  for (const uint32_t key : { 0u, 100u, 40'000u, 65'535u }) {
    http_request request =
      Request("GET", "/history/x", "h-" + std::to_string(key));
    request.mHeaders.push_back({ "X-Shard-Key", std::to_string(key) });
    EXPECT_EQ(Call(gateway, request).mAnswer.mStatus, 200u) << key;
  }
}

// Guards against keys that stay with a target which is leaving.
TEST_F(gateway_test, MovesKeysOfDrainingTarget)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeys(gateway);
  keyed_target& leaving = *mTargets.at("keyed-1");
  mKv.Put("servers/keyed-1", leaving.Entry("keyed", "draining"));
  keyed_target& other = *mTargets.at("keyed-2");
  EXPECT_TRUE(RunUntil([&] {
    return other.Holds(0) && other.Holds(100) && other.Holds(65'535) &&
           !leaving.Holds(0) && !leaving.Holds(100) && !leaving.Holds(65'535);
  }));
}

// Guards against routers that don't learn of new owners without the store.
TEST_F(gateway_test, SecondGatewayIsToldOwnersByTheLeader)
{
  const gateway_instance& first = StartGateway("a");
  WaitForKeys(first);
  const gateway_instance& second = StartGateway("b");
  WaitForKeys(second);
  const std::string record = mKv.Get("parsleystair/ranges/keyed");
  EXPECT_FALSE(record.empty());
  EXPECT_NE(mGateways.at("b").mTask->DumpText().find("keyed-1"),
            std::string::npos);
}

// Guards against requests that fail, and keys that lapse, while the store is
// away.
TEST_F(gateway_test, ServesWhileTheStoreIsDown)
{
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeys(gateway);
  mKv.SetDown(true);
  RunFor(4s);
  EXPECT_EQ(Call(gateway, Request("GET", "/read/x", "r-1")).mAnswer.mStatus,
            200u);
  http_request keyed = Request("GET", "/history/x", "h-1");
  keyed.mHeaders.push_back({ "X-Shard-Key", "100" });
  EXPECT_EQ(Call(gateway, keyed).mAnswer.mStatus, 200u);
  mKv.SetDown(false);
  PutConfiguration(9);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 9") !=
           std::string::npos;
  }));
}

// Guards against a configuration that is missed when the store drops its
// history, and one that goes back.
TEST_F(gateway_test, FindsConfigurationAfterDroppedHistory)
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

// Guards against a watch that the store has lost, and that is waited for as
// long as for a calm one, after an outage (found as DRAIN on civ-gateway,
// scale-2).
TEST_F(gateway_test, GivesUpLostWatchSoonAfterAnOutage)
{
  const gateway_instance& gateway = StartGateway("a");
  mKv.SetDown(true);
  RunFor(1500ms);
  mKv.SetSilent(true);
  mKv.SetDown(false);
  RunFor(900ms);
  mKv.SetSilent(false);
  PutConfiguration(5);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 5") !=
           std::string::npos;
  }));
}

// Guards against entries that can't be read taking others with them.
TEST_F(gateway_test, LeavesOutUnreadableEntries)
{
  mKv.Put("servers/odd-1", "no json");
  mKv.Put("servers/odd-2", R"({"service":"plain","address":7})");
  mKv.Put("servers/odd-3",
          R"({"service":"plain","address":"127.0.0.1:1",)"
          R"("zone":"z","slots":4,"state":"odd"})");
  const gateway_instance& gateway = StartGateway("a");
  EXPECT_EQ(Call(gateway, Request("GET", "/read/x", "r-1")).mAnswer.mStatus,
            200u);
  EXPECT_EQ(gateway.mTask->DumpText().find("odd-"), std::string::npos);
}

// Guards against requests that are cut off, and a process that stays, at a
// shutdown.
TEST_F(gateway_test, ShutdownAnswersWhatIsOpenAndEnds)
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
  EXPECT_TRUE(RunUntil([&] { return Runs("r-1") == 1; }));
  gateway.mTask->Shutdown();
  EXPECT_FALSE(gateway.mTask->IsReady());
  // The loop stops by itself when the shutdown is done.
  mLoop.Run();
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->mAnswer.mStatus, 200u);
  EXPECT_EQ(FindHeader(result->mAnswer.mHeaders, "connection"), "close");
}

// Guards against keys that lapse when their leader ends.
TEST_F(gateway_test, AnotherLeaderTakesOver)
{
  const gateway_instance& first = StartGateway("a");
  WaitForKeys(first);
  const gateway_instance& second = StartGateway("b");
  WaitForKeys(second);
  StopGateway("a");
  EXPECT_TRUE(RunUntil([&] {
    return second.mTask->DumpText().find("\"leading\": true") !=
           std::string::npos;
  }));
  RunFor(3500ms);
  EXPECT_TRUE(mTargets.at("keyed-1")->Holds(100) ||
              mTargets.at("keyed-2")->Holds(100));
}

// Guards against a paid call for each of many changes that follow each other.
TEST_F(gateway_test, ManyChangesCostFewCalls)
{
  const gateway_instance& gateway = StartGateway("a");
  RunFor(500ms);
  const uint64_t before = mKv.Calls();
  constexpr uint32_t kChanges = 60;
  for (uint32_t change = 1; change <= kChanges; ++change) {
    PutConfiguration(1 + change);
    RunFor(30ms);
  }
  // Two renewals of the leader's lease a second, and a watch each 0.4 s.
  EXPECT_LE(mKv.Calls() - before, 13U);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 61") !=
           std::string::npos;
  }));
}

// Guards against a change that a router misses for as long as it waits for a
// watch that the store took while it was silent. Found by gateway_soak, seed 8.
TEST_F(gateway_test, FindsChangesSoonAfterASilentStore)
{
  const gateway_instance& gateway = StartGateway("a");
  const auto inForce = [&](const std::string& aVersion) {
    return gateway.mTask->DumpText().find("\"configurationVersion\": " +
                                          aVersion) != std::string::npos;
  };
  RunFor(300ms);
  PutConfiguration(2);
  ASSERT_TRUE(RunUntil([&] { return inForce("2,"); }));
  // The next watch starts 0.1 s after the change, and is never answered.
  mKv.SetSilent(true);
  RunFor(500ms);
  mKv.SetSilent(false);
  PutConfiguration(3);
  mTargets.at("plain-1")->SetFull(true);
  mKv.Remove("servers/plain-2");
  const time_point start = MonotonicNow();
  RunUntil([&] { return inForce("3,"); });
  EXPECT_LT(MonotonicNow() - start, 5s);
  // All other watches were lost, too.
  RunUntil([&] {
    return gateway.mTask->DumpText().find("plain-2") == std::string::npos;
  });
  EXPECT_LT(MonotonicNow() - start, 8s);
}

} // namespace parsleystair
