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

  [[nodiscard]] duration ReplyTime(duration aWait) const override;
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
    /// The call on the connection is a watch.
    bool mIsWatching = false;
  };

  /// Watches of one prefix that wait at the store, by their number. A follower
  /// repeats a watch that gets no reply; the first reply counts.
  struct store_watches
  {
    store_revision mAfter;
    /// Wait of the latest watch.
    duration mWait{};
    std::map<uint64_t, watch_callback> mCallbacks;
  };

  /// Watch of one prefix through the relay. While the relay responds that it
  /// has no recent reply of the store, the store is asked besides.
  struct relayed_watch
  {
    store_revision mAfter;
    /// Empty if no follower waits for the reply.
    watch_callback mCallback;
    /// Number of the watch at the store; 0 if there was none.
    uint64_t mStoreWatch = 0;
    /// First reply of the store since the last one of the relay;
    /// `time_point::max()` if there is none.
    time_point mStoreRepliedAt = time_point::max();
    /// Latest reply of the store to this router.
    time_point mStoreLastRepliedAt = time_point::min();
    time_point mNextStoreWatch = time_point::min();
    timer mRelayTimer;
  };

  struct pending_watch
  {
    std::string mPrefix;
    store_revision mAfter;
    time_point mRespondBy;
  };

  void ReadStore(const std::string& aPrefix, read_callback aCallback);
  void HandleStoreRead(const std::string& aPrefix, const prefix_reply& aReply);
  void ReadRelay(relay_link& aLink,
                 const std::string& aPrefix,
                 read_callback aCallback);
  /// Returns the number of the watch.
  uint64_t WatchStore(const std::string& aPrefix,
                      store_revision aAfter,
                      duration aWait,
                      watch_callback aCallback);
  void HandleStoreWatchReply(const std::string& aPrefix,
                             uint64_t aNumber,
                             const watch_reply& aReply);
  /// Ends a watch that waits at the store for longer than a relay's watches, so
  /// that it is repeated with a shorter wait. Returns whether a reply of the
  /// store for this prefix is to be expected soon.
  bool ShortenStoreWatch(const std::string& aPrefix);
  /// Sends a watch to the relay unless one waits there. Without a relay, the
  /// follower's watch fails, and its next one goes to the store.
  void WatchRelay(const std::string& aPrefix);
  void HandleRelayReply(const std::string& aPrefix,
                        store_revision aAfter,
                        const watch_reply& aReply);
  /// The relay responded that it has no recent reply of the store, or did not
  /// respond. `aIsRelay`: it may still ask the store for this router.
  void HandleUnansweredRelayWatch(const std::string& aPrefix,
                                  const std::string& aHost,
                                  bool aIsRelay);
  /// Goes on with a watch for which the relay has no reply.
  void HandleRelayWithoutReply(const std::string& aPrefix);
  void WatchStoreBesideRelay(const std::string& aPrefix);
  [[nodiscard]] bool IsAtStore(const std::string& aPrefix) const;
  void FinishRelayedWatch(const std::string& aPrefix,
                          const watch_reply& aReply);
  /// Drops a watch besides the relay; its reply would be about a revision that
  /// the follower has left.
  void DropWatchBesideRelay(const std::string& aPrefix);
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
  /// Responds to the watches that have waited for as long as they may.
  void RespondToOverdueWatches();
  void SchedulePendingTimer();
  void RespondToWatch(exchange_id aExchange, const pending_watch& aWatch);
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
  std::map<std::string, store_watches> mStoreWatches;
  std::map<std::string, relayed_watch> mRelayedWatches;
  std::vector<std::function<void()>> mPosted;
  timer mPostTimer;
  std::map<std::string, watch_history> mHistories;
  std::map<std::string, prefix_snapshot> mSnapshots;
  std::map<exchange_id, pending_watch> mPendingWatches;
  timer mPendingTimer;
  /// Prefixes of the reads that wait for this router's own read.
  std::map<exchange_id, std::string> mPendingReads;
};

} // namespace parsleystair
