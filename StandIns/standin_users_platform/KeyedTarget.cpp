#include "StandIns/standin_users_platform/KeyedTarget.h"

#include "Parsleystair/Core/Clock.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace parsleystair {

namespace {

using nlohmann::json;

constexpr const char* kGrantPath = "/api/grant";
constexpr const char* kReleasePath = "/api/release";
constexpr uint32_t kOk = 200;
constexpr uint32_t kConflict = 409;
constexpr uint32_t kMisdirected = 421;
constexpr uint32_t kUnavailable = 503;

std::string Header(const http_request& aRequest, const char* aName)
{
  return FindHeader(aRequest.mHeaders, aName).value_or("");
}

} // namespace

keyed_target::keyed_target(event_loop& aLoop, std::string aName, bool aKeyed)
  : mLoop(aLoop)
  , mName(std::move(aName))
  , mKeyed(aKeyed)
  , mServer(aLoop,
            {},
            [this](exchange_id aExchange, const http_request& aRequest) {
              Handle(aExchange, aRequest);
            })
{
  mServer.OnClose(
    [this](exchange_id aExchange) { mCancelled += mRunning.erase(aExchange); });
}

void keyed_target::Listen(const std::string& aHost, uint16_t aPort)
{
  mServer.Listen(aHost, aPort);
}

std::string keyed_target::Entry(const std::string& aService,
                                const std::string& aState) const
{
  return json{
    { "service", aService },
    { "address", "127.0.0.1:" + std::to_string(mPublicPort.value_or(Port())) },
    { "zone", mZone },
    { "version", "v1" },
    { "slots", 4 },
    { "state", aState },
    { "slow_start_s_time", ToSeconds(mSlowStart) },
    { "seq", ++mReports },
    { "born", mStartedMs }
  }.dump();
}

bool keyed_target::Holds(uint32_t aKey) const
{
  const time_point now = MonotonicNow();
  return std::any_of(mHeld.begin(), mHeld.end(), [&](const held_keys& aHeld) {
    return aHeld.mFrom <= aKey && aKey <= aHeld.mTo && aHeld.mUntil > now;
  });
}

void keyed_target::Handle(exchange_id aExchange, const http_request& aRequest)
{
  if (aRequest.mPath == kGrantPath || aRequest.mPath == kReleasePath) {
    HandleOrder(aExchange, aRequest);
    return;
  }
  ++mArrivals;
  if (aRequest.mPath == "/health") {
    http_response healthy{ kOk, { { "X-Instance-Id", mName } }, "" };
    if (mSlowStart > duration::zero()) {
      healthy.mHeaders.push_back(
        { "X-Slow-Start-Ms",
          std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(mSlowStart)
              .count()) });
    }
    Respond(aExchange, healthy);
  } else {
    Run(aExchange, aRequest);
  }
}

void keyed_target::HandleOrder(exchange_id aExchange,
                               const http_request& aRequest)
{
  const std::string sender = Header(aRequest, kSenderHeader);
  if (mIgnoredSenders.contains(sender)) {
    return;
  }
  if (mOrderHandler) {
    mOrderHandler(sender, aRequest);
  }
  if (mOrdersHeld) {
    mHeldOrders.emplace_back(aExchange, aRequest);
  } else {
    ExecuteOrder(aExchange, aRequest);
  }
}

void keyed_target::SetOrdersHeld(bool aHeld)
{
  mOrdersHeld = aHeld;
  if (aHeld) {
    return;
  }
  for (const auto& [exchange, request] : std::exchange(mHeldOrders, {})) {
    ExecuteOrder(exchange, request);
  }
}

void keyed_target::ExecuteOrder(exchange_id aExchange,
                                const http_request& aRequest)
{
  if (aRequest.mPath == kGrantPath) {
    HandleGrant(aExchange, aRequest);
  } else {
    HandleRelease(aExchange, aRequest);
  }
}

void keyed_target::HandleGrant(exchange_id aExchange,
                               const http_request& aRequest)
{
  ++mGrants;
  const json body = json::parse(aRequest.mBody);
  mReceivedHandover = body.value("handover", mReceivedHandover);
  held_keys keys{ body.at("from").get<uint32_t>(),
                  body.at("to").get<uint32_t>(),
                  body.at("fence").get<uint64_t>(),
                  MonotonicNow() +
                    FromSeconds(body.at("hold_s").get<double>()) };
  const bool fenced =
    std::any_of(mHeld.begin(), mHeld.end(), [&](const held_keys& aHeld) {
      return aHeld.mFrom <= keys.mTo && keys.mFrom <= aHeld.mTo &&
             aHeld.mFence > keys.mFence;
    });
  if (!fenced) {
    std::erase_if(mHeld, [&](const held_keys& aHeld) {
      return keys.mFrom <= aHeld.mFrom && aHeld.mTo <= keys.mTo;
    });
    mHeld.push_back(keys);
  }
  Respond(aExchange,
          { fenced ? kConflict : kOk,
            { { "X-Request-Id", Header(aRequest, "X-Request-Id") } },
            "" });
}

void keyed_target::HandleRelease(exchange_id aExchange,
                                 const http_request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const auto from = body.at("from").get<uint32_t>();
  const auto to = body.at("to").get<uint32_t>();
  // The fence of the release stays, with a hold that has ended.
  std::vector<held_keys> rest;
  for (const held_keys& each : mHeld) {
    if (each.mTo < from || each.mFrom > to) {
      rest.push_back(each);
      continue;
    }
    if (each.mFrom < from) {
      rest.push_back({ each.mFrom, from - 1, each.mFence, each.mUntil });
    }
    if (each.mTo > to) {
      rest.push_back({ to + 1, each.mTo, each.mFence, each.mUntil });
    }
  }
  rest.push_back({ from, to, body.at("fence").get<uint64_t>(), {} });
  mHeld = std::move(rest);
  http_response answer{
    kOk, { { "X-Request-Id", Header(aRequest, "X-Request-Id") } }, ""
  };
  for (const std::string& handover : mHandovers) {
    answer.mHeaders.push_back({ "X-Handover", handover });
  }
  Respond(aExchange, answer);
}

void keyed_target::Respond(exchange_id aExchange, http_response aAnswer)
{
  if (mLeaving) {
    aAnswer.mHeaders.push_back({ "Server-Leaving", "1" });
  }
  mServer.Respond(aExchange, aAnswer);
}

void keyed_target::Refuse(exchange_id aExchange,
                          const http_request& aRequest,
                          uint32_t aStatus)
{
  Respond(aExchange,
          { aStatus,
            { { "X-Request-Id", Header(aRequest, "X-Request-Id") },
              { "X-Not-Executed", "1" },
              { "X-Instance-Id", mName } },
            "" });
}

void keyed_target::Run(exchange_id aExchange, const http_request& aRequest)
{
  if (Header(aRequest, "X-Expected-Instance") != mName) {
    Refuse(aExchange, aRequest, kMisdirected);
    return;
  }
  const std::string key = Header(aRequest, "X-Shard-Key");
  if (mKeyed &&
      (key.empty() || !Holds(static_cast<uint32_t>(std::stoul(key))))) {
    Refuse(aExchange, aRequest, kMisdirected);
    return;
  }
  if (mFull) {
    Refuse(aExchange, aRequest, kUnavailable);
    return;
  }
  mRan.push_back(Header(aRequest, "X-Request-Id"));
  if (mRunHandler) {
    mRunHandler(mRan.back());
  }
  auto& running = mRunning[aExchange];
  running = std::make_unique<timer>();
  running->StartOnce(mLoop, mWork, [this, aExchange, aRequest] {
    const auto ended = mRunning.extract(aExchange);
    Finish(aExchange, aRequest);
  });
}

void keyed_target::Finish(exchange_id aExchange, const http_request& aRequest)
{
  if (mDropsResponses) {
    mServer.Drop(aExchange);
    return;
  }
  http_response answer{ kOk,
                        { { "X-Request-Id", Header(aRequest, "X-Request-Id") },
                          { "X-Response-Signature", "signed-by-" + mName },
                          { "Keep-Alive", "timeout=10" } },
                        mName + " ran " + aRequest.mTarget };
  if (mAnswersOthers) {
    answer.mHeaders[0].mValue = "another-request";
  }
  Respond(aExchange, answer);
}

} // namespace parsleystair
