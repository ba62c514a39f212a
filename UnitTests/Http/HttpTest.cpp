#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Http/HttpServer.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace parsleystair {

namespace {

/// A port on which nothing listens: bound but not listening.
class closed_port
{
public:
  closed_port()
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
      ::bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
    socklen_t length = sizeof(address);
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
  }
  ~closed_port() { close(mSocket); }

  int mSocket;
  uint16_t mPort = 0;
};

/// Answers one connection with fixed bytes and closes it.
class raw_server
{
public:
  explicit raw_server(std::string aBytes)
  {
    listen(mPort.mSocket, 1);
    mThread = std::thread([this, bytes = std::move(aBytes)] {
      const int client = accept(mPort.mSocket, nullptr, nullptr);
      char buffer[4096];
      [[maybe_unused]] auto got = read(client, buffer, sizeof(buffer));
      [[maybe_unused]] auto sent = write(client, bytes.data(), bytes.size());
      close(client);
    });
  }
  ~raw_server() { mThread.join(); }

  closed_port mPort;
  std::thread mThread;
};

http_result CallOnce(event_loop& aLoop, uint16_t aPort, duration aTimeout)
{
  http_connection connection(aLoop, "127.0.0.1", aPort);
  http_result result;
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/";
  connection.Call(request, aTimeout, [&](http_result aResult) {
    result = std::move(aResult);
    aLoop.Stop();
  });
  aLoop.Run();
  return result;
}

int ConnectTo(uint16_t aPort)
{
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(
    connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  return client;
}

/// Sends bytes and returns all that comes back until the server closes.
std::string SendRaw(uint16_t aPort, const std::string& aBytes)
{
  const int client = ConnectTo(aPort);
  [[maybe_unused]] auto sent = write(client, aBytes.data(), aBytes.size());
  std::string received;
  char buffer[4096];
  for (;;) {
    const auto got = read(client, buffer, sizeof(buffer));
    if (got <= 0) {
      break;
    }
    received.append(buffer, static_cast<size_t>(got));
  }
  close(client);
  return received;
}

} // namespace

// Guards against work for clients that have left: a process that stood still
// finds the request and the end of its connection together.
TEST(Http, RequestOfAClientThatHasLeftIsNotHandled)
{
  event_loop loop;
  size_t handled = 0;
  http_server server(loop, {}, [&](exchange_id aId, const http_request&) {
    ++handled;
    server.Respond(aId, { 200, {}, "" });
  });
  server.Listen("127.0.0.1", 0);
  const auto call = [&](bool aLeaves) {
    const int client = ConnectTo(server.Port());
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_EQ(write(client, request.data(), request.size()),
              static_cast<ssize_t>(request.size()));
    if (aLeaves) {
      close(client);
    }
    timer end;
    end.StartOnce(loop, 100ms, [&] { loop.Stop(); });
    loop.Run();
    if (!aLeaves) {
      close(client);
    }
  };
  call(true);
  EXPECT_EQ(handled, 0u);
  call(false);
  EXPECT_EQ(handled, 1u);
}

// Guards against a request that is lost or answered with another's body.
TEST(Http, CarriesRequestAndAnswerWhole)
{
  event_loop loop;
  http_server server(loop, {}, [&](exchange_id aId, http_request aRequest) {
    server.Respond(aId,
                   { 200,
                     { { "X-Echo", aRequest.mPath } },
                     aRequest.mQuery + aRequest.mBody });
  });
  server.Listen("127.0.0.1", 0);
  http_connection connection(loop, "127.0.0.1", server.Port());
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/orders/elm";
  request.mQuery = "a=b";
  request.mBody = std::string(100'000, 'x');
  http_result result;
  connection.Call(request, 5s, [&](http_result aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  loop.Run();
  EXPECT_EQ(result.mStatus, http_status::kResponded);
  EXPECT_EQ(result.mResponse.mBody, "a=b" + request.mBody);
  EXPECT_EQ(FindHeader(result.mResponse.mHeaders, "x-echo"), "/orders/elm");
}

// Guards against chunks of a stream that are lost or come out of order, and
// against a stream that counts as whole before its end.
TEST(Http, StreamsChunksUntilTheEnd)
{
  event_loop loop;
  exchange_id exchange;
  http_server server(loop, {}, [&](exchange_id aId, const http_request&) {
    exchange = aId;
    server.StartStream(aId, { 200, { { "X-Kind", "stream" } }, "" });
    server.SendChunk(aId, "one ");
    server.SendChunk(aId, "");
  });
  server.Listen("127.0.0.1", 0);
  http_connection connection(loop, "127.0.0.1", server.Port());
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/";
  http_result result;
  connection.Call(request, 5s, [&](http_result aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  timer end;
  end.StartOnce(loop, 20ms, [&] {
    EXPECT_TRUE(connection.IsBusy());
    EXPECT_EQ(server.OpenRequests(), 1u);
    server.SendChunk(exchange, "two");
    server.EndStream(exchange);
  });
  loop.Run();
  EXPECT_EQ(result.mStatus, http_status::kResponded);
  EXPECT_EQ(result.mResponse.mBody, "one two");
  EXPECT_EQ(FindHeader(result.mResponse.mHeaders, "x-kind"), "stream");
  EXPECT_EQ(server.OpenRequests(), 0u);
}

// Guards against a refused connection that counts as possibly run.
TEST(Http, RefusedConnectionIsNotSent)
{
  event_loop loop;
  const closed_port port;
  EXPECT_EQ(CallOnce(loop, port.mPort, 5s).mStatus, http_status::kNotSent);
}

// Guards against the rest of a request that leaves after the request's send
// limit, because the system didn't take all of it before.
TEST(Http, NothingOfARequestLeavesAfterItsSendLimit)
{
  event_loop loop;
  const closed_port port;
  ASSERT_EQ(listen(port.mSocket, 1), 0);
  http_connection connection(loop, "127.0.0.1", port.mPort);
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/";
  request.mBody = std::string(32 * 1024 * 1024, 'x');
  std::optional<http_result> result;
  const time_point sendUntil = MonotonicNow() + 150ms;
  connection.Call(request,
                  5s,
                  [&](const http_result& aResult) { result = aResult; },
                  nullptr,
                  { sendUntil });
  const auto runFor = [&](duration aTime) {
    timer end;
    end.StartOnce(loop, aTime, [&] { loop.Stop(); });
    loop.Run();
  };
  // The server reads nothing before the limit.
  runFor(50ms);
  std::this_thread::sleep_for(sendUntil - MonotonicNow() + 10ms);
  const int accepted = accept4(port.mSocket, nullptr, nullptr, SOCK_NONBLOCK);
  ASSERT_GE(accepted, 0);
  size_t received = 0;
  std::vector<char> buffer(1024 * 1024);
  const time_point end = MonotonicNow() + 2s;
  while (!result && received < request.mBody.size() && MonotonicNow() < end) {
    const ssize_t count = recv(accepted, buffer.data(), buffer.size(), 0);
    received += count > 0 ? static_cast<size_t>(count) : 0;
    runFor(1ms);
  }
  close(accepted);
  EXPECT_LT(received, request.mBody.size());
  ASSERT_TRUE(result);
  EXPECT_EQ(result->mStatus, http_status::kNoResponse);
}

// Guards against a cut answer that is passed on as whole.
TEST(Http, CutAnswerIsNoAnswer)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> cutAnswers = {
    ok + "Content-Length: 9\r\n\r\nshort",
    ok + "\r\nno length",
    ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "HTTP/1.1 2",
    "",
  };
  for (const std::string& bytes : cutAnswers) {
    event_loop loop;
    const raw_server server(bytes);
    EXPECT_EQ(CallOnce(loop, server.mPort.mPort, 5s).mStatus,
              http_status::kNoResponse)
      << bytes;
  }
}

// Guards against a call that waits for ever on a server that never answers.
TEST(Http, TimesOutAndSaysSo)
{
  event_loop loop;
  http_server server(loop, {}, [](exchange_id, const http_request&) {});
  server.Listen("127.0.0.1", 0);
  const http_result result = CallOnce(loop, server.Port(), 20ms);
  EXPECT_EQ(result.mStatus, http_status::kNoResponse);
  EXPECT_TRUE(result.mTimedOut);
}

// Guards against a process that is ended by SIGPIPE when a client closes its
// connection in the middle of a long answer.
TEST(Http, SurvivesClientThatClosesEarly)
{
  event_loop loop;
  timer pause;
  const auto runShortly = [&] {
    pause.StartOnce(loop, 50ms, [&] { loop.Stop(); });
    loop.Run();
  };
  http_server server(loop, {}, [&](exchange_id aId, const http_request&) {
    server.Respond(aId, { 200, {}, std::string(64 * 1024 * 1024, 'x') });
  });
  server.Listen("127.0.0.1", 0);
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(
    connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_EQ(write(client, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  // The server fills the socket's buffers and waits.
  runShortly();
  // The end of the stream and the reset both arrive before its next write.
  shutdown(client, SHUT_WR);
  close(client);
  runShortly();
  EXPECT_EQ(server.OpenRequests(), 0u);
}

// Guards against request smuggling by two lengths, and against a crash on
// requests that are malformed or too large.
TEST(Http, RefusesBadRequests)
{
  event_loop loop;
  http_server_settings settings;
  settings.mMaxBodyBytes = 1000;
  settings.mMaxHeaderBytes = 1000;
  int handled = 0;
  http_server server(loop, settings, [&](exchange_id aId, const http_request&) {
    ++handled;
    server.Respond(aId, { 200, {}, "" });
  });
  server.Listen("127.0.0.1", 0);

  const std::string ambiguous =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
    "chunked\r\n\r\n0\r\n\r\n";
  const std::string twoLengths =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
    "3\r\nContent-Length: 3\r\n\r\nabc";
  const std::string garbage = "\x01\x02 nonsense\r\n\r\n";
  const std::string longBody =
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" +
    std::string(2000, 'x');
  const std::string longHeader =
    "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(3000, 'x') + "\r\n\r\n";
  std::vector<std::string> replies;
  std::thread client([&] {
    for (const auto& bytes :
         { ambiguous, twoLengths, garbage, longBody, longHeader }) {
      replies.push_back(SendRaw(server.Port(), bytes));
    }
    loop.Stop();
  });
  timer poll;
  poll.StartRepeating(loop, 5ms, [] {});
  loop.Run();
  client.join();

  EXPECT_EQ(handled, 0);
  EXPECT_EQ(replies[0].substr(9, 3), "400");
  EXPECT_EQ(replies[1].substr(9, 3), "400");
  EXPECT_EQ(replies[3].substr(9, 3), "413");
  EXPECT_EQ(replies[4].substr(9, 3), "431");
}

} // namespace parsleystair
