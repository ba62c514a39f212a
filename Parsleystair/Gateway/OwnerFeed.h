#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleystair {

/// An ownership record and its revision in the store.
struct versioned_record
{
  store_revision mRevision;
  range_record mRecord;

  bool operator==(const versioned_record&) const = default;
};

/// The newest ownership record of each keyed service.
using owner_records = std::map<service_name, versioned_record>;

/// Revisions of the ownership records that a router has.
using owner_revisions = std::map<service_name, store_revision>;

std::string EncodeOwnerRecords(const owner_records& aRecords);

/// Throws `parse_error`.
owner_records DecodeOwnerRecords(const std::string& aText);

std::string EncodeOwnerRevisions(const owner_revisions& aRevisions);

/// Throws `parse_error`.
owner_revisions DecodeOwnerRevisions(const std::string& aText);

/// Records of `aRecords` that are newer than those in `aKnown`.
owner_records NewerRecords(const owner_records& aRecords,
                           const owner_revisions& aKnown);

/// Server side, at the leader or a relay: answers a long poll of another router
/// as soon as it has newer ownership records than that router.
class owner_feed_server
{
public:
  explicit owner_feed_server(http_server& aServer);

  /// Responds now, or when newer records arrive.
  void HandlePoll(exchange_id aExchange,
                  const http_request& aRequest,
                  const owner_records& aRecords);
  /// The router that sent the poll has disconnected.
  void HandleDisconnect(exchange_id aExchange);

  /// Responds to the pending polls that the changed records concern.
  void HandleRecords(const owner_records& aRecords);

  /// Ends all pending polls because this router stopped leading.
  void Stop();

  /// Rejects a poll because this router doesn't lead; the response names the
  /// leader if it is known.
  void RedirectToLeader(exchange_id aExchange,
                        const std::optional<leader_entry>& aLeader);

private:
  /// Returns false, without a response, if no record is newer.
  bool SendNewerRecords(exchange_id aExchange,
                        const owner_revisions& aKnownRevisions,
                        const owner_records& aRecords);

  http_server& mServer;
  std::map<exchange_id, owner_revisions> mPendingPolls;
  /// The records that were sent last, and their encoding. Most routers need the
  /// same ones.
  owner_records mEncodedRecords;
  std::string mEncoded;
};

/// Client side, at the other routers: keeps polling the leader or a relay.
/// Saves one billed store call per router and change, and works while the store
/// is unreachable.
class owner_feed_client
{
public:
  using records_handler = std::function<void(const owner_records&)>;
  using revisions_provider = std::function<owner_revisions()>;

  owner_feed_client(event_loop& aLoop,
                    revisions_provider aKnownRevisions,
                    records_handler aHandler,
                    uint64_t aSeed);
  owner_feed_client(const owner_feed_client&) = delete;
  owner_feed_client& operator=(const owner_feed_client&) = delete;

  /// Polls this router from now on; stops polling if it is empty.
  void SetSource(const std::optional<leader_entry>& aLeader);

  /// Sets the IP addresses of the other routers. When the leader doesn't
  /// respond, they are asked who leads, as the store may be unreachable for
  /// this router alone.
  void SetPeers(std::vector<std::string> aHosts);

  /// The router that is being polled.
  [[nodiscard]] const std::optional<leader_entry>& Source() const
  {
    return mSource;
  }

  /// No router is being polled, or the last poll failed.
  [[nodiscard]] bool IsFailing() const;

  /// Time since the last response with records; `duration::max()` before the
  /// first one.
  [[nodiscard]] duration Age(time_point aNow) const;

private:
  void Poll();
  void SchedulePoll(duration aDelay);
  void HandleResponse(const http_result& aResult);
  void HandleRecords(const std::string& aText);
  /// Polls the leader that another router named in its response.
  void FollowRedirect(const std::string& aText);
  void SchedulePeerPoll();
  /// Polls `aRouter`, over a new connection if it is another router than
  /// before.
  void PollRouter(const leader_entry& aRouter);

  event_loop& mLoop;
  revisions_provider mKnownRevisions;
  records_handler mRecordsHandler;
  std::optional<leader_entry> mSource;
  std::vector<std::string> mPeers;
  uint32_t mFailedPolls = 0;
  std::mt19937_64 mRandom;
  std::unique_ptr<http_connection> mConnection;
  time_point mLastResponseAt = time_point::min();
  timer mTimer;
};

} // namespace parsleystair
