#pragma once

#include "Parsleystair/Peers/PeerClient.h"
#include "Parsleystair/Peers/RpcLoop.h"

#include <memory>

namespace parsleystair {

/// Limits and times of calls to peers.
struct peer_client_settings
{
  /// From the call to its end; also the limit for connecting.
  duration mCallTimeout = 200ms;
  /// First and longest wait before a refused connection is tried again.
  duration mMinBackoff = 50ms;
  duration mMaxBackoff = 1s;
  /// A connection with unanswered calls and no incoming byte for this long is
  /// closed.
  duration mSilenceLimit = 400ms;
  /// Connections without calls for this long are closed.
  duration mIdleLimit = 60s;
  /// Open calls per peer; further ones end with kNotSent.
  size_t mMaxOpenCalls = 1024;
};

/// Calls peers by Cap'n Proto RPC, over one TCP connection a peer that is made
/// on the first call. Callbacks run on the loop's task, never inside the
/// call itself. Calls that are open when the client ends get no callback.
class capnp_peer_client : public peer_client
{
public:
  explicit capnp_peer_client(rpc_loop& aLoop,
                             const peer_client_settings& aSettings = {});
  ~capnp_peer_client() override;

  void Heartbeat(const peer_address& aPeer,
                 const heartbeat_message& aMessage,
                 callback<heartbeat_message> aCallback) override;
  void Confirm(const peer_address& aPeer,
               const confirm_message& aMessage,
               callback<confirm_result> aCallback) override;
  void Announce(const peer_address& aPeer,
                const announce_message& aMessage,
                callback<acknowledgement> aCallback) override;
  void Begin(const peer_address& aPeer,
             const begin_message& aMessage,
             callback<begin_reply> aCallback) override;
  void Finish(const peer_address& aPeer,
              const finish_message& aMessage,
              callback<acknowledgement> aCallback) override;
  void Withdraw(const peer_address& aPeer,
                const withdraw_message& aMessage,
                callback<acknowledgement> aCallback) override;
  void CopyRecords(const peer_address& aPeer,
                   const copy_records_message& aMessage,
                   callback<copy_records_reply> aCallback) override;
  void FetchConfiguration(const peer_address& aPeer,
                          callback<configuration_reply> aCallback) override;
  void FetchGroups(const peer_address& aPeer,
                   callback<groups_reply> aCallback) override;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
