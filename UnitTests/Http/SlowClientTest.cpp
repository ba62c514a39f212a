#include "Parsleystair/Http/HttpServer.h"
#include "UnitTests/Support/SlowReader.h"

namespace parsleystair {

namespace {

constexpr size_t kBodyBytes = 6 * 1024 * 1024;

/// Returns the bytes that a client gets that reads slowly for `aSlowTime` and
/// then reads the rest.
size_t BytesReadBy(const std::string& aRequest, duration aSlowTime)
{
  event_loop loop;
  http_server_settings settings;
  settings.mIdleTimeout = 1s;
  http_server* responder = nullptr;
  http_server server(
    loop, settings, [&](exchange_id aExchange, const http_request&) {
      responder->Respond(aExchange, { 200, {}, std::string(kBodyBytes, 'b') });
    });
  responder = &server;
  server.Listen("127.0.0.1", 0);
  slow_reader client(server.Port(), aRequest);
  client.ReadSlowly(loop);
  timer fast;
  fast.StartOnce(loop, aSlowTime, [&] { client.ReadAll(loop); });
  timer end;
  end.StartOnce(loop, aSlowTime + 5s, [&] { loop.Stop(); });
  timer poll;
  poll.StartRepeating(loop, 10ms, [&] {
    if (client.IsClosed()) {
      loop.Stop();
    }
  });
  loop.Run();
  return client.Bytes();
}

} // namespace

// Guards against a connection that is closed a fixed time after its last
// response, though the client still reads that response.
TEST(SlowClient, GetsAWholeLastResponse)
{
  EXPECT_GT(BytesReadBy("GET / HTTP/1.1\r\nHost: a\r\n"
                        "Connection: close\r\n\r\n",
                        2500ms),
            kBodyBytes);
}

// Guards against a connection that counts as idle though the client still
// reads a response.
TEST(SlowClient, GetsAWholeResponseOnAKeptConnection)
{
  EXPECT_GT(BytesReadBy("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2500ms),
            kBodyBytes);
}

namespace {

/// Server with an idle timeout of 1 s, whose answers the system takes at once,
/// and a client that reads them slowly.
class slow_client_test : public testing::Test
{
protected:
  static constexpr size_t kSmallBodyBytes = 300'000;
  static constexpr size_t kRate = 150'000;

  slow_client_test()
    : mServer(mLoop, Settings(), [this](exchange_id aExchange, const auto&) {
      ++mRequests;
      mServer.Respond(aExchange,
                      { 200, {}, std::string(kSmallBodyBytes, 'b') });
    })
  {
    mServer.Listen("127.0.0.1", 0);
  }

  static http_server_settings Settings()
  {
    http_server_settings settings;
    settings.mIdleTimeout = 1s;
    settings.mRequestTimeout = 5s;
    settings.mMaxBodyBytes = 1000;
    return settings;
  }

  void Run(duration aTime)
  {
    timer end;
    end.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  void RunUntilRead(const slow_reader& aClient, size_t aBytes)
  {
    for (int turn = 0; turn < 1000 && aClient.Bytes() < aBytes; ++turn) {
      Run(10ms);
    }
  }

  event_loop mLoop;
  http_server mServer;
  size_t mRequests = 0;
};

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* kLastRequest =
  "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a connection that is closed while the system still delivers
// the last answer. A request that the client sent ahead resets it then.
TEST_F(slow_client_test, GetsALastAnswerThoughItSendsOn)
{
  slow_reader client(mServer.Port(), kLastRequest);
  client.ReadSlowly(mLoop, kRate / 3);
  Run(2300ms);
  client.Send(kRequest);
  Run(100ms);
  client.Send(kRequest);
  client.ReadAll(mLoop);
  Run(300ms);
  EXPECT_GT(client.Bytes(), kSmallBodyBytes);
  EXPECT_TRUE(client.IsClosed());
  EXPECT_EQ(mRequests, 1U);
}

// Guards against an idle time that runs while the client still reads: its next
// request, right after the answer, would reset the connection.
TEST_F(slow_client_test, IsNotIdleBeforeItHasTheAnswer)
{
  slow_reader client(mServer.Port(), kRequest);
  client.ReadSlowly(mLoop, kRate);
  RunUntilRead(client, kSmallBodyBytes);
  client.Send(kRequest);
  client.ReadAll(mLoop);
  RunUntilRead(client, 2 * kSmallBodyBytes);
  EXPECT_EQ(mRequests, 2U);
  EXPECT_GT(client.Bytes(), 2 * kSmallBodyBytes);
}

// Guards against a connection that stays open for a client that reads nothing.
TEST_F(slow_client_test, IsClosedIfItReadsNothing)
{
  slow_reader client(mServer.Port(), kRequest);
  Run(7s);
  EXPECT_EQ(mServer.Counters().mAbandoned, 1U);
  client.ReadAll(mLoop);
  Run(100ms);
  EXPECT_TRUE(client.IsClosed());
}

// Guards against an answer that is lost with the bytes that the system has not
// taken, if the client closes its sending side while it reads.
TEST(SlowClient, GetsAWholeAnswerAfterTheEndOfItsRequests)
{
  event_loop loop;
  http_server server(loop, {}, [&](exchange_id aExchange, const http_request&) {
    server.Respond(aExchange, { 200, {}, std::string(kBodyBytes, 'b') });
  });
  server.Listen("127.0.0.1", 0);
  slow_reader client(server.Port(), kRequest);
  timer end;
  end.StartOnce(loop, 100ms, [&] {
    client.EndSending();
    client.ReadAll(loop);
  });
  timer stop;
  stop.StartOnce(loop, 2s, [&] { loop.Stop(); });
  loop.Run();
  EXPECT_GT(client.Bytes(), kBodyBytes);
  EXPECT_TRUE(client.IsClosed());
}

// Guards against a connection that is closed while the rest of a refused body
// arrives, which resets it and may take the refusal with it.
TEST_F(slow_client_test, GetsTheRefusalOfABodyThatItSendsSlowly)
{
  slow_reader client(mServer.Port(),
                     "POST / HTTP/1.1\r\nHost: a\r\n"
                     "Content-Length: 100000\r\n\r\n");
  timer sending;
  bool isOpen = true;
  sending.StartRepeating(mLoop, 100ms, [&] {
    isOpen = client.Send(std::string(2000, 'b')) && isOpen;
  });
  Run(4s);
  sending.Cancel();
  EXPECT_TRUE(isOpen);
  client.ReadAll(mLoop);
  Run(100ms);
  EXPECT_TRUE(client.Text().starts_with("HTTP/1.1 413 ")) << client.Text();
}

} // namespace parsleystair
