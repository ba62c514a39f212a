#include "GatewayFixture.h"
#include "UnitTests/Support/EndlessServer.h"

#include <malloc.h>

namespace parsleystair {

namespace {

constexpr size_t kPieceBytes = 256 * 1024;

std::string Repeat(const std::string& aText)
{
  std::string result;
  while (result.size() < kPieceBytes) {
    result += aText;
  }
  return result;
}

/// Bytes allocated by this process now; 0 with a sanitizer's allocator.
size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct endless_case
{
  const char* mName;
  std::string mBeginning;
  std::string mRepeated;
  /// The answers grow until all of them together reach the limit.
  bool mGrows = false;
  /// The bytes begin before the request is written.
  bool mIsEarly = false;
};

const std::string kUnframedHead =
  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
void PrintTo(const endless_case& aCase, std::ostream* aStream)
{
  *aStream << aCase.mName;
}

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Runs a gateway of a machine with 160 MB, as the smallest ones of the users
/// have.
class endless_calls_test : public gateway_test
{
protected:
  static constexpr size_t kMachineBytes = 160 * 1024 * 1024;

  /// Puts a server at the place of all targets of a service.
  void Replace(const std::string& aService, const endless_server& aServer)
  {
    for (const char* number : { "-1", "-2" }) {
      const std::string name = aService + number;
      mTargets.at(name)->SetPublicPort(aServer.Port());
      mKv.Put(TargetKey(name), mTargets.at(name)->Entry(aService, "ready"));
    }
  }

  /// Makes requests to another service until the server has sent a lot in
  /// response to the gateway's own calls.
  void CheckBounded(const gateway_instance& aGateway,
                    const endless_server& aServer)
  {
    constexpr uint64_t kSentBytes = uint64_t{ 32 } * 1024 * 1024;
    mLoop.Bytes().SetLimit(kMachineBytes / 8);
    const size_t before = AllocatedBytes();
    size_t most = before;
    timer sample;
    sample.StartRepeating(
      mLoop, 1ms, [&] { most = std::max(most, AllocatedBytes()); });
    const uint64_t enough = aServer.SentBytes() + kSentBytes;
    const time_point end = MonotonicNow() + kTimeout;
    size_t others = 0;
    while (aServer.SentBytes() < enough && MonotonicNow() < end) {
      const std::string id = "other-" + std::to_string(++others);
      ASSERT_EQ(Call(aGateway, Request("GET", "/read/x", id)).mResponse.mStatus,
                200u)
        << id;
    }
    EXPECT_GE(aServer.SentBytes(), enough);
    EXPECT_LT(most - before, kMachineBytes / 2);
    RecordProperty("mostMegabytes", std::to_string((most - before) >> 20));
  }
};

/// The same, with a hundred callers whose target sends an answer without end.
class endless_answers_test
  : public endless_calls_test
  , public testing::WithParamInterface<endless_case>
{
protected:
  static constexpr size_t kCallers = 100;
};

} // namespace

// Guards against a gateway that runs out of memory because many targets send
// bytes without end, and that loses the requests of other callers with it.
TEST_P(endless_answers_test, MemoryStaysBoundedAndOthersAreServed)
{
  endless_options options;
  options.mWaitsForRequest = !GetParam().mIsEarly;
  // Otherwise, on a slow machine, the first answers exceed the limit and are
  // dropped before the others begin.
  constexpr size_t kMinAnswers = kCallers / 4;
  options.mMinRequests = GetParam().mGrows ? kMinAnswers + 1 : 0;
  endless_server server(GetParam().mBeginning, GetParam().mRepeated, options);
  for (const std::string name : { "orders-1", "orders-2" }) {
    mTargets.at(name)->SetPublicPort(server.Port());
    mKv.Put(TargetKey(name), mTargets.at(name)->Entry("orders", "ready"));
  }
  gateway_instance& gateway = StartGateway("a");
  mLoop.Bytes().SetLimit(kMachineBytes / 8);
  RunFor(100ms);

  const size_t before = AllocatedBytes();
  size_t most = before;
  timer sample;
  sample.StartRepeating(
    mLoop, 1ms, [&] { most = std::max(most, AllocatedBytes()); });
  std::vector<std::unique_ptr<http_connection>> callers;
  size_t ended = 0;
  for (size_t index = 0; index < kCallers; ++index) {
    callers.push_back(
      std::make_unique<http_connection>(mLoop,
                                        gateway.mSettings.mCallers.mHost,
                                        gateway.mSettings.mCallers.mPort));
    callers.back()->Call(
      Request("POST", "/order/1", "endless-" + std::to_string(index)),
      kTimeout,
      [&](const http_result& aResult) {
        ++ended;
        EXPECT_NE(aResult.mResponse.mStatus, 200u);
        EXPECT_NE(aResult.mResponse.mStatus, 503u);
      });
  }
  constexpr size_t kOthers = 20;
  size_t others = 0;
  while (ended < kCallers || others < kOthers) {
    const std::string id = "other-" + std::to_string(++others);
    ASSERT_EQ(Call(gateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200u)
      << id;
  }
  EXPECT_GT(server.MostAnswers(), GetParam().mGrows ? kMinAnswers : 0);
  EXPECT_LT(most - before, kMachineBytes / 2);
  RecordProperty("mostMegabytes", std::to_string((most - before) >> 20));
}

INSTANTIATE_TEST_SUITE_P(
  Bytes,
  endless_answers_test,
  testing::Values(
    endless_case{ "BodyWithoutLength",
                  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                  Repeat("x"),
                  true },
    endless_case{ "BodyWithHugeLength",
                  "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n",
                  Repeat("x"),
                  true },
    endless_case{ "Head", "HTTP/1.1 200 OK\r\n", Repeat("X-Filler: x\r\n") },
    endless_case{ "HeadLine", "HTTP/1.1 200 OK\r\nX-Filler: ", Repeat("x") },
    endless_case{ "NoHttp", "", Repeat(std::string("\0\xff", 2)) },
    endless_case{ "Chunks", kChunkedHead, Repeat("1\r\nx\r\n"), true },
    endless_case{ "ChunkExtension", kChunkedHead + "1;", Repeat("x") },
    endless_case{ "Trailers", kChunkedHead + "0\r\n", Repeat("X-F: x\r\n") },
    endless_case{ "Interim", "", Repeat("HTTP/1.1 102 Wait\r\n\r\n") },
    endless_case{ "BeforeTheRequest", "", Repeat("x"), false, true },
    endless_case{ "BodyBeforeTheRequest",
                  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                  Repeat("x"),
                  false,
                  true }),
  [](const auto& aInfo) { return aInfo.param.mName; });

// Guards against targets that answer grants without end, and that take the
// memory of the router with it.
TEST_F(endless_calls_test, GrantsStayBounded)
{
  endless_server server(kUnframedHead, Repeat("x"));
  Replace("keyed", server);
  const gateway_instance& gateway = StartGateway("a");
  CheckBounded(gateway, server);
}

// Guards against the same from targets that answer health checks without end.
TEST_F(endless_calls_test, HealthChecksStayBounded)
{
  endless_server server(kUnframedHead, Repeat("x"));
  Replace("orders", server);
  const gateway_instance& gateway = StartGateway("a");
  // Targets that fail a request get health checks.
  constexpr size_t kRequests = 6;
  for (size_t index = 0; index < kRequests; ++index) {
    Call(gateway,
         Request("POST", "/order/1", "endless-" + std::to_string(index)));
  }
  const size_t before = server.Answers();
  CheckBounded(gateway, server);
  EXPECT_GT(server.Answers(), before);
}

// Guards against a store that answers without end, and that takes the memory
// with it.
TEST(ByteBudget, AnswersOfTheStoreStayBounded)
{
  constexpr size_t kCalls = 100;
  constexpr size_t kLimit = 20 * 1024 * 1024;
  constexpr size_t kMaxBytes = 80 * 1024 * 1024;
  event_loop loop;
  loop.Bytes().SetLimit(kLimit);
  endless_server server(kChunkedHead, Repeat("1\r\nx\r\n"));
  platform::kv_store store(loop, "127.0.0.1", server.Port());
  const size_t before = AllocatedBytes();
  size_t most = before;
  size_t failed = 0;
  for (size_t index = 0; index < kCalls; ++index) {
    store.ReadPrefix("op/", [&](const prefix_reply& aReply) {
      failed += aReply.mOutcome != call_outcome::kDone ? 1 : 0;
    });
  }
  timer poll;
  poll.StartRepeating(loop, 1ms, [&] {
    most = std::max(most, AllocatedBytes());
    if (failed == kCalls) {
      loop.Stop();
    }
  });
  timer end;
  end.StartOnce(loop, 60s, [&] { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(failed, kCalls);
  EXPECT_GT(server.MostAnswers(), kCalls / 4);
  EXPECT_LT(most - before, kMaxBytes);
  RecordProperty("mostMegabytes", std::to_string((most - before) >> 20));
}

// Guards against bytes that arrive without end on connections that no request
// uses and that are kept for the next one.
TEST(ByteBudget, IdleConnectionsKeepNoBytes)
{
  constexpr size_t kConnections = 100;
  constexpr size_t kBodyBytes = 16 * 1024;
  constexpr size_t kMaxBytes = 8 * 1024 * 1024;
  // An empty string has room for some characters within itself.
  const size_t emptyBytes = kConnections * std::string().capacity();
  event_loop loop;
  endless_options options;
  options.mPause = 300ms;
  const std::string body(kBodyBytes, 'x');
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
    "\r\n\r\n" + body;
  endless_server server(answer, Repeat("x"), options);
  std::vector<std::unique_ptr<http_connection>> connections;
  size_t served = 0;
  for (size_t index = 0; index < kConnections; ++index) {
    connections.push_back(
      std::make_unique<http_connection>(loop, "127.0.0.1", server.Port()));
    connections.back()->Call(
      { "GET", "/", {}, {}, {} }, 5s, [&](const http_result& aResult) {
        served += aResult.mStatus == http_status::kResponded ? 1 : 0;
      });
  }
  size_t mostOpen = 0;
  size_t mostBytes = 0;
  const size_t answers = kConnections * answer.size();
  timer poll;
  poll.StartRepeating(loop, 1ms, [&] {
    const auto open = static_cast<size_t>(
      std::ranges::count_if(connections, &http_connection::IsOpen));
    mostOpen = std::max(mostOpen, open);
    mostBytes = std::max(mostBytes, loop.Bytes().Total());
    // A connection with bytes that are not read yet is not open.
    if (served == kConnections && open == 0 &&
        loop.Bytes().Total() <= emptyBytes && server.SentBytes() > answers) {
      loop.Stop();
    }
  });
  timer end;
  end.StartOnce(loop, 10s, [&] { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(served, kConnections);
  EXPECT_GT(mostOpen, 0u);
  EXPECT_GT(server.SentBytes(), answers);
  EXPECT_LT(mostBytes, kMaxBytes);
  EXPECT_LE(loop.Bytes().Total(), emptyBytes);
}

// Guards against connections that keep the memory of their largest answer.
TEST(ByteBudget, KeptConnectionsHoldLittle)
{
  event_loop loop;
  constexpr size_t kConnections = 20;
  const std::string large(4 * 1024 * 1024, 'x');
  http_server* responder = nullptr;
  http_server server(loop, {}, [&](exchange_id aExchange, const http_request&) {
    responder->Respond(aExchange, { 200, {}, large });
  });
  responder = &server;
  server.Listen("127.0.0.1", 0);
  const size_t before = AllocatedBytes();
  std::vector<std::unique_ptr<http_connection>> connections;
  size_t ended = 0;
  std::function<void()> callNext = [&] {
    if (connections.size() == kConnections) {
      loop.Stop();
      return;
    }
    connections.push_back(
      std::make_unique<http_connection>(loop, "127.0.0.1", server.Port()));
    connections.back()->Call(
      { "GET", "/large", {}, {}, {} }, 5s, [&](const http_result& aEnd) {
        EXPECT_EQ(aEnd.mResponse.mBody.size(), large.size());
        ++ended;
        callNext();
      });
  };
  timer start;
  start.StartOnce(loop, duration::zero(), [&] { callNext(); });
  loop.Run();
  EXPECT_EQ(ended, kConnections);
  EXPECT_LT(AllocatedBytes(), before + 2 * large.size());
}

// Guards against answers that fill the memory because their callers don't read
// them, and against other callers that lose their requests to these.
TEST(ByteBudget, CallersThatDoNotReadAreDropped)
{
  event_loop loop;
  constexpr size_t kLimit = 16 * 1024 * 1024;
  constexpr size_t kCallers = 50;
  loop.Bytes().SetLimit(kLimit);
  const std::string large(4 * 1024 * 1024, 'x');
  http_server* responder = nullptr;
  size_t requests = 0;
  http_server server(
    loop, {}, [&](exchange_id aExchange, const http_request& aRequest) {
      ++requests;
      responder->Respond(aExchange,
                         { 200, {}, aRequest.mPath == "/large" ? large : "x" });
    });
  responder = &server;
  server.Listen("127.0.0.1", 0);
  std::vector<int> slow;
  for (size_t index = 0; index < kCallers; ++index) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int bytes = 4096;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.Port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(descriptor,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    const std::string text = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(send(descriptor, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
    slow.push_back(descriptor);
  }
  http_connection connection(loop, "127.0.0.1", server.Port());
  size_t most = 0;
  size_t served = 0;
  size_t failed = 0;
  std::function<void()> callNext = [&] {
    connection.Call(
      { "GET", "/small", {}, {}, {} }, 5s, [&](const http_result& aEnd) {
        most = std::max(most, loop.Bytes().Total());
        ++(aEnd.mStatus == http_status::kResponded ? served : failed);
        callNext();
      });
  };
  callNext();
  timer end;
  timer poll;
  poll.StartRepeating(loop, 5ms, [&] {
    if (requests >= kCallers + served && served > 100 && failed == 0 &&
        !loop.Bytes().IsExceeded()) {
      loop.Stop();
    }
  });
  end.StartOnce(loop, 10s, [&] { loop.Stop(); });
  loop.Run();
  EXPECT_GT(served, 100u);
  EXPECT_EQ(failed, 0u);
  EXPECT_GE(requests, kCallers);
  EXPECT_GT(loop.Bytes().Drops(), 0u);
  EXPECT_LE(loop.Bytes().Total(), kLimit);
  for (const int descriptor : slow) {
    close(descriptor);
  }
}

} // namespace parsleystair
