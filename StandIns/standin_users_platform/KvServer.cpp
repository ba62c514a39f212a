#include "StandIns/standin_users_platform/KvServer.h"

#include "Parsleystair/Platform/Base64.h"

namespace parsleystair {

namespace {

using nlohmann::json;

constexpr uint32_t kOk = 200;
constexpr uint32_t kForbidden = 403;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kGone = 410;
constexpr uint32_t kPreconditionFailed = 412;
constexpr uint32_t kUnavailable = 503;
constexpr size_t kPageItems = 50;

uint64_t ToNumber(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

/// Part of a path behind a prefix; empty if the path doesn't begin with it.
std::string After(const std::string& aPath, const std::string& aPrefix)
{
  return aPath.starts_with(aPrefix) ? aPath.substr(aPrefix.size()) : "";
}

} // namespace

kv_server::kv_server(event_loop& aLoop)
  : mLoop(aLoop)
  , mServer(aLoop,
            {},
            [this](exchange_id aExchange, const http_request& aRequest) {
              Handle(aExchange, aRequest);
            })
{
  mServer.OnClose([this](exchange_id aExchange) { mWatches.erase(aExchange); });
}

void kv_server::Listen(const std::string& aHost, uint16_t aPort)
{
  mServer.Listen(aHost, aPort);
}

void kv_server::Put(const std::string& aKey, const std::string& aValue)
{
  Set(aKey, aValue, 0);
  WakeWatches();
}

void kv_server::Remove(const std::string& aKey)
{
  Erase(aKey);
  WakeWatches();
}

std::string kv_server::Get(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? "" : found->second.mValue;
}

void kv_server::SetDown(bool aDown)
{
  mDown = aDown;
  if (!mDown) {
    return;
  }
  for (const auto& [exchange, watch] : mWatches) {
    mServer.Drop(exchange);
  }
  mWatches.clear();
}

void kv_server::DropHistory()
{
  mHistory.clear();
  mFirstRevision = mRevision;
  const auto watches = std::move(mWatches);
  mWatches.clear();
  for (const auto& [exchange, watch] : watches) {
    Answer(exchange, kGone, json::object());
  }
}

void kv_server::Handle(exchange_id aExchange, const http_request& aRequest)
{
  ++mCalls;
  if (mSilent) {
    return;
  }
  const std::string& path = aRequest.mPath;
  const std::string keep = After(path, "/api/kv-keep/");
  const std::string end = After(path, "/api/kv-lease-end/");
  if (mDown) {
    Answer(aExchange, kUnavailable, json::object());
  } else if (path == "/api/kv-range") {
    HandleRange(aExchange, aRequest);
  } else if (path == "/api/kv-key") {
    HandleKey(aExchange, aRequest);
  } else if (path == "/api/kv-watch") {
    HandleWatch(aExchange, aRequest);
  } else if (path == "/api/kv-txn") {
    HandleTransaction(aExchange, aRequest);
  } else if (path == "/api/kv-lease") {
    HandleLease(aExchange, aRequest);
  } else if (!keep.empty()) {
    HandleKeep(aExchange, ToNumber(keep));
  } else if (!end.empty()) {
    HandleLeaseEnd(aExchange, ToNumber(end));
  } else {
    Answer(aExchange, kNotFound, json::object());
  }
}

void kv_server::Answer(exchange_id aExchange,
                       uint32_t aStatus,
                       const json& aBody)
{
  mServer.Respond(
    aExchange,
    { aStatus, { { "Content-Type", "application/json" } }, aBody.dump() });
}

json kv_server::ToJson(const std::string& aKey, const item& aItem) const
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.mValue) },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

void kv_server::HandleRange(exchange_id aExchange, const http_request& aRequest)
{
  const auto prefix = FindQueryValue(aRequest.mQuery, "prefix").value_or("");
  const auto after = FindQueryValue(aRequest.mQuery, "after").value_or("");
  json items = json::array();
  bool more = false;
  for (const auto& [key, value] : mItems) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(ToJson(key, value));
  }
  Answer(aExchange,
         kOk,
         { { "items", items },
           { "has_more", more },
           { "store_revision", mRevision } });
}

void kv_server::HandleKey(exchange_id aExchange, const http_request& aRequest)
{
  const auto key = FindQueryValue(aRequest.mQuery, "key").value_or("");
  const auto found = mItems.find(key);
  if (found == mItems.end()) {
    Answer(aExchange, kNotFound, { { "store_revision", mRevision } });
    return;
  }
  json body = ToJson(key, found->second);
  body["store_revision"] = mRevision;
  Answer(aExchange, kOk, body);
}

json kv_server::EventsFor(const waiting_watch& aWatch) const
{
  json events = json::array();
  for (const change& each : mHistory) {
    if (each.mRevision > aWatch.mAfter &&
        each.mKey.starts_with(aWatch.mPrefix)) {
      events.push_back(each.mEvent);
    }
  }
  return events;
}

void kv_server::AnswerWatch(exchange_id aExchange, const waiting_watch& aWatch)
{
  Answer(aExchange,
         kOk,
         { { "events", EventsFor(aWatch) }, { "store_revision", mRevision } });
}

void kv_server::HandleWatch(exchange_id aExchange, const http_request& aRequest)
{
  waiting_watch watch;
  watch.mPrefix = FindQueryValue(aRequest.mQuery, "prefix").value_or("");
  watch.mAfter =
    ToNumber(FindQueryValue(aRequest.mQuery, "after").value_or(""));
  if (watch.mAfter < mFirstRevision) {
    Answer(aExchange, kGone, json::object());
    return;
  }
  if (!EventsFor(watch).empty()) {
    AnswerWatch(aExchange, watch);
    return;
  }
  const uint64_t wait =
    ToNumber(FindQueryValue(aRequest.mQuery, "wait_ms").value_or(""));
  watch.mTimer = std::make_unique<timer>();
  watch.mTimer->StartOnce(
    mLoop, std::chrono::milliseconds(wait), [this, aExchange] {
      const auto ended = mWatches.extract(aExchange);
      AnswerWatch(aExchange, ended.mapped());
    });
  mWatches[aExchange] = std::move(watch);
}

void kv_server::WakeWatches()
{
  std::vector<exchange_id> due;
  for (const auto& [exchange, watch] : mWatches) {
    if (!EventsFor(watch).empty()) {
      due.push_back(exchange);
    }
  }
  for (const exchange_id exchange : due) {
    const auto ended = mWatches.extract(exchange);
    AnswerWatch(exchange, ended.mapped());
  }
}

void kv_server::HandleTransaction(exchange_id aExchange,
                                  const http_request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  for (const json& each : body.at("if_revision")) {
    const auto found = mItems.find(each.at("key").get<std::string>());
    const uint64_t revision =
      found == mItems.end() ? 0 : found->second.mRevision;
    if (revision != each.at("revision").get<uint64_t>()) {
      Answer(aExchange, kPreconditionFailed, { { "items", json::array() } });
      return;
    }
  }
  for (const json& each : body.at("set_keys")) {
    const uint64_t leaseOf = each.value("lease", uint64_t{ 0 });
    if (leaseOf != 0 && !mLeases.contains(leaseOf)) {
      Answer(aExchange, kNotFound, json::object());
      return;
    }
    if (each.at("key").get<std::string>().starts_with("op/")) {
      Answer(aExchange, kForbidden, json::object());
      return;
    }
  }
  for (const json& each : body.at("set_keys")) {
    Set(each.at("key").get<std::string>(),
        DecodeBase64(each.at("value").get<std::string>()),
        each.value("lease", uint64_t{ 0 }));
  }
  for (const json& key : body.at("remove")) {
    Erase(key.get<std::string>());
  }
  WakeWatches();
  if (mLoseAnswers > 0) {
    --mLoseAnswers;
    mServer.Drop(aExchange);
    return;
  }
  Answer(aExchange, kOk, { { "revision", mRevision } });
}

void kv_server::HandleLease(exchange_id aExchange, const http_request& aRequest)
{
  const uint64_t id = mNextLease++;
  const double ttl = json::parse(aRequest.mBody).at("ttl_s_time").get<double>();
  mLeases[id].mTtl = ttl;
  StartLeaseTimer(id);
  Answer(aExchange, kOk, { { "lease", id }, { "ttl_s_time", ttl } });
}

void kv_server::StartLeaseTimer(uint64_t aLease)
{
  lease& each = mLeases.at(aLease);
  each.mTimer = std::make_unique<timer>();
  each.mTimer->StartOnce(mLoop, FromSeconds(each.mTtl), [this, aLease] {
    EndLease(aLease);
    WakeWatches();
  });
}

void kv_server::HandleKeep(exchange_id aExchange, uint64_t aLease)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    Answer(aExchange, kNotFound, json::object());
    return;
  }
  StartLeaseTimer(aLease);
  Answer(aExchange, kOk, { { "ttl_s_time", found->second.mTtl } });
}

void kv_server::HandleLeaseEnd(exchange_id aExchange, uint64_t aLease)
{
  EndLease(aLease);
  WakeWatches();
  Answer(aExchange, kOk, json::object());
}

void kv_server::EndLease(uint64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, value] : mItems) {
    if (value.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
  // The timer may be the caller.
  const auto ended = std::make_shared<lease>(std::move(mLeases[aLease]));
  mLeases.erase(aLease);
}

void kv_server::Set(const std::string& aKey,
                    const std::string& aValue,
                    uint64_t aLease)
{
  ++mRevision;
  item& each = mItems[aKey];
  each.mValue = aValue;
  each.mRevision = mRevision;
  each.mCreated = each.mCreated == 0 ? mRevision : each.mCreated;
  each.mLease = aLease;
  mHistory.push_back({ mRevision, aKey, ToJson(aKey, each) });
}

void kv_server::Erase(const std::string& aKey)
{
  if (mItems.erase(aKey) > 0) {
    ++mRevision;
    mHistory.push_back(
      { mRevision,
        aKey,
        { { "key", aKey }, { "revision", mRevision }, { "deleted", true } } });
  }
}

} // namespace parsleystair
