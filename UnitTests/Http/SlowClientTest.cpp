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

} // namespace parsleystair
