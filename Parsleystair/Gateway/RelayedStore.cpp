#include "Parsleystair/Gateway/RelayedStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <charconv>
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
/// Timeout of a watch at the relay: `kRelayHoldTime` and the round trip. If the
/// relay doesn't respond, a change is found this much later, which must stay
/// below the seconds within which a change must take effect.
constexpr duration kRelayResponseTimeout = 1500ms;
/// Timeout until the relay begins to send what it has read. A relay that has
/// started together with this router reads the store first.
constexpr duration kRelayReadTimeout = 3s;
/// Longest pause within a response of the relay: the link of a relay that sends
/// a large configuration to many routers is busy for seconds.
constexpr duration kRelaySilenceTimeout = 1s;
/// Longest time for which a relay keeps a watch before it responds that there
/// is no change, or that the store doesn't reply. A relay that responds is not
/// lost, whatever the store does.
constexpr duration kRelayHoldTime = 1200ms;
/// Delay of the next watch at a relay that has no recent reply of the store.
constexpr duration kRelayRetryDelay = 300ms;
/// Wait of a watch at the store while the relay has no recent reply.
constexpr duration kWatchWaitBesideRelay = 300ms;
/// Time by which a watch through the relay has ended: the response to an
/// earlier one, its own, and a watch at the store that gets no reply.
constexpr duration kMaxRelayedWatchTime = 5s;
/// Pause after a watch besides the relay has failed. The relay asks the store
/// more often.
constexpr duration kStoreWatchPause = 2s;

/// Age of what a relay responds to a read, in microseconds: the time since the
/// store confirmed it.
constexpr const char* kAgeHeader = "Confirmed-Age-Us";

/// Set if the router that responds has a relay itself, and so doesn't ask the
/// store for others.
constexpr const char* kNoRelayHeader = "Not-A-Relay";

/// Routers of earlier releases state no age.
duration ReadAge(const http_response& aResponse)
{
  duration age = watch_history::kMaxReplyAge;
  if (const auto text = FindHeader(aResponse.mHeaders, kAgeHeader)) {
    int64_t count = 0;
    const char* end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, count);
    if (result.ec == std::errc() && result.ptr == end && count >= 0) {
      age = duration(count);
    }
  }
  return age;
}

std::string EncodeChanges(const watch_history& aHistory,
                          store_revision aAfter,
                          time_point aNow)
{
  return EncodeWatchReply(
    { aHistory.ChangesAfter(aAfter), aHistory.Age(aNow) });
}

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
  if (!mRelays.Current(now)) {
    const duration wait =
      mRelays.IsRelay(now) ? std::min(aWait, kRelayWatchWait) : aWait;
    WatchStore(aPrefix, aAfter, wait, std::move(aCallback));
    return;
  }
  relayed_watch& watch = mRelayedWatches[aPrefix];
  if (watch.mAfter != aAfter) {
    DropWatchBesideRelay(aPrefix);
  }
  watch.mAfter = aAfter;
  watch.mCallback = std::move(aCallback);
  WatchRelay(aPrefix);
}

duration relayed_store::ReplyTime(duration aWait) const
{
  const time_point now = MonotonicNow();
  if (mRelays.Current(now)) {
    return kMaxRelayedWatchTime;
  }
  return coordination_store::ReplyTime(
    mRelays.IsRelay(now) ? std::min(aWait, kRelayWatchWait) : aWait);
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
    link.mIsWatching = false;
    mRelayedWatches[aPrefix].mStoreRepliedAt = time_point::max();
    link.mConnection = std::make_unique<http_connection>(
      mLoop, aHost, mPeerPort, RelayConnectionSettings());
  }
  return link;
}

void relayed_store::WatchRelay(const std::string& aPrefix)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  watch.mRelayTimer.Cancel();
  const time_point now = MonotonicNow();
  const auto relay = mRelays.Current(now);
  if (!relay) {
    if (!IsAtStore(aPrefix)) {
      FinishRelayedWatch(aPrefix, { call_outcome::kRefused, {}, {} });
    }
    return;
  }
  relay_link& link = LinkTo(*relay, aPrefix);
  if (link.mConnection->IsBusy()) {
    // The response to an earlier watch is one to this watch, too.
    if (!link.mIsWatching) {
      watch.mRelayTimer.StartOnce(mLoop, duration::zero(), [this, aPrefix] {
        HandleRelayWithoutReply(aPrefix);
      });
    }
    return;
  }
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/watch";
  request.mBody = nlohmann::json{
    { "prefix", aPrefix }, { "after", watch.mAfter.Value() }
  }.dump();
  link.mIsWatching = true;
  link.mConnection->Call(
    request,
    kRelayResponseTimeout,
    [this, host = *relay, aPrefix, after = watch.mAfter, sentAt = now](
      const http_result& aResult) {
      mLinks[aPrefix].mIsWatching = false;
      const auto reply = ReadRelayResponse(aResult, host, DecodeWatchReply);
      if (!reply) {
        const bool isRelay =
          !FindHeader(aResult.mResponse.mHeaders, kNoRelayHeader);
        HandleUnansweredRelayWatch(aPrefix, host, isRelay);
        return;
      }
      watch_reply changes = reply->mReply;
      changes.mConfirmedAt = sentAt - reply->mAge;
      HandleRelayReply(aPrefix, after, changes);
    });
}

void relayed_store::HandleRelayReply(const std::string& aPrefix,
                                     store_revision aAfter,
                                     const watch_reply& aReply)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  watch.mStoreRepliedAt = time_point::max();
  if (!watch.mCallback || EraOf(aAfter) != EraOf(watch.mAfter)) {
    HandleRelayWithoutReply(aPrefix);
    return;
  }
  watch_reply reply = aReply;
  if (aAfter < watch.mAfter) {
    // The follower has got a part of these changes from the store.
    reply.mRevision = std::max(reply.mRevision, watch.mAfter);
    std::erase_if(reply.mChanges, [&](const item_change& aChange) {
      return aChange.mRevision <= watch.mAfter;
    });
  }
  mSnapshots[aPrefix].HandleReply(watch.mAfter, reply);
  DropWatchBesideRelay(aPrefix);
  FinishRelayedWatch(aPrefix, reply);
}

void relayed_store::HandleUnansweredRelayWatch(const std::string& aPrefix,
                                               const std::string& aHost,
                                               bool aIsRelay)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  const time_point now = MonotonicNow();
  // A store that has become silent after its first reply replies to the relay
  // no more either.
  const bool isWithoutStore =
    watch.mStoreRepliedAt < watch.mStoreLastRepliedAt &&
    watch.mStoreLastRepliedAt - watch.mStoreRepliedAt >= kRelayHoldTime;
  if (isWithoutStore) {
    log_line(log_severity::kInfo, "relay_without_store").Add("host", aHost);
    watch.mStoreRepliedAt = time_point::max();
    mRelays.HandleFailure(aHost, now);
  }
  if (!aIsRelay || mRelays.Current(now) != aHost) {
    // No relay asks the store for this router now.
    watch.mNextStoreWatch = time_point::min();
  }
  HandleRelayWithoutReply(aPrefix);
}

void relayed_store::HandleRelayWithoutReply(const std::string& aPrefix)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  if (!watch.mCallback) {
    return;
  }
  WatchStoreBesideRelay(aPrefix);
  if (!IsAtStore(aPrefix)) {
    FinishRelayedWatch(aPrefix, { call_outcome::kRefused, {}, {} });
    return;
  }
  watch.mRelayTimer.StartOnce(
    mLoop, kRelayRetryDelay, [this, aPrefix] { WatchRelay(aPrefix); });
}

void relayed_store::WatchStoreBesideRelay(const std::string& aPrefix)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  if (IsAtStore(aPrefix) || MonotonicNow() < watch.mNextStoreWatch) {
    return;
  }
  watch.mStoreWatch =
    WatchStore(aPrefix,
               watch.mAfter,
               kWatchWaitBesideRelay,
               [this, aPrefix](const watch_reply& aReply) {
                 relayed_watch& own = mRelayedWatches[aPrefix];
                 if (aReply.mOutcome == call_outcome::kDone) {
                   own.mStoreLastRepliedAt = MonotonicNow();
                   own.mStoreRepliedAt =
                     std::min(own.mStoreRepliedAt, own.mStoreLastRepliedAt);
                 } else if (aReply.mOutcome != call_outcome::kGone) {
                   // The relay may have got no reply either.
                   own.mStoreRepliedAt = time_point::max();
                   own.mNextStoreWatch = MonotonicNow() + kStoreWatchPause;
                 }
                 FinishRelayedWatch(aPrefix, aReply);
               });
}

bool relayed_store::IsAtStore(const std::string& aPrefix) const
{
  const auto watch = mRelayedWatches.find(aPrefix);
  const auto watches = mStoreWatches.find(aPrefix);
  return watch != mRelayedWatches.end() && watches != mStoreWatches.end() &&
         watches->second.mCallbacks.contains(watch->second.mStoreWatch);
}

void relayed_store::DropWatchBesideRelay(const std::string& aPrefix)
{
  const auto watches = mStoreWatches.find(aPrefix);
  if (watches != mStoreWatches.end()) {
    watches->second.mCallbacks.erase(mRelayedWatches[aPrefix].mStoreWatch);
  }
}

void relayed_store::FinishRelayedWatch(const std::string& aPrefix,
                                       const watch_reply& aReply)
{
  relayed_watch& watch = mRelayedWatches[aPrefix];
  watch.mRelayTimer.Cancel();
  if (const auto callback = std::exchange(watch.mCallback, nullptr)) {
    callback(aReply);
  }
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

uint64_t relayed_store::WatchStore(const std::string& aPrefix,
                                   store_revision aAfter,
                                   duration aWait,
                                   watch_callback aCallback)
{
  const uint64_t number = mNextWatch++;
  store_watches& watches = mStoreWatches[aPrefix];
  if (watches.mAfter != aAfter) {
    watches.mCallbacks.clear();
  }
  watches.mAfter = aAfter;
  watches.mWait = aWait;
  watches.mCallbacks[number] = std::move(aCallback);
  mStore.Watch(
    aPrefix, aAfter, aWait, [this, aPrefix, number](const watch_reply& aReply) {
      HandleStoreWatchReply(aPrefix, number, aReply);
    });
  return number;
}

void relayed_store::HandleStoreWatchReply(const std::string& aPrefix,
                                          uint64_t aNumber,
                                          const watch_reply& aReply)
{
  store_watches& watches = mStoreWatches[aPrefix];
  const auto found = watches.mCallbacks.find(aNumber);
  if (found == watches.mCallbacks.end()) {
    return;
  }
  std::map<uint64_t, watch_callback> callbacks;
  if (aReply.mOutcome == call_outcome::kDone) {
    // The reply is one to all watches of this revision. The follower ignores it
    // for those that it has given up.
    callbacks = std::exchange(watches.mCallbacks, {});
  } else {
    callbacks.insert(watches.mCallbacks.extract(found));
  }
  if (watches.mCallbacks.empty()) {
    HandleStoreReply(aPrefix, watches.mAfter, aReply);
  }
  for (const auto& [number, callback] : callbacks) {
    callback(aReply);
  }
}

bool relayed_store::ShortenStoreWatch(const std::string& aPrefix)
{
  store_watches& watches = mStoreWatches[aPrefix];
  if (watches.mCallbacks.empty()) {
    return false;
  }
  if (watches.mWait > kRelayWatchWait) {
    // A reply without changes, after which the follower watches again. The next
    // watch also gets the changes that this one would get.
    mPosted.push_back(
      [after = watches.mAfter, callback = watches.mCallbacks.rbegin()->second] {
        callback({ call_outcome::kDone, {}, after });
      });
    watches.mCallbacks.clear();
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
        body = EncodeChanges(history, watch.mAfter, now);
      }
      mPeerServer.Respond(exchange, { kOk, {}, body });
    } else {
      mPeerServer.Respond(exchange, { kServiceUnavailable, {}, "" });
    }
    return true;
  });
}

void relayed_store::RespondToOverdueWatches()
{
  const time_point now = MonotonicNow();
  std::erase_if(mPendingWatches, [&](const auto& aPending) {
    const auto& [exchange, watch] = aPending;
    const bool isOverdue = watch.mRespondBy <= now;
    if (isOverdue) {
      RespondToWatch(exchange, watch);
    }
    return isOverdue;
  });
  SchedulePendingTimer();
}

void relayed_store::SchedulePendingTimer()
{
  if (mPendingWatches.empty()) {
    return;
  }
  const auto first = std::min_element(
    mPendingWatches.begin(),
    mPendingWatches.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mRespondBy < aRight.second.mRespondBy;
    });
  mPendingTimer.StartOnce(
    mLoop,
    std::max(first->second.mRespondBy - MonotonicNow(), duration::zero()),
    [this] { RespondToOverdueWatches(); });
}

void relayed_store::RespondToWatch(exchange_id aExchange,
                                   const pending_watch& aWatch)
{
  const watch_history& history = mHistories[aWatch.mPrefix];
  const time_point now = MonotonicNow();
  if (history.Covers(aWatch.mAfter, now)) {
    mPeerServer.Respond(
      aExchange, { kOk, {}, EncodeChanges(history, aWatch.mAfter, now) });
    return;
  }
  http_response response{ kServiceUnavailable, {}, "" };
  if (mRelays.Current(now)) {
    response.mHeaders.push_back({ kNoRelayHeader, "1" });
  }
  mPeerServer.Respond(aExchange, response);
}

void relayed_store::HandleWatchRequest(exchange_id aExchange,
                                       const http_request& aRequest)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aRequest.mBody);
    const time_point now = MonotonicNow();
    const pending_watch watch{ json.at("prefix").get<std::string>(),
                               store_revision(json.at("after").get<uint64_t>()),
                               now + kRelayHoldTime };
    const watch_history& history = mHistories[watch.mPrefix];
    const bool isCovered = history.Covers(watch.mAfter, now);
    // A router that has just become the relay still waits like others. One that
    // gets no reply of the store responds as soon as it has one.
    const bool isExpected =
      isCovered
        ? history.ChangesAfter(watch.mAfter).mChanges.empty()
        : mRelays.IsRelay(now) && mSnapshots[watch.mPrefix].IsComplete();
    if (!isExpected) {
      RespondToWatch(aExchange, watch);
      return;
    }
    if (!isCovered) {
      ShortenStoreWatch(watch.mPrefix);
    }
    mPendingWatches[aExchange] = watch;
    SchedulePendingTimer();
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
    const duration age = mHistories[aPrefix].Age(MonotonicNow());
    mPeerServer.Respond(aExchange,
                        { kOk,
                          { { kAgeHeader, std::to_string(age.count()) } },
                          snapshot.Encoded() });
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
  // The follower has given up its watch. A retry of it could replace the
  // connection on which the read waits.
  relayed_watch& watch = mRelayedWatches[aPrefix];
  watch.mCallback = nullptr;
  watch.mRelayTimer.Cancel();
  DropWatchBesideRelay(aPrefix);
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
    [this,
     host,
     aPrefix,
     sentAt = MonotonicNow(),
     callback = std::move(aCallback)](const http_result& aResult) {
      const auto reply = ReadRelayResponse(aResult, host, DecodePrefixReply);
      // A relay that hasn't learned of a restore of the store yet shows the
      // lost history.
      if (reply && EraOf(reply->mRevision) == mStore.Era()) {
        prefix_reply confirmed = *reply;
        confirmed.mConfirmedAt = sentAt - ReadAge(aResult.mResponse);
        mSnapshots[aPrefix].HandleRead(confirmed);
        callback(confirmed);
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
                        HandleStoreRead(aPrefix, aReply);
                      }
                      RespondToPendingReads(aPrefix, !isDone);
                      callback(aReply);
                    });
}

void relayed_store::HandleStoreRead(const std::string& aPrefix,
                                    const prefix_reply& aReply)
{
  prefix_snapshot& snapshot = mSnapshots[aPrefix];
  // Routers that wait for changes get those that the read shows.
  const auto changes = snapshot.ChangesUntil(aReply);
  const store_revision after = changes ? snapshot.Revision() : aReply.mRevision;
  snapshot.HandleRead(aReply);
  mHistories[aPrefix].HandleReply(
    after,
    changes.value_or(watch_reply{
      call_outcome::kDone, {}, aReply.mRevision, aReply.mConfirmedAt }),
    MonotonicNow());
  RespondToPendingWatches(aPrefix);
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
