#include "Parsleystair/Peers/PeerServer.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Core/SystemAddress.h"
#include "Parsleystair/Peers/BuffereventStream.h"
#include "Parsleystair/Peers/PeerCodec.h"

#include <capnp/rpc-twoparty.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <netinet/in.h>

namespace parsleystair {

namespace {

// Generated interfaces have no virtual destructor; kj never deletes through
// them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Passes calls from the wire to the handler.
class peer_service final : public wire::Peer::Server
{
public:
  peer_service(rpc_loop& aLoop, peer_handler& aHandler)
    : mLoop(aLoop)
    , mHandler(aHandler)
  {
  }

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto aResults) {
      const auto message = Decode(aParams.getMessage());
      Encode(mHandler.HandleHeartbeat(message), aResults.initReply());
    });
  }

  kj::Promise<void> confirm(ConfirmContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto aResults) {
      const confirm_message message{ group_index(aParams.getGroup()),
                                     store_revision(aParams.getRevision()) };
      aResults.setResult(ToWire(mHandler.HandleConfirmRequest(message)));
    });
  }

  kj::Promise<void> announce(AnnounceContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto) {
      mHandler.HandleAnnouncement({ Decode(aParams.getRecord()) });
    });
  }

  kj::Promise<void> begin(BeginContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto aResults) {
      const auto message = Decode(aParams.getMessage());
      Encode(mHandler.HandleBegin(message), aResults.initReply());
    });
  }

  kj::Promise<void> finish(FinishContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto) {
      mHandler.HandleFinish(Decode(aParams.getMessage()));
    });
  }

  kj::Promise<void> withdraw(WithdrawContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto) {
      mHandler.HandleWithdraw(Decode(aParams.getMessage()));
    });
  }

  kj::Promise<void> copyRecords(CopyRecordsContext aContext) override
  {
    return Answer(aContext, [this](auto aParams, auto aResults) {
      const copy_records_message message{ Decode(aParams.getRecord()) };
      Encode(mHandler.HandleCopyRecords(message), aResults.initReply());
    });
  }

  kj::Promise<void> fetchConfiguration(
    FetchConfigurationContext aContext) override
  {
    return Answer(aContext, [this](auto, auto aResults) {
      Encode(mHandler.HandleFetchConfigurationRequest(), aResults.initReply());
    });
  }

  kj::Promise<void> fetchGroups(FetchGroupsContext aContext) override
  {
    return Answer(aContext, [this](auto, auto aResults) {
      Encode(mHandler.HandleFetchGroupsRequest(), aResults.initReply());
    });
  }

private:
  /// Runs one call. A failed call breaks its promise, which reaches the caller
  /// as an error of this call alone.
  template<typename Context, typename Function>
  kj::Promise<void> Answer(Context& aContext, Function aFunction)
  {
    constexpr capnp::MessageSize kSizeHint{ 64, 0 };
    try {
      auto results = aContext.getResults(kSizeHint);
      aFunction(aContext.getParams(), results);
      if (results.totalSize().wordCount > kMaxSentWords) {
        throw error("the reply is too large");
      }
      return kj::READY_NOW;
    } catch (const invariant_error&) {
      mLoop.Guard([] { throw; });
    } catch (const std::exception& exception) {
      log_line(log_severity::kWarning, "peer_call_refused")
        .Add("reason", exception.what());
    }
    return KJ_EXCEPTION(FAILED, "the call could not be handled");
  }

  rpc_loop& mLoop;
  peer_handler& mHandler;
};

#pragma GCC diagnostic pop

/// One accepted connection.
struct server_connection
{
  server_connection(kj::Own<kj::AsyncIoStream> aStream,
                    capnp::Capability::Client aService,
                    size_t& aCount)
    : mStream(kj::mv(aStream))
    , mNetwork(*mStream, capnp::rpc::twoparty::Side::SERVER, ReadLimits())
    , mSystem(capnp::makeRpcServer(mNetwork, kj::mv(aService)))
    , mCount(aCount)
  {
    ++mCount;
  }

  ~server_connection() { --mCount; }
  KJ_DISALLOW_COPY(server_connection);

  static capnp::ReaderOptions ReadLimits()
  {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxReceivedWords;
    return options;
  }

  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mSystem;
  size_t& mCount;
};

uint16_t PortOf(evconnlistener* aListener)
{
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  getsockname(evconnlistener_get_fd(aListener),
              reinterpret_cast<sockaddr*>(&address),
              &length);
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

} // namespace

struct peer_server::state final : private kj::TaskSet::ErrorHandler
{
  state(rpc_loop& aLoop,
        peer_handler& aHandler,
        const peer_server_settings& aSettings)
    : mLoop(aLoop)
    , mSettings(aSettings)
    , mService(kj::heap<peer_service>(aLoop, aHandler))
    , mTasks(*this)
  {
  }

  ~state()
  {
    if (mListener != nullptr) {
      evconnlistener_free(mListener);
    }
  }

  state(const state&) = delete;
  state& operator=(const state&) = delete;

  void Listen(const std::string& aHost, uint16_t aPort)
  {
    constexpr int kBacklog = 256;
    system_address address = ParseSystemAddress(aHost, aPort);
    mListener = evconnlistener_new_bind(
      mLoop.Loop().Base(),
      &state::HandleAccept,
      this,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog,
      address.Get(),
      address.mLength);
    if (mListener == nullptr) {
      throw system_error("cannot listen for peers on " + aHost + ":" +
                         std::to_string(aPort));
    }
  }

  static void HandleAccept(evconnlistener*,
                           evutil_socket_t aDescriptor,
                           sockaddr*,
                           int,
                           void* aArgument)
  {
    static_cast<state*>(aArgument)->Accept(aDescriptor);
  }

  void Accept(evutil_socket_t aDescriptor)
  {
    if (mConnections >= mSettings.mMaxConnections) {
      log_line(log_severity::kWarning, "peer_connection_refused")
        .Add("connections", static_cast<uint64_t>(mConnections));
      evutil_closesocket(aDescriptor);
      return;
    }
    const stream_limits limits{ mSettings.mIdleLimit, mSettings.mWriteLimit };
    auto connection = kj::heap<server_connection>(
      MakeStream(mLoop.Loop(), aDescriptor, limits), mService, mConnections);
    auto ended = connection->mNetwork.onDisconnect();
    mTasks.add(ended.attach(kj::mv(connection)));
  }

  void taskFailed(kj::Exception&& aException) override
  {
    log_line(log_severity::kInfo, "peer_connection_failed")
      .Add("reason", aException.getDescription().cStr());
  }

  rpc_loop& mLoop;
  const peer_server_settings mSettings;
  capnp::Capability::Client mService;
  size_t mConnections = 0;
  kj::TaskSet mTasks;
  evconnlistener* mListener = nullptr;
};

peer_server::peer_server(rpc_loop& aLoop,
                         const std::string& aHost,
                         uint16_t aPort,
                         peer_handler& aHandler,
                         const peer_server_settings& aSettings)
  : mState(std::make_unique<state>(aLoop, aHandler, aSettings))
{
  mState->Listen(aHost, aPort);
}

peer_server::~peer_server() = default;

uint16_t peer_server::Port() const
{
  return PortOf(mState->mListener);
}

size_t peer_server::Connections() const
{
  return mState->mConnections;
}

} // namespace parsleystair
