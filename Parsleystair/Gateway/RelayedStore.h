#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Gateway/RelayChoice.h"
#include "Parsleystair/Gateway/WatchHistory.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Http/HttpServer.h"

#include <map>
#include <memory>

namespace parsleystair {

/// Store client that sends watches through the relay of this router's failure
/// domain while there is one that responds, and all other calls directly to the
/// store. Also serves the watches of routers that chose this router as their
/// relay.
class relayed_store : public coordination_store
{
public:
  /// `aPeerServer`: server for requests of other routers. `aPeerPort`: port of
  /// that server at all routers.
  relayed_store(event_loop& aLoop,
                coordination_store& aStore,
                relay_choice& aRelays,
                http_server& aPeerServer,
                uint16_t aPeerPort);

  /// Handles a watch of another router.
  void HandleWatchRequest(exchange_id aExchange, const http_request& aRequest);
  /// The router that sent the watch has disconnected.
  void HandleDisconnect(exchange_id aExchange);

  [[nodiscard]] store_era Era() const override { return mStore.Era(); }
  void OnEraChange(era_handler aHandler) override
  {
    mStore.OnEraChange(std::move(aHandler));
  }
  void ReadPrefix(const std::string& aPrefix,
                  std::function<void(prefix_reply)> aCallback) override;
  void Watch(const std::string& aPrefix,
             store_revision aAfter,
             duration aWait,
             std::function<void(watch_reply)> aCallback) override;
  void Write(const conditional_write& aWrite,
             std::function<void(write_reply)> aCallback) override;
  void OpenLease(duration aTtl,
                 std::function<void(lease_reply)> aCallback) override;
  void RenewLease(lease_id aLease,
                  std::function<void(lease_reply)> aCallback) override;
  void EndLease(lease_id aLease,
                std::function<void(lease_reply)> aCallback) override;
  [[nodiscard]] const coordination_counters& Counters() const override;

private:
  using watch_callback = std::function<void(watch_reply)>;

  /// Connection to the relay for the watches of one prefix.
  struct relay_link
  {
    std::string mHost;
    std::unique_ptr<http_connection> mConnection;
  };

  struct pending_watch
  {
    std::string mPrefix;
    store_revision mAfter;
  };

  void WatchStore(const std::string& aPrefix,
                  store_revision aAfter,
                  duration aWait,
                  watch_callback aCallback);
  void WatchRelay(relay_link& aLink,
                  const std::string& aPrefix,
                  store_revision aAfter,
                  watch_callback aCallback);
  relay_link& LinkTo(const std::string& aHost, const std::string& aPrefix);
  /// Nothing if the relay gave no usable response.
  std::optional<watch_reply> ReadRelayResponse(const http_result& aResult,
                                               const std::string& aHost);
  void HandleStoreReply(const std::string& aPrefix,
                        store_revision aAfter,
                        const watch_reply& aReply);
  void RespondToPendingWatches(const std::string& aPrefix);

  event_loop& mLoop;
  coordination_store& mStore;
  relay_choice& mRelays;
  http_server& mPeerServer;
  uint16_t mPeerPort;
  std::map<std::string, relay_link> mLinks;
  std::map<std::string, watch_history> mHistories;
  std::map<exchange_id, pending_watch> mPendingWatches;
};

} // namespace parsleystair
