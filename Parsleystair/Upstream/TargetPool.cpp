#include "Parsleystair/Upstream/TargetPool.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// A connection is suspected to be silent when its response takes this many
/// times the median latency.
constexpr int kSilenceFactor = 4;
/// Minimum age of a request before its connection is suspected.
constexpr duration kMinSilenceLimit = 100ms;
/// Time limit of a connection check. A new connection and a response take a few
/// ms, so a check without a response means that the target itself is slow or
/// gone.
constexpr duration kCheckTimeout = 200ms;
/// Delay between the response to a connection check and the closing of the
/// connection, in which a response that is already in transit can still arrive.
constexpr duration kResponseGracePeriod = 20ms;

/// Returns the state that the target reports for a request; empty if the
/// response is missing or malformed.
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

bool IsMarkedNotRun(const http_response& aResponse)
{
  return FindHeader(aResponse.mHeaders, "request-outcome") == "not-run";
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
  const pool_attempt_id id(mNextAttempt++);
  pending_attempt& started = mAttempts[id];
  started.mConnection = TakeConnection();
  started.mRequestId = aRequestId;
  started.mSentAt = aNow;
  started.mCheckAt = aNow + SilenceLimit();
  started.mCallback = std::move(aCallback);
  started.mConnection->Call(
    aRequest, aTimeout, [this, id](http_result aResult) {
      Finish(id, std::move(aResult));
    });
  return id;
}

void target_pool::Finish(pool_attempt_id aAttempt, http_result aResult)
{
  auto node = mAttempts.extract(aAttempt);
  PARSLEYSTAIR_INVARIANT(!node.empty());
  pending_attempt& finished = node.mapped();
  attempt_result result;
  result.mTimedOut = aResult.mTimedOut;
  switch (aResult.mStatus) {
    case http_status::kResponded:
      mLatency.Add(MonotonicNow() - finished.mSentAt);
      result.mStatus = IsMarkedNotRun(aResult.mResponse)
                         ? attempt_status::kRejectedNotRun
                         : attempt_status::kResponded;
      result.mResponse = std::move(aResult.mResponse);
      // Responses of targets bear no request id, so a second copy of a refusal
      // would be taken for the refusal of the connection's next request.
      if (result.mStatus == attempt_status::kResponded &&
          mIdle.size() < mMaxIdle) {
        mIdle.push_back(std::move(finished.mConnection));
      }
      break;
    case http_status::kNotSent:
      result.mStatus = attempt_status::kNotSent;
      break;
    case http_status::kNoResponse:
      result.mStatus = attempt_status::kUnknown;
      break;
  }
  finished.mCallback(std::move(result));
}

duration target_pool::SilenceLimit() const
{
  return std::max(kMinSilenceLimit, mLatency.Median() * kSilenceFactor);
}

void target_pool::CloseFinished(time_point aNow)
{
  std::vector<pool_attempt_id> due;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mFinishedSeenAt &&
        aNow - *attempt.mFinishedSeenAt >= kResponseGracePeriod) {
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
  for (const auto& [id, attempt] : mAttempts) {
    if (!attempt.mChecking && aNow >= attempt.mCheckAt) {
      due.push_back(id);
    }
  }
  for (const pool_attempt_id id : due) {
    StartConnectionCheck(id, aNow);
  }
}

void target_pool::StartConnectionCheck(pool_attempt_id aAttempt,
                                       time_point aNow)
{
  pending_attempt& suspected = mAttempts.at(aAttempt);
  suspected.mChecking = true;
  // The next check is due when the request has reached twice its present age,
  // so the delay doubles with each check of a slow request.
  suspected.mCheckAt = aNow + (aNow - suspected.mSentAt);
  CallOnce("GET",
           "/requests/" + suspected.mRequestId,
           [this, aAttempt](const http_result& aResult) {
             HandleConnectionCheck(aAttempt, MonotonicNow(), aResult);
           });
}

void target_pool::HandleConnectionCheck(pool_attempt_id aAttempt,
                                        time_point aNow,
                                        const http_result& aResult)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return;
  }
  found->second.mChecking = false;
  const std::string state = RequestState(aResult);
  if (state == "finished") {
    found->second.mChecking = true;
    found->second.mFinishedSeenAt = aNow;
    return;
  }
  if (state == "unknown") {
    CancelUnknown(aAttempt);
  }
}

void target_pool::CancelUnknown(pool_attempt_id aAttempt)
{
  pending_attempt& suspected = mAttempts.at(aAttempt);
  suspected.mChecking = true;
  CallOnce("DELETE",
           "/requests/" + suspected.mRequestId,
           [this, aAttempt](const http_result& aResult) {
             const std::string state = RequestState(aResult);
             if (state == "cancelled") {
               FinishSilent(aAttempt, true);
               return;
             }
             const auto found = mAttempts.find(aAttempt);
             if (found != mAttempts.end()) {
               found->second.mChecking = false;
             }
           });
}

void target_pool::FinishSilent(pool_attempt_id aAttempt, bool aConfirmedNotRun)
{
  auto node = mAttempts.extract(aAttempt);
  if (node.empty()) {
    return;
  }
  attempt_result result;
  result.mSilent = true;
  result.mStatus = aConfirmedNotRun ? attempt_status::kRejectedNotRun
                                    : attempt_status::kUnknown;
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
  const uint64_t id = mNextCheck++;
  auto connection = std::make_unique<http_connection>(mLoop, mHost, mPort);
  http_connection& call = *connection;
  mCheckConnections.emplace(id, std::move(connection));
  http_request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  call.Call(request,
            kCheckTimeout,
            [this, id, done = std::move(aCallback)](http_result aResult) {
              const auto kept = mCheckConnections.extract(id);
              done(std::move(aResult));
            });
}

} // namespace parsleystair
