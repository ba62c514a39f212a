#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/Forwarder.h"

#include <algorithm>
#include <limits>
#include <utility>

// Requests that wait for an owner of their key, request timers, and periodic
// work.

namespace parsleystair {

namespace {

/// Divisor of the route's latency target that gives the longest wait for an
/// owner of a key. After that, a refusal that tells the caller when to retry is
/// more useful than a longer wait.
constexpr int kOwnerWaitDivisor = 4;
/// Longest wait for a confirmation of the routes: a call to a slow store, or
/// the rest of a watch at a relay.
constexpr duration kMaxConfirmationWait = 500ms;
/// Time after which a caller may come back if the routes can't be confirmed. A
/// router finds a store that is back within a second.
constexpr duration kRetryAfterConfirmation = 1s;
/// Interval between checks for a free connection to the owner.
constexpr duration kConnectionRetryDelay = 25ms;

} // namespace

void forwarder::HandleUnknownRoute(open_request& aRequest, time_point aNow)
{
  // Routes prove that there is no other one only if they are recent. The
  // request is checked against those that were the newest when it came.
  const time_point confirmedAt = mRouteSource.RoutesConfirmedAt();
  if (confirmedAt != time_point::min() &&
      aRequest.mReceivedAt - confirmedAt <= mSettings.mMaxRoutesAge) {
    Refuse(aRequest, refusal_kind::kUnknownRoute, "unknown route", aNow);
    return;
  }
  const time_point waitEnd =
    aRequest.mReceivedAt +
    std::min(kMaxConfirmationWait,
             aRequest.mTerms.mTimeLeft.value_or(kMaxConfirmationWait));
  if (aNow >= waitEnd || !mRouteSource.ConfirmRoutes(aNow)) {
    aRequest.mRetryAfter = kRetryAfterConfirmation;
    Refuse(aRequest,
           refusal_kind::kNotRun,
           "the routes are not confirmed by the store",
           aNow);
    return;
  }
  mWithoutRoute.insert(aRequest.mId);
  aRequest.mDeadline = waitEnd;
  aRequest.mResponseDeadline = waitEnd;
  SetRequestTimer(aRequest, aNow);
}

void forwarder::HandleRoutesConfirmed()
{
  const time_point now = MonotonicNow();
  for (const forward_id id : std::exchange(mWithoutRoute, {})) {
    const auto found = mRequests.find(id);
    if (found != mRequests.end()) {
      Process(found->second, now);
    }
  }
}

void forwarder::WaitForOwner(open_request& aRequest,
                             const std::string& aReason,
                             time_point aNow)
{
  if (aNow >= OwnerWaitDeadline(aRequest)) {
    FinishWithFailure(aRequest, aReason, aNow);
    return;
  }
  const owned_range* range = FindOwnedRange(aRequest);
  log_line(log_severity::kInfo, "request_waits")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("reason", aReason)
    .Add("service", aRequest.mService.Value())
    .Add("key", uint64_t{ aRequest.mTerms.mKey.value_or(0) })
    .Add("owner", range == nullptr ? "" : range->mOwner.mName.Value())
    .Add("longest_us", int64_t{ (OwnerWaitDeadline(aRequest) - aNow).count() });
  WaitUntil(aRequest, OwnerWaitDeadline(aRequest), aNow);
}

void forwarder::WaitForOwnerConnection(open_request& aRequest, time_point aNow)
{
  if (aNow >= OwnerWaitDeadline(aRequest)) {
    aRequest.mRejected = true;
    FinishWithFailure(aRequest, "the owner's connections are in use", aNow);
    return;
  }
  WaitUntil(aRequest, aNow + kConnectionRetryDelay, aNow);
}

time_point forwarder::OwnerWaitDeadline(const open_request& aRequest)
{
  return aRequest.mReceivedAt +
         aRequest.mRoute->mLatencyTarget / kOwnerWaitDivisor;
}

void forwarder::WaitUntil(open_request& aRequest,
                          time_point aUntil,
                          time_point aNow)
{
  aRequest.mWaitUntil = aUntil;
  SetRequestTimer(aRequest, aNow);
}

void forwarder::HandleViewChanged()
{
  const time_point now = MonotonicNow();
  std::vector<forward_id> waiting;
  for (const auto& [id, request] : mRequests) {
    if (!request.mWaitUntil) {
      continue;
    }
    const owned_range* range = FindOwnedRange(request);
    if (range != nullptr && range->mFence != request.mRefusedFence) {
      waiting.push_back(id);
    }
  }
  for (const forward_id id : waiting) {
    Dispatch(mRequests.at(id), now);
  }
}

void forwarder::SetRequestTimer(open_request& aRequest, time_point aNow)
{
  time_point expiry = aRequest.mResponseDeadline;
  if (aRequest.mWaitUntil) {
    expiry = std::min(expiry, *aRequest.mWaitUntil);
  }
  const bool mayHedge = !aRequest.mOpenAttempts.empty() &&
                        aRequest.mRoute->mIdempotent &&
                        !aRequest.mHedgeConsidered && !aRequest.mKeyed;
  if (mayHedge) {
    const time_point hedge =
      aRequest.mOpenAttempts.begin()->second.mSentAt + HedgeDelay(aRequest);
    expiry = std::min(expiry, std::max(hedge, aNow));
  }
  mRequestTimers.erase({ aRequest.mTimerExpiry, aRequest.mId });
  aRequest.mTimerExpiry = expiry;
  mRequestTimers.insert({ expiry, aRequest.mId });
  ScheduleLoopTimer(aNow);
}

void forwarder::ScheduleLoopTimer(time_point aNow)
{
  if (mRequestTimers.empty()) {
    return;
  }
  // The timer is only moved to an earlier time. Letting it expire before the
  // first request timer costs less than restarting it for each request.
  const time_point next = mRequestTimers.begin()->first;
  if (next >= mLoopTimerExpiry) {
    return;
  }
  mLoopTimerExpiry = next;
  mLoopTimer.StartOnce(mLoop, std::max(next - aNow, duration::zero()), [this] {
    HandleLoopTimer();
  });
}

void forwarder::HandleLoopTimer()
{
  const time_point now = MonotonicNow();
  mLoopTimerExpiry = time_point::max();
  while (!mRequestTimers.empty() && mRequestTimers.begin()->first <= now) {
    const forward_id id = mRequestTimers.begin()->second;
    mRequestTimers.erase(mRequestTimers.begin());
    HandleRequestTimer(mRequests.at(id), now);
  }
  ScheduleLoopTimer(now);
}

void forwarder::HandleRequestTimer(open_request& aRequest, time_point aNow)
{
  if (mWithoutRoute.erase(aRequest.mId) > 0) {
    Process(aRequest, aNow);
    return;
  }
  if (aNow >= aRequest.mResponseDeadline) {
    FinishWithFailure(aRequest, "the time is over", aNow);
    return;
  }
  if (aRequest.mWaitUntil && aNow >= *aRequest.mWaitUntil) {
    Dispatch(aRequest, aNow);
    return;
  }
  HedgeIfAllowed(aRequest, aNow);
}

void forwarder::Tick(time_point aNow)
{
  mStatistics.LogIfDue(aNow);
  LogOverloadChanges(aNow);
  mLostTargets.Tick(aNow);
  mBackoff.Expire(aNow);
  const size_t targets = mView.mDirectory.All().size();
  mConnections.Sweep(
    mView.mDirectory,
    [&](const known_target& aTarget) {
      return MaxIdleConnections(mView.mRoutes == nullptr
                                  ? std::numeric_limits<size_t>::max()
                                  : ConnectionLimit(aTarget.mTarget.mService),
                                targets);
    },
    aNow);
  mBalancer.RemoveUnknownTargets(mView.mDirectory);
  mSlowStart.Expire(aNow);
  for (const target_name& target : mBalancer.TakeDueHealthChecks(aNow)) {
    Probe(target, aNow);
  }
}

void forwarder::Probe(const target_name& aTarget, time_point aNow)
{
  const known_target* known = mView.mDirectory.Find(aTarget);
  const routed_service* service =
    known == nullptr || mView.mRoutes == nullptr
      ? nullptr
      : mView.mRoutes->FindService(known->mTarget.mService);
  if (service == nullptr) {
    mBalancer.HandleHealthCheck(aTarget, false, aNow);
    return;
  }
  constexpr duration kProbeTimeout = 500ms;
  mConnections.Call(
    known->mTarget,
    mProtocol.HealthCheck(service->mHealthPath),
    kProbeTimeout,
    aNow,
    [this, aTarget, startedMs = known->mTarget.mStartedMs](
      const http_result& aResult) {
      if (aResult.mStatus == http_status::kResponded &&
          mProtocol.IsLeaving(aResult.mResponse, aTarget)) {
        mTargetObserver.HandleLeavingTarget(aTarget, startedMs);
      }
      ReportSlowStart(aTarget, startedMs, aResult);
      const bool healthy = aResult.mStatus == http_status::kResponded &&
                           mProtocol.IsHealthy(aResult.mResponse, aTarget);
      log_line(log_severity::kInfo, "target_probed")
        .Add("target", aTarget.Value())
        .Add("healthy", healthy);
      mBalancer.HandleHealthCheck(aTarget, healthy, MonotonicNow());
    },
    nullptr,
    // Responses to health checks bear no id by which a copy of an earlier one
    // could be told apart.
    { connection_choice::kNew });
}

void forwarder::ReportSlowStart(const target_name& aTarget,
                                uint64_t aStartedMs,
                                const http_result& aResult)
{
  // Another target may have responded at the address.
  if (aResult.mStatus != http_status::kResponded ||
      !mProtocol.IsHealthy(aResult.mResponse, aTarget)) {
    return;
  }
  const auto rest =
    mProtocol.ReadResponse(aResult.mResponse, aTarget).mSlowStart;
  if (rest && *rest > duration::zero()) {
    mTargetObserver.HandleSlowStart(aTarget, aStartedMs, *rest);
  }
}

void forwarder::CheckLostTarget(const discovered_target& aTarget,
                                std::function<void(bool)> aCallback)
{
  const routed_service* service =
    mView.mRoutes == nullptr ? nullptr
                             : mView.mRoutes->FindService(aTarget.mService);
  if (service == nullptr) {
    aCallback(true);
    return;
  }
  // A loaded target may let a health check wait for a free slot.
  constexpr duration kCheckTimeout = 1s;
  mConnections.Call(
    aTarget,
    mProtocol.HealthCheck(service->mHealthPath),
    kCheckTimeout,
    MonotonicNow(),
    [this, aTarget, callback = std::move(aCallback)](
      const http_result& aResult) {
      ReportSlowStart(aTarget.mName, aTarget.mStartedMs, aResult);
      // A process that ends a connection of its own accord lives as well.
      const bool isSilent =
        aResult.mFailure == http_failure::kConnect || aResult.mTimedOut;
      callback(!isSilent);
    },
    nullptr,
    { connection_choice::kNew });
}

} // namespace parsleystair
