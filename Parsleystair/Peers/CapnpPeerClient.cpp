#include "Parsleystair/Peers/CapnpPeerClient.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Peers/BuffereventStream.h"
#include "Parsleystair/Peers/PeerCodec.h"
#include "Parsleystair/Peers/PeerConnection.h"

#include <kj/debug.h>
#include <map>

namespace parsleystair {

namespace {

/// How far a call got; shared by its promises.
struct call_progress
{
  bool mSent = false;
  bool mTimedOut = false;
};

using progress_pointer = std::shared_ptr<call_progress>;

/// Sends a request unless it is too large, and decodes its answer.
template<typename Params, typename Results, typename Decoder>
auto SendRequest(capnp::Request<Params, Results>& aRequest,
                 call_progress& aProgress,
                 Decoder aDecoder)
{
  KJ_REQUIRE(aRequest.totalSize().wordCount <= kMaxSentWords,
             "the message is too large");
  aProgress.mSent = true;
  return aRequest.send().then(
    [decode = std::move(aDecoder)](capnp::Response<Results>&& aResponse) {
      return decode(aResponse);
    });
}

/// Decoder of answers whose content is the struct `reply`.
constexpr auto kDecodeReply = [](auto& aResponse) {
  return Decode(aResponse.getReply());
};

/// Decoder of answers without content.
constexpr auto kDecodeNothing = [](auto&) { return acknowledgement{}; };

} // namespace

struct capnp_peer_client::state final : private kj::TaskSet::ErrorHandler
{
  state(rpc_loop& aLoop, const peer_client_settings& aSettings)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mTasks(*this)
  {
    mSweeper.StartRepeating(
      mLoop.Loop(), mSettings.mIdleLimit / 2, [this] { CloseIdle(); });
  }

  /// Makes a call; `aSend` is called when the connection stands.
  template<typename Reply, typename Send>
  void Call(const peer_address& aPeer, callback<Reply> aCallback, Send aSend)
  {
    const time_point now = MonotonicNow();
    peer_connection& connection = ConnectionTo(aPeer, now);
    auto progress = std::make_shared<call_progress>();
    const bool hasRoom = connection.OpenCalls() < mSettings.mMaxOpenCalls;
    connection.CallStarted(now);

    // The answer, or the end of the time, whichever comes first. `evalLater`
    // keeps the callback out of this function.
    auto connected = kj::evalLater([&connection, now, hasRoom] {
      return hasRoom ? connection.Connect(now)
                     : kj::Promise<void>(
                         KJ_EXCEPTION(OVERLOADED, "too many open calls"));
    });
    auto answer =
      connected.then([&connection, send = std::move(aSend), progress] {
        auto client = connection.Peer();
        return send(client, *progress);
      });
    auto timeout = After(mLoop.Loop(), mSettings.mCallTimeout)
                     .then([progress]() -> kj::Promise<Reply> {
                       progress->mTimedOut = true;
                       return KJ_EXCEPTION(OVERLOADED, "no answer in time");
                     });
    auto ended = answer.exclusiveJoin(kj::mv(timeout))
                   .then(
                     [](Reply&& aReply) {
                       return peer_result<Reply>{ peer_status::kReplied,
                                                  std::move(aReply) };
                     },
                     [progress](kj::Exception&& aException) {
                       LogFailure(aException);
                       peer_result<Reply> result;
                       result.mStatus = progress->mSent ? peer_status::kUnknown
                                                        : peer_status::kNotSent;
                       return result;
                     });
    mTasks.add(
      ended.then([this, &connection, progress, deliver = std::move(aCallback)](
                   peer_result<Reply>&& aResult) mutable {
        connection.CallEnded(progress->mSent && progress->mTimedOut,
                             MonotonicNow());
        mLoop.Guard([&] { deliver(std::move(aResult)); });
      }));
  }

  peer_connection& ConnectionTo(const peer_address& aPeer, time_point aNow)
  {
    auto& connection = mConnections[aPeer];
    if (connection == nullptr) {
      connection =
        std::make_unique<peer_connection>(mLoop, mSettings, aPeer, aNow);
    }
    return *connection;
  }

  void CloseIdle()
  {
    const time_point now = MonotonicNow();
    std::erase_if(mConnections, [now](const auto& aEntry) {
      return aEntry.second->IsIdle(now);
    });
  }

  static void LogFailure(const kj::Exception& aException)
  {
    log_line(log_severity::kDebug, "peer_call_failed")
      .Add("reason", aException.getDescription().cStr());
  }

  // Only a callback can fail a task, and `Guard` keeps that exception.
  void taskFailed(kj::Exception&& aException) override
  {
    LogFailure(aException);
  }

  rpc_loop& mLoop;
  const peer_client_settings mSettings;
  timer mSweeper;
  std::map<peer_address, std::unique_ptr<peer_connection>> mConnections;
  /// After the connections, since its promises refer to them.
  kj::TaskSet mTasks;
};

capnp_peer_client::capnp_peer_client(rpc_loop& aLoop,
                                     const peer_client_settings& aSettings)
  : mState(std::make_unique<state>(aLoop, aSettings))
{
}

capnp_peer_client::~capnp_peer_client() = default;

void capnp_peer_client::Heartbeat(const peer_address& aPeer,
                                  const heartbeat_message& aMessage,
                                  callback<heartbeat_message> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.heartbeatRequest();
                 Encode(message, request.initMessage());
                 return SendRequest(request, aProgress, kDecodeReply);
               });
}

void capnp_peer_client::Confirm(const peer_address& aPeer,
                                const confirm_message& aMessage,
                                callback<confirm_result> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.confirmRequest();
                 request.setGroup(message.mGroup.Value());
                 request.setRevision(message.mRevision.Value());
                 return SendRequest(request, aProgress, [](auto& aResponse) {
                   return FromWire(aResponse.getResult());
                 });
               });
}

void capnp_peer_client::Announce(const peer_address& aPeer,
                                 const announce_message& aMessage,
                                 callback<acknowledgement> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.announceRequest();
                 Encode(message.mRecord, request.initRecord());
                 return SendRequest(request, aProgress, kDecodeNothing);
               });
}

void capnp_peer_client::Begin(const peer_address& aPeer,
                              const begin_message& aMessage,
                              callback<begin_reply> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.beginRequest();
                 Encode(message, request.initMessage());
                 return SendRequest(request, aProgress, kDecodeReply);
               });
}

void capnp_peer_client::Finish(const peer_address& aPeer,
                               const finish_message& aMessage,
                               callback<acknowledgement> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.finishRequest();
                 Encode(message, request.initMessage());
                 return SendRequest(request, aProgress, kDecodeNothing);
               });
}

void capnp_peer_client::Withdraw(const peer_address& aPeer,
                                 const withdraw_message& aMessage,
                                 callback<acknowledgement> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.withdrawRequest();
                 Encode(message, request.initMessage());
                 return SendRequest(request, aProgress, kDecodeNothing);
               });
}

void capnp_peer_client::CopyRecords(const peer_address& aPeer,
                                    const copy_records_message& aMessage,
                                    callback<copy_records_reply> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [message = aMessage](wire::Peer::Client& aClient,
                                    call_progress& aProgress) {
                 auto request = aClient.copyRecordsRequest();
                 Encode(message.mRecord, request.initRecord());
                 return SendRequest(request, aProgress, kDecodeReply);
               });
}

void capnp_peer_client::FetchConfiguration(
  const peer_address& aPeer,
  callback<configuration_reply> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [](wire::Peer::Client& aClient, call_progress& aProgress) {
                 auto request = aClient.fetchConfigurationRequest();
                 return SendRequest(request, aProgress, kDecodeReply);
               });
}

void capnp_peer_client::FetchGroups(const peer_address& aPeer,
                                    callback<groups_reply> aCallback)
{
  mState->Call(aPeer,
               std::move(aCallback),
               [](wire::Peer::Client& aClient, call_progress& aProgress) {
                 auto request = aClient.fetchGroupsRequest();
                 return SendRequest(request, aProgress, kDecodeReply);
               });
}

} // namespace parsleystair
