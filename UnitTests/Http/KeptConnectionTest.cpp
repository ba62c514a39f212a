#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "UnitTests/Support/ScriptedTarget.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace parsleystair {

namespace {

std::string Answer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// Address at which connections are established and never read.
class silent_listener
{
public:
  silent_listener()
    : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    constexpr int kBacklog = 8;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    EXPECT_EQ(
      ::bind(mDescriptor, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(listen(mDescriptor, kBacklog), 0);
    getsockname(mDescriptor, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
  }
  ~silent_listener() { close(mDescriptor); }
  silent_listener(const silent_listener&) = delete;
  silent_listener& operator=(const silent_listener&) = delete;

  [[nodiscard]] uint16_t Port() const { return mPort; }

private:
  int mDescriptor;
  uint16_t mPort = 0;
};

/// Makes calls over one connection to a target that answers with the path.
class kept_connection_test : public testing::Test
{
protected:
  static constexpr duration kCallTimeout = 5s;

  kept_connection_test()
    : mTarget(mLoop,
              [this](scripted_target::connection& aConnection,
                     const http_request& aRequest) {
                aConnection.Send(mBefore + Answer(aRequest.mPath) + mExtra);
                if (!mEndless.empty()) {
                  aConnection.SendEndlessly(mEndless, 1ms);
                }
              })
    , mConnection(mLoop, "127.0.0.1", mTarget.Port())
  {
  }

  void Call(const std::string& aPath,
            http_connection::response_filter aFilter = nullptr)
  {
    Call(mConnection, aPath, kCallTimeout, std::move(aFilter));
  }

  void Call(http_connection& aConnection,
            const std::string& aPath,
            duration aTimeout,
            http_connection::response_filter aFilter = nullptr,
            const send_limits& aLimits = {})
  {
    http_request request;
    request.mMethod = "GET";
    request.mPath = aPath;
    aConnection.Call(
      request,
      aTimeout,
      [this](http_result aResult) {
        mResult = std::move(aResult);
        mLoop.Stop();
      },
      std::move(aFilter),
      aLimits);
  }

  /// Waits for what the target sent, without reading it.
  void WaitUntilNotOpen()
  {
    const time_point end = MonotonicNow() + kCallTimeout;
    while (mConnection.IsOpen() && MonotonicNow() < end) {
      std::this_thread::sleep_for(1ms);
    }
    EXPECT_FALSE(mConnection.IsOpen());
  }

  void RunFor(duration aTime)
  {
    timer end;
    end.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  event_loop mLoop;
  std::string mBefore;
  std::string mExtra;
  std::string mEndless;
  scripted_target mTarget;
  http_connection mConnection;
  http_result mResult;
};

} // namespace

// Guards against a request that is taken to have arrived while it is still on
// its way, and against the reverse.
TEST_F(kept_connection_test, ResultTellsIfTheRequestWasAcknowledged)
{
  Call("/answered");
  mLoop.Run();
  ASSERT_EQ(mResult.mStatus, http_status::kResponded);
  EXPECT_TRUE(mResult.mAcknowledged);

  // A listener that accepts nothing: its system receives a short request, and
  // not all of a long one.
  const silent_listener listener;
  for (const size_t bytes : { size_t{ 10 }, size_t{ 32 * 1024 * 1024 } }) {
    http_connection connection(mLoop, "127.0.0.1", listener.Port());
    Call(connection, "/" + std::string(bytes, 'a'), 200ms);
    mLoop.Run();
    EXPECT_EQ(mResult.mStatus, http_status::kNoResponse);
    EXPECT_EQ(mResult.mAcknowledged, bytes == 10);
  }
}

// Guards against bytes that arrived between two calls, but were not read yet,
// and are taken for the answer to the second call.
TEST_F(kept_connection_test, UnreadBytesAreNoAnswerToTheNextCall)
{
  Call("/1");
  mLoop.Run();
  ASSERT_TRUE(mConnection.IsOpen());
  mTarget.LastConnection().Send(Answer("stale"));
  WaitUntilNotOpen();
  Call("/2");
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/2");
  EXPECT_EQ(mTarget.Accepted(), 2u);
}

// Guards against the same for bytes that arrive together with an answer, or
// while the connection is idle.
TEST_F(kept_connection_test, BytesAfterAnAnswerEndTheConnection)
{
  mExtra = Answer("extra");
  Call("/1");
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/1");
  EXPECT_FALSE(mConnection.IsOpen());
  mExtra = "";
  Call("/2");
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/2");
  mTarget.LastConnection().Send("x");
  RunFor(20ms);
  EXPECT_FALSE(mConnection.IsOpen());
  Call("/3");
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/3");
  EXPECT_EQ(mTarget.Accepted(), 3u);
}

// Guards against a connection that was closed by its peer, which is not read
// yet, and loses the next call.
TEST_F(kept_connection_test, UnreadEndIsNoAnswerToTheNextCall)
{
  Call("/1");
  mLoop.Run();
  mTarget.LastConnection().Finish();
  WaitUntilNotOpen();
  Call("/2");
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/2");
  EXPECT_EQ(mTarget.Accepted(), 2u);
}

// Guards against a call that is meant for the process at the other end of a
// kept connection and reaches the next one: the connection ends after the
// caller has checked it.
TEST_F(kept_connection_test, ConnectLimitHoldsForACallThatFindsAnUnreadEnd)
{
  Call("/1");
  mLoop.Run();
  mTarget.LastConnection().Finish();
  WaitUntilNotOpen();
  const send_limits openOnly{ time_point::max(), MonotonicNow() };
  Call(mConnection, "/2", kCallTimeout, nullptr, openOnly);
  mLoop.Run();
  EXPECT_EQ(mResult.mStatus, http_status::kNotSent);
  EXPECT_TRUE(mResult.mTimedOut);
  // The limit is none for a connection that is open.
  Call("/3");
  mLoop.Run();
  Call(mConnection, "/4", kCallTimeout, nullptr, openOnly);
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/4");
}

// Guards against a call that skips answers to other calls without end, until
// its deadline.
TEST_F(kept_connection_test, EndlessAnswersToOtherCallsFailTheCall)
{
  mEndless = Answer("other");
  const time_point start = MonotonicNow();
  Call("/1", [](const http_response&, bool) { return false; });
  mLoop.Run();
  EXPECT_EQ(mResult.mFailure, http_failure::kMalformed);
  EXPECT_LT(MonotonicNow() - start, kCallTimeout);
  EXPECT_FALSE(mConnection.IsOpen());
}

// Guards against a bound on skipped answers that loses the call's own answer
// after a few answers to others.
TEST_F(kept_connection_test, FewAnswersToOtherCallsAreSkipped)
{
  for (int count = 0; count < 4; ++count) {
    mBefore += Answer("other");
  }
  Call("/1", [](const http_response& aAnswer, bool) {
    return aAnswer.mBody == "/1";
  });
  mLoop.Run();
  EXPECT_EQ(mResult.mResponse.mBody, "/1");
}

// Guards against a call that waits until its deadline for the end of an
// endless answer to another call, after which the connection ends.
TEST_F(kept_connection_test, EndlessAnswerToAnotherCallFailsTheCall)
{
  mBefore = "HTTP/1.1 200 OK\r\n\r\n";
  mEndless = "x";
  const time_point start = MonotonicNow();
  Call("/1", [](const http_response&, bool) { return false; });
  mLoop.Run();
  EXPECT_EQ(mResult.mFailure, http_failure::kMalformed);
  EXPECT_LT(MonotonicNow() - start, kCallTimeout);
}

// Guards against a call that never ends since its answer arrives a byte at a
// time, where an answer may take longer than the call's time.
TEST_F(kept_connection_test, EndlessSlowAnswerFailsTheCall)
{
  http_connection_settings settings;
  settings.mSilenceTimeout = 1s;
  settings.mTransferTimeout = 300ms;
  http_connection connection(mLoop, "127.0.0.1", mTarget.Port(), settings);
  mBefore = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
  mEndless = "x";
  timer guard;
  bool late = false;
  guard.StartOnce(mLoop, kCallTimeout, [&] {
    late = true;
    mLoop.Stop();
  });
  Call(connection, "/1", 100ms);
  mLoop.Run();
  EXPECT_FALSE(late);
  EXPECT_EQ(mResult.mFailure, http_failure::kAborted);
  EXPECT_TRUE(mResult.mTimedOut);
}

} // namespace parsleystair
