#include "Parsleystair/Gateway/TargetConnections.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpServer.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// Runs a target that closes connections after `kIdleTime`, and the connection
/// pool for it.
class target_connections_test : public testing::Test
{
protected:
  static constexpr duration kIdleTime = 300ms;
  static constexpr duration kKeepAlive = 600ms;

  target_connections_test()
    : mConnections(mLoop, {}, kKeepAlive)
  {
    http_server_settings settings;
    settings.mIdleTimeout = kIdleTime;
    mServer = std::make_unique<http_server>(
      mLoop, settings, [this](exchange_id aExchange, const http_request&) {
        mServer->Respond(aExchange, { 200, {}, "" });
      });
    mServer->Listen("127.0.0.1", 0);
    mTarget.mName = target_name("t");
    mTarget.mHost = "127.0.0.1";
    mTarget.mPort = mServer->Port();
  }

  /// Makes `aCount` concurrent calls and waits for all results.
  void Call(size_t aCount)
  {
    size_t open = aCount;
    http_request request;
    request.mMethod = "GET";
    request.mPath = "/";
    for (size_t call = 0; call < aCount; ++call) {
      mConnections.Call(
        mTarget,
        request,
        1s,
        MonotonicNow(),
        [this, &open](const http_result&) {
          if (--open == 0) {
            mLoop.Stop();
          }
        },
        nullptr);
    }
    mLoop.Run();
  }

  void RunFor(duration aTime)
  {
    timer end;
    end.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  event_loop mLoop;
  target_connections mConnections;
  std::unique_ptr<http_server> mServer;
  discovered_target mTarget;
};

} // namespace

// Guards against taking an idle connection that a target closed after its idle
// timeout for a restart of the target: all its keys would get new fences.
TEST_F(target_connections_test, ClosedIdleConnectionIsNoRestart)
{
  Call(2);
  RunFor(250ms);
  Call(1);
  RunFor(150ms);
  EXPECT_FALSE(mConnections.CloseBroken(mTarget.mName, MonotonicNow()));
}

// Guards against a restart of a target that is not detected.
TEST_F(target_connections_test, LostConnectionsAreARestart)
{
  Call(2);
  EXPECT_FALSE(mConnections.CloseBroken(mTarget.mName, MonotonicNow()));
  mServer.reset();
  RunFor(50ms);
  EXPECT_TRUE(mConnections.CloseBroken(mTarget.mName, MonotonicNow()));
}

// Guards against a restart that is not detected because nothing was sent to the
// target for a while.
TEST_F(target_connections_test, LossOfOldConnectionsAloneIsARestart)
{
  Call(1);
  RunFor(400ms);
  EXPECT_TRUE(mConnections.CloseBroken(mTarget.mName, MonotonicNow()));
}

// Guards against calls that reach the former process of a target, whose
// response arrived after the target had got another address.
TEST_F(target_connections_test, ConnectionToAFormerAddressIsNotReused)
{
  std::vector<exchange_id> waiting;
  http_server former(
    mLoop, {}, [&](exchange_id aExchange, const http_request&) {
      waiting.push_back(aExchange);
      mLoop.Stop();
    });
  former.Listen("127.0.0.1", 0);
  discovered_target formerTarget = mTarget;
  formerTarget.mPort = former.Port();
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/";
  bool responded = false;
  mConnections.Call(
    formerTarget,
    request,
    1s,
    MonotonicNow(),
    [&](const http_result&) {
      responded = true;
      mLoop.Stop();
    },
    nullptr);
  mLoop.Run();
  ASSERT_EQ(waiting.size(), 1u);
  Call(1);
  former.Respond(waiting[0], { 200, {}, "" });
  mLoop.Run();
  ASSERT_TRUE(responded);
  size_t received = 0;
  mConnections.Call(
    mTarget,
    request,
    300ms,
    MonotonicNow(),
    [&](const http_result& aResult) {
      received += aResult.mStatus == http_status::kResponded ? 1 : 0;
      mLoop.Stop();
    },
    nullptr);
  mLoop.Run();
  EXPECT_EQ(received, 1u);
  EXPECT_EQ(waiting.size(), 1u);
}

} // namespace parsleystair
