#include "review/support-2/Store.h"

#include "Parsleystair/Platform/Base64.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;
using parsleystair::exchange_id;
using parsleystair::FindQueryValue;
using parsleystair::http_request;
using parsleystair::MonotonicNow;

constexpr uint32_t kOk = 200;
constexpr uint32_t kForbidden = 403;
constexpr uint32_t kNotFound = 404;
constexpr uint32_t kGone = 410;
constexpr uint32_t kPreconditionFailed = 412;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
/// `history_s`.
constexpr duration kHistory = std::chrono::seconds(20);
constexpr duration kExpireInterval = std::chrono::milliseconds(10);

uint64_t ToNumber(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

std::string Query(const http_request& aRequest, const char* aName)
{
  return FindQueryValue(aRequest.mQuery, aName).value_or("");
}

std::string After(const std::string& aPath, const std::string& aPrefix)
{
  return aPath.starts_with(aPrefix) ? aPath.substr(aPrefix.size()) : "";
}

bool IsReserved(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

parsleystair::http_server_settings Settings()
{
  parsleystair::http_server_settings settings;
  settings.mMaxBodyBytes = 4 * 1024 * 1024;
  return settings;
}

} // namespace

store::store(parsleystair::event_loop& aLoop)
  : mLoop(aLoop)
  , mServer(aLoop,
            Settings(),
            [this](exchange_id aExchange, const http_request& aRequest) {
              Handle(aExchange, aRequest);
            })
{
  mServer.OnClose([this](exchange_id aExchange) { mWatches.erase(aExchange); });
  mExpireTimer.StartRepeating(mLoop, kExpireInterval, [this] { Expire(); });
}

void store::Listen(const std::string& aHost)
{
  mServer.Listen(aHost, 0);
}

void store::Put(const std::string& aKey, const std::string& aValue)
{
  Set(aKey, aValue, 0, ++mHead);
  WakeWatches();
}

std::string store::Get(const std::string& aKey) const
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? "" : found->second.mValue;
}

void store::Set(const std::string& aKey,
                const std::string& aValue,
                uint64_t aLease,
                uint64_t aRevision)
{
  item& set = mItems[aKey];
  set.mValue = aValue;
  set.mRevision = aRevision;
  set.mCreated = set.mCreated == 0 ? aRevision : set.mCreated;
  set.mLease = aLease;
  // The value is base64, which needs no escapes.
  const json rest = { { "key", aKey },
                      { "revision", aRevision },
                      { "created", set.mCreated },
                      { "lease", aLease } };
  set.mText = rest.dump();
  set.mText.pop_back();
  set.mText += ",\"value\":\"" + parsleystair::EncodeBase64(aValue) + "\"}";
  mChanges.push_back({ aRevision, MonotonicNow(), aKey, set.mText });
}

void store::Remove(const std::string& aKey, uint64_t aRevision)
{
  if (mItems.erase(aKey) > 0) {
    const json event = { { "key", aKey },
                         { "revision", aRevision },
                         { "deleted", true } };
    mChanges.push_back({ aRevision, MonotonicNow(), aKey, event.dump() });
  }
}

void store::EndLease(uint64_t aLease)
{
  if (mLeases.erase(aLease) == 0) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, each] : mItems) {
    if (each.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key, ++mHead);
  }
}

void store::Expire()
{
  const time_point now = MonotonicNow();
  std::vector<uint64_t> ended;
  for (const auto& [id, each] : mLeases) {
    if (each.mEnd <= now) {
      ended.push_back(id);
    }
  }
  for (const uint64_t id : ended) {
    EndLease(id);
  }
  while (!mChanges.empty() && now - mChanges.front().mAt > kHistory) {
    mForgotten = mChanges.front().mRevision;
    mChanges.pop_front();
  }
  if (!ended.empty()) {
    WakeWatches();
  }
}

void store::Handle(exchange_id aExchange, const http_request& aRequest)
{
  const std::string& path = aRequest.mPath;
  const std::string keep = After(path, "/api/kv-keep/");
  const std::string end = After(path, "/api/kv-lease-end/");
  if (path == "/api/kv-range") {
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
    Answer(aExchange, kNotFound, "{}");
  }
}

void store::Answer(exchange_id aExchange, uint32_t aStatus, std::string aBody)
{
  mServer.Respond(
    aExchange,
    { aStatus,
      { { "Content-Type", "application/json" }, { "Store-Era", "1" } },
      std::move(aBody) });
}

void store::HandleRange(exchange_id aExchange, const http_request& aRequest)
{
  const std::string prefix = Query(aRequest, "prefix");
  const std::string after = Query(aRequest, "after");
  std::string items;
  size_t count = 0;
  bool hasMore = false;
  for (auto each = mItems.lower_bound(prefix);
       each != mItems.end() && each->first.starts_with(prefix);
       ++each) {
    if (!after.empty() && each->first <= after) {
      continue;
    }
    if (count > 0 && (count == kPageItems || items.size() > kPageBytes)) {
      hasMore = true;
      break;
    }
    items += (count == 0 ? "" : ",") + each->second.mText;
    ++count;
  }
  Answer(aExchange,
         kOk,
         R"({"items":[)" + items + R"(],"has_more":)" +
           (hasMore ? "true" : "false") + R"(,"store_revision":)" +
           std::to_string(mHead) + "}");
}

void store::HandleKey(exchange_id aExchange, const http_request& aRequest)
{
  const auto found = mItems.find(Query(aRequest, "key"));
  const std::string revision =
    R"("store_revision":)" + std::to_string(mHead) + "}";
  if (found == mItems.end()) {
    Answer(aExchange, kNotFound, "{" + revision);
    return;
  }
  std::string text = found->second.mText;
  text.pop_back();
  Answer(aExchange, kOk, text + "," + revision);
}

bool store::HasChange(const waiting_watch& aWatch) const
{
  // The newest change is the likeliest.
  for (auto each = mChanges.rbegin();
       each != mChanges.rend() && each->mRevision > aWatch.mAfter;
       ++each) {
    if (each->mKey.starts_with(aWatch.mPrefix)) {
      return true;
    }
  }
  return false;
}

void store::AnswerWatch(exchange_id aExchange, const waiting_watch& aWatch)
{
  std::string body = R"({"events":[)";
  bool isFirst = true;
  for (const change& each : mChanges) {
    if (each.mRevision > aWatch.mAfter &&
        each.mKey.starts_with(aWatch.mPrefix)) {
      body += (isFirst ? "" : ",") + each.mText;
      isFirst = false;
    }
  }
  body += R"(],"store_revision":)" + std::to_string(mHead) + "}";
  mLongestAnswer = std::max(mLongestAnswer, body.size());
  Answer(aExchange, kOk, std::move(body));
}

void store::HandleWatch(exchange_id aExchange, const http_request& aRequest)
{
  waiting_watch watch;
  watch.mPrefix = Query(aRequest, "prefix");
  watch.mAfter = ToNumber(Query(aRequest, "after"));
  if (watch.mAfter < mForgotten || watch.mAfter > mHead) {
    Answer(aExchange, kGone, "{}");
    return;
  }
  if (HasChange(watch)) {
    AnswerWatch(aExchange, watch);
    return;
  }
  const uint64_t wait = ToNumber(Query(aRequest, "wait_ms"));
  watch.mTimer = std::make_unique<parsleystair::timer>();
  watch.mTimer->StartOnce(
    mLoop, std::chrono::milliseconds(wait), [this, aExchange] {
      const auto ended = mWatches.extract(aExchange);
      AnswerWatch(aExchange, ended.mapped());
    });
  mWatches[aExchange] = std::move(watch);
}

void store::WakeWatches()
{
  std::vector<exchange_id> due;
  for (const auto& [exchange, watch] : mWatches) {
    if (HasChange(watch)) {
      due.push_back(exchange);
    }
  }
  for (const exchange_id exchange : due) {
    const auto ended = mWatches.extract(exchange);
    AnswerWatch(exchange, ended.mapped());
  }
}

void store::HandleTransaction(exchange_id aExchange,
                              const http_request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  bool holds = true;
  std::string states;
  for (const json& each : body.at("if_revision")) {
    const auto found = mItems.find(each.at("key").get<std::string>());
    const uint64_t present =
      found == mItems.end() ? 0 : found->second.mRevision;
    holds = holds && present == each.at("revision").get<uint64_t>();
    if (found != mItems.end()) {
      states += (states.empty() ? "" : ",") + found->second.mText;
    }
  }
  for (const json& each : body.at("set_keys")) {
    const auto id = each.value("lease", uint64_t{ 0 });
    if (IsReserved(each.at("key").get<std::string>())) {
      Answer(aExchange, kForbidden, "{}");
      return;
    }
    if (id != 0 && !mLeases.contains(id)) {
      Answer(aExchange, kNotFound, "{}");
      return;
    }
  }
  if (!holds) {
    Answer(aExchange, kPreconditionFailed, R"({"items":[)" + states + "]}");
    return;
  }
  const uint64_t revision = ++mHead;
  for (const json& each : body.at("set_keys")) {
    Set(each.at("key").get<std::string>(),
        parsleystair::DecodeBase64(each.at("value").get<std::string>()),
        each.value("lease", uint64_t{ 0 }),
        revision);
  }
  for (const json& key : body.at("remove")) {
    Remove(key.get<std::string>(), revision);
  }
  WakeWatches();
  Answer(aExchange, kOk, json{ { "revision", revision } }.dump());
}

void store::HandleLease(exchange_id aExchange, const http_request& aRequest)
{
  const double ttl =
    std::max(1.0, json::parse(aRequest.mBody).at("ttl_s_time").get<double>());
  const uint64_t id = mNextLease++;
  const duration time = parsleystair::FromSeconds(ttl);
  mLeases[id] = { time, MonotonicNow() + time };
  Answer(aExchange, kOk, json{ { "lease", id }, { "ttl_s_time", ttl } }.dump());
}

void store::HandleKeep(exchange_id aExchange, uint64_t aLease)
{
  const auto found = mLeases.find(aLease);
  if (found == mLeases.end()) {
    Answer(aExchange, kNotFound, "{}");
    return;
  }
  found->second.mEnd = MonotonicNow() + found->second.mTime;
  const double ttl = parsleystair::ToSeconds(found->second.mTime);
  Answer(aExchange, kOk, json{ { "ttl_s_time", ttl } }.dump());
}

void store::HandleLeaseEnd(exchange_id aExchange, uint64_t aLease)
{
  EndLease(aLease);
  WakeWatches();
  Answer(aExchange, kOk, "{}");
}

} // namespace review
