#include "GatewayFixture.h"
#include "UnitTests/Support/SlowReader.h"

#include <list>

namespace parsleystair {

namespace {

/// A call that starts at a set time after the start of the shutdown.
struct timed_call
{
  http_request mRequest;
  std::string mId;
  duration mAt{};
  std::unique_ptr<http_connection> mConnection;
  timer mTimer;
  std::optional<http_result> mResult;
};

/// Target whose responses have a body of the given length, after the given
/// time.
class large_response_target
{
public:
  large_response_target(event_loop& aLoop,
                        size_t aBodyBytes,
                        duration aWork = {})
    : mLoop(aLoop)
    , mBodyBytes(aBodyBytes)
    , mWork(aWork)
    , mServer(
        aLoop,
        {},
        [this](exchange_id aExchange, const http_request& aRequest) {
          ++mRequests;
          mTimers.emplace_back().StartOnce(
            mLoop,
            mWork,
            [this,
             aExchange,
             id = FindHeader(aRequest.mHeaders, "X-Request-Id").value_or("")] {
              mServer.Respond(aExchange,
                              { 200,
                                { { "X-Request-Id", id },
                                  { "X-Response-Signature", "signed" } },
                                std::string(mBodyBytes, 'b') });
            });
        })
  {
    mServer.Listen("127.0.0.1", 0);
  }

  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }
  [[nodiscard]] size_t Requests() const { return mRequests; }

private:
  event_loop& mLoop;
  size_t mBodyBytes;
  duration mWork;
  std::list<timer> mTimers;
  http_server mServer;
  size_t mRequests = 0;
};

class shutdown_test : public gateway_test
{
protected:
  void SetWork(duration aWork)
  {
    for (const auto& [name, target] : mTargets) {
      target->SetWork(aWork);
    }
  }

  http_request RequestOf(size_t aKind, const std::string& aId)
  {
    switch (aKind) {
      case 0:
        return CallerRequest("GET", "/read/x", aId, 8s);
      case 1:
        return CallerRequest("POST", "/order/x", aId, 8s);
      default:
        return CallerRequest("GET", "/history/x", aId, 8s, 100);
    }
  }

  /// Makes one target with 4 slots the only one of the service "plain".
  void ReplacePlainTargets(uint16_t aPort)
  {
    mKv.Remove(TargetKey("plain-1"));
    mKv.Remove(TargetKey("plain-2"));
    mKv.Put(TargetKey("large"),
            nlohmann::json{ { "service", "plain" },
                            { "address", "127.0.0.1:" + std::to_string(aPort) },
                            { "zone", "asti-a" },
                            { "version", "v1" },
                            { "slots", 4 },
                            { "state", "ready" },
                            { "seq", 1 },
                            { "slow_start_s_time", 0 } }
              .dump());
  }

  static std::string SlowRequest(const std::string& aId)
  {
    return "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
           "X-Request-Id: " +
           aId + "\r\nX-Deadline-Ms: 8000\r\n\r\n";
  }

  /// Lets the gateway observe responses of each service.
  void WarmUp(const gateway_instance& aGateway)
  {
    for (size_t kind = 0; kind < kKinds; ++kind) {
      const std::string id = "warm-up-" + std::to_string(kind);
      EXPECT_EQ(Call(aGateway, RequestOf(kind, id)).mResponse.mStatus, 200U);
    }
  }

  void AddCall(const gateway_instance& aGateway,
               size_t aKind,
               duration aAt,
               bool aIsNewConnection)
  {
    const std::string id = "r-" + std::to_string(mCalls.size());
    auto call = std::make_unique<timed_call>();
    call->mRequest = RequestOf(aKind, id);
    call->mId = id;
    call->mAt = aAt;
    const uint16_t port = aGateway.mSettings.mCallers.mPort;
    call->mConnection =
      std::make_unique<http_connection>(mLoop, "127.0.0.1", port);
    if (!aIsNewConnection) {
      std::optional<http_result> result;
      call->mConnection->Call(
        CallerRequest("GET", "/unknown/x", "open-" + id, 8s),
        kTimeout,
        [&](const http_result& aResult) { result = aResult; });
      EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    }
    mCalls.push_back(std::move(call));
  }

  /// Shuts the gateway down, makes the calls, runs until it stops and ends its
  /// connections like the end of its process.
  void ShutDown(const std::string& aName)
  {
    mGateways.at(aName).mTask->Shutdown();
    for (const auto& call : mCalls) {
      call->mTimer.StartOnce(mLoop, call->mAt, [each = call.get()] {
        each->mConnection->Call(
          each->mRequest, kTimeout, [each](const http_result& aResult) {
            each->mResult = aResult;
          });
      });
    }
    mLoop.Run();
    StopGateway(aName);
    RunFor(300ms);
  }

  /// A request that ran must have a complete response. One that did not run is
  /// refused as such, or its connection was closed before it was read.
  void ExpectTruthfulResults()
  {
    for (const auto& call : mCalls) {
      if (!call->mResult) {
        continue;
      }
      const http_result& result = *call->mResult;
      const bool responded = result.mStatus == http_status::kResponded;
      if (RunCount(call->mId) > 0) {
        EXPECT_TRUE(responded) << call->mRequest.mTarget << " " << call->mId;
        EXPECT_EQ(result.mResponse.mStatus, 200U) << call->mId;
      } else if (responded) {
        EXPECT_EQ(result.mResponse.mStatus, 503U) << call->mId;
        EXPECT_TRUE(FindHeader(result.mResponse.mHeaders, "retry-after"));
      }
    }
  }

  static constexpr size_t kKinds = 3;
  std::vector<std::unique_ptr<timed_call>> mCalls;
};

} // namespace

// Guards against requests that are sent to a target during a shutdown and are
// interrupted by its end, on new and on kept connections.
TEST_F(shutdown_test, RequestsOfEachSecondAreAnsweredOrRefused)
{
  SetWork(1500ms);
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  WarmUp(gateway);
  for (size_t kind = 0; kind < kKinds; ++kind) {
    for (duration at = 300ms; at < 3900ms; at += 400ms) {
      AddCall(gateway, kind, at, false);
      AddCall(gateway, kind, at + 20ms, true);
    }
  }
  ShutDown("a");
  ExpectTruthfulResults();
}

// Guards against a shutdown that refuses requests which end well before it.
TEST_F(shutdown_test, ShortRequestsAreServedUntilConnectionsMove)
{
  SetWork(20ms);
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  WarmUp(gateway);
  for (size_t kind = 0; kind < kKinds; ++kind) {
    for (duration at = 100ms; at < 2400ms; at += 500ms) {
      AddCall(gateway, kind, at, true);
    }
  }
  ShutDown("a");
  ExpectTruthfulResults();
  for (const auto& call : mCalls) {
    EXPECT_EQ(RunCount(call->mId), 1U) << call->mRequest.mTarget;
  }
}

// Guards against requests that wait for an owner of their key and whose
// connection is closed without a response at the end of the shutdown.
TEST_F(shutdown_test, WaitingRequestsAreRefusedAtTheEnd)
{
  mTargets.at("keyed-1")->SetOrdersHeld(true);
  mTargets.at("keyed-2")->SetOrdersHeld(true);
  gateway_instance& gateway = StartGateway("a");
  gateway_settings settings = gateway.mSettings;
  settings.mShutdownGrace = 500ms;
  gateway.mTask->ApplySettings(settings);
  AddCall(gateway, 2, 100ms, false);
  ShutDown("a");
  ASSERT_TRUE(mCalls[0]->mResult);
  EXPECT_EQ(mCalls[0]->mResult->mStatus, http_status::kResponded);
  EXPECT_EQ(mCalls[0]->mResult->mResponse.mStatus, 503U);
  EXPECT_EQ(RunCount(mCalls[0]->mId), 0U);
}

// Guards against a process that ends, or closes an idle connection, while the
// rest of a response waits for a slow client.
TEST_F(shutdown_test, SlowClientsGetWholeResponses)
{
  constexpr size_t kBodyBytes = 6 * 1024 * 1024;
  large_response_target target(mLoop, kBodyBytes);
  ReplacePlainTargets(target.Port());
  const gateway_instance& gateway = StartGateway("a");
  const std::string request = SlowRequest("r-1");
  // The response to the first one is complete before the shutdown starts.
  slow_reader first(gateway.mSettings.mCallers.mPort, request);
  EXPECT_TRUE(RunUntil([&] { return target.Requests() == 1; }));
  RunFor(300ms);
  gateway.mTask->Shutdown();
  slow_reader second(gateway.mSettings.mCallers.mPort, request);
  timer fast;
  first.ReadSlowly(mLoop);
  second.ReadSlowly(mLoop);
  fast.StartOnce(mLoop, 2700ms, [&] {
    first.ReadAll(mLoop);
    second.ReadAll(mLoop);
  });
  mLoop.Run();
  StopGateway("a");
  EXPECT_TRUE(RunUntil([&] { return first.IsClosed() && second.IsClosed(); }));
  EXPECT_GT(first.Bytes(), kBodyBytes);
  EXPECT_GT(second.Bytes(), kBodyBytes);
}

// Guards against a process that ends while the system still delivers its
// responses to slow clients. The next request of a client resets the connection
// then, and the rest of the responses is lost.
TEST_F(shutdown_test, SlowClientsThatSendOnGetWholeResponses)
{
  constexpr size_t kBodyBytes = 300'000;
  constexpr size_t kRate = 120'000;
  large_response_target target(mLoop, kBodyBytes, 400ms);
  ReplacePlainTargets(target.Port());
  const gateway_instance& gateway = StartGateway("a");
  gateway_settings settings = gateway.mSettings;
  settings.mShutdownGrace = 6s;
  gateway.mTask->ApplySettings(settings);
  const uint16_t port = gateway.mSettings.mCallers.mPort;
  // Both responses to the first client begin before the shutdown, so that none
  // of them can announce the end of the connection.
  slow_reader first(port, SlowRequest("r-1") + SlowRequest("r-2"));
  first.ReadSlowly(mLoop, kRate);
  EXPECT_TRUE(RunUntil([&] { return target.Requests() == 2; }));
  RunFor(600ms);
  slow_reader second(port, SlowRequest("r-3") + SlowRequest("r-4"));
  second.ReadSlowly(mLoop, kRate);
  EXPECT_TRUE(RunUntil([&] { return target.Requests() == 4; }));
  gateway.mTask->Shutdown();
  timer further;
  further.StartOnce(mLoop, 3s, [&] {
    first.Send(SlowRequest("r-5"));
    second.Send(SlowRequest("r-6"));
  });
  mLoop.Run();
  StopGateway("a");
  EXPECT_TRUE(RunUntil([&] { return first.IsClosed() && second.IsClosed(); }));
  EXPECT_GT(first.Bytes(), 2 * kBodyBytes);
  EXPECT_GT(second.Bytes(), 2 * kBodyBytes);
  EXPECT_NE(first.Text().find("HTTP/1.1 503 ", 2 * kBodyBytes),
            std::string::npos);
  EXPECT_EQ(target.Requests(), 4U);
}

// Guards against a shutdown that waits for clients to which nothing is owed,
// such as one that leaves its connection open after the last response.
TEST_F(shutdown_test, ClientsThatHaveTheirResponsesDoNotDelayTheEnd)
{
  SetWork(20ms);
  const gateway_instance& gateway = StartGateway("a");
  const uint16_t port = gateway.mSettings.mCallers.mPort;
  slow_reader kept(port, SlowRequest("r-1"));
  kept.ReadAll(mLoop);
  EXPECT_TRUE(RunUntil([&] { return kept.Bytes() > 0; }));
  const time_point start = MonotonicNow();
  gateway.mTask->Shutdown();
  slow_reader closing(port, SlowRequest("r-2"));
  closing.ReadAll(mLoop);
  mLoop.Run();
  // The time in which the platform stops to send new connections is 2.5 s.
  EXPECT_LT(MonotonicNow() - start, 2800ms);
  EXPECT_NE(closing.Text().find("Connection: close"), std::string::npos);
}

// Guards against a client that doesn't read its response and keeps the process
// beyond the grace period.
TEST_F(shutdown_test, ClientThatDoesNotReadIsGivenUpBeforeTheGraceEnds)
{
  constexpr size_t kBodyBytes = 1'000'000;
  large_response_target target(mLoop, kBodyBytes);
  ReplacePlainTargets(target.Port());
  const gateway_instance& gateway = StartGateway("a");
  const slow_reader client(gateway.mSettings.mCallers.mPort,
                           SlowRequest("r-1"));
  EXPECT_TRUE(RunUntil([&] { return target.Requests() == 1; }));
  const time_point start = MonotonicNow();
  gateway.mTask->Shutdown();
  mLoop.Run();
  EXPECT_LT(MonotonicNow() - start, 6s);
}

} // namespace parsleystair
