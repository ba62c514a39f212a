#include "Parsleystair/Gateway/RelayedStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kServiceUnavailable = 503;

/// Longest wait of a relay's own watch at the store. Each reply of the store
/// shows the routers that use the relay that they have missed no change.
constexpr duration kRelayWatchWait = 1s;
/// Timeout of a watch at the relay: the relay's own watch and the round trip.
/// If the relay doesn't respond, a change is found this much later, which must
/// stay below the seconds within which a change must take effect.
constexpr duration kRelayResponseTimeout = 1500ms;
/// Timeout until the relay begins to send what it has read. A relay that has
/// started together with this router reads the store first.
constexpr duration kRelayReadTimeout = 3s;
/// Longest pause within a response of the relay: the link of a relay that sends
/// a large configuration to many routers is busy for seconds.
constexpr duration kRelaySilenceTimeout = 1s;
/// Longest wait of a watch at the store while the relay can't serve it.
constexpr duration kFallbackWatchWait = 3s;

http_connection_settings RelayConnectionSettings()
{
  http_connection_settings settings;
  // Within a failure domain, connecting takes 1 ms; a lost packet is
  // retransmitted after 200 ms.
  settings.mConnectTimeout = 500ms;
  settings.mSilenceTimeout = kRelaySilenceTimeout;
  return settings;
}

} // namespace

relayed_store::relayed_store(event_loop& aLoop,
                             coordination_store& aStore,
                             relay_choice& aRelays,
                             http_server& aPeerServer,
                             uint16_t aPeerPort)
  : mLoop(aLoop)
  , mStore(aStore)
  , mRelays(aRelays)
  , mPeerServer(aPeerServer)
  , mPeerPort(aPeerPort)
{
}

void relayed_store::Watch(const std::string& aPrefix,
                          store_revision aAfter,
                          duration aWait,
                          watch_callback aCallback)
{
  const time_point now = MonotonicNow();
  const auto relay = mRelays.Current(now);
  if (!relay) {
    const duration wait =
      mRelays.IsRelay(now) ? std::min(aWait, kRelayWatchWait) : aWait;
    WatchStore(aPrefix, aAfter, wait, std::move(aCallback));
    return;
  }
  relay_link& link = LinkTo(*relay, aPrefix);
  if (link.mConnection->IsBusy()) {
    // The follower abandoned an earlier watch of this prefix, which still
    // occupies the connection.
    WatchStore(aPrefix,
               aAfter,
               std::min(aWait, kFallbackWatchWait),
               std::move(aCallback));
    return;
  }
  WatchRelay(link, aPrefix, aAfter, std::move(aCallback));
}

relayed_store::relay_link& relayed_store::LinkTo(const std::string& aHost,
                                                 const std::string& aPrefix)
{
  relay_link& link = mLinks[aPrefix];
  if (link.mHost != aHost) {
    log_line(log_severity::kInfo, "relay_chosen")
      .Add("host", aHost)
      .Add("prefix", aPrefix);
    link.mHost = aHost;
    link.mConnection = std::make_unique<http_connection>(
      mLoop, aHost, mPeerPort, RelayConnectionSettings());
  }
  return link;
}

void relayed_store::WatchRelay(relay_link& aLink,
                               const std::string& aPrefix,
                               store_revision aAfter,
                               watch_callback aCallback)
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/watch";
  request.mBody =
    nlohmann::json{ { "prefix", aPrefix }, { "after", aAfter.Value() } }.dump();
  const std::string host = aLink.mHost;
  aLink.mConnection->Call(
    request,
    kRelayResponseTimeout,
    [this, host, aPrefix, aAfter, callback = std::move(aCallback)](
      const http_result& aResult) {
      if (const auto reply =
            ReadRelayResponse(aResult, host, DecodeWatchReply)) {
        mSnapshots[aPrefix].HandleReply(aAfter, *reply);
        callback(*reply);
        return;
      }
      WatchStore(aPrefix, aAfter, kFallbackWatchWait, callback);
    });
}

template<typename Reply>
std::optional<Reply> relayed_store::ReadRelayResponse(
  const http_result& aResult,
  const std::string& aHost,
  Reply (*aDecode)(const std::string&))
{
  const bool complete = aResult.mStatus == http_status::kResponded;
  if (complete && aResult.mResponse.mStatus == kServiceUnavailable) {
    // The relay has no recent reply of the store at present, and may have one
    // soon.
    return std::nullopt;
  }
  try {
    if (complete && aResult.mResponse.mStatus == kOk) {
      return aDecode(aResult.mResponse.mBody);
    }
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "relay_answer_unreadable")
      .Add("host", aHost)
      .Add("error", exception.what());
  }
  log_line(log_severity::kInfo, "relay_lost")
    .Add("host", aHost)
    .Add("timed_out", aResult.mTimedOut);
  mRelays.HandleFailure(aHost, MonotonicNow());
  return std::nullopt;
}

void relayed_store::WatchStore(const std::string& aPrefix,
                               store_revision aAfter,
                               duration aWait,
                               watch_callback aCallback)
{
  const uint64_t id = mNextWatch++;
  mStoreWatches[aPrefix] = { id, aAfter, aWait, std::move(aCallback) };
  mStore.Watch(
    aPrefix, aAfter, aWait, [this, aPrefix, id](const watch_reply& aReply) {
      const auto found = mStoreWatches.find(aPrefix);
      if (found == mStoreWatches.end() || found->second.mId != id) {
        return;
      }
      const store_watch watch = std::move(found->second);
      mStoreWatches.erase(found);
      HandleStoreReply(aPrefix, watch.mAfter, aReply);
      watch.mCallback(aReply);
    });
}

bool relayed_store::ShortenStoreWatch(const std::string& aPrefix)
{
  const auto found = mStoreWatches.find(aPrefix);
  if (found == mStoreWatches.end()) {
    return false;
  }
  if (found->second.mWait > kRelayWatchWait) {
    // A reply without changes, after which the follower watches again. The next
    // watch also gets the changes that this one would get.
    mPosted.push_back([watch = std::move(found->second)] {
      watch.mCallback({ call_outcome::kDone, {}, watch.mAfter });
    });
    mStoreWatches.erase(found);
    mPostTimer.StartOnce(mLoop, duration::zero(), [this] {
      for (const auto& action : std::exchange(mPosted, {})) {
        action();
      }
    });
  }
  return true;
}

void relayed_store::HandleStoreReply(const std::string& aPrefix,
                                     store_revision aAfter,
                                     const watch_reply& aReply)
{
  watch_history& history = mHistories[aPrefix];
  if (aReply.mOutcome == call_outcome::kDone) {
    history.HandleReply(aAfter, aReply, MonotonicNow());
    mSnapshots[aPrefix].HandleReply(aAfter, aReply);
  } else {
    history.HandleFailure();
  }
  RespondToPendingWatches(aPrefix);
  RespondToPendingReads(aPrefix, false);
}

void relayed_store::RespondToPendingWatches(const std::string& aPrefix)
{
  const watch_history& history = mHistories[aPrefix];
  const time_point now = MonotonicNow();
  // Most routers are at the same revision.
  std::map<store_revision, std::string> encoded;
  std::erase_if(mPendingWatches, [&](const auto& aPending) {
    const auto& [exchange, watch] = aPending;
    if (watch.mPrefix != aPrefix) {
      return false;
    }
    if (history.Covers(watch.mAfter, now)) {
      std::string& body = encoded[watch.mAfter];
      if (body.empty()) {
        body = EncodeWatchReply(history.ChangesAfter(watch.mAfter));
      }
      mPeerServer.Respond(exchange, { kOk, {}, body });
    } else {
      mPeerServer.Respond(exchange, { kServiceUnavailable, {}, "" });
    }
    return true;
  });
}

void relayed_store::HandleWatchRequest(exchange_id aExchange,
                                       const http_request& aRequest)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aRequest.mBody);
    const pending_watch watch{ json.at("prefix").get<std::string>(),
                               store_revision(
                                 json.at("after").get<uint64_t>()) };
    const watch_history& history = mHistories[watch.mPrefix];
    const time_point now = MonotonicNow();
    if (!history.Covers(watch.mAfter, now)) {
      // A router that has just become the relay still waits like others.
      if (mRelays.IsRelay(now) && ShortenStoreWatch(watch.mPrefix)) {
        mPendingWatches[aExchange] = watch;
      } else {
        mPeerServer.Respond(aExchange, { kServiceUnavailable, {}, "" });
      }
      return;
    }
    const watch_reply reply = history.ChangesAfter(watch.mAfter);
    if (reply.mChanges.empty()) {
      mPendingWatches[aExchange] = watch;
      return;
    }
    mPeerServer.Respond(aExchange, { kOk, {}, EncodeWatchReply(reply) });
  } catch (const nlohmann::json::exception& exception) {
    log_line(log_severity::kWarning, "question_unreadable")
      .Add("peer", aRequest.mRemoteHost)
      .Add("error", exception.what());
    mPeerServer.Respond(aExchange, { kBadRequest, {}, "" });
  }
}

void relayed_store::HandleReadRequest(exchange_id aExchange,
                                      const http_request& aRequest)
{
  const std::string& prefix = aRequest.mBody;
  if (SendSnapshot(aExchange, prefix)) {
    return;
  }
  const bool isRead = mSnapshots[prefix].IsComplete();
  const bool isExpected =
    mRelays.IsRelay(MonotonicNow()) && (!isRead || ShortenStoreWatch(prefix));
  if (isExpected) {
    mPendingReads[aExchange] = prefix;
  } else {
    mPeerServer.Respond(aExchange, { kServiceUnavailable, {}, "" });
  }
}

bool relayed_store::SendSnapshot(exchange_id aExchange,
                                 const std::string& aPrefix)
{
  const prefix_snapshot& snapshot = mSnapshots[aPrefix];
  const bool isCurrent =
    snapshot.IsComplete() && EraOf(snapshot.Revision()) == mStore.Era() &&
    mHistories[aPrefix].Covers(snapshot.Revision(), MonotonicNow());
  if (isCurrent) {
    mPeerServer.Respond(aExchange, { kOk, {}, snapshot.Encoded() });
  }
  return isCurrent;
}

void relayed_store::RespondToPendingReads(const std::string& aPrefix,
                                          bool aFailed)
{
  std::erase_if(mPendingReads, [&](const auto& aPending) {
    const auto& [exchange, prefix] = aPending;
    if (prefix != aPrefix) {
      return false;
    }
    if (aFailed) {
      mPeerServer.Respond(exchange, { kServiceUnavailable, {}, "" });
      return true;
    }
    return SendSnapshot(exchange, prefix);
  });
}

void relayed_store::HandleDisconnect(exchange_id aExchange)
{
  mPendingWatches.erase(aExchange);
  mPendingReads.erase(aExchange);
}

void relayed_store::ReadPrefix(const std::string& aPrefix,
                               read_callback aCallback)
{
  const auto relay = mRelays.Current(MonotonicNow());
  if (!relay) {
    ReadStore(aPrefix, std::move(aCallback));
    return;
  }
  relay_link& link = LinkTo(*relay, aPrefix);
  if (link.mConnection->IsBusy()) {
    ReadStore(aPrefix, std::move(aCallback));
    return;
  }
  ReadRelay(link, aPrefix, std::move(aCallback));
}

void relayed_store::ReadRelay(relay_link& aLink,
                              const std::string& aPrefix,
                              read_callback aCallback)
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/read";
  request.mBody = aPrefix;
  const std::string host = aLink.mHost;
  aLink.mConnection->Call(
    request,
    kRelayReadTimeout,
    [this, host, aPrefix, callback = std::move(aCallback)](
      const http_result& aResult) {
      const auto reply = ReadRelayResponse(aResult, host, DecodePrefixReply);
      // A relay that hasn't learned of a restore of the store yet shows the
      // lost history.
      if (reply && EraOf(reply->mRevision) == mStore.Era()) {
        mSnapshots[aPrefix].HandleRead(*reply);
        callback(*reply);
        return;
      }
      ReadStore(aPrefix, callback);
    });
}

void relayed_store::ReadStore(const std::string& aPrefix,
                              read_callback aCallback)
{
  mStore.ReadPrefix(aPrefix,
                    [this, aPrefix, callback = std::move(aCallback)](
                      const prefix_reply& aReply) {
                      const bool isDone =
                        aReply.mOutcome == call_outcome::kDone;
                      if (isDone) {
                        mSnapshots[aPrefix].HandleRead(aReply);
                        // The read shows the state of the store like a watch
                        // from its revision.
                        mHistories[aPrefix].HandleReply(
                          aReply.mRevision,
                          { call_outcome::kDone, {}, aReply.mRevision },
                          MonotonicNow());
                      }
                      RespondToPendingReads(aPrefix, !isDone);
                      callback(aReply);
                    });
}

void relayed_store::Write(const conditional_write& aWrite,
                          std::function<void(write_reply)> aCallback)
{
  mStore.Write(aWrite, std::move(aCallback));
}

void relayed_store::OpenLease(duration aTtl,
                              std::function<void(lease_reply)> aCallback)
{
  mStore.OpenLease(aTtl, std::move(aCallback));
}

void relayed_store::RenewLease(lease_id aLease,
                               std::function<void(lease_reply)> aCallback)
{
  mStore.RenewLease(aLease, std::move(aCallback));
}

void relayed_store::EndLease(lease_id aLease,
                             std::function<void(lease_reply)> aCallback)
{
  mStore.EndLease(aLease, std::move(aCallback));
}

const coordination_counters& relayed_store::Counters() const
{
  return mStore.Counters();
}

} // namespace parsleystair
