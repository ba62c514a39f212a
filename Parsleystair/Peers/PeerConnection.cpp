#include "Parsleystair/Peers/PeerConnection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Peers/BuffereventStream.h"
#include "Parsleystair/Peers/PeerCodec.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

namespace parsleystair {

namespace {

capnp::ReaderOptions ReadLimits()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxReceivedWords;
  return options;
}

} // namespace

struct peer_connection::session
{
  explicit session(kj::Own<kj::AsyncIoStream> aStream)
    : mStream(kj::mv(aStream))
    , mNetwork(*mStream, capnp::rpc::twoparty::Side::CLIENT, ReadLimits())
    , mSystem(capnp::makeRpcClient(mNetwork))
    , mPeer(Bootstrap())
    , mWatch(nullptr)
  {
  }

  wire::Peer::Client Bootstrap()
  {
    capnp::MallocMessageBuilder message;
    auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
    id.setSide(capnp::rpc::twoparty::Side::SERVER);
    return mSystem.bootstrap(id).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mSystem;
  wire::Peer::Client mPeer;
  kj::Promise<void> mWatch;
};

peer_connection::peer_connection(rpc_loop& aLoop,
                                 const peer_client_settings& aSettings,
                                 const peer_address& aAddress,
                                 time_point aNow)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mAddress(aAddress)
  , mRetryAt(aNow)
  , mBackoff(aSettings.mMinBackoff)
  , mLastCall(aNow)
{
}

peer_connection::~peer_connection() = default;

kj::Promise<void> peer_connection::Connect(time_point aNow)
{
  if (mSession.get() != nullptr) {
    return kj::READY_NOW;
  }
  if (mIsConnecting) {
    return mConnecting->addBranch();
  }
  if (aNow < mRetryAt) {
    return KJ_EXCEPTION(DISCONNECTED, "waiting before the next connection");
  }
  return StartConnecting(aNow);
}

wire::Peer::Client peer_connection::Peer()
{
  KJ_REQUIRE(mSession.get() != nullptr, "connection lost");
  return mSession->mPeer;
}

kj::Promise<void> peer_connection::StartConnecting(time_point aNow)
{
  mIsConnecting = true;
  mRetryAt = aNow + mSettings.mMinBackoff;
  auto connected =
    ConnectStream(mLoop.Loop(), mAddress.mHost, mAddress.mPort, {}, [this] {
      mSilentSince.reset();
      if (mOpenCalls > 0) {
        mSilentSince = MonotonicNow();
      }
    });
  auto timeout =
    After(mLoop.Loop(), mSettings.mCallTimeout)
      .then([]() -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
        return KJ_EXCEPTION(DISCONNECTED, "connecting took too long");
      });
  auto opened = connected.exclusiveJoin(kj::mv(timeout))
                  .then(
                    [this](kj::Own<kj::AsyncIoStream> aStream) {
                      mIsConnecting = false;
                      mBackoff = mSettings.mMinBackoff;
                      OpenSession(kj::mv(aStream));
                    },
                    [this](kj::Exception&& aException) {
                      mIsConnecting = false;
                      mRetryAt = MonotonicNow() + mBackoff;
                      mBackoff = std::min(2 * mBackoff, mSettings.mMaxBackoff);
                      kj::throwFatalException(kj::mv(aException));
                    });
  mConnecting = opened.fork();
  return mConnecting->addBranch();
}

void peer_connection::OpenSession(kj::Own<kj::AsyncIoStream> aStream)
{
  PARSLEYSTAIR_INVARIANT(mSession.get() == nullptr);
  mSession = kj::heap<session>(kj::mv(aStream));
  mSilentSince.reset();
  mSession->mWatch = mSession->mNetwork.onDisconnect()
                       .then([this] { CloseSession("disconnected"); })
                       .eagerlyEvaluate([](kj::Exception&&) {});
}

void peer_connection::CloseSession(const char* aReason)
{
  if (mSession.get() == nullptr) {
    return;
  }
  log_line(log_severity::kInfo, "peer_connection_closed")
    .Add("vm", mAddress.mVm.Value())
    .Add("reason", aReason);
  mSilentSince.reset();
  mLostSessions.add(kj::mv(mSession));
  // A promise can't destroy the session that it belongs to, so the session
  // ends in an event of its own.
  mSessionReaper.StartOnce(
    mLoop.Loop(), duration::zero(), [this] { mLostSessions.clear(); });
}

void peer_connection::CallStarted(time_point aNow)
{
  ++mOpenCalls;
  mLastCall = aNow;
  if (!mSilentSince) {
    mSilentSince = aNow;
  }
}

void peer_connection::CallEnded(bool aTimedOut, time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(mOpenCalls > 0);
  --mOpenCalls;
  if (mOpenCalls == 0 && !aTimedOut) {
    mSilentSince.reset();
  }
  if (aTimedOut && mSilentSince &&
      aNow - *mSilentSince >= mSettings.mSilenceLimit) {
    CloseSession("silent");
  }
}

bool peer_connection::IsIdle(time_point aNow) const
{
  return mOpenCalls == 0 && !mIsConnecting &&
         aNow - mLastCall >= mSettings.mIdleLimit;
}

} // namespace parsleystair
