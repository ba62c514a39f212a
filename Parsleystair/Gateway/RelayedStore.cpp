#include "Parsleystair/Gateway/RelayedStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <nlohmann/json.hpp>

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
/// Longest wait of a watch at the store while the relay can't serve it.
constexpr duration kFallbackWatchWait = 3s;

http_connection_settings RelayConnectionSettings()
{
  http_connection_settings settings;
  // Within a failure domain, connecting takes 1 ms; a lost packet is
  // retransmitted after 200 ms.
  settings.mConnectTimeout = 500ms;
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
      if (const auto reply = ReadRelayResponse(aResult, host)) {
        callback(*reply);
        return;
      }
      WatchStore(aPrefix, aAfter, kFallbackWatchWait, callback);
    });
}

std::optional<watch_reply> relayed_store::ReadRelayResponse(
  const http_result& aResult,
  const std::string& aHost)
{
  const bool complete = aResult.mStatus == http_status::kResponded;
  if (complete && aResult.mResponse.mStatus == kServiceUnavailable) {
    // The relay has no recent reply of the store at present, and may have one
    // soon.
    return std::nullopt;
  }
  try {
    if (complete && aResult.mResponse.mStatus == kOk) {
      return DecodeWatchReply(aResult.mResponse.mBody);
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
  mStore.Watch(aPrefix,
               aAfter,
               aWait,
               [this, aPrefix, aAfter, callback = std::move(aCallback)](
                 const watch_reply& aReply) {
                 HandleStoreReply(aPrefix, aAfter, aReply);
                 callback(aReply);
               });
}

void relayed_store::HandleStoreReply(const std::string& aPrefix,
                                     store_revision aAfter,
                                     const watch_reply& aReply)
{
  watch_history& history = mHistories[aPrefix];
  if (aReply.mOutcome == call_outcome::kDone) {
    history.HandleReply(aAfter, aReply, MonotonicNow());
  } else {
    history.HandleFailure();
  }
  RespondToPendingWatches(aPrefix);
}

void relayed_store::RespondToPendingWatches(const std::string& aPrefix)
{
  const watch_history& history = mHistories[aPrefix];
  const time_point now = MonotonicNow();
  std::erase_if(mPendingWatches, [&](const auto& aPending) {
    const auto& [exchange, watch] = aPending;
    if (watch.mPrefix != aPrefix) {
      return false;
    }
    if (history.Covers(watch.mAfter, now)) {
      mPeerServer.Respond(
        exchange,
        { kOk, {}, EncodeWatchReply(history.ChangesAfter(watch.mAfter)) });
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
    if (!history.Covers(watch.mAfter, MonotonicNow())) {
      mPeerServer.Respond(aExchange, { kServiceUnavailable, {}, "" });
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

void relayed_store::HandleDisconnect(exchange_id aExchange)
{
  mPendingWatches.erase(aExchange);
}

void relayed_store::ReadPrefix(const std::string& aPrefix,
                               std::function<void(prefix_reply)> aCallback)
{
  mStore.ReadPrefix(aPrefix, std::move(aCallback));
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
