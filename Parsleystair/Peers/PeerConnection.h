#pragma once

#include "Parsleystair/Peers/CapnpPeerClient.h"
#include "Parsleystair/Peers/Peer.capnp.h"

#include <kj/async-io.h>
#include <kj/vector.h>
#include <optional>

// Included by source files of this folder only, since it brings in Cap'n
// Proto's headers.

namespace parsleystair {

/// Connection to one peer, made when it is needed and made again after a loss.
class peer_connection
{
public:
  peer_connection(rpc_loop& aLoop,
                  const peer_client_settings& aSettings,
                  const peer_address& aAddress,
                  time_point aNow);
  ~peer_connection();
  KJ_DISALLOW_COPY(peer_connection);

  /// Kept once the connection stands. Fails at once during the wait after a
  /// refused connection.
  kj::Promise<void> Connect(time_point aNow);

  /// The peer's interface. Throws a kj exception when there is no connection.
  [[nodiscard]] wire::Peer::Client Peer();

  /// Count the open calls. A call that timed out on a silent connection closes
  /// it.
  void CallStarted(time_point aNow);
  void CallEnded(bool aTimedOut, time_point aNow);

  [[nodiscard]] size_t OpenCalls() const { return mOpenCalls; }

  /// True when there were no calls for the idle limit.
  [[nodiscard]] bool IsIdle(time_point aNow) const;

private:
  struct session;

  kj::Promise<void> StartConnecting(time_point aNow);
  void OpenSession(kj::Own<kj::AsyncIoStream> aStream);
  void CloseSession(const char* aReason);

  rpc_loop& mLoop;
  const peer_client_settings mSettings;
  const peer_address mAddress;

  kj::Own<session> mSession;
  kj::Vector<kj::Own<session>> mLostSessions;
  timer mSessionReaper;

  std::optional<kj::ForkedPromise<void>> mConnecting;
  bool mIsConnecting = false;
  time_point mRetryAt;
  duration mBackoff;

  size_t mOpenCalls = 0;
  time_point mLastCall;
  /// Since when calls are open without an incoming byte.
  std::optional<time_point> mSilentSince;
};

} // namespace parsleystair
