#include "GatewayFixture.h"
#include "Parsleystair/Http/MessageParser.h"
#include "UnitTests/Support/PipelinedClient.h"

namespace parsleystair {

namespace {

constexpr duration kWork = 300ms;

std::string Text(const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aId)
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: shop.example\r\n" +
         "X-Request-Id: " + aId + "\r\nX-Deadline-Ms: 8000\r\n" +
         (aMethod == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

/// Sends pipelined requests to a gateway whose targets need `kWork`.
class pipelined_requests_test : public gateway_test
{
protected:
  pipelined_requests_test()
  {
    for (const auto& [name, target] : mTargets) {
      target->SetWork(kWork);
      target->OnRun([this](const std::string& aId) { mStarted += aId + " "; });
    }
  }

  /// Statuses of the responses received, with "close" after a closing one.
  static std::string Summary(const std::string& aReceived)
  {
    std::string summary;
    std::string rest = aReceived;
    while (!rest.empty()) {
      answer_parser parser(1024 * 1024, false);
      rest.erase(0, parser.Feed(rest));
      if (parser.State() != parse_state::kComplete) {
        return summary + "incomplete";
      }
      const bool closes = parser.EndsConnection();
      const http_response response = parser.Take();
      summary += std::to_string(response.mStatus) + " " +
                 FindHeader(response.mHeaders, "x-request-id").value_or("-") +
                 (closes ? " close, " : ", ");
    }
    return summary;
  }

  std::string mStarted;
};

} // namespace

// Guards against idempotent requests that wait for each other on one
// connection, and against others that run beside them.
TEST_F(pipelined_requests_test, IdempotentOnesRunTogetherAndOthersAlone)
{
  const gateway_instance& gateway = StartGateway("a");
  pipelined_client client(gateway.mSettings.mCallers.mPort);
  client.Send(Text("GET", "/read/x", "r-1") + Text("GET", "/read/x", "r-2") +
              Text("POST", "/order/x", "o-1") + Text("GET", "/read/x", "r-3") +
              Text("GET", "/nowhere/x", "u-1") + Text("GET", "/read/x", "r-4") +
              Text("GET", "/read/x", "r-5"));
  EXPECT_TRUE(RunUntil([&] { return mStarted.size() >= 8; }));
  EXPECT_EQ(client.Read(), "");
  EXPECT_TRUE(RunUntil([&] { return mStarted.find("o-1") < mStarted.npos; }));
  RunFor(50ms);
  EXPECT_EQ(Summary(client.Read()), "200 r-1, 200 r-2, ");
  EXPECT_TRUE(RunUntil([&] { return mStarted.find("r-5") < mStarted.npos; }));
  EXPECT_TRUE(RunUntil([&] {
    return Summary(client.Read()).find("200 r-5") != std::string::npos;
  }));
  EXPECT_EQ(Summary(client.Read()),
            "200 r-1, 200 r-2, 200 o-1, 200 r-3, 404 u-1, 200 r-4, 200 r-5, ");
  for (const std::string id : { "r-1", "r-2", "o-1", "r-3", "r-4", "r-5" }) {
    EXPECT_EQ(RunCount(id), 1U) << id;
  }
  EXPECT_NE(gateway.mTask->MetricsText().find("pipelined_requests_total 2.0"),
            std::string::npos)
    << gateway.mTask->MetricsText();
}

// Guards against a malformed request that closes the connection while requests
// before it run at targets: they would count as lost.
TEST_F(pipelined_requests_test, MalformedRequestWaitsForThoseInProgress)
{
  const gateway_instance& gateway = StartGateway("a");
  pipelined_client client(gateway.mSettings.mCallers.mPort);
  client.Send(Text("GET", "/read/x", "r-1") + Text("GET", "/read/x", "r-2") +
              "nonsense\r\n\r\n" + Text("GET", "/read/x", "r-3"));
  EXPECT_TRUE(RunUntil([&] {
    client.Read();
    return client.IsClosed();
  }));
  EXPECT_EQ(Summary(client.Read()), "200 r-1, 200 r-2, 400 - close, ");
  EXPECT_EQ(RunCount("r-3"), 0U);
}

// Guards against a shutdown that closes a connection before the responses to
// all requests in progress, and against requests that are sent to targets
// though a closing response goes before theirs.
TEST_F(pipelined_requests_test, ShutdownDeliversAllResponsesInProgress)
{
  const gateway_instance& gateway = StartGateway("a");
  pipelined_client client(gateway.mSettings.mCallers.mPort);
  client.Send(Text("GET", "/read/x", "r-1") + Text("GET", "/read/x", "r-2") +
              Text("GET", "/read/x", "r-3") + Text("POST", "/order/x", "o-1"));
  EXPECT_TRUE(RunUntil([&] { return mStarted.size() >= 12; }));
  gateway.mTask->Shutdown();
  client.Send(Text("GET", "/read/x", "r-4"));
  EXPECT_TRUE(RunUntil([&] {
    client.Read();
    return client.IsClosed();
  }));
  EXPECT_EQ(Summary(client.Read()), "200 r-1, 200 r-2, 200 r-3 close, ");
  RunFor(2 * kWork);
  EXPECT_EQ(RunCount("o-1") + RunCount("r-4"), 0U);
}

// Guards against responses that are complete and are lost with the end of the
// process, because they wait for one that doesn't come in time.
TEST_F(pipelined_requests_test, EndOfAShutdownDeliversWaitingResponses)
{
  gateway_instance& gateway = StartGateway("a");
  // The second request is complete long before the first.
  mTargets.at("orders-1")->SetWork(kWork);
  for (const std::string name : { "keyed-1", "keyed-2" }) {
    mTargets.at(name)->SetWork(4s);
  }
  gateway_settings settings = gateway.mSettings;
  settings.mShutdownGrace = 1500ms;
  gateway.mTask->ApplySettings(settings);
  EXPECT_TRUE(RunUntil([&] {
    return mTargets.at("keyed-1")->Holds(100) ||
           mTargets.at("keyed-2")->Holds(100);
  }));
  RunFor(500ms);
  pipelined_client client(gateway.mSettings.mCallers.mPort);
  client.Send("GET /history/x HTTP/1.1\r\nHost: shop.example\r\n"
              "X-Request-Id: k-1\r\nX-Deadline-Ms: 8000\r\n"
              "X-Shard-Key: 100\r\n\r\n" +
              Text("GET", "/read/x", "r-1"));
  EXPECT_TRUE(RunUntil([&] { return RunCount("r-1") == 1; }));
  gateway.mTask->Shutdown();
  mLoop.Run();
  StopGateway("a");
  EXPECT_EQ(Summary(client.Read()), "502 k-1, 200 r-1 close, ");
}

// Guards against requests that go on at targets after their caller has left.
TEST_F(pipelined_requests_test, EndOfTheConnectionCancelsAllRequests)
{
  const gateway_instance& gateway = StartGateway("a");
  auto client =
    std::make_unique<pipelined_client>(gateway.mSettings.mCallers.mPort);
  client->Send(Text("GET", "/read/x", "r-1") + Text("GET", "/read/x", "r-2"));
  EXPECT_TRUE(RunUntil([&] { return mStarted.size() >= 8; }));
  client.reset();
  EXPECT_TRUE(RunUntil([&] {
    return mTargets.at("plain-1")->Cancelled() +
             mTargets.at("plain-2")->Cancelled() ==
           2;
  }));
}

} // namespace parsleystair
