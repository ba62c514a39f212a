#pragma once

#include "Parsleystair/Peers/PeerClient.h"
#include "Parsleystair/Peers/RpcLoop.h"

#include <memory>

namespace parsleystair {

/// Limits of the peers' listener.
struct peer_server_settings
{
  /// Further connections are closed at once.
  size_t mMaxConnections = 1024;
  /// Connections on which nothing arrives for this long are closed.
  duration mIdleLimit = 120s;
  /// Connections whose peer takes none of the waiting bytes for this long are
  /// closed.
  duration mWriteLimit = 5s;
};

/// Listens for calls of other routers and passes them to a handler. Messages
/// over 4 MB and bytes that are no Cap'n Proto RPC close their connection. An
/// `error` thrown by the handler is logged and fails the call only; an
/// `invariant_error` is thrown again from the event loop.
class peer_server
{
public:
  /// Listens on `aHost`, an IP address, and `aPort`; 0 takes any free port.
  /// The handler outlives the server. Throws `system_error`.
  peer_server(rpc_loop& aLoop,
              const std::string& aHost,
              uint16_t aPort,
              peer_handler& aHandler,
              const peer_server_settings& aSettings = {});
  ~peer_server();
  peer_server(const peer_server&) = delete;
  peer_server& operator=(const peer_server&) = delete;

  /// Port that the server listens on.
  [[nodiscard]] uint16_t Port() const;

  /// Number of open connections.
  [[nodiscard]] size_t Connections() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
