#include "Parsleystair/Gateway/RangeDriver.h"

#include "OrderTarget.h"
#include "Parsleystair/Core/Clock.h"
#include "StandIns/standin_users_platform/KvServer.h"
#include "UnitTests/Support/FullListener.h"
#include "UnitTests/Support/LogCapture.h"
#include "platform/KvStore.h"
#include "platform/Protocols.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace parsleystair {

namespace {

const service_name kService("keyed");

election_settings ElectionSettings()
{
  election_settings settings;
  settings.mLeaderKey = kLeaderKey;
  settings.mTermsKey = kTermsKey;
  settings.mSelf.mVm = vm_name("router");
  settings.mSelf.mIncarnation = incarnation(1);
  settings.mSelf.mHost = "127.0.0.1";
  settings.mSelf.mPort = 1;
  return settings;
}

/// Blocks the event loop until an order's send limit has passed, while the
/// order is on its way to a connection.
class blocking_orders : public platform::wire_orders
{
public:
  [[nodiscard]] http_request GrantRequest(
    const grant_order& aOrder,
    const std::string& aRequestId) const override
  {
    std::this_thread::sleep_for(aOrder.mSendUntil - MonotonicNow() + 10ms);
    return wire_orders::GrantRequest(aOrder, aRequestId);
  }
};

/// Blocks the event loop for a while before each grant is sent whose keys begin
/// at `aFirstKey` or later.
class slow_orders : public platform::wire_orders
{
public:
  explicit slow_orders(duration aDelay, uint32_t aFirstKey = 0)
    : mDelay(aDelay)
    , mFirstKey(aFirstKey)
  {
  }

  [[nodiscard]] http_request GrantRequest(
    const grant_order& aOrder,
    const std::string& aRequestId) const override
  {
    if (aOrder.mKeys.mFirst >= mFirstKey) {
      std::this_thread::sleep_for(mDelay);
    }
    return wire_orders::GrantRequest(aOrder, aRequestId);
  }

private:
  duration mDelay;
  uint32_t mFirstKey;
};

/// Blocks the event loop.
void Block(duration aTime)
{
  std::this_thread::sleep_for(aTime);
}

/// A leading router and two targets. Target `a` owns all keys, in ranges with
/// different fences; the test responds to its orders. Target `b` accepts all
/// orders.
class range_driver_test : public testing::Test
{
protected:
  range_driver_test()
  {
    mKv.Listen("127.0.0.1", 0);
    mStore.emplace(mLoop, "127.0.0.1", mKv.Port());
    mElection.emplace(mLoop, *mStore, ElectionSettings(), 1);
    mElection->OnChange([] {});
    mElection->OnLeadershipConfirmed([this] {
      if (mDriver) {
        mDriver->HandleLeadershipConfirmed();
      }
    });
    mElection->OnFormerLeadersGone([] {});
    mElection->HandleKey(std::nullopt);
    EXPECT_TRUE(RunUntil([this] { return mElection->IsLeading(); }));
    mOther.OnOrder([this](const order_target::received_order& aOrder) {
      mOther.Send(aOrder.mConnection, order_target::Response(200, aOrder.Id()));
    });
  }

  /// Starts to lead with `aRanges` ranges of the first target.
  void StartDriver(size_t aRanges,
                   const range_settings& aSettings,
                   const order_protocol& aProtocol)
  {
    mDriver.emplace(mLoop, aSettings, *mStore, aProtocol, *mElection);
    mDriver->OnRecord([](const service_name&, const versioned_record&) {});
    mDriver->OnWriteFailed([] {});
    mDriver->SetServices({ kService });
    // The record comes after the start, so that its fences are those of this
    // term and are granted at once.
    mDriver->StartLeading(MonotonicNow());
    GiveRecord(aRanges);
    UpdateTargets(false);
  }

  /// A record of this term names the first target as the owner of all keys, in
  /// `aRanges` ranges.
  void GiveRecord(size_t aRanges)
  {
    range_record record;
    record.mNextFence = mNextFence;
    const auto size = static_cast<uint32_t>((kMaxKeyNumber + 1) / aRanges);
    for (uint32_t first = 0; first <= kMaxKeyNumber; first += size) {
      const uint64_t fenceNumber = record.mNextFence++;
      record.mRanges.push_back({ { first, first + size - 1 },
                                 { target_name("a"), 7 },
                                 fence(fenceNumber),
                                 mHandover });
    }
    mNextFence = record.mNextFence;
    mDriver->HandleRecord(kService, record, store_revision(++mRecordRevision));
  }

  void StartDriver(size_t aRanges)
  {
    StartDriver(aRanges, range_settings(), mOrders);
  }

  /// `aDraining`: the first target is draining, so its keys are to be moved.
  void UpdateTargets(bool aDraining)
  {
    target_directory directory;
    const uint16_t port =
      mFullListener ? mFullListener->Port() : mTarget.Port();
    directory.Update(Target("a", port, aDraining), MonotonicNow());
    directory.Update(Target("b", mOther.Port(), false), MonotonicNow());
    mDriver->HandleTargets(directory, MonotonicNow());
  }

  static discovered_target Target(const std::string& aName,
                                  uint16_t aPort,
                                  bool aDraining)
  {
    discovered_target target;
    target.mName = target_name(aName);
    target.mService = kService;
    target.mHost = "127.0.0.1";
    target.mPort = aPort;
    target.mConcurrency = 4;
    target.mDraining = aDraining;
    target.mStartedMs = 7;
    return target;
  }

  /// Runs the loop until a condition holds or `aTimeout` has passed. Returns
  /// whether the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition, duration aTimeout = 5s)
  {
    const time_point deadline = MonotonicNow() + aTimeout;
    timer poll;
    poll.StartRepeating(mLoop, 2ms, [&] {
      if (aCondition() || MonotonicNow() > deadline) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    return aCondition();
  }

  void RunFor(duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  /// Waits until the first target's keys are given to another target. Returns
  /// the time since the first target received its last grant.
  duration WaitForMove(time_point aLastGrant)
  {
    EXPECT_TRUE(
      RunUntil([this] { return mDriver->Counters().mRecordWrites > 0; }));
    return MonotonicNow() - aLastGrant;
  }

  /// Text that grants carry.
  std::string mHandover;
  uint64_t mNextFence = 1;
  uint64_t mRecordRevision = 0;
  event_loop mLoop;
  kv_server mKv{ mLoop };
  std::optional<platform::kv_store> mStore;
  std::optional<leader_election> mElection;
  platform::wire_orders mOrders;
  order_target mTarget{ mLoop };
  /// If set, the first target doesn't accept connections.
  std::optional<full_listener> mFullListener;
  order_target mOther{ mLoop };
  std::optional<range_driver> mDriver;
};

} // namespace

// Guards against two owners of one key: a target in trouble responds to a
// release with an error and goes on serving the keys.
TEST_F(range_driver_test, ErrorResponseToAReleaseFreesNoKeys)
{
  const std::vector<uint32_t> statuses{ 500, 503, 429, 421, 404, 400, 409 };
  size_t releases = 0;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    uint32_t status = 200;
    if (aOrder.IsRelease()) {
      EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
      if (releases < statuses.size()) {
        status = statuses[releases];
      }
      ++releases;
    }
    mTarget.Send(aOrder.mConnection,
                 order_target::Response(status, aOrder.Id()));
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 1; }));
  UpdateTargets(true);
  // The retries take less time than the grant is valid.
  EXPECT_TRUE(RunUntil([&] { return releases > statuses.size(); }, 3s));
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 200ms));
}

// Guards against two owners of one key: a target repeats its response to an
// earlier order on the kept connection, at the point where the response to a
// release is expected.
TEST_F(range_driver_test, RepeatedResponseOfAnEarlierOrderIsNoRelease)
{
  std::string last;
  std::vector<order_target::received_order> releases;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (aOrder.IsRelease()) {
      releases.push_back(aOrder);
    } else {
      last = order_target::Response(200, aOrder.Id());
    }
    mTarget.Send(aOrder.mConnection, last);
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return !last.empty(); }));
  RunFor(20ms);
  UpdateTargets(true);
  ASSERT_TRUE(RunUntil([&] { return !releases.empty(); }));
  EXPECT_EQ(releases[0].mConnection, mTarget.Orders()[0].mConnection);
  RunFor(200ms);
  EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
  // The response that belongs to the release frees the keys.
  mTarget.Send(releases[0].mConnection,
               order_target::Response(200, releases[0].Id()));
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 1s));
  EXPECT_EQ(releases.size(), 1u);
}

// Guards against the same for a response that doesn't tell to which order it
// belongs. The release is sent again on a connection without earlier orders.
TEST_F(range_driver_test, ResponseWithoutIdOnAKeptConnectionIsNoRelease)
{
  std::vector<order_target::received_order> releases;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (aOrder.IsRelease()) {
      EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
      releases.push_back(aOrder);
    }
    mTarget.Send(
      aOrder.mConnection,
      order_target::Response(200, aOrder.IsRelease() ? "" : aOrder.Id()));
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return !mTarget.Orders().empty(); }));
  RunFor(20ms);
  UpdateTargets(true);
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 2s));
  ASSERT_EQ(releases.size(), 2u);
  EXPECT_EQ(releases[0].mConnection, mTarget.Orders()[0].mConnection);
  EXPECT_NE(releases[1].mConnection, releases[0].mConnection);
}

// Guards against a second release for each move if a target never echoes the
// identifiers of orders, and against reading its repeated responses as those of
// releases.
TEST_F(range_driver_test, TargetWithoutIdsGetsReleasesOnNewConnections)
{
  std::vector<order_target::received_order> releases;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (aOrder.IsRelease()) {
      releases.push_back(aOrder);
      return;
    }
    mTarget.Send(aOrder.mConnection, order_target::Response(200, ""));
  });
  StartDriver(1);
  // Renewals use the kept connection.
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }));
  const size_t kept = mTarget.Orders()[0].mConnection;
  EXPECT_EQ(mTarget.Orders()[1].mConnection, kept);
  RunFor(20ms);
  UpdateTargets(true);
  ASSERT_TRUE(RunUntil([&] { return !releases.empty(); }));
  EXPECT_NE(releases[0].mConnection, kept);
  mTarget.Send(kept, order_target::Response(200, ""));
  RunFor(200ms);
  EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
  mTarget.Send(releases[0].mConnection, order_target::Response(200, ""));
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 1s));
  EXPECT_EQ(releases.size(), 1u);
}

// Guards against the same when the repeated response arrives before the release
// is sent.
TEST_F(range_driver_test, RepeatedResponseOnAnIdleConnectionIsNoRelease)
{
  order_target::received_order grant;
  std::vector<order_target::received_order> releases;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (aOrder.IsRelease()) {
      releases.push_back(aOrder);
      return;
    }
    grant = aOrder;
    mTarget.Send(aOrder.mConnection, order_target::Response(200, aOrder.Id()));
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return !mTarget.Orders().empty(); }));
  RunFor(20ms);
  mTarget.Send(grant.mConnection, order_target::Response(200, grant.Id()));
  RunFor(20ms);
  UpdateTargets(true);
  ASSERT_TRUE(RunUntil([&] { return !releases.empty(); }));
  RunFor(200ms);
  EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
  EXPECT_NE(releases[0].mConnection, grant.mConnection);
}

// Guards against a change of fences, and a write of the record, for a refusal
// that the target repeats on the kept connection. The connection is not used
// again, so that the next grant needs a new fence for another reason: a new
// connection may lead to another process.
TEST_F(range_driver_test, RepeatedRefusalOfAnEarlierOrderChangesNoFence)
{
  std::string repeated;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    mTarget.Send(aOrder.mConnection,
                 repeated + order_target::Response(200, aOrder.Id()));
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 1; }));
  repeated = order_target::Response(409, mTarget.Orders()[0].Id());
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }));
  repeated.clear();
  RunFor(200ms);
  EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
  EXPECT_EQ(mDriver->Counters().mGrantsFailed, 0u);
  EXPECT_EQ(mTarget.Orders()[0].mConnection, mTarget.Orders()[1].mConnection);
  EXPECT_NE(mTarget.Orders()[0].Id(), mTarget.Orders()[1].Id());
  // The connection with the repeated response was not used again, and the fence
  // was not granted on another one.
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 2s));
  EXPECT_EQ(mTarget.Orders().size(), 2u);
}

// Guards against queued grants that leave after the time with which the next
// leader counts: the keys then have another owner.
TEST_F(range_driver_test, QueuedGrantsAreDroppedAtTheirSendLimit)
{
  // The target responds to the first two grants shortly before the limit, so
  // that new ones are decided, and then not any more.
  range_settings settings;
  settings.mMaxConfirmationAgeToRenew = 1s;
  mKv.SetUnresponsive(true);
  StartDriver(8, settings, mOrders);
  const time_point limit =
    mElection->Leadership().mConfirmedAt + settings.mMaxConfirmationAgeToRenew;
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }, 500ms));
  RunUntil([&] { return MonotonicNow() >= limit - 200ms; });
  for (const order_target::received_order& each : mTarget.Orders()) {
    mTarget.Send(each.mConnection, order_target::Response(200, each.Id()));
  }
  // Two more are sent if their predecessors time out just before the limit.
  RunUntil([&] { return MonotonicNow() >= limit + 20ms; });
  const size_t sent = mTarget.Orders().size();
  EXPECT_GE(sent, 4u);
  EXPECT_LE(sent, 6u);
  RunFor(500ms);
  EXPECT_EQ(mTarget.Orders().size(), sent);
}

// Guards against the same for a grant whose router stands still after the
// decision to send it.
TEST_F(range_driver_test, NoGrantLeavesABlockedRouterAfterItsSendLimit)
{
  range_settings settings;
  settings.mMaxConfirmationAgeToRenew = 400ms;
  mKv.SetUnresponsive(true);
  const blocking_orders orders;
  StartDriver(1, settings, orders);
  RunFor(600ms);
  EXPECT_EQ(mDriver->Counters().mGrants, 1u);
  EXPECT_TRUE(mTarget.Orders().empty());
}

// Guards against the same for a router that stands still while it connects: the
// loop then handles the connection before the expired timer of the call.
TEST_F(range_driver_test, NoGrantLeavesARouterThatBlockedWhileConnecting)
{
  range_settings settings;
  settings.mMaxConfirmationAgeToRenew = 400ms;
  mKv.SetUnresponsive(true);
  // The second grant blocks the router while the first one's connection is
  // being set up.
  const slow_orders orders(500ms, 1);
  StartDriver(2, settings, orders);
  RunFor(1s);
  EXPECT_EQ(mDriver->Counters().mGrants, 2u);
  EXPECT_TRUE(mTarget.Orders().empty());
}

// Guards against orders that a server of another service, which has got the
// target's address, runs as requests.
TEST_F(range_driver_test, OrdersNameTheirTarget)
{
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 1; }));
  EXPECT_EQ(
    FindHeader(mTarget.Orders()[0].mRequest.mHeaders, "X-Expected-Instance"),
    "a");
}

// Guards against grants that leave after the end of the leadership: queued
// ones, and those whose connection is being set up.
TEST_F(range_driver_test, NoGrantLeavesAfterTheLeadershipEnds)
{
  StartDriver(8);
  timer first;
  timer second;
  first.StartOnce(mLoop, 5ms, [] { Block(50ms); });
  second.StartOnce(
    mLoop, 40ms, [this] { mDriver->StopLeading(MonotonicNow()); });
  RunFor(300ms);
  EXPECT_EQ(mDriver->Counters().mGrants, 8u);
  EXPECT_TRUE(mTarget.Orders().empty());

  mDriver->StartLeading(MonotonicNow());
  GiveRecord(8);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }));
  mDriver->StopLeading(MonotonicNow());
  for (const order_target::received_order& each : mTarget.Orders()) {
    mTarget.Send(each.mConnection, order_target::Response(200, each.Id()));
  }
  RunFor(300ms);
  EXPECT_EQ(mTarget.Orders().size(), 2u);
}

// Guards against taking a target for faulty, and against new fences for its
// keys, because an order was dropped while its connection was being set up.
TEST_F(range_driver_test, AnOrderThatIsDroppedWhileConnectingIsNoFailure)
{
  mFullListener.emplace();
  range_settings settings;
  settings.mMaxConfirmationAgeToRenew = 300ms;
  mKv.SetUnresponsive(true);
  log_capture log;
  StartDriver(1, settings, mOrders);
  RunFor(600ms);
  EXPECT_EQ(mDriver->Counters().mGrantsFailed, 1u);
  size_t heldBack = 0;
  for (const log_record& each : log.End()) {
    heldBack += each.Has("end", "held-back") ? 1 : 0;
  }
  EXPECT_EQ(heldBack, 1u);
}

// Guards against grants to a process that has replaced the target: they were
// decided for its predecessor and queued when the connections broke.
TEST_F(range_driver_test, QueuedGrantsDoNotReachARestartedTarget)
{
  constexpr size_t kRanges = 8;
  bool responds = true;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (responds) {
      mTarget.Send(aOrder.mConnection,
                   order_target::Response(200, aOrder.Id()));
    }
  });
  StartDriver(kRanges);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == kRanges; }));
  RunFor(20ms);
  responds = false;
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() > kRanges + 1; }));
  RunFor(20ms);
  ASSERT_EQ(mTarget.Orders().size(), kRanges + 2);
  mTarget.CloseConnections();
  responds = true;
  RunFor(200ms);
  EXPECT_EQ(mTarget.Orders().size(), kRanges + 2);
}

// Guards against a grant over a connection that was started in time and
// accepted after the time at which connections may lead to another process.
TEST_F(range_driver_test, NoGrantUsesAConnectionAcceptedAfterItsLimit)
{
  range_settings settings;
  settings.mMaxConfirmationAgeToMove = 400ms;
  mKv.SetUnresponsive(true);
  // The second grant blocks the router while the first one's connection is
  // being set up.
  const slow_orders orders(500ms, 1);
  StartDriver(2, settings, orders);
  RunFor(1s);
  EXPECT_GE(mDriver->Counters().mGrants, 2u);
  EXPECT_TRUE(mTarget.Orders().empty());
}

// Guards against two owners of one key: a grant that leaves the router long
// after its decision is valid from its arrival.
TEST_F(range_driver_test, GrantOfABlockedRouterExpiresAfterItsArrival)
{
  range_settings settings;
  settings.mGrantDuration = 500ms;
  settings.mMaxNetworkDelay = 0ms;
  settings.mMaxResendTime = 0ms;
  const slow_orders orders(400ms);
  time_point lastGrant;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (!aOrder.IsRelease()) {
      lastGrant = MonotonicNow();
    }
    mTarget.Send(
      aOrder.mConnection,
      order_target::Response(aOrder.IsRelease() ? 503 : 200, aOrder.Id()));
  });
  StartDriver(1, settings, orders);
  ASSERT_TRUE(RunUntil([&] { return !mTarget.Orders().empty(); }));
  UpdateTargets(true);
  EXPECT_GE(WaitForMove(lastGrant), settings.mGrantDuration);
  EXPECT_GE(mTarget.Releases(), 1u);
}

// Guards against two owners of one key: a grant that the target's system has
// not received when its call ends may arrive later.
TEST_F(range_driver_test, GrantThatTheNetworkHoldsDelaysTheMove)
{
  range_settings settings;
  settings.mGrantDuration = 300ms;
  settings.mMaxNetworkDelay = 1500ms;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    mTarget.Send(
      aOrder.mConnection,
      order_target::Response(aOrder.IsRelease() ? 503 : 200, aOrder.Id()));
  });
  StartDriver(1, settings, mOrders);
  ASSERT_TRUE(RunUntil([&] { return !mTarget.Orders().empty(); }));
  RunFor(50ms);
  mTarget.StopReading();
  // More than the target's system receives for a process that doesn't read.
  constexpr size_t kHandoverBytes = 4 * 1024 * 1024;
  mHandover = std::string(kHandoverBytes, 'h');
  GiveRecord(1);
  ASSERT_TRUE(RunUntil([&] { return mDriver->Counters().mGrantsFailed > 0; }));
  const time_point lastGrant = MonotonicNow();
  UpdateTargets(true);
  constexpr duration kTolerance = 100ms;
  EXPECT_GE(WaitForMove(lastGrant),
            settings.mMaxNetworkDelay + settings.mGrantDuration - kTolerance);
}

// Guards against two owners of one key: the connection ends after the target
// has read a grant and before it responds.
TEST_F(range_driver_test, GrantOnAConnectionThatEndsMayHaveBeenAccepted)
{
  range_settings settings;
  settings.mGrantDuration = 500ms;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (mTarget.Orders().size() == 1) {
      mTarget.Send(aOrder.mConnection,
                   order_target::Response(200, aOrder.Id()));
    }
  });
  StartDriver(1, settings, mOrders);
  // The renewal is sent when no former leader's grant is valid any more.
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }));
  const time_point lastGrant = MonotonicNow();
  UpdateTargets(true);
  RunFor(50ms);
  mTarget.CloseConnections();
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    EXPECT_TRUE(aOrder.IsRelease());
    mTarget.Send(aOrder.mConnection, order_target::Response(503, aOrder.Id()));
  });
  EXPECT_GE(WaitForMove(lastGrant), settings.mGrantDuration);
  EXPECT_GE(mTarget.Releases(), 1u);
}

// Guards against an incarnation of a target that takes the fence which the one
// before it has taken: the connections to the earlier one may all have been
// closed in order, so that none is found broken, and a connection that is
// opened then may lead to the later one. Targets end connections in each way.
TEST_F(range_driver_test, NoFenceIsGrantedOnALaterConnection)
{
  enum class ending
  {
    kKept,
    kClosedByResponse,
    kClosedAfterResponse,
    kClosedWithoutResponse,
  };
  const std::vector<std::vector<ending>> plays = {
    { ending::kKept },
    { ending::kClosedByResponse },
    { ending::kClosedAfterResponse },
    { ending::kKept, ending::kClosedByResponse },
    { ending::kKept, ending::kKept, ending::kClosedAfterResponse },
    { ending::kKept, ending::kClosedWithoutResponse },
  };
  constexpr size_t kRanges = 4;
  range_settings settings;
  settings.mRenewInterval = 50ms;
  for (const std::vector<ending>& play : plays) {
    SCOPED_TRACE(&play - plays.data());
    std::map<uint64_t, size_t> lastAllowed;
    size_t connections = 0;
    size_t orders = 0;
    size_t reused = 0;
    timer closing;
    mTarget.OnOrder([&](const order_target::received_order& aOrder) {
      connections = std::max(connections, aOrder.mConnection + 1);
      const auto body = nlohmann::json::parse(aOrder.mRequest.mBody);
      const auto [first, isFirst] = lastAllowed.try_emplace(
        body.at("fence").get<uint64_t>(), connections - 1);
      EXPECT_LE(aOrder.mConnection, first->second);
      reused += isFirst ? 0 : 1;
      const ending chosen = play[orders++ % play.size()];
      std::string response = order_target::Response(200, aOrder.Id());
      if (chosen == ending::kClosedByResponse) {
        response.insert(response.find("Content-Length"),
                        "Connection: close\r\n");
      }
      if (chosen != ending::kClosedWithoutResponse) {
        mTarget.Send(aOrder.mConnection, response);
      }
      if (chosen != ending::kKept) {
        closing.StartOnce(mLoop, 5ms, [this, id = aOrder.mConnection] {
          mTarget.CloseConnection(id);
        });
      }
    });
    StartDriver(kRanges, settings, mOrders);
    RunFor(500ms);
    EXPECT_GE(orders, kRanges);
    // Connections that stay open carry renewals, without new fences.
    if (play.size() == 1 && play[0] == ending::kKept) {
      EXPECT_GT(reused, 4 * kRanges);
      EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
    } else {
      EXPECT_GT(mDriver->Counters().mRecordWrites, 0u);
    }
    mTarget.OnOrder(nullptr);
    mDriver.reset();
    RunFor(20ms);
  }
}

// Guards against a release that takes the only connection over which the grants
// of the target's other keys may be renewed: all of them would need new fences.
TEST_F(range_driver_test, ReleaseOfSomeKeysLeavesAConnectionForTheOthers)
{
  std::vector<order_target::received_order> releases;
  mTarget.OnOrder([&](const order_target::received_order& aOrder) {
    if (aOrder.IsRelease()) {
      releases.push_back(aOrder);
      return;
    }
    mTarget.Send(aOrder.mConnection, order_target::Response(200, aOrder.Id()));
  });
  StartDriver(2);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 2; }));
  RunFor(20ms);
  UpdateTargets(true);
  ASSERT_TRUE(RunUntil([&] { return releases.size() == 2; }));
  EXPECT_NE(releases[0].mConnection, releases[1].mConnection);
}

} // namespace parsleystair
