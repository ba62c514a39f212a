#include "review/support-2/Upstream.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;
using parsleystair::exchange_id;
using parsleystair::http_request;
using parsleystair::http_response;
using parsleystair::MonotonicNow;

constexpr uint32_t kOk = 200;
constexpr uint32_t kConflict = 409;
constexpr uint32_t kMisdirected = 421;
constexpr size_t kKeys = 65'536;

std::string Header(const http_request& aRequest, const char* aName)
{
  return FindHeader(aRequest.mHeaders, aName).value_or("");
}

parsleystair::http_server_settings Settings()
{
  parsleystair::http_server_settings settings;
  settings.mMaxBodyBytes = 64 * 1024 * 1024;
  return settings;
}

} // namespace

upstream::upstream(parsleystair::event_loop& aLoop,
                   record_file& aRecord,
                   std::string aName,
                   const std::string& aHost,
                   bool aKeyed)
  : mLoop(aLoop)
  , mRecord(aRecord)
  , mName(std::move(aName))
  , mHost(aHost)
  , mKeyed(aKeyed)
  , mBorn(static_cast<uint64_t>(parsleystair::WallNow().time_since_epoch() /
                                std::chrono::milliseconds(1)))
  , mKeys(kKeys)
  , mServer(aLoop,
            Settings(),
            [this](exchange_id aExchange, const http_request& aRequest) {
              Handle(aExchange, aRequest);
            })
{
  mServer.OnClose([this](exchange_id aExchange) {
    mRunning.erase(aExchange);
    mReleases.erase(aExchange);
    AnswerReleases();
  });
  mServer.Listen(mHost, 0);
}

std::string upstream::Entry(const std::string& aService,
                            const std::string& aZone,
                            const std::string& aState)
{
  return json{
    { "service", aService },
    { "address", mHost + ":" + std::to_string(mPublicPort.value_or(Port())) },
    { "zone", aZone },
    { "version", "v1" },
    { "slots", 6 },
    { "state", aState },
    { "slow_start_s_time", 0 },
    { "seq", ++mReports },
    { "born", mBorn }
  }.dump();
}

bool upstream::Holds(uint32_t aKey) const
{
  return MonotonicNow() < mKeys[aKey].mUntil;
}

void upstream::Handle(exchange_id aExchange, const http_request& aRequest)
{
  const std::string expected = Header(aRequest, "X-Expected-Instance");
  if (!expected.empty() && expected != mName) {
    Answer(aExchange, { kMisdirected, { { "X-Instance-Id", mName } }, "" });
  } else if (aRequest.mPath == "/health") {
    Answer(aExchange, { kOk, { { "X-Instance-Id", mName } }, "" });
  } else if (aRequest.mPath == "/api/grant") {
    HandleGrant(aExchange, aRequest);
  } else if (aRequest.mPath == "/api/release") {
    HandleRelease(aExchange, aRequest);
  } else {
    Run(aExchange, aRequest);
  }
}

void upstream::HandleGrant(exchange_id aExchange, const http_request& aOrder)
{
  const json body = json::parse(aOrder.mBody);
  const auto from = body.at("from").get<uint32_t>();
  const auto to = body.at("to").get<uint32_t>();
  const auto fence = body.at("fence").get<uint64_t>();
  const auto first = mKeys.begin() + from;
  const auto last = mKeys.begin() + to + 1;
  const bool isFenced = std::any_of(
    first, last, [&](const key_state& aKey) { return aKey.mFence > fence; });
  if (!isFenced) {
    const bool isNew = first->mFence != fence || first->mUntil < MonotonicNow();
    const time_point until =
      MonotonicNow() +
      parsleystair::FromSeconds(body.at("hold_s").get<double>());
    std::fill(first, last, key_state{ fence, until });
    if (isNew) {
      mRecord.Add("granted", mName, from, to, "fence", fence);
    }
  }
  AnswerOrder(aExchange, aOrder, { isFenced ? kConflict : kOk, {}, "" });
}

void upstream::HandleRelease(exchange_id aExchange, const http_request& aOrder)
{
  const json body = json::parse(aOrder.mBody);
  const auto from = body.at("from").get<uint32_t>();
  const auto to = body.at("to").get<uint32_t>();
  const auto fence = body.at("fence").get<uint64_t>();
  for (uint32_t key = from; key <= to; ++key) {
    mKeys[key].mUntil = time_point::min();
    mKeys[key].mFence = std::max(mKeys[key].mFence, fence);
  }
  mRecord.Add("released", mName, from, to, "fence", fence);
  mReleases[aExchange] = { from, to, aOrder };
  AnswerReleases();
}

void upstream::AnswerReleases()
{
  std::vector<exchange_id> done;
  for (const auto& [exchange, release] : mReleases) {
    const pending_release& keys = release;
    const bool isBusy =
      std::any_of(mRunning.begin(), mRunning.end(), [&](const auto& aRunning) {
        const auto key = aRunning.second.mKey;
        return key && keys.mFrom <= *key && *key <= keys.mTo;
      });
    if (!isBusy) {
      done.push_back(exchange);
    }
  }
  for (const exchange_id exchange : done) {
    const http_request order = mReleases.extract(exchange).mapped().mOrder;
    AnswerOrder(
      exchange,
      order,
      { kOk, { { "X-Handover", "5c0e" + std::to_string(++mHandovers) } }, "" });
  }
}

void upstream::Run(exchange_id aExchange, const http_request& aRequest)
{
  const std::string id = Header(aRequest, "X-Request-Id");
  const std::string text = Header(aRequest, "X-Shard-Key");
  std::optional<uint32_t> key;
  if (mKeyed && !text.empty()) {
    key = static_cast<uint32_t>(std::stoul(text));
  }
  if (mKeyed && (!key || !Holds(*key))) {
    Answer(aExchange,
           { kMisdirected,
             { { "X-Request-Id", id },
               { "X-Not-Executed", "1" },
               { "X-Instance-Id", mName } },
             "" });
    return;
  }
  if (mRunHandler) {
    mRunHandler(id, mName);
  }
  running_request& running = mRunning[aExchange];
  running.mKey = key;
  running.mTimer = std::make_unique<parsleystair::timer>();
  running.mTimer->StartOnce(
    mLoop, mWork, [this, aExchange, id] { Finish(aExchange, id); });
}

void upstream::Finish(exchange_id aExchange, const std::string& aId)
{
  const auto ended = mRunning.extract(aExchange);
  Answer(aExchange,
         { kOk,
           { { "X-Request-Id", aId },
             { "X-Response-Signature", "mac-" + aId },
             { "Keep-Alive", "timeout=10" } },
           std::string(mBodyBytes, 'r') });
  AnswerReleases();
}

void upstream::Answer(exchange_id aExchange, const http_response& aAnswer)
{
  ++mAnswers;
  mServer.Respond(aExchange, aAnswer);
}

void upstream::AnswerOrder(exchange_id aExchange,
                           const http_request& aOrder,
                           http_response aAnswer)
{
  aAnswer.mHeaders.push_back(
    { "X-Request-Id", Header(aOrder, "X-Request-Id") });
  if (mOrderFilter) {
    mOrderFilter(aOrder, aAnswer);
  }
  Answer(aExchange, aAnswer);
}

} // namespace review
