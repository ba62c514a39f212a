#include "Parsleystair/Gateway/Forwarder.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

// Receives requests, chooses their targets, and sends the responses to callers.
// Targets are chosen in ForwarderTargets.cpp, attempts at targets are in
// ForwarderAttempts.cpp, waiting is in ForwarderWaiting.cpp.

namespace parsleystair {

namespace {

/// Time after a route's timeout in which a target's own answer to the passed
/// deadline may still arrive.
constexpr duration kResponseGrace = 60ms;
/// Timeout of routes that have none.
constexpr duration kDefaultTimeout = 30s;
/// Idle timeout of a target's connections until a response of the target states
/// its own keep-alive time.
constexpr duration kDefaultKeepAlive = 1s;
/// Multiple of the service's mean latency within which nearly all requests are
/// complete.
constexpr int kShutdownLatencyFactor = 2;

http_connection_settings TargetConnectionSettings()
{
  http_connection_settings settings;
  // A target accepts a connection within one round trip between regions, 24 ms;
  // a lost packet is retransmitted after 200 ms.
  settings.mConnectTimeout = 400ms;
  settings.mAcceptsUnframedResponses = true;
  // A lost network path is detected within seconds. Probes on idle connections
  // are billed by the byte.
  settings.mStream.mKeepAlive = 2s;
  // Not the user timeout of the system, which also ends the connection of a
  // target that doesn't read for a while.
  settings.mStream.mLossTimeout = 1s;
  return settings;
}

request_outcome OutcomeOf(refusal_kind aKind)
{
  switch (aKind) {
    case refusal_kind::kNotRun:
      return request_outcome::kNotRun;
    case refusal_kind::kUnknownRoute:
      return request_outcome::kUnknownRoute;
    case refusal_kind::kNoResponse:
      return request_outcome::kNoResponse;
    case refusal_kind::kDeadlineExceeded:
      break;
  }
  return request_outcome::kDeadlineExceeded;
}

} // namespace

forwarder::forwarder(event_loop& aLoop,
                     const forwarder_settings& aSettings,
                     const request_protocol& aProtocol,
                     const forwarder_view& aView,
                     route_source& aRouteSource,
                     target_observer& aTargetObserver,
                     http_server& aServer,
                     uint64_t aSeed)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mProtocol(aProtocol)
  , mView(aView)
  , mRouteSource(aRouteSource)
  , mTargetObserver(aTargetObserver)
  , mServer(aServer)
  , mBalancer(aSettings.mLocation, aSeed)
  , mSlowStart(aSettings.mHost)
  , mConnections(aLoop, TargetConnectionSettings(), kDefaultKeepAlive)
  , mCrashGuard(aSettings.mHost)
  , mLostTargets(
      aLoop,
      mConnections,
      aView.mDirectory,
      [this](const discovered_target& aTarget,
             std::function<void(bool)> aCallback) {
        CheckLostTarget(aTarget, std::move(aCallback));
      },
      [this](const discovered_target& aTarget,
             const std::vector<content_fingerprint>& aContents,
             time_point aNow) { HandleCrash(aTarget, aContents, aNow); })
  , mRandom(aSeed + 1)
{
}

void forwarder::Accept(exchange_id aExchange, http_request aRequest)
{
  const time_point now = MonotonicNow();
  ++mCounters.mReceived;
  const forward_id id(mNextId++);
  open_request& request = mRequests[id];
  request.mId = id;
  request.mExchange = aExchange;
  request.mRequest = std::move(aRequest);
  request.mTerms = mProtocol.ReadRequest(request.mRequest);
  request.mReceivedAt = now;
  request.mRetryAfter = kMinRetryAfter;
  mRequestsByExchange[aExchange] = id;
  Process(request, now);
}

void forwarder::Process(open_request& aRequest, time_point aNow)
{
  if (!ResolveRoute(aRequest, aNow)) {
    return;
  }
  RetryBudgetOf(aRequest.mService).AddRequest();
  if (aRequest.mKeyed && aRequest.mTerms.mKey) {
    ++mLoad[aRequest.mService]
        .mCounts[key_load::BucketOf(*aRequest.mTerms.mKey)];
    if (!AdmitKey(aRequest, aNow)) {
      return;
    }
  }
  Dispatch(aRequest, aNow);
}

bool forwarder::AdmitKey(open_request& aRequest, time_point aNow)
{
  const uint32_t key = *aRequest.mTerms.mKey;
  std::uniform_real_distribution<double> draw(0, 1);
  if (mAdmission.Admits(aRequest.mService, key, draw(mRandom), aNow)) {
    return true;
  }
  HandleOverloadRefusal(
    aRequest,
    BacklogTimeOfShare(mAdmission.ShareFor(aRequest.mService, key, aNow)),
    aNow);
  Refuse(aRequest,
         refusal_kind::kNotRun,
         "the owner of the key is overloaded",
         aNow);
  return false;
}

std::shared_ptr<const route> forwarder::FindRoute(
  const http_request& aRequest) const
{
  if (mView.mRoutes == nullptr) {
    return nullptr;
  }
  const auto host = FindHeader(aRequest.mHeaders, "host");
  return mView.mRoutes->Find(host.value_or(""), aRequest.mPath);
}

bool forwarder::IsConcurrent(const http_request& aRequest) const
{
  const std::shared_ptr<const route> found = FindRoute(aRequest);
  return found != nullptr && found->mIdempotent;
}

bool forwarder::ResolveRoute(open_request& aRequest, time_point aNow)
{
  if (mRefusesNew) {
    Refuse(aRequest, refusal_kind::kNotRun, "shutting down", aNow);
    return false;
  }
  if (mView.mRoutes == nullptr) {
    Refuse(aRequest, refusal_kind::kNotRun, "no configuration yet", aNow);
    return false;
  }
  aRequest.mRoute = FindRoute(aRequest.mRequest);
  if (aRequest.mRoute == nullptr) {
    HandleUnknownRoute(aRequest, aNow);
    return false;
  }
  const route& matchedRoute = *aRequest.mRoute;
  aRequest.mService = mServiceChoice.Next(matchedRoute);
  const routed_service* service = mView.mRoutes->FindService(aRequest.mService);
  aRequest.mKeyed = service != nullptr && service->mKeyed;

  // If the route's timeout expires first, the router sends a response. If the
  // caller's own time expires first, the caller closes its connection.
  const duration timeout = matchedRoute.mTimeout > duration::zero()
                             ? matchedRoute.mTimeout
                             : kDefaultTimeout;
  const duration left = aRequest.mTerms.mTimeLeft.value_or(timeout);
  aRequest.mDeadline = aRequest.mReceivedAt + std::min(timeout, left);
  aRequest.mResponseDeadline = aRequest.mDeadline + kResponseGrace;
  return true;
}

void forwarder::Dispatch(open_request& aRequest, time_point aNow)
{
  aRequest.mWaitUntil.reset();
  if (!AdmitContent(aRequest, aNow)) {
    return;
  }
  const known_target* target = ChooseTarget(aRequest, aNow);
  if (target == nullptr) {
    if (const auto left = SlowStartLeft(aRequest, aNow)) {
      FinishInSlowStart(aRequest, *left, aNow);
      return;
    }
  }
  if (target != nullptr && aRequest.mKeyed &&
      IsAtConnectionLimit(
        target->mTarget.mName, ConnectionLimit(aRequest.mService), aNow)) {
    WaitForOwnerConnection(aRequest, aNow);
    return;
  }
  if (target != nullptr) {
    Send(aRequest, *target, aNow);
    return;
  }
  if (const char* reason = UnservableReason(aRequest)) {
    FinishWithFailure(aRequest, reason, aNow);
    return;
  }
  if (aRequest.mKeyed) {
    WaitForOwner(aRequest, "no owner of the key", aNow);
    return;
  }
  FinishWithFailure(aRequest, "no target in service", aNow);
}

bool forwarder::AdmitContent(open_request& aRequest, time_point aNow)
{
  if (aRequest.mTrial) {
    return true;
  }
  const crash_assessment assessment =
    mCrashGuard.Assess(aRequest.mRequest, aNow);
  if (assessment.mDecision == crash_decision::kAdmit) {
    return true;
  }
  aRequest.mSentAlone = true;
  const bool isRefused = assessment.mDecision == crash_decision::kRefuse;
  log_line(log_severity::kInfo, "content_assessed")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("content", FormatFingerprint(assessment.mContent))
    .Add("refused", isRefused)
    .Add("trial", assessment.mDecision == crash_decision::kTrial)
    .Add("crashes", uint64_t{ assessment.mCrashes })
    .Add("age_us", int64_t{ assessment.mAge.count() });
  if (isRefused) {
    aRequest.mRetryAfter = assessment.mRetryAfter;
    FinishWithFailure(aRequest, "the content crashed targets", aNow);
    return false;
  }
  if (aRequest.mMayHaveRun) {
    FinishWithFailure(aRequest, "the content may crash targets", aNow);
    return false;
  }
  if (assessment.mDecision == crash_decision::kTrial) {
    aRequest.mTrial = assessment.mContent;
  }
  return true;
}

void forwarder::Deliver(open_request& aRequest,
                        http_response aAnswer,
                        time_point aNow)
{
  const duration elapsed = aNow - aRequest.mReceivedAt;
  mStatistics.Count(
    aRequest.mService, request_outcome::kResponded, elapsed, "");
  mLatency.Add(elapsed);
  aAnswer.mHeaders = EndToEndHeaders(aAnswer.mHeaders);
  mServer.Respond(aRequest.mExchange, aAnswer);
  Finish(aRequest, aNow);
}

void forwarder::Refuse(open_request& aRequest,
                       refusal_kind aKind,
                       const std::string& aReason,
                       time_point aNow)
{
  const request_outcome outcome = OutcomeOf(aKind);
  const duration elapsed = aNow - aRequest.mReceivedAt;
  mStatistics.Count(aRequest.mService, outcome, elapsed, aReason);
  LogRefusal(aRequest, outcome, aReason, elapsed);
  refusal why{ aKind, aReason, {} };
  if (aKind == refusal_kind::kNotRun) {
    if (aRequest.mRejected) {
      HandleOverloadRefusal(aRequest, duration::zero(), aNow);
    }
    why.mRetryAfter = aRequest.mRetryAfter;
  }
  mServer.Respond(aRequest.mExchange,
                  mProtocol.RefusalResponse(why, aRequest.mTerms.mRequestId));
  Finish(aRequest, aNow);
}

void forwarder::LogRefusal(const open_request& aRequest,
                           request_outcome aOutcome,
                           const std::string& aReason,
                           duration aElapsed) const
{
  log_line line(log_severity::kInfo, "request_refused");
  line.Add("request", aRequest.mTerms.mRequestId)
    .Add("outcome", RequestOutcomeName(aOutcome))
    .Add("reason", aReason)
    .Add("service", aRequest.mService.Value())
    .Add("version",
         mView.mRoutes == nullptr ? uint64_t{ 0 }
                                  : mView.mRoutes->Configuration().mVersion)
    .Add("tries", uint64_t{ aRequest.mAttemptCount })
    .Add("held_us", int64_t{ aElapsed.count() });
  if (aOutcome == request_outcome::kUnknownRoute) {
    line
      .Add("host", FindHeader(aRequest.mRequest.mHeaders, "host").value_or(""))
      .Add("path", aRequest.mRequest.mPath);
  }
  if (aRequest.mTerms.mKey) {
    line.Add("key", uint64_t{ *aRequest.mTerms.mKey });
  }
  if (!aRequest.mAttemptedTargets.empty()) {
    line.Add("target", aRequest.mAttemptedTargets.back().Value());
  }
}

void forwarder::Finish(open_request& aRequest, time_point aNow)
{
  for (const auto& [call, attempt] : aRequest.mOpenAttempts) {
    mBalancer.HandleOutcome(
      attempt.mTarget, attempt.mSend, attempt_outcome::kCancelled, 0, aNow);
    mConnections.Cancel(call);
  }
  mRequestsByExchange.erase(aRequest.mExchange);
  mWithoutRoute.erase(aRequest.mId);
  mRequestTimers.erase({ aRequest.mTimerExpiry, aRequest.mId });
  mRequests.erase(aRequest.mId);
}

void forwarder::HandleCallerGone(exchange_id aExchange)
{
  const auto found = mRequestsByExchange.find(aExchange);
  if (found == mRequestsByExchange.end()) {
    return;
  }
  open_request& request = mRequests.at(found->second);
  const time_point now = MonotonicNow();
  const duration elapsed = now - request.mReceivedAt;
  mStatistics.Count(
    request.mService, request_outcome::kCallerGone, elapsed, "");
  log_line(log_severity::kInfo, "caller_gone")
    .Add("request", request.mTerms.mRequestId)
    .Add("tries", uint64_t{ request.mAttemptCount })
    .Add("held_us", int64_t{ elapsed.count() });
  // A request that is not idempotent is not cancelled once it was sent; its
  // response is discarded.
  if (!request.mOpenAttempts.empty() && !request.mRoute->mIdempotent) {
    request.mCallerGone = true;
    mRequestsByExchange.erase(found);
    return;
  }
  Finish(request, now);
}

void forwarder::SetRetryBudget(const shared_budget_settings& aSettings)
{
  if (mSettings.mRetryBudget != aSettings) {
    mSettings.mRetryBudget = aSettings;
    mRetryBudgets.clear();
  }
}

void forwarder::RefuseNewRequests()
{
  mRefusesNew = true;
}

void forwarder::RefuseWaitingRequests(time_point aNow)
{
  std::vector<forward_id> waiting;
  for (const auto& [id, request] : mRequests) {
    if (request.mOpenAttempts.empty()) {
      waiting.push_back(id);
    }
  }
  for (const forward_id id : waiting) {
    FinishWithFailure(mRequests.at(id), "shutting down", aNow);
  }
  // The end of the process would also lose the responses behind them.
  for (const exchange_id exchange : mServer.BlockingRequests()) {
    const auto found = mRequestsByExchange.find(exchange);
    if (found != mRequestsByExchange.end()) {
      FinishWithFailure(mRequests.at(found->second), "shutting down", aNow);
    }
  }
}

bool forwarder::FitsIntoShutdown(const open_request& aRequest,
                                 time_point aNow) const
{
  if (aRequest.mResponseDeadline <= mShutdownEnd) {
    return true;
  }
  const duration mean = mBalancer.MeanLatency(aRequest.mService);
  const duration expected = mean > duration::zero()
                              ? kShutdownLatencyFactor * mean
                              : aRequest.mRoute->mLatencyTarget;
  return expected <= mShutdownEnd - aNow;
}

load_report forwarder::TakeLoadReport()
{
  return std::exchange(mLoad, {});
}

shared_retry_budget& forwarder::RetryBudgetOf(const service_name& aService)
{
  return mRetryBudgets
    .try_emplace(aService, shared_retry_budget(mSettings.mRetryBudget))
    .first->second;
}

} // namespace parsleystair
