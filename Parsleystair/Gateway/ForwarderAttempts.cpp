#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/Forwarder.h"

#include <algorithm>

// Attempts at targets, their results, and retries. A request that is not
// idempotent is retried only if it certainly has not run.

namespace parsleystair {

namespace {

constexpr uint32_t kFirstServerErrorStatus = 500;
/// Limit on failed connections of one request. Nothing was sent over them, so
/// they do not count as attempts.
constexpr uint32_t kMaxConnectFailures = 3;
/// A retry is made only if at least this part of the mean latency remains.
constexpr int kMinRetryTimeDivisor = 2;
/// Share of the latency target, and multiple of the mean latency, after which
/// an idempotent request is also sent to a second target.
constexpr double kHedgeLatencyTargetShare = 0.5;
constexpr int kHedgeMeanLatencyFactor = 2;
/// Delay before a retry at a key's owner that does not hold the key. If another
/// owner is recorded meanwhile, the request is sent to it at once.
constexpr duration kOwnerRetryDelay = 80ms;
/// Delay before a retry at an owner without capacity: the time in which a place
/// in its queue becomes free.
constexpr duration kFullOwnerRetryDelay = 100ms;
/// Limit on attempts at owners of a key that did not run the request.
constexpr uint32_t kMaxOwnerAttempts = 3;
/// Limit on attempts of one request whose connections targets ended. If they
/// crashed, other routers learn of the content only after its last attempt.
constexpr uint32_t kMaxLostAttempts = kCrashesToRefuse;

/// Statuses by which callers understand that a request has not run.
bool MeansNotRun(uint32_t aStatus)
{
  constexpr uint32_t kRequestTimeout = 408;
  constexpr uint32_t kMisdirected = 421;
  constexpr uint32_t kTooManyRequests = 429;
  constexpr uint32_t kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

bool IsSuccess(uint32_t aStatus)
{
  constexpr uint32_t kOk = 200;
  constexpr uint32_t kMultipleChoices = 300;
  return aStatus >= kOk && aStatus < kMultipleChoices;
}

const char* FailureText(const http_result& aResult)
{
  switch (aResult.mFailure) {
    case http_failure::kNone:
      return "answered";
    case http_failure::kConnect:
      return "not connected";
    case http_failure::kAborted:
      return "timed out";
    case http_failure::kClosed:
      return "connection lost before the answer";
    case http_failure::kCut:
      return "answer cut short";
    case http_failure::kMalformed:
      return "malformed answer";
    case http_failure::kTooLong:
      return "answer too long";
  }
  return "unknown";
}

} // namespace

void forwarder::Send(open_request& aRequest,
                     const known_target& aTarget,
                     time_point aNow)
{
  const duration left = aRequest.mDeadline - aNow;
  if (left <= duration::zero() || aRequest.mCallerGone) {
    FinishWithFailure(aRequest, "the time is over", aNow);
    return;
  }
  if (!FitsIntoShutdown(aRequest, aNow)) {
    FinishWithFailure(aRequest, "shutting down", aNow);
    return;
  }
  if (aTarget.IsLimited(aNow)) {
    if (!mSlowStart.TryTake(aTarget, SlowStartRate(aRequest.mService), aNow)) {
      FinishInSlowStart(aRequest, aTarget.mLimitedUntil - aNow, aNow);
      return;
    }
    ++mCounters.mSlowStartSent;
  }
  ++mCounters.mAttempts;
  ++aRequest.mAttemptCount;
  const discovered_target& target = aTarget.mTarget;
  const std::string& requestId = aRequest.mTerms.mRequestId;
  // On a connection that carried an earlier attempt of the request, a copy of
  // the response to that attempt would bear the right id.
  const auto& attempted = aRequest.mAttemptedTargets;
  const bool isRepeat =
    std::find(attempted.begin(), attempted.end(), target.mName) !=
    attempted.end();
  const connection_choice choice = isRepeat || requestId.empty()
                                     ? connection_choice::kNew
                                     : connection_choice::kAny;
  aRequest.mAttemptedTargets.push_back(target.mName);
  const forward_id id = aRequest.mId;
  const auto expected = std::make_shared<call_id>();
  const call_id call = mConnections.Call(
    target,
    mProtocol.ForwardedRequest(aRequest.mRequest, target.mName, left),
    left + (aRequest.mResponseDeadline - aRequest.mDeadline),
    aNow,
    [this, id, expected](http_result aResult) {
      HandleResult(id, *expected, std::move(aResult));
    },
    [this, requestId, name = target.mName](const http_response& aAnswer,
                                           bool aIsFirst) {
      const response_metadata terms = mProtocol.ReadResponse(aAnswer, name);
      return terms.mRequestId.empty() ? aIsFirst
                                      : terms.mRequestId == requestId;
    },
    { choice });
  *expected = call;
  const attempt_id send =
    mBalancer.HandleSent(target.mName, aRequest.mService, aNow);
  aRequest.mOpenAttempts[call] = {
    target.mName, send, aNow, target.mHost, target.mPort, target.mStartedMs
  };
  SetRequestTimer(aRequest, aNow);
}

void forwarder::HandleResult(forward_id aId, call_id aCall, http_result aResult)
{
  const time_point now = MonotonicNow();
  open_request& request = mRequests.at(aId);
  const open_attempt attempt = request.mOpenAttempts.at(aCall);
  request.mOpenAttempts.erase(aCall);
  HandleConnectionResult(attempt.mTarget, aResult, now);
  if (aResult.mStatus == http_status::kResponded) {
    HandleResponse(request, attempt, std::move(aResult.mResponse), now);
    return;
  }
  log_line(log_severity::kInfo, "try_failed")
    .Add("request", request.mTerms.mRequestId)
    .Add("target", attempt.mTarget.Value())
    .Add("failure", FailureText(aResult))
    .Add("reused", aResult.mReused)
    .Add("after_us", int64_t{ (now - attempt.mSentAt).count() });
  if (aResult.mStatus == http_status::kNotSent) {
    ++mCounters.mAttemptsNotConnected;
    mBalancer.HandleOutcome(
      attempt.mTarget, attempt.mSend, attempt_outcome::kNotConnected, 0, now);
    HandleNotConnected(request, now);
    return;
  }
  HandleNoResponse(request, attempt, aResult, now);
}

void forwarder::HandleResponse(open_request& aRequest,
                               const open_attempt& aAttempt,
                               http_response aAnswer,
                               time_point aNow)
{
  const response_metadata terms =
    mProtocol.ReadResponse(aAnswer, aAttempt.mTarget);
  if (terms.mKeepAlive) {
    mConnections.SetKeepAlive(aAttempt.mTarget, *terms.mKeepAlive);
  }
  mLostTargets.HandleResponse(
    aAttempt.mTarget, aAttempt.mStartedMs, aAttempt.mSentAt);
  if (mProtocol.IsLeaving(aAnswer, aAttempt.mTarget)) {
    mTargetObserver.HandleLeavingTarget(aAttempt.mTarget, aAttempt.mStartedMs);
  }
  if (terms.mNotRun) {
    HandleNotRun(aRequest, aAttempt, terms, aNow);
    return;
  }
  const bool usable = !terms.mEncoded &&
                      (terms.mSigned || !IsSuccess(aAnswer.mStatus)) &&
                      !MeansNotRun(aAnswer.mStatus);
  if (!usable) {
    http_result unusable;
    unusable.mFailure = http_failure::kMalformed;
    HandleNoResponse(aRequest, aAttempt, unusable, aNow);
    return;
  }
  mCrashGuard.HandleAnswered(aRequest.mRequest);
  mOverloads.AddResponse(aRequest.mService,
                         aRequest.mKeyed ? aAttempt.mTarget : target_name(),
                         aNow);
  const bool failed = aAnswer.mStatus >= kFirstServerErrorStatus;
  mBalancer.HandleOutcome(aAttempt.mTarget,
                          aAttempt.mSend,
                          failed ? attempt_outcome::kFailedResponse
                                 : attempt_outcome::kResponded,
                          aAnswer.mBody.size(),
                          aNow);
  if (aRequest.mKeyed && !failed) {
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - aAttempt.mSentAt);
    mLoad[aRequest.mService].mLatencies[aAttempt.mTarget].push_back(
      static_cast<uint32_t>(latency.count()));
  }
  if (!failed || !aRequest.mRoute->mIdempotent) {
    Deliver(aRequest, std::move(aAnswer), aNow);
    return;
  }
  ++mCounters.mAttemptsFailed;
  aRequest.mMayHaveRun = true;
  aRequest.mFailedResponse = std::move(aAnswer);
  RetryOrFinish(aRequest, "the target failed", aNow);
}

void forwarder::HandleNotRun(open_request& aRequest,
                             const open_attempt& aAttempt,
                             const response_metadata& aTerms,
                             time_point aNow)
{
  ++mCounters.mAttemptsNotRun;
  log_line(log_severity::kInfo, "try_not_run")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("target", aAttempt.mTarget.Value())
    .Add("wrong_target", aTerms.mWrongTarget)
    .Add("after_us", int64_t{ (aNow - aAttempt.mSentAt).count() });
  if (aTerms.mWrongTarget) {
    mTargetObserver.HandleReplacedTarget(
      aAttempt.mTarget, aAttempt.mHost, aAttempt.mPort, aNow);
  }
  if (!aTerms.mMisdirected && !aTerms.mWrongTarget) {
    aRequest.mRejected = true;
  }
  if (!aRequest.mKeyed) {
    mBalancer.HandleOutcome(aAttempt.mTarget,
                            aAttempt.mSend,
                            aTerms.mWrongTarget ? attempt_outcome::kNotConnected
                                                : attempt_outcome::kNotRun,
                            0,
                            aNow);
    RetryOrFinish(aRequest, "the target has no room", aNow);
    return;
  }
  mBalancer.HandleOutcome(
    aAttempt.mTarget, aAttempt.mSend, attempt_outcome::kCancelled, 0, aNow);
  if (!aRequest.mOpenAttempts.empty()) {
    return;
  }
  // Another owner may be recorded already; otherwise its grant may still be on
  // the way.
  const known_target* owner = FindOwner(aRequest);
  const bool hasNewOwner =
    owner != nullptr && owner->mTarget.mName != aAttempt.mTarget;
  const time_point latest =
    aRequest.mReceivedAt + aRequest.mRoute->mLatencyTarget;
  const bool mayRetry =
    aRequest.mAttemptCount < kMaxOwnerAttempts && aNow < latest;
  if (!mayRetry || !TakeRetry(aRequest)) {
    FinishWithFailure(aRequest,
                      aTerms.mMisdirected ? "the owner does not hold the key"
                                          : "the owner has no room",
                      aNow);
    return;
  }
  if (hasNewOwner) {
    Send(aRequest, *owner, aNow);
    return;
  }
  const owned_range* range = FindOwnedRange(aRequest);
  aRequest.mRefusedFence = range == nullptr ? fence() : range->mFence;
  const duration wait =
    aTerms.mMisdirected ? kOwnerRetryDelay : kFullOwnerRetryDelay;
  WaitUntil(aRequest, aNow + wait, aNow);
}

void forwarder::HandleNotConnected(open_request& aRequest, time_point aNow)
{
  --aRequest.mAttemptCount;
  if (!aRequest.mOpenAttempts.empty()) {
    return;
  }
  ++aRequest.mConnectFailures;
  if (aRequest.mConnectFailures >= kMaxConnectFailures) {
    FinishWithFailure(aRequest, "no target could be reached", aNow);
    return;
  }
  const known_target* owner = aRequest.mKeyed ? FindOwner(aRequest) : nullptr;
  const bool canWait =
    owner != nullptr && IsAtConnectionLimit(owner->mTarget.mName,
                                            ConnectionLimit(aRequest.mService),
                                            aNow);
  if (aRequest.mKeyed && !canWait) {
    FinishWithFailure(aRequest, "the owner of the key can't be reached", aNow);
    return;
  }
  Dispatch(aRequest, aNow);
}

void forwarder::HandleNoResponse(open_request& aRequest,
                                 const open_attempt& aAttempt,
                                 const http_result& aResult,
                                 time_point aNow)
{
  ++mCounters.mAttemptsWithoutResponse;
  aRequest.mMayHaveRun = true;
  mBalancer.HandleOutcome(
    aAttempt.mTarget, aAttempt.mSend, attempt_outcome::kNoResponse, 0, aNow);
  const bool isLost = aResult.mFailure == http_failure::kClosed ||
                      aResult.mFailure == http_failure::kCut;
  if (isLost) {
    HandleLostConnection(aRequest, aAttempt, aNow);
  }
  if (!aRequest.mRoute->mIdempotent) {
    FinishWithFailure(aRequest, FailureText(aResult), aNow);
    return;
  }
  RetryOrFinish(aRequest, FailureText(aResult), aNow);
}

void forwarder::HandleLostConnection(open_request& aRequest,
                                     const open_attempt& aAttempt,
                                     time_point aNow)
{
  ++aRequest.mLostAttempts;
  discovered_target target;
  target.mName = aAttempt.mTarget;
  target.mService = aRequest.mService;
  target.mHost = aAttempt.mHost;
  target.mPort = aAttempt.mPort;
  target.mStartedMs = aAttempt.mStartedMs;
  mLostTargets.HandleLostConnection(
    target, ContentFingerprintOf(aRequest.mRequest), aNow);
}

void forwarder::HandleCrash(const discovered_target& aTarget,
                            const std::vector<content_fingerprint>& aContents,
                            time_point aNow)
{
  const known_target* known = mView.mDirectory.Find(aTarget.mName);
  const bool isRestarted =
    known != nullptr && known->mTarget.mStartedMs != aTarget.mStartedMs;
  if (!isRestarted) {
    mBalancer.HandleCrash(aTarget.mName, aNow);
  }
  const incarnation_hash hash =
    IncarnationHashOf(aTarget.mName, aTarget.mStartedMs);
  for (const content_fingerprint& content : aContents) {
    mCrashGuard.HandleCrash(content, hash, aNow);
  }
}

bool forwarder::MayRetryContent(const open_request& aRequest)
{
  return !(aRequest.mSentAlone && aRequest.mMayHaveRun) &&
         aRequest.mLostAttempts < kMaxLostAttempts;
}

bool forwarder::TakeRetry(open_request& aRequest)
{
  if (RetryBudgetOf(aRequest.mService).TryTake()) {
    ++mCounters.mRetries;
    return true;
  }
  ++mCounters.mRetriesOverBudget;
  log_line(log_severity::kInfo, "repeat_refused")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("reason", "the budget of repeats is used up")
    .Add("service", aRequest.mService.Value())
    .Add("tries", uint64_t{ aRequest.mAttemptCount });
  return false;
}

void forwarder::RetryOrFinish(open_request& aRequest,
                              const std::string& aReason,
                              time_point aNow)
{
  // Another attempt is still open.
  if (!aRequest.mOpenAttempts.empty()) {
    return;
  }
  const duration minRetryTime =
    mBalancer.MeanLatency(aRequest.mService) / kMinRetryTimeDivisor;
  const bool mayRetry =
    aRequest.mAttemptCount < aRequest.mRoute->mMaxAttempts &&
    aNow + minRetryTime < aRequest.mDeadline && MayRetryContent(aRequest);
  if (!mayRetry || !TakeRetry(aRequest)) {
    FinishWithFailure(aRequest, aReason, aNow);
    return;
  }
  log_line(log_severity::kInfo, "request_repeated")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("reason", aReason)
    .Add("tries", uint64_t{ aRequest.mAttemptCount });
  Dispatch(aRequest, aNow);
}

void forwarder::FinishWithFailure(open_request& aRequest,
                                  const std::string& aReason,
                                  time_point aNow)
{
  if (aRequest.mFailedResponse) {
    Deliver(aRequest, std::move(*aRequest.mFailedResponse), aNow);
    return;
  }
  // Attempts whose connections are not accepted yet are cancelled with the
  // request, before anything is sent.
  const bool mayHaveRun =
    aRequest.mMayHaveRun ||
    std::any_of(aRequest.mOpenAttempts.begin(),
                aRequest.mOpenAttempts.end(),
                [this](const auto& aAttempt) {
                  return mConnections.HasSent(aAttempt.first);
                });
  if (!mayHaveRun) {
    if (aRequest.mTrial) {
      mCrashGuard.HandleTrialNotRun(*aRequest.mTrial);
    }
    Refuse(aRequest, refusal_kind::kNotRun, aReason, aNow);
    return;
  }
  const bool deadlineExceeded = aNow >= aRequest.mDeadline;
  Refuse(aRequest,
         deadlineExceeded ? refusal_kind::kDeadlineExceeded
                          : refusal_kind::kNoResponse,
         aReason,
         aNow);
}

duration forwarder::HedgeDelay(const open_request& aRequest) const
{
  const auto latencyTargetShare = std::chrono::duration_cast<duration>(
    aRequest.mRoute->mLatencyTarget * kHedgeLatencyTargetShare);
  return std::max(latencyTargetShare,
                  kHedgeMeanLatencyFactor *
                    mBalancer.MeanLatency(aRequest.mService));
}

void forwarder::HedgeIfAllowed(open_request& aRequest, time_point aNow)
{
  aRequest.mHedgeConsidered = true;
  SetRequestTimer(aRequest, aNow);
  const bool mayRetry =
    aRequest.mOpenAttempts.size() == 1 &&
    aRequest.mAttemptCount < aRequest.mRoute->mMaxAttempts &&
    FitsIntoShutdown(aRequest, aNow) && !aRequest.mSentAlone &&
    MayRetryContent(aRequest);
  if (!mayRetry) {
    return;
  }
  const known_target* target = ChooseTarget(aRequest, aNow);
  const target_name first = aRequest.mOpenAttempts.begin()->second.mTarget;
  if (target == nullptr || target->mTarget.mName == first ||
      !TakeRetry(aRequest)) {
    return;
  }
  ++mCounters.mHedges;
  log_line(log_severity::kInfo, "request_hedged")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("first", first.Value())
    .Add("second", target->mTarget.mName.Value())
    .Add("after_us", int64_t{ (aNow - aRequest.mReceivedAt).count() });
  Send(aRequest, *target, aNow);
}

} // namespace parsleystair
