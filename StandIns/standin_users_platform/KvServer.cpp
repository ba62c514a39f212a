#include "StandIns/standin_users_platform/KvServer.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Platform/Base64.h"
#include "StandIns/standin_platform/KeyValueError.h"

#include <algorithm>
#include <limits>
#include <utility>

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
constexpr uint64_t kWholeHistory = std::numeric_limits<uint64_t>::max();
/// Leases end this much late at most; they last for more than a second.
constexpr duration kLeaseCheckInterval = 10ms;

uint64_t ToNumber(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}

/// Part of a path behind a prefix; empty if the path doesn't begin with it.
std::string After(const std::string& aPath, const std::string& aPrefix)
{
  return aPath.starts_with(aPrefix) ? aPath.substr(aPrefix.size()) : "";
}

kv_interval KeysWith(const std::string& aPrefix)
{
  // Keys are text, so no key with the prefix is above this.
  return { aPrefix, aPrefix + '\xff' };
}

json ToJson(const kv_entry& aEntry)
{
  if (aEntry.IsDeleted()) {
    return { { "key", aEntry.mKey },
             { "revision", aEntry.mModRevision },
             { "deleted", true } };
  }
  return { { "key", aEntry.mKey },
           { "value", EncodeBase64(aEntry.mValue) },
           { "revision", aEntry.mModRevision },
           { "created", aEntry.mCreateRevision },
           { "lease", aEntry.mLease } };
}

/// Reads the conditions and writes of a call.
kv_transaction ReadTransaction(const json& aBody)
{
  kv_transaction transaction;
  for (const json& each : aBody.at("if_revision")) {
    transaction.mCompares.push_back({ kv_compare_target::kMod,
                                      kv_compare_result::kEqual,
                                      each.at("key").get<std::string>(),
                                      each.at("revision").get<uint64_t>(),
                                      "" });
  }
  for (const json& each : aBody.at("set_keys")) {
    transaction.mSuccess.emplace_back(
      kv_put{ each.at("key").get<std::string>(),
              DecodeBase64(each.at("value").get<std::string>()),
              each.value("lease", uint64_t{ 0 }) });
  }
  for (const json& key : aBody.at("remove")) {
    transaction.mSuccess.emplace_back(
      kv_delete{ { key.get<std::string>(), "" } });
  }
  return transaction;
}

bool WritesReservedKey(const kv_transaction& aTransaction)
{
  return std::any_of(aTransaction.mSuccess.begin(),
                     aTransaction.mSuccess.end(),
                     [](const kv_operation& aOperation) {
                       const auto* put = std::get_if<kv_put>(&aOperation);
                       return put != nullptr && put->mKey.starts_with("op/");
                     });
}

} // namespace

kv_server::kv_server(event_loop& aLoop)
  : mLoop(aLoop)
  , mCore(kWholeHistory)
  , mCopy(kWholeHistory)
  , mServer(aLoop,
            {},
            [this](exchange_id aExchange, const http_request& aRequest) {
              Handle(aExchange, aRequest);
            })
{
  mServer.OnClose([this](exchange_id aExchange) { mWatches.erase(aExchange); });
  mLeaseTimer.StartRepeating(mLoop, kLeaseCheckInterval, [this] {
    mCore.ExpireLeases(MonotonicNow());
    WakeWatches();
  });
}

void kv_server::Listen(const std::string& aHost, uint16_t aPort)
{
  mServer.Listen(aHost, aPort);
}

void kv_server::Put(const std::string& aKey, const std::string& aValue)
{
  mCore.Transact({ {}, { kv_put{ aKey, aValue, 0 } }, {} });
  WakeWatches();
}

void kv_server::Remove(const std::string& aKey)
{
  mCore.Transact({ {}, { kv_delete{ { aKey, "" } } }, {} });
  WakeWatches();
}

std::string kv_server::Get(const std::string& aKey) const
{
  const auto found = Find(aKey);
  return found ? found->mValue : "";
}

std::optional<kv_entry> kv_server::Find(const std::string& aKey) const
{
  kv_range range;
  range.mKeys.mFrom = aKey;
  const auto entries = mCore.Range(range).mEntries;
  return entries.empty() ? std::nullopt : std::optional(entries.front());
}

void kv_server::SetUnavailable(bool aDown)
{
  mUnavailable = aDown;
  if (!mUnavailable) {
    return;
  }
  for (const auto& [exchange, watch] : mWatches) {
    mServer.Drop(exchange);
  }
  mWatches.clear();
}

void kv_server::SetUnresponsive(bool aSilent)
{
  mUnresponsive = aSilent;
  mWatches.clear();
}

void kv_server::DropHistory()
{
  mFirstRevision = mCore.Head();
  const auto watches = std::move(mWatches);
  mWatches.clear();
  for (const auto& [exchange, watch] : watches) {
    Answer(exchange, kGone, json::object());
  }
}

void kv_server::Restore()
{
  mCore = mCopy;
  ++mEra;
  for (const auto& [exchange, watch] : std::exchange(mWatches, {})) {
    mServer.Drop(exchange);
  }
}

void kv_server::Handle(exchange_id aExchange, const http_request& aRequest)
{
  ++mCalls;
  if (mUnresponsive) {
    return;
  }
  const std::string& path = aRequest.mPath;
  const std::string keep = After(path, "/api/kv-keep/");
  const std::string end = After(path, "/api/kv-lease-end/");
  if (mUnavailable) {
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
  mServer.Respond(aExchange,
                  { aStatus,
                    { { "Content-Type", "application/json" },
                      { "Store-Era", std::to_string(mEra) } },
                    aBody.dump() });
}

void kv_server::HandleRange(exchange_id aExchange, const http_request& aRequest)
{
  const auto prefix = FindQueryValue(aRequest.mQuery, "prefix").value_or("");
  const auto after = FindQueryValue(aRequest.mQuery, "after").value_or("");
  kv_range range;
  range.mKeys = KeysWith(prefix);
  // The next key after one is that key and a zero byte.
  range.mKeys.mFrom = std::max(prefix, after + '\0');
  range.mLimit = kPageItems;
  const kv_range_result result = mCore.Range(range);
  json items = json::array();
  for (const kv_entry& entry : result.mEntries) {
    items.push_back(ToJson(entry));
  }
  Answer(aExchange,
         kOk,
         { { "items", items },
           { "has_more", result.mMore },
           { "store_revision", mCore.Head() } });
}

void kv_server::HandleKey(exchange_id aExchange, const http_request& aRequest)
{
  const auto found = Find(FindQueryValue(aRequest.mQuery, "key").value_or(""));
  json body = found ? ToJson(*found) : json::object();
  body["store_revision"] = mCore.Head();
  Answer(aExchange, found ? kOk : kNotFound, body);
}

json kv_server::EventsFor(const waiting_watch& aWatch) const
{
  json events = json::array();
  for (const kv_entry& entry :
       mCore.EventsSince(aWatch.mAfter + 1, KeysWith(aWatch.mPrefix))) {
    events.push_back(ToJson(entry));
  }
  return events;
}

void kv_server::AnswerWatch(exchange_id aExchange, const waiting_watch& aWatch)
{
  Answer(
    aExchange,
    kOk,
    { { "events", EventsFor(aWatch) }, { "store_revision", mCore.Head() } });
}

void kv_server::HandleWatch(exchange_id aExchange, const http_request& aRequest)
{
  waiting_watch watch;
  watch.mPrefix = FindQueryValue(aRequest.mQuery, "prefix").value_or("");
  watch.mAfter =
    ToNumber(FindQueryValue(aRequest.mQuery, "after").value_or(""));
  if (watch.mAfter < mFirstRevision || watch.mAfter > mCore.Head()) {
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
  const kv_transaction transaction =
    ReadTransaction(json::parse(aRequest.mBody));
  if (WritesReservedKey(transaction)) {
    Answer(aExchange, kForbidden, json::object());
    return;
  }
  try {
    if (!mCore.Transact(transaction).mSucceeded) {
      Answer(aExchange, kPreconditionFailed, { { "items", json::array() } });
      return;
    }
  } catch (const key_value_error&) {
    // The only fault that a well-formed call can have: its lease has ended.
    Answer(aExchange, kNotFound, json::object());
    return;
  }
  WakeWatches();
  if (mLoseAnswers > 0) {
    --mLoseAnswers;
    mServer.Drop(aExchange);
    return;
  }
  Answer(aExchange, kOk, { { "revision", mCore.Head() } });
}

void kv_server::HandleLease(exchange_id aExchange, const http_request& aRequest)
{
  const double ttl = json::parse(aRequest.mBody).at("ttl_s_time").get<double>();
  const uint64_t id = mCore.GrantLease(0, FromSeconds(ttl), MonotonicNow());
  Answer(aExchange, kOk, { { "lease", id }, { "ttl_s_time", ttl } });
}

void kv_server::HandleKeep(exchange_id aExchange, uint64_t aLease)
{
  const duration ttl = mCore.KeepLeaseAlive(aLease, MonotonicNow());
  if (ttl == duration::zero()) {
    Answer(aExchange, kNotFound, json::object());
    return;
  }
  Answer(aExchange, kOk, { { "ttl_s_time", ToSeconds(ttl) } });
}

void kv_server::HandleLeaseEnd(exchange_id aExchange, uint64_t aLease)
{
  try {
    mCore.RevokeLease(aLease);
  } catch (const key_value_error&) {
    // It has ended already, which is what the call asks for.
  }
  WakeWatches();
  Answer(aExchange, kOk, json::object());
}

} // namespace parsleystair
