#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Peers/CapnpPeerClient.h"
#include "Parsleystair/Peers/PeerServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleystair {

namespace {

group_record MakeRecord(uint32_t aSlots)
{
  group_record record;
  record.mGroup = group_index(7);
  record.mRevision = store_revision(1234);
  record.mHolders = { { vm_name("vm-1"), incarnation(11), false },
                      { vm_name("vm-2"), incarnation(12), true } };
  for (uint32_t i = 0; i < aSlots; ++i) {
    slot_ownership ownership;
    ownership.mOwner = target_name("target-" + std::to_string(i % 10));
    ownership.mFence = fence(i);
    ownership.mSinceMs = 1'764'800'000'000 + i;
    if (i % 3 == 0) {
      ownership.mMove = slot_move{ target_name(""), move_reason::kOperator };
    }
    record.mSlots[{ service_name("recipes"), slot_index(i) }] = ownership;
  }
  return record;
}

http_response MakeAnswer()
{
  return { 201, { { "Content-Type", "text/plain" } }, std::string("a\0b", 3) };
}

heartbeat_message MakeHeartbeat()
{
  heartbeat_message message;
  message.mMembers = { { { vm_name("vm-1"), incarnation(5) },
                         "127.0.0.1",
                         7001,
                         failure_domain_name("asti-a"),
                         true,
                         40,
                         configuration_revision(9),
                         5000 } };
  message.mGroupDigest = 77;
  message.mCrashes = { { 1, 2, 3 } };
  return message;
}

request_key MakeKey()
{
  return { service_name("orders"), rule_name("create"), "key-1" };
}

/// Repeats what it receives, or what the test put into it.
class echo_handler : public peer_handler
{
public:
  heartbeat_message HandleHeartbeat(const heartbeat_message& aMessage) override
  {
    return aMessage;
  }
  confirm_result HandleConfirmRequest(const confirm_message& aMessage) override
  {
    ++mConfirms;
    if (aMessage.mGroup == group_index(666)) {
      throw error("no such group");
    }
    if (aMessage.mGroup == group_index(667)) {
      throw invariant_error("invariant failed: test");
    }
    return aMessage.mRevision == store_revision(1) ? confirm_result::kNewer
                                                   : confirm_result::kNotReady;
  }
  void HandleAnnouncement(const announce_message& aMessage) override
  {
    mRecord = aMessage.mRecord;
  }
  begin_reply HandleBegin(const begin_message& aMessage) override
  {
    mBegin = aMessage;
    return { begin_result::kFinished, execution_id("winner"), MakeAnswer() };
  }
  void HandleFinish(const finish_message& aMessage) override
  {
    mFinish = aMessage;
  }
  void HandleWithdraw(const withdraw_message& aMessage) override
  {
    mWithdraw = aMessage;
  }
  copy_records_reply HandleCopyRecords(const copy_records_message&) override
  {
    return { true,
             { { MakeKey(), execution_id("a"), 3, true, MakeAnswer(), 60 },
               { MakeKey(), execution_id("b"), 4, false, std::nullopt, 61 } } };
  }
  configuration_reply HandleFetchConfigurationRequest() override
  {
    return { configuration_revision(3), mConfiguration };
  }
  groups_reply HandleFetchGroupsRequest() override
  {
    return { { mRecord, mRecord } };
  }

  int mConfirms = 0;
  group_record mRecord;
  begin_message mBegin;
  finish_message mFinish;
  withdraw_message mWithdraw;
  std::string mConfiguration = "{}";
};

/// Socket of the test itself, closed at its end.
class raw_socket
{
public:
  raw_socket()
    : mDescriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
  }
  ~raw_socket() { close(mDescriptor); }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;

  static sockaddr_in Loopback(uint16_t aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void ConnectTo(uint16_t aPort) const
  {
    const sockaddr_in address = Loopback(aPort);
    ASSERT_EQ(0,
              connect(mDescriptor,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)));
  }

  /// Takes connections but never reads; returns the port.
  [[nodiscard]] uint16_t Listen() const
  {
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(0, bind(mDescriptor, generic, length));
    EXPECT_EQ(0, listen(mDescriptor, 16));
    EXPECT_EQ(0, getsockname(mDescriptor, generic, &length));
    return ntohs(address.sin_port);
  }

  void Send(const std::string& aBytes) const
  {
    send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

private:
  int mDescriptor;
};

class peer_rpc : public testing::Test
{
protected:
  peer_rpc()
    : mRpc(mLoop)
    , mClient(std::make_unique<capnp_peer_client>(mRpc, Settings()))
  {
    StartServer(0);
  }

  static peer_client_settings Settings()
  {
    peer_client_settings settings;
    settings.mMinBackoff = 10ms;
    // Client and server share a thread, which a busy machine may hold up.
    settings.mCallTimeout = 2s;
    settings.mSilenceLimit = 2s;
    return settings;
  }

  void StartServer(uint16_t aPort)
  {
    peer_server_settings settings;
    settings.mMaxConnections = 20;
    mServer = std::make_unique<peer_server>(
      mRpc, "127.0.0.1", aPort, mHandler, settings);
    mAddress = { vm_name("vm-1"), "127.0.0.1", mServer->Port() };
  }

  /// Runs the loop until `aIsDone`, or fails after 10 s.
  template<typename Condition>
  void RunUntil(Condition aIsDone)
  {
    const time_point limit = MonotonicNow() + 10s;
    while (!aIsDone() && MonotonicNow() < limit) {
      timer pause;
      pause.StartOnce(mLoop, 1ms, [] {});
      event_base_loop(mLoop.Base(), EVLOOP_ONCE);
    }
    ASSERT_TRUE(aIsDone());
  }

  /// Makes one call and waits for its end.
  template<typename Reply, typename Call>
  peer_result<Reply> Wait(Call aCall)
  {
    std::optional<peer_result<Reply>> result;
    int calls = 0;
    aCall([&](peer_result<Reply> aResult) {
      result = std::move(aResult);
      ++calls;
    });
    EXPECT_EQ(calls, 0) << "called back inside the call";
    RunUntil([&] { return result.has_value(); });
    EXPECT_EQ(calls, 1);
    return result.value_or(peer_result<Reply>{});
  }

  peer_result<confirm_result> Confirm(uint32_t aGroup = 1)
  {
    return Wait<confirm_result>([&](auto aCallback) {
      mClient->Confirm(
        mAddress, { group_index(aGroup), store_revision(1) }, aCallback);
    });
  }

  event_loop mLoop;
  rpc_loop mRpc;
  echo_handler mHandler;
  std::unique_ptr<peer_server> mServer;
  std::unique_ptr<capnp_peer_client> mClient;
  peer_address mAddress;
};

// Guards against fields that get lost or mixed up on the wire.
TEST_F(peer_rpc, EveryMessageArrivesUnchanged)
{
  const auto heartbeat = Wait<heartbeat_message>([&](auto aCallback) {
    mClient->Heartbeat(mAddress, MakeHeartbeat(), aCallback);
  });
  EXPECT_EQ(heartbeat.mStatus, peer_status::kReplied);
  EXPECT_EQ(heartbeat.mReply, MakeHeartbeat());

  EXPECT_EQ(Confirm().mReply, confirm_result::kNewer);

  const announce_message announce{ MakeRecord(100) };
  Wait<acknowledgement>(
    [&](auto aCallback) { mClient->Announce(mAddress, announce, aCallback); });
  EXPECT_EQ(mHandler.mRecord, announce.mRecord);

  const begin_message begin{
    group_index(1), store_revision(2), MakeKey(), execution_id("x"), 99, 123
  };
  const auto begun = Wait<begin_reply>(
    [&](auto aCallback) { mClient->Begin(mAddress, begin, aCallback); });
  EXPECT_EQ(mHandler.mBegin, begin);
  EXPECT_EQ(begun.mReply.mResult, begin_result::kFinished);
  EXPECT_EQ(begun.mReply.mWinner, execution_id("winner"));
  EXPECT_EQ(begun.mReply.mResponse, MakeAnswer());

  const finish_message finish{
    group_index(1), MakeKey(), execution_id("x"), MakeAnswer()
  };
  Wait<acknowledgement>(
    [&](auto aCallback) { mClient->Finish(mAddress, finish, aCallback); });
  EXPECT_EQ(mHandler.mFinish, finish);

  const withdraw_message withdraw{ group_index(1),
                                   MakeKey(),
                                   execution_id("x") };
  Wait<acknowledgement>(
    [&](auto aCallback) { mClient->Withdraw(mAddress, withdraw, aCallback); });
  EXPECT_EQ(mHandler.mWithdraw, withdraw);

  const auto copied = Wait<copy_records_reply>([&](auto aCallback) {
    mClient->CopyRecords(mAddress, { MakeRecord(1) }, aCallback);
  });
  EXPECT_EQ(copied.mReply, mHandler.HandleCopyRecords({}));

  const auto fetched = Wait<configuration_reply>(
    [&](auto aCallback) { mClient->FetchConfiguration(mAddress, aCallback); });
  EXPECT_EQ(fetched.mReply, mHandler.HandleFetchConfigurationRequest());
}

// Guards against a name that is not UTF-8 and would end this router when it
// writes the name as JSON: the call fails in its place.
TEST_F(peer_rpc, RefusesNamesThatAreNotUtf8)
{
  heartbeat_message message = MakeHeartbeat();
  message.mMembers[0].mVm.mName = vm_name("vm\xff");
  const auto heartbeat = Wait<heartbeat_message>(
    [&](auto aCallback) { mClient->Heartbeat(mAddress, message, aCallback); });
  EXPECT_NE(heartbeat.mStatus, peer_status::kReplied);

  group_record record = MakeRecord(2);
  record.mSlots.begin()->second.mOwner = target_name("target\xc3");
  Wait<acknowledgement>([&](auto aCallback) {
    mClient->Announce(mAddress, { record }, aCallback);
  });
  EXPECT_EQ(mHandler.mRecord, group_record());
  EXPECT_EQ(Confirm().mReply, confirm_result::kNewer);
}

// Guards against a limit that is too small for all records of a deployment
// with 65,536 slots.
TEST_F(peer_rpc, FetchesLargeRecords)
{
  // Sanitizer builds on a busy machine take longer than a call may last.
  peer_client_settings settings = Settings();
  settings.mCallTimeout = 60s;
  settings.mSilenceLimit = 60s;
  mClient = std::make_unique<capnp_peer_client>(mRpc, settings);
  mHandler.mRecord = MakeRecord(32'768);
  const auto fetched = Wait<groups_reply>(
    [&](auto aCallback) { mClient->FetchGroups(mAddress, aCallback); });
  EXPECT_EQ(fetched.mStatus, peer_status::kReplied);
  EXPECT_EQ(fetched.mReply, mHandler.HandleFetchGroupsRequest());
}

// Guards against an oversized message that breaks the connection for others.
TEST_F(peer_rpc, RefusesOversizedMessagesAndGoesOn)
{
  const std::string large(5 * 1024 * 1024, 'x');
  const auto sent = Wait<acknowledgement>([&](auto aCallback) {
    mClient->Finish(mAddress,
                    { group_index(1),
                      MakeKey(),
                      execution_id("x"),
                      http_response{ 200, {}, large } },
                    aCallback);
  });
  EXPECT_EQ(sent.mStatus, peer_status::kNotSent);

  mHandler.mConfiguration = large;
  const auto fetched = Wait<configuration_reply>(
    [&](auto aCallback) { mClient->FetchConfiguration(mAddress, aCallback); });
  EXPECT_EQ(fetched.mStatus, peer_status::kUnknown);
  EXPECT_EQ(Confirm().mStatus, peer_status::kReplied);
  EXPECT_EQ(mServer->Connections(), 1u);
}

// Guards against a handler's error that ends more than its own call.
TEST_F(peer_rpc, FailedCallIsUnknownAndKeepsTheConnection)
{
  EXPECT_EQ(Confirm(666).mStatus, peer_status::kUnknown);
  EXPECT_EQ(Confirm().mStatus, peer_status::kReplied);
}

// Guards against promises that swallow a broken invariant.
TEST_F(peer_rpc, InvariantErrorLeavesTheLoop)
{
  EXPECT_THROW(Confirm(667), invariant_error);
}

// Guards against calls that stay open when a peer accepts and stays silent,
// and against a silent connection that is kept.
TEST_F(peer_rpc, SilentPeerEndsCallsAsUnknown)
{
  const raw_socket silent;
  mAddress.mPort = silent.Listen();
  for (int i = 0; i < 5; ++i) {
    const time_point start = MonotonicNow();
    EXPECT_EQ(Confirm().mStatus, peer_status::kUnknown);
    EXPECT_GE(MonotonicNow() - start, 190ms);
  }
}

// Guards against a refused connection that is reported as unknown.
TEST_F(peer_rpc, RefusedConnectionIsNotSent)
{
  mServer.reset();
  EXPECT_EQ(Confirm().mStatus, peer_status::kNotSent);
  EXPECT_EQ(Confirm().mStatus, peer_status::kNotSent);
  EXPECT_EQ(mHandler.mConfirms, 0);
}

// Guards against a client that never comes back to a peer that restarted.
TEST_F(peer_rpc, ReconnectsAfterThePeerRestarts)
{
  EXPECT_EQ(Confirm().mStatus, peer_status::kReplied);
  const uint16_t port = mServer->Port();
  mServer.reset();
  EXPECT_NE(Confirm().mStatus, peer_status::kReplied);
  EXPECT_EQ(mHandler.mConfirms, 1);

  StartServer(port);
  RunUntil([&] { return Confirm().mStatus == peer_status::kReplied; });
}

// Guards against calls in flight that get no callback, or two, when the peer
// goes away.
TEST_F(peer_rpc, EachOpenCallEndsOnceWhenThePeerGoes)
{
  constexpr int kCalls = 100;
  std::vector<int> ends(kCalls, 0);
  for (int i = 0; i < kCalls; ++i) {
    mClient->Confirm(mAddress,
                     { group_index(1), store_revision(1) },
                     [&ends, i](const auto&) { ++ends[i]; });
  }
  RunUntil([&] { return mServer->Connections() == 1; });
  mServer.reset();
  RunUntil([&] { return std::ranges::count(ends, 1) == kCalls; });
}

// Guards against crashes and leaked connections after bytes that are no RPC.
TEST_F(peer_rpc, ServerSurvivesGarbage)
{
  std::mt19937 random(20261204);
  for (int i = 0; i < 200; ++i) {
    const raw_socket socket;
    socket.ConnectTo(mServer->Port());
    std::string bytes(random() % 600, '\0');
    for (char& byte : bytes) {
      // Many zeros give plausible headers.
      byte = static_cast<char>(random() % 3 == 0 ? random() : random() % 4);
    }
    socket.Send(bytes);
    RunUntil([&] { return mServer->Connections() > 0; });
    if (i % 10 == 0) {
      EXPECT_EQ(Confirm().mStatus, peer_status::kReplied);
    }
  }
  RunUntil([&] { return mServer->Connections() == 1; });
  EXPECT_EQ(Confirm().mStatus, peer_status::kReplied);
}

// Guards against connections without a bound.
TEST_F(peer_rpc, LimitsConnections)
{
  std::vector<std::unique_ptr<raw_socket>> sockets;
  for (size_t i = 0; i < 40; ++i) {
    sockets.push_back(std::make_unique<raw_socket>());
    sockets.back()->ConnectTo(mServer->Port());
    RunUntil(
      [&] { return mServer->Connections() >= std::min<size_t>(i + 1, 20); });
  }
  EXPECT_EQ(mServer->Connections(), 20u);
}

} // namespace

} // namespace parsleystair
