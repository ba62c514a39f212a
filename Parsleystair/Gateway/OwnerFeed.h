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

/// A record of owners at its revision in the store.
struct versioned_record
{
  store_revision mRevision;
  range_record mRecord;

  bool operator==(const versioned_record&) const = default;
};

/// The newest record of each keyed service.
using owner_records = std::map<service_name, versioned_record>;

/// Revisions of the records that a router has.
using owner_revisions = std::map<service_name, store_revision>;

std::string EncodeOwnerRecords(const owner_records& aRecords);

/// Throws `parse_error`.
owner_records DecodeOwnerRecords(const std::string& aText);

std::string EncodeOwnerRevisions(const owner_revisions& aRevisions);

/// Throws `parse_error`.
owner_revisions DecodeOwnerRevisions(const std::string& aText);

/// Leader's side: answers questions of other routers as soon as it has newer
/// records than they.
class owner_feed_server
{
public:
  explicit owner_feed_server(http_server& aServer);

  /// Answers now, or waits for newer records.
  void HandleQuestion(exchange_id aExchange,
                      const http_request& aRequest,
                      const owner_records& aRecords);
  /// The questioner has gone.
  void HandleGone(exchange_id aExchange);

  /// The records have changed.
  void HandleRecords(const owner_records& aRecords);

  /// This router stopped leading: all waiting questions are answered.
  void Stop();

  /// Tells a questioner that this router doesn't lead, and who does.
  void Decline(exchange_id aExchange,
               const std::optional<leader_entry>& aLeader);

private:
  bool SendNewerRecords(exchange_id aExchange,
                        const owner_revisions& aKnownRevisions,
                        const owner_records& aRecords);

  http_server& mServer;
  std::map<exchange_id, owner_revisions> mPendingPolls;
};

/// Other routers' side: asks the leader again and again. Spares the store one
/// paid call a router and change, and works while the store is away.
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

  /// Asks this leader from now on; nobody when there is none.
  void SetLeader(const std::optional<leader_entry>& aLeader);

  /// Other routers, by their IP addresses. They are asked who leads when the
  /// leader doesn't answer: the store may be away for this router alone.
  void SetPeers(std::vector<std::string> aHosts);

  /// The router that is asked now.
  [[nodiscard]] const std::optional<leader_entry>& Leader() const
  {
    return mLeader;
  }

  /// Time since the leader last answered; `duration::max()` before the first.
  [[nodiscard]] duration Age(time_point aNow) const;

private:
  void Poll();
  void SchedulePoll(duration aDelay);
  void HandleResponse(const http_result& aResult);
  void HandleRecords(const std::string& aText);
  void FollowRedirect(const std::string& aText);
  void SchedulePeerPoll();
  /// Asks again, or another router than before.
  void PollRouter(const leader_entry& aRouter);

  event_loop& mLoop;
  revisions_provider mKnownRevisions;
  records_handler mRecordsHandler;
  std::optional<leader_entry> mLeader;
  std::vector<std::string> mPeers;
  uint32_t mFailedPolls = 0;
  std::mt19937_64 mRandom;
  std::unique_ptr<http_connection> mConnection;
  time_point mLastResponseAt = time_point::min();
  timer mTimer;
};

} // namespace parsleystair
