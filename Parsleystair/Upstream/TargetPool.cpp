#include "Parsleystair/Upstream/TargetPool.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// A connection is suspected when its answer takes this many times the median.
constexpr int kSilenceFactor = 4;
/// Shortest age of a suspected request.
constexpr duration kMinSilence = 100ms;
/// Time limit of a probe. A new connection and an answer take a few ms, so a
/// probe without an answer means that the target itself is slow or gone.
constexpr duration kProbeTimeout = 200ms;
/// Wait between the probe's answer and closing, in which an answer that is
/// already on its way can still arrive.
constexpr duration kAnswerGrace = 20ms;

/// State that the target reports for a request; empty if it can't be read.
std::string RequestState(const http_result& aResult)
{
  if (aResult.mStatus != http_status::kResponded) {
    return "";
  }
  const auto body =
    nlohmann::json::parse(aResult.mResponse.mBody, nullptr, false);
  const bool readable =
    body.is_object() && body.contains("state") && body["state"].is_string();
  return readable ? body["state"].get<std::string>() : "";
}

bool SaysNotRun(const http_response& aAnswer)
{
  return FindHeader(aAnswer.mHeaders, "request-outcome") == "not-run";
}

} // namespace

target_pool::target_pool(event_loop& aLoop,
                         std::string aHost,
                         uint16_t aPort,
                         uint32_t aMaxIdle)
  : mLoop(aLoop)
  , mHost(std::move(aHost))
  , mPort(aPort)
  , mMaxIdle(aMaxIdle)
{
}

target_pool::~target_pool() = default;

target_pool::connection_pointer target_pool::TakeConnection()
{
  if (mIdle.empty()) {
    return std::make_unique<http_connection>(mLoop, mHost, mPort);
  }
  connection_pointer connection = std::move(mIdle.back());
  mIdle.pop_back();
  return connection;
}

pool_attempt_id target_pool::Send(const http_request& aRequest,
                         const std::string& aRequestId,
                         duration aTimeout,
                         time_point aNow,
                         callback aCallback)
{
  const pool_attempt_id id(mNextTry++);
  open_try& started = mTries[id];
  started.mConnection = TakeConnection();
  started.mRequestId = aRequestId;
  started.mSentAt = aNow;
  started.mProbeAt = aNow + SilenceLimit();
  started.mCallback = std::move(aCallback);
  started.mConnection->Call(
    aRequest, aTimeout, [this, id](http_result aResult) {
      Finish(id, std::move(aResult));
    });
  return id;
}

void target_pool::Finish(pool_attempt_id aTry, http_result aResult)
{
  auto node = mTries.extract(aTry);
  PARSLEYSTAIR_INVARIANT(!node.empty());
  open_try& done = node.mapped();
  attempt_result result;
  result.mTimedOut = aResult.mTimedOut;
  switch (aResult.mStatus) {
    case http_status::kResponded:
      mLatency.Add(MonotonicNow() - done.mSentAt);
      result.mStatus = SaysNotRun(aResult.mResponse) ? attempt_status::kRejectedNotRun
                                                   : attempt_status::kResponded;
      result.mResponse = std::move(aResult.mResponse);
      if (mIdle.size() < mMaxIdle) {
        mIdle.push_back(std::move(done.mConnection));
      }
      break;
    case http_status::kNotSent:
      result.mStatus = attempt_status::kNotSent;
      break;
    case http_status::kNoResponse:
      result.mStatus = attempt_status::kUnknown;
      break;
  }
  done.mCallback(std::move(result));
}

duration target_pool::SilenceLimit() const
{
  return std::max(kMinSilence, mLatency.Median() * kSilenceFactor);
}

void target_pool::CloseFinished(time_point aNow)
{
  std::vector<pool_attempt_id> due;
  for (const auto& [id, open] : mTries) {
    if (open.mFinishedSeen && aNow - *open.mFinishedSeen >= kAnswerGrace) {
      due.push_back(id);
    }
  }
  for (const pool_attempt_id id : due) {
    FinishSilent(id, false);
  }
}

void target_pool::CheckSilence(time_point aNow)
{
  CloseFinished(aNow);
  std::vector<pool_attempt_id> due;
  for (const auto& [id, open] : mTries) {
    if (!open.mProbing && aNow >= open.mProbeAt) {
      due.push_back(id);
    }
  }
  for (const pool_attempt_id id : due) {
    StartProbe(id, aNow);
  }
}

void target_pool::StartProbe(pool_attempt_id aTry, time_point aNow)
{
  open_try& suspected = mTries.at(aTry);
  suspected.mProbing = true;
  // Each further probe of a slow request waits twice as long.
  suspected.mProbeAt = aNow + (aNow - suspected.mSentAt);
  CallOnce("GET",
           "/requests/" + suspected.mRequestId,
           [this, aTry](const http_result& aResult) {
             HandleProbe(aTry, MonotonicNow(), aResult);
           });
}

void target_pool::HandleProbe(pool_attempt_id aTry,
                              time_point aNow,
                              const http_result& aResult)
{
  const auto found = mTries.find(aTry);
  if (found == mTries.end()) {
    return;
  }
  found->second.mProbing = false;
  const std::string state = RequestState(aResult);
  if (state == "finished") {
    found->second.mProbing = true;
    found->second.mFinishedSeen = aNow;
    return;
  }
  if (state == "unknown") {
    CancelUnknown(aTry);
  }
}

void target_pool::CancelUnknown(pool_attempt_id aTry)
{
  open_try& suspected = mTries.at(aTry);
  suspected.mProbing = true;
  CallOnce("DELETE",
           "/requests/" + suspected.mRequestId,
           [this, aTry](const http_result& aResult) {
             const std::string state = RequestState(aResult);
             if (state == "cancelled") {
               FinishSilent(aTry, true);
               return;
             }
             const auto found = mTries.find(aTry);
             if (found != mTries.end()) {
               found->second.mProbing = false;
             }
           });
}

void target_pool::FinishSilent(pool_attempt_id aTry, bool aProvenNotRun)
{
  auto node = mTries.extract(aTry);
  if (node.empty()) {
    return;
  }
  attempt_result result;
  result.mSilent = true;
  result.mStatus =
    aProvenNotRun ? attempt_status::kRejectedNotRun : attempt_status::kUnknown;
  node.mapped().mCallback(std::move(result));
}

void target_pool::CheckRefused(std::function<void(bool)> aCallback)
{
  CallOnce("GET",
           "/health",
           [done = std::move(aCallback)](const http_result& aResult) {
             done(aResult.mStatus == http_status::kNotSent);
           });
}

void target_pool::CallOnce(const std::string& aMethod,
                           const std::string& aPath,
                           http_connection::callback aCallback)
{
  const uint64_t id = mNextProbe++;
  auto connection = std::make_unique<http_connection>(mLoop, mHost, mPort);
  http_connection& call = *connection;
  mProbes.emplace(id, std::move(connection));
  http_request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  call.Call(request,
            kProbeTimeout,
            [this, id, done = std::move(aCallback)](http_result aResult) {
              const auto kept = mProbes.extract(id);
              done(std::move(aResult));
            });
}

} // namespace parsleystair
