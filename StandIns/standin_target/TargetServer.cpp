#include "StandIns/standin_target/TargetServer.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kMisdirected = 421;
constexpr uint32_t kUnavailable = 503;
constexpr int kCrashExitCode = 70;
constexpr duration kLoadInterval = 100ms;
constexpr int kColdFactor = 3;

http_response JsonAnswer(uint32_t aStatus, const json& aBody)
{
  return { aStatus, { { "Content-Type", "application/json" } }, aBody.dump() };
}

template<typename Number>
Number ParseNumber(const std::string& aText)
{
  Number value{};
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

/// Reads "service/slot".
slot_id ParseSlot(const std::string& aText)
{
  const size_t slash = aText.rfind('/');
  if (slash == std::string::npos) {
    return {};
  }
  return { service_name(aText.substr(0, slash)),
           slot_index(ParseNumber<uint32_t>(aText.substr(slash + 1))) };
}

std::string HeaderOr(const http_request& aRequest, const char* aName)
{
  return FindHeader(aRequest.mHeaders, aName).value_or("");
}

} // namespace

target_server::target_server(event_loop& aLoop,
                             const target_server_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mGrants(std::max<uint64_t>(
      1,
      static_cast<uint64_t>(WallNow().time_since_epoch().count())))
  , mStart(MonotonicNow())
  , mServer(aLoop, {}, [this](exchange_id aExchange, http_request aRequest) {
    Handle(aExchange, std::move(aRequest));
  })
{
  mFaults.mIgnoreFences = !aSettings.mChecksGrants;
  mServer.Listen(aSettings.mHost, aSettings.mPort);
  mLoadTimer.StartRepeating(aLoop, kLoadInterval, [this] {
    const time_point now = MonotonicNow();
    mLoadHistory.emplace_back(now, mRunning.size() + mQueue.size());
    while (mLoadHistory.size() > 1 &&
           now - mLoadHistory[1].first >= mSettings.mReportLag) {
      mLoadHistory.pop_front();
    }
  });
}

uint16_t target_server::Port() const
{
  return mServer.Port();
}

uint32_t target_server::Executions(const std::string& aKey) const
{
  const auto found = mExecutions.find(aKey);
  return found == mExecutions.end() ? 0 : found->second;
}

uint64_t target_server::TotalExecutions() const
{
  return mTotalExecutions;
}

void target_server::SetFaults(const target_faults& aFaults)
{
  mFaults = aFaults;
  if (aFaults.mSilenceOpenConnections) {
    mSilent.insert(mConnections.begin(), mConnections.end());
  }
  if (aFaults.mFreeze > 0ms) {
    std::this_thread::sleep_for(aFaults.mFreeze);
  }
}

uint64_t target_server::ClockMs() const
{
  using std::chrono::milliseconds;
  const auto running = MonotonicNow() - mStart;
  return 1 + static_cast<uint64_t>(
               std::chrono::duration_cast<milliseconds>(running).count());
}

std::string target_server::ConnectionName(const http_request& aRequest)
{
  return aRequest.mRemoteHost + ":" + std::to_string(aRequest.mRemotePort);
}

void target_server::Handle(exchange_id aExchange, http_request aRequest)
{
  // Requests on a connection that lost its path never arrive.
  const std::string connection = ConnectionName(aRequest);
  if (mSilent.contains(connection)) {
    return;
  }
  mConnections.insert(connection);
  if (!HandleControl(aExchange, aRequest)) {
    Admit(aExchange, std::move(aRequest));
  }
}

bool target_server::HandleControl(exchange_id aExchange,
                                  const http_request& aRequest)
{
  if (aRequest.mPath == "/grants") {
    HandleGrants(aExchange, aRequest);
    return true;
  }
  if (aRequest.mPath == "/faults") {
    HandleFaults(aExchange, aRequest);
    return true;
  }
  if (aRequest.mPath == "/executions") {
    ReportExecutions(aExchange);
    return true;
  }
  if (aRequest.mPath == "/load" || aRequest.mPath == "/health") {
    ReportLoad(aExchange);
    return true;
  }
  if (aRequest.mPath.starts_with("/requests/")) {
    HandleRequestState(aExchange, aRequest);
    return true;
  }
  return false;
}

void target_server::HandleGrants(exchange_id aExchange,
                                 const http_request& aRequest)
{
  try {
    const grant_message message = DecodeGrantMessage(aRequest.mBody);
    const grant_reply reply = mGrants.Apply(message, BusySlots(), ClockMs());
    mServer.Respond(aExchange,
                    { kOk,
                      { { "Content-Type", "application/json" } },
                      EncodeGrantReply(reply) });
  } catch (const parse_error& exception) {
    mServer.Respond(aExchange, { kBadRequest, {}, exception.what() });
  }
}

void target_server::HandleFaults(exchange_id aExchange,
                                 const http_request& aRequest)
{
  try {
    const target_faults faults = ParseTargetFaults(aRequest.mBody, mFaults);
    mServer.Respond(aExchange, JsonAnswer(kOk, json::object()));
    SetFaults(faults);
  } catch (const value_error& exception) {
    mServer.Respond(aExchange, { kBadRequest, {}, exception.what() });
  }
}

void target_server::HandleRequestState(exchange_id aExchange,
                                       const http_request& aRequest)
{
  const std::string id =
    aRequest.mPath.substr(std::string("/requests/").size());
  const auto hasId = [&](const auto& aEntry) {
    return aEntry.second.mRequestId == id;
  };
  if (std::any_of(mRunning.begin(), mRunning.end(), hasId)) {
    mServer.Respond(aExchange, JsonAnswer(kOk, { { "state", "running" } }));
    return;
  }
  if (mFinished.contains(id)) {
    mServer.Respond(aExchange, JsonAnswer(kOk, { { "state", "finished" } }));
    return;
  }
  const auto queued =
    std::find_if(mQueue.begin(), mQueue.end(), [&](const job& aJob) {
      return aJob.mRequestId == id;
    });
  if (aRequest.mMethod != "DELETE") {
    const char* state = queued != mQueue.end() ? "queued" : "unknown";
    mServer.Respond(aExchange, JsonAnswer(kOk, { { "state", state } }));
    return;
  }
  // A cancelled id is remembered, so that the request is refused if it arrives
  // after its cancellation.
  mCancelled.insert(id);
  if (queued != mQueue.end()) {
    RefuseNotRun(queued->mExchange, kUnavailable, "cancelled");
    mQueue.erase(queued);
  }
  mServer.Respond(aExchange, JsonAnswer(kOk, { { "state", "cancelled" } }));
}

void target_server::ReportExecutions(exchange_id aExchange)
{
  json list = json::array();
  for (const auto& [key, count] : mExecutions) {
    list.push_back({ { "idempotencyKey", key }, { "count", count } });
  }
  mServer.Respond(
    aExchange,
    JsonAnswer(kOk, { { "executions", list }, { "total", mTotalExecutions } }));
}

void target_server::ReportLoad(exchange_id aExchange)
{
  const size_t load = mLoadHistory.empty() ? 0 : mLoadHistory.front().second;
  mServer.Respond(aExchange,
                  JsonAnswer(kOk,
                             { { "name", mSettings.mName },
                               { "healthy", true },
                               { "load", load },
                               { "concurrency", mSettings.mConcurrency } }));
}

void target_server::Admit(exchange_id aExchange, http_request aRequest)
{
  job admitted;
  admitted.mExchange = aExchange;
  admitted.mRequestId = HeaderOr(aRequest, "Request-Id");
  admitted.mSlot = ParseSlot(HeaderOr(aRequest, "Key-Slot"));
  admitted.mFence =
    fence(ParseNumber<uint64_t>(HeaderOr(aRequest, "Key-Fence")));
  admitted.mRequest = std::move(aRequest);

  if (mFaults.mDrain || mFaults.mShed) {
    RefuseNotRun(aExchange, kUnavailable, mFaults.mDrain ? "draining" : "shed");
    return;
  }
  if (mRunning.size() >= mSettings.mConcurrency) {
    if (mQueue.size() >= mSettings.mMaxQueue) {
      RefuseNotRun(aExchange, kUnavailable, "shed");
      return;
    }
    mQueue.push_back(std::move(admitted));
    return;
  }
  Start(std::move(admitted));
}

std::string target_server::ReasonNotToRun(const job& aJob)
{
  if (mCancelled.contains(aJob.mRequestId)) {
    return "cancelled";
  }
  const bool owned = aJob.mSlot.mService.Value().empty() ||
                     mFaults.mIgnoreFences ||
                     mGrants.Owns(aJob.mSlot, aJob.mFence, ClockMs());
  return owned ? "" : "not-owner";
}

void target_server::Start(job aJob)
{
  const std::string reason = ReasonNotToRun(aJob);
  if (!reason.empty()) {
    const bool owned = reason != "not-owner";
    RefuseNotRun(aJob.mExchange, owned ? kUnavailable : kMisdirected, reason);
    return;
  }
  const std::string& crashOn = mFaults.mCrashOn;
  const bool crashes =
    !crashOn.empty() &&
    (aJob.mRequest.mPath.find(crashOn) != std::string::npos ||
     aJob.mRequest.mBody.find(crashOn) != std::string::npos);
  if (crashes) {
    log_line(log_severity::kError, "crash").Add("request", aJob.mRequestId);
    _exit(kCrashExitCode);
  }
  ++mTotalExecutions;
  const std::string key = HeaderOr(aJob.mRequest, "Idempotency-Key");
  if (!key.empty()) {
    ++mExecutions[key];
  }
  const uint64_t id = mNextJob++;
  aJob.mTimer = std::make_unique<timer>();
  timer& ends = *aJob.mTimer;
  mRunning.emplace(id, std::move(aJob));
  ends.StartOnce(mLoop, DrawServiceTime(), [this, id] { Finish(id); });
}

void target_server::StartQueued()
{
  while (!mQueue.empty() && mRunning.size() < mSettings.mConcurrency) {
    job next = std::move(mQueue.front());
    mQueue.pop_front();
    Start(std::move(next));
  }
}

void target_server::Finish(uint64_t aJobId)
{
  auto node = mRunning.extract(aJobId);
  const job& done = node.mapped();
  mFinished.insert(done.mRequestId);
  const std::string callerId = HeaderOr(done.mRequest, "Caller-Request-Id");
  const json body = {
    { "target", mSettings.mName },
    { "service", done.mSlot.mService.Value() },
    { "slot", done.mSlot.mSlot.Value() },
    { "fence", done.mFence.Value() },
    { "path", done.mRequest.mPath },
    { "key", done.mRequest.mPath.substr(done.mRequest.mPath.rfind('/') + 1) },
    { "requestId", callerId.empty() ? done.mRequestId : callerId },
    { "runCount", Executions(HeaderOr(done.mRequest, "Idempotency-Key")) },
    { "executions", mTotalExecutions },
  };
  Answer(done.mExchange, JsonAnswer(kOk, body));
  StartQueued();
}

void target_server::RefuseNotRun(exchange_id aExchange,
                                 uint32_t aStatus,
                                 const std::string& aReason)
{
  http_response answer = JsonAnswer(aStatus, { { "refused", aReason } });
  answer.mHeaders.push_back({ "Request-Outcome", "not-run" });
  mServer.Respond(aExchange, answer);
}

void target_server::Answer(exchange_id aExchange, http_response aAnswer)
{
  if (mFaults.mCutAnswers) {
    mServer.Drop(aExchange);
    return;
  }
  if (mFaults.mAnswerDelay == 0ms) {
    mServer.Respond(aExchange, aAnswer);
    return;
  }
  const uint64_t id = mNextJob++;
  auto delay = std::make_unique<timer>();
  delay->StartOnce(mLoop,
                   mFaults.mAnswerDelay,
                   [this, id, aExchange, answer = std::move(aAnswer)] {
                     mServer.Respond(aExchange, answer);
                     mDelayed.erase(id);
                   });
  mDelayed.emplace(id, std::move(delay));
}

duration target_server::DrawServiceTime()
{
  const double mean = static_cast<double>(mSettings.mServiceTime.count());
  if (mean <= 0) {
    return duration(0);
  }
  std::exponential_distribution<double> distribution(1 / mean);
  const bool cold = MonotonicNow() - mStart < mSettings.mColdTime;
  const double time = distribution(mRandom) * (cold ? kColdFactor : 1);
  return duration(static_cast<int64_t>(time));
}

std::set<slot_id> target_server::BusySlots() const
{
  std::set<slot_id> slots;
  for (const auto& [id, running] : mRunning) {
    slots.insert(running.mSlot);
  }
  return slots;
}

} // namespace parsleystair
