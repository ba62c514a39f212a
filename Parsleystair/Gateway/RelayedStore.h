#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Gateway/PrefixSnapshot.h"
#include "Parsleystair/Gateway/RelayChoice.h"
#include "Parsleystair/Gateway/WatchHistory.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Http/HttpServer.h"

#include <map>
#include <memory>

namespace parsleystair {

/// Store client that sends reads and watches of prefixes through the relay of
/// this router's failure domain while there is one that responds, and all other
/// calls directly to the store. Also serves the reads and watches of routers
/// that chose this router as their relay.
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
  /// Handles a read of a prefix by another router.
  void HandleReadRequest(exchange_id aExchange, const http_request& aRequest);
  /// The router that sent the watch or the read has disconnected.
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
  using read_callback = std::function<void(prefix_reply)>;
  using watch_callback = std::function<void(watch_reply)>;

  /// Connection to the relay for the reads and watches of one prefix.
  struct relay_link
  {
    std::string mHost;
    std::unique_ptr<http_connection> mConnection;
  };

  /// A watch that waits at the store.
  struct store_watch
  {
    uint64_t mId = 0;
    store_revision mAfter;
    duration mWait;
    watch_callback mCallback;
  };

  struct pending_watch
  {
    std::string mPrefix;
    store_revision mAfter;
  };

  void ReadStore(const std::string& aPrefix, read_callback aCallback);
  void ReadRelay(relay_link& aLink,
                 const std::string& aPrefix,
                 read_callback aCallback);
  void WatchStore(const std::string& aPrefix,
                  store_revision aAfter,
                  duration aWait,
                  watch_callback aCallback);
  /// Ends a watch that waits at the store for longer than a relay's watches, so
  /// that it is repeated with a shorter wait. Returns whether a reply of the
  /// store for this prefix is to be expected soon.
  bool ShortenStoreWatch(const std::string& aPrefix);
  void WatchRelay(relay_link& aLink,
                  const std::string& aPrefix,
                  store_revision aAfter,
                  watch_callback aCallback);
  relay_link& LinkTo(const std::string& aHost, const std::string& aPrefix);
  /// Body of a response of the relay, decoded; nothing if the relay gave no
  /// usable response.
  template<typename Reply>
  std::optional<Reply> ReadRelayResponse(const http_result& aResult,
                                         const std::string& aHost,
                                         Reply (*aDecode)(const std::string&));
  void HandleStoreReply(const std::string& aPrefix,
                        store_revision aAfter,
                        const watch_reply& aReply);
  void RespondToPendingWatches(const std::string& aPrefix);
  /// Responds to a read if the snapshot of the prefix is current.
  bool SendSnapshot(exchange_id aExchange, const std::string& aPrefix);
  /// `aFailed`: this router couldn't read the prefix either.
  void RespondToPendingReads(const std::string& aPrefix, bool aFailed);

  event_loop& mLoop;
  coordination_store& mStore;
  relay_choice& mRelays;
  http_server& mPeerServer;
  uint16_t mPeerPort;
  std::map<std::string, relay_link> mLinks;
  uint64_t mNextWatch = 1;
  /// The last watch of each prefix at the store, while it waits.
  std::map<std::string, store_watch> mStoreWatches;
  std::vector<std::function<void()>> mPosted;
  timer mPostTimer;
  std::map<std::string, watch_history> mHistories;
  std::map<std::string, prefix_snapshot> mSnapshots;
  std::map<exchange_id, pending_watch> mPendingWatches;
  /// Prefixes of the reads that wait for this router's own read.
  std::map<exchange_id, std::string> mPendingReads;
};

} // namespace parsleystair
