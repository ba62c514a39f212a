#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpServer.h"
#include "UnitTests/Support/PipelinedClient.h"

#include <algorithm>
#include <event2/event.h>
#include <map>

namespace parsleystair {

namespace {

/// Allows all requests beside others but those whose path starts with "/x".
class path_policy : public concurrency_policy
{
public:
  [[nodiscard]] bool IsConcurrent(const http_request& aRequest) const override
  {
    return !aRequest.mPath.starts_with("/x");
  }
};

std::string Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string Answer(const std::string& aBody, bool aCloses = false)
{
  return std::string("HTTP/1.1 200 OK\r\n") +
         (aCloses ? "Connection: close\r\n" : "") +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Server whose handler only notes the requests.
class pipelining_test : public testing::Test
{
protected:
  void Start(const http_server_settings& aSettings = {})
  {
    mServer = std::make_unique<http_server>(
      mLoop, aSettings, [this](exchange_id aId, const http_request& aRequest) {
        mOpen[aRequest.mPath] = aId;
        mOrder += aRequest.mPath;
      });
    mServer->SetConcurrency(mPolicy);
    mServer->Listen("127.0.0.1", 0);
  }

  void Run(duration aTime)
  {
    timer end;
    end.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  void Turn()
  {
    for (int each = 0; each < 12; ++each) {
      event_base_loop(mLoop.Base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
  }

  /// Runs the loop until the requests of these paths, and no others, were
  /// handed over.
  void RunUntilOrderIs(const std::string& aOrder)
  {
    constexpr int kMaxMilliseconds = 10'000;
    for (int each = 0; each < kMaxMilliseconds && mOrder.size() < aOrder.size();
         ++each) {
      Run(1ms);
    }
    ASSERT_EQ(mOrder, aOrder);
  }

  void Respond(const std::string& aPath, const std::string& aBody)
  {
    mServer->Respond(mOpen.at(aPath), { 200, {}, aBody });
  }

  path_policy mPolicy;
  event_loop mLoop;
  std::unique_ptr<http_server> mServer;
  std::map<std::string, exchange_id> mOpen;
  std::string mOrder;
};

/// Sends many requests and reads the responses, without waiting.
class flooding_client
{
public:
  flooding_client(uint16_t aPort, size_t aRequests)
    : mClient(aPort)
  {
    for (size_t each = 0; each < aRequests; ++each) {
      mUnsent += Get("/unknown");
    }
  }

  void Step()
  {
    mSent += mClient.Send(std::string_view(mUnsent).substr(mSent));
    mClient.Read();
  }

  [[nodiscard]] size_t ReceivedBytes() { return mClient.Read().size(); }

private:
  pipelined_client mClient;
  std::string mUnsent;
  size_t mSent = 0;
};

} // namespace

// Guards against a stack that grows with the number of requests a client sends
// in advance, which ended the process, and against one iteration of the event
// loop that handles all requests of a read, while everybody else waits.
TEST_F(pipelining_test, HundredThousandRequestsAreHandledInSmallParts)
{
  constexpr size_t kRequests = 100'000;
  constexpr size_t kMaxPerIteration = 64;
  // The buffer of a read, and a few frames.
  constexpr ptrdiff_t kMaxStackBytes = read_share::kMaxBytes + 4096;
  for (const bool hasPolicy : { false, true }) {
    size_t handled = 0;
    const char* lowest = nullptr;
    const char* highest = nullptr;
    http_server server(mLoop, {}, [&](exchange_id aId, const http_request&) {
      const char* here = static_cast<char*>(__builtin_frame_address(0));
      lowest = lowest == nullptr ? here : std::min(lowest, here);
      highest = std::max(highest, here);
      ++handled;
      server.Respond(aId, { 404, {}, "" });
    });
    if (hasPolicy) {
      server.SetConcurrency(mPolicy);
    }
    server.Listen("127.0.0.1", 0);
    flooding_client client(server.Port(), kRequests);
    const std::string answer =
      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    size_t most = 0;
    const time_point limit = MonotonicNow() + 60s;
    while (client.ReceivedBytes() < kRequests * answer.size() &&
           MonotonicNow() < limit) {
      const size_t before = handled;
      event_base_loop(mLoop.Base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      most = std::max(most, handled - before);
      client.Step();
    }
    EXPECT_EQ(handled, kRequests);
    EXPECT_EQ(client.ReceivedBytes(), kRequests * answer.size());
    EXPECT_LE(most, kMaxPerIteration);
    EXPECT_LE(highest - lowest, kMaxStackBytes);
  }
}

// Guards against many flooding connections that each get a full turn in the
// same iteration of the event loop.
TEST_F(pipelining_test, ManyFloodingConnectionsShareAnIteration)
{
  constexpr size_t kClients = 40;
  constexpr size_t kRequests = 2000;
  constexpr size_t kMaxPerIteration = 128;
  size_t handled = 0;
  http_server server(mLoop, {}, [&](exchange_id aId, const http_request&) {
    ++handled;
    server.Respond(aId, { 404, {}, "" });
  });
  server.SetConcurrency(mPolicy);
  server.Listen("127.0.0.1", 0);
  std::vector<std::unique_ptr<flooding_client>> clients;
  for (size_t each = 0; each < kClients; ++each) {
    clients.push_back(
      std::make_unique<flooding_client>(server.Port(), kRequests));
    clients.back()->Step();
  }
  // The first reads of all connections may fall into one iteration.
  Turn();
  size_t most = 0;
  const time_point limit = MonotonicNow() + 60s;
  while (handled < kClients * kRequests && MonotonicNow() < limit) {
    const size_t before = handled;
    event_base_loop(mLoop.Base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    most = std::max(most, handled - before);
    for (const auto& client : clients) {
      client->Step();
    }
  }
  EXPECT_EQ(handled, kClients * kRequests);
  EXPECT_LE(most, kMaxPerIteration);
}

// Guards against a server without a policy that hands over a request while an
// earlier one of the connection is in progress.
TEST_F(pipelining_test, WithoutAPolicyRequestsAreHandedOverOneByOne)
{
  Start();
  http_server server(
    mLoop, {}, [this](exchange_id aId, const http_request& aRequest) {
      mOpen[aRequest.mPath] = aId;
      mOrder += aRequest.mPath;
    });
  server.Listen("127.0.0.1", 0);
  pipelined_client client(server.Port());
  client.Send(Get("/1") + Get("/2"));
  Turn();
  EXPECT_EQ(mOrder, "/1");
  server.Respond(mOpen.at("/1"), { 200, {}, "one" });
  EXPECT_EQ(mOrder, "/1/2");
  server.Respond(mOpen.at("/2"), { 200, {}, "two" });
  Turn();
  EXPECT_EQ(client.Read(), Answer("one") + Answer("two"));
}

// Guards against more requests in progress than the bound, where responses that
// wait for an earlier one don't count.
TEST_F(pipelining_test, WaitingResponsesCountAsOwed)
{
  Start();
  pipelined_client client(mServer->Port());
  std::string requests;
  std::string expected;
  for (int each = 1; each <= 40; ++each) {
    requests += Get("/" + std::to_string(each));
    expected += Answer(std::to_string(each));
  }
  client.Send(requests);
  Turn();
  EXPECT_EQ(mServer->OpenRequests(), 16U);
  EXPECT_EQ(mServer->Counters().mPipelined, 15U);
  EXPECT_EQ(mServer->Counters().mRequestStops, 1U);
  for (int each = 16; each >= 2; --each) {
    Respond("/" + std::to_string(each), std::to_string(each));
  }
  Turn();
  EXPECT_EQ(mServer->OpenRequests(), 1U);
  EXPECT_EQ(client.Read(), "");
  for (int each = 1; each <= 40; each += each == 1 ? 16 : 1) {
    Respond("/" + std::to_string(each), std::to_string(each));
    Turn();
  }
  EXPECT_EQ(client.Read(), expected);
}

// Guards against a client that reads nothing and makes the server keep the
// responses to all its requests, and against a server that closes such a
// connection instead of reading no further.
TEST_F(pipelining_test, ReadsNoFurtherWhileTheClientDoesNotRead)
{
  constexpr size_t kRequests = 300;
  // Above what the system's socket buffers of both sides take.
  constexpr size_t kBodyBytes = 100 * 1024;
  size_t handled = 0;
  http_server server(mLoop, {}, [&](exchange_id aId, const http_request&) {
    ++handled;
    server.Respond(aId, { 200, {}, std::string(kBodyBytes, 'b') });
  });
  server.SetConcurrency(mPolicy);
  server.Listen("127.0.0.1", 0);
  pipelined_client client(server.Port());
  std::string requests;
  for (size_t each = 0; each < kRequests; ++each) {
    requests += Get("/");
  }
  ASSERT_EQ(client.Send(requests), requests.size());
  Run(100ms);
  EXPECT_LT(handled, kRequests);
  EXPECT_LT(mLoop.Bytes().Total(), 1024U * 1024U);
  EXPECT_GT(server.Counters().mByteStops, 0U);
  const size_t expected =
    kRequests * Answer(std::string(kBodyBytes, 'b')).size();
  for (int each = 0; each < 1000 && client.Read().size() < expected; ++each) {
    Run(5ms);
  }
  EXPECT_EQ(handled, kRequests);
  EXPECT_EQ(client.Read().size(), expected);
}

// Guards against concurrent requests that fill the memory of the process: above
// half of the budget each connection has one request in progress, and all are
// served.
TEST_F(pipelining_test, OneRequestEachWhenTheProcessHoldsManyBytes)
{
  Start();
  mLoop.Bytes().SetLimit(400'000);
  pipelined_client holder(mServer->Port());
  holder.Send(Get("/1") + Get("/2"));
  Turn();
  Respond("/2", std::string(220'000, 'b'));
  pipelined_client other(mServer->Port());
  other.Send(Get("/3") + Get("/4"));
  Turn();
  EXPECT_EQ(mOrder, "/1/2/3");
  Respond("/3", "three");
  Turn();
  EXPECT_EQ(mOrder, "/1/2/3/4");
  Respond("/4", "four");
  Turn();
  EXPECT_EQ(other.Read(), Answer("three") + Answer("four"));
  Respond("/1", "one");
  Turn();
  EXPECT_EQ(holder.Read(), Answer("one") + Answer(std::string(220'000, 'b')));
}

// Guards against a request that arrives too slowly and takes with it the
// responses to those before it.
TEST_F(pipelining_test, SlowRequestIsRefusedAfterTheResponsesBefore)
{
  http_server_settings settings;
  settings.mRequestTimeout = 50ms;
  Start(settings);
  pipelined_client client(mServer->Port());
  client.Send(Get("/1") + Get("/2") + "GET /3 HTTP/1.1\r\n");
  Run(150ms);
  EXPECT_EQ(client.Read(), "");
  Respond("/2", "two");
  Run(10ms);
  Respond("/1", "one");
  Run(10ms);
  const std::string expected = Answer("one") + Answer("two") + "HTTP/1.1 408 ";
  EXPECT_EQ(client.Read().substr(0, expected.size()), expected);
  EXPECT_TRUE(client.IsClosed());
}

// Guards against an idle time that runs while a response is owed, and against
// one that never starts after pipelined requests.
TEST_F(pipelining_test, IdleTimeStartsWithTheLastResponse)
{
  http_server_settings settings;
  settings.mIdleTimeout = 60ms;
  Start(settings);
  pipelined_client client(mServer->Port());
  client.Send(Get("/1") + Get("/2"));
  Run(20ms);
  Respond("/1", "one");
  Run(150ms);
  client.Read();
  EXPECT_FALSE(client.IsClosed());
  Respond("/2", "two");
  Run(20ms);
  EXPECT_EQ(client.Read(), Answer("one") + Answer("two"));
  EXPECT_FALSE(client.IsClosed());
  Run(150ms);
  client.Read();
  EXPECT_TRUE(client.IsClosed());
}

// Guards against an interim response that a client takes for a part of the
// response to an earlier request.
TEST_F(pipelining_test, ContinueIsSaidAfterTheEarlierResponses)
{
  Start();
  pipelined_client client(mServer->Port());
  client.Send(Get("/1") + "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                          "Expect: 100-continue\r\n\r\n");
  Turn();
  EXPECT_EQ(client.Read(), "");
  Respond("/1", "one");
  Turn();
  const std::string expected = Answer("one") + "HTTP/1.1 100 Continue\r\n\r\n";
  EXPECT_EQ(client.Read(), expected);
  client.Send("ab");
  Turn();
  Respond("/x", "x");
  Turn();
  EXPECT_EQ(client.Read(), expected + Answer("x"));
}

// Guards against a large body of a request that has to wait, which is never
// read because input of waiting requests stops the reading.
TEST_F(pipelining_test, LargeBodyBehindARequestInProgressIsRead)
{
  constexpr size_t kBodyBytes = 500'000;
  Start();
  pipelined_client client(mServer->Port());
  std::string request = Get("/1") +
                        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                        std::to_string(kBodyBytes) + "\r\n\r\n" +
                        std::string(kBodyBytes, 'b') + Get("/2");
  size_t sent = 0;
  for (int each = 0; each < 1000 && sent < request.size(); ++each) {
    sent += client.Send(std::string_view(request).substr(sent));
    Run(1ms);
  }
  RunUntilOrderIs("/1");
  Respond("/1", "one");
  // The system may still hold most of the body, as it takes more than the
  // server reads in one iteration.
  RunUntilOrderIs("/1/x");
  Respond("/x", "x");
  RunUntilOrderIs("/1/x/2");
}

// Guards against a handler that closes the connection from within its call
// while the connection goes on with the next request.
TEST_F(pipelining_test, ConnectionMayBeDroppedByItsHandler)
{
  size_t handled = 0;
  std::vector<exchange_id> closed;
  http_server server(
    mLoop, {}, [&](exchange_id aId, const http_request& aRequest) {
      ++handled;
      if (aRequest.mPath == "/drop") {
        server.Drop(aId);
      }
    });
  server.SetConcurrency(mPolicy);
  server.OnClose([&](exchange_id aId) { closed.push_back(aId); });
  server.Listen("127.0.0.1", 0);
  pipelined_client client(server.Port());
  client.Send(Get("/1") + Get("/drop") + Get("/3"));
  Turn();
  client.Read();
  EXPECT_EQ(handled, 2U);
  EXPECT_EQ(closed.size(), 1U);
  EXPECT_EQ(server.OpenRequests(), 0U);
  EXPECT_TRUE(client.IsClosed());
}

// Guards against a stream whose chunks are sent before the response to an
// earlier request, or are lost because they came before it.
TEST_F(pipelining_test, StreamWaitsForEarlierResponses)
{
  Start();
  pipelined_client client(mServer->Port());
  client.Send(Get("/1") + Get("/2") + Get("/3"));
  Turn();
  mServer->StartStream(mOpen.at("/2"), { 200, {}, "" });
  mServer->SendChunk(mOpen.at("/2"), "ab");
  Respond("/3", "three");
  Turn();
  EXPECT_EQ(client.Read(), "");
  Respond("/1", "one");
  mServer->SendChunk(mOpen.at("/2"), "c");
  mServer->EndStream(mOpen.at("/2"));
  Turn();
  EXPECT_EQ(client.Read(),
            Answer("one") +
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" +
              Answer("three"));
}

} // namespace parsleystair
