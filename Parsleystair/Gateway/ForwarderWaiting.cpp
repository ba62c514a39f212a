#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/Forwarder.h"

#include <algorithm>

// Requests that wait for an owner of their key, deadlines, and periodic work.

namespace parsleystair {

namespace {

/// Longest wait for an owner of a key, as part of the latency target. Callers
/// are better served by a refusal that tells them when to come back.
constexpr int kParkDivisor = 4;
/// Wait before the owner's connections are looked at again.
constexpr duration kConnectionWait = 25ms;

} // namespace

void forwarder::Park(open_request& aRequest,
                     const std::string& aReason,
                     time_point aNow)
{
  if (aNow >= ParkLimit(aRequest)) {
    FinishFailed(aRequest, aReason, aNow);
    return;
  }
  const owned_range* range = FindOwnedRange(aRequest);
  log_line(log_severity::kInfo, "request_waits")
    .Add("request", aRequest.mTerms.mRequestId)
    .Add("reason", aReason)
    .Add("service", aRequest.mService.Value())
    .Add("key", uint64_t{ aRequest.mTerms.mKey.value_or(0) })
    .Add("owner", range == nullptr ? "" : range->mOwner.mName.Value())
    .Add("longest_us", int64_t{ (ParkLimit(aRequest) - aNow).count() });
  ParkUntil(aRequest, ParkLimit(aRequest), aNow);
}

void forwarder::ParkForConnection(open_request& aRequest, time_point aNow)
{
  if (aNow >= ParkLimit(aRequest)) {
    FinishFailed(aRequest, "the owner's connections are in use", aNow);
    return;
  }
  ParkUntil(aRequest, aNow + kConnectionWait, aNow);
}

time_point forwarder::ParkLimit(const open_request& aRequest)
{
  return aRequest.mArrived + aRequest.mRoute->mLatencyTarget / kParkDivisor;
}

void forwarder::ParkUntil(open_request& aRequest,
                          time_point aUntil,
                          time_point aNow)
{
  aRequest.mParkedUntil = aUntil;
  SetWake(aRequest, aNow);
}

void forwarder::HandleViewChanged()
{
  const time_point now = MonotonicNow();
  std::vector<forward_id> parked;
  for (const auto& [id, request] : mRequests) {
    if (!request.mParkedUntil) {
      continue;
    }
    const owned_range* range = FindOwnedRange(request);
    if (range != nullptr && range->mFence != request.mRefusedFence) {
      parked.push_back(id);
    }
  }
  for (const forward_id id : parked) {
    Dispatch(mRequests.at(id), now);
  }
}

void forwarder::SetWake(open_request& aRequest, time_point aNow)
{
  time_point wake = aRequest.mAnswerBy;
  if (aRequest.mParkedUntil) {
    wake = std::min(wake, *aRequest.mParkedUntil);
  }
  const bool mayHedge = aRequest.mRoute->mIdempotent && !aRequest.mHedged &&
                        !aRequest.mKeyed && !aRequest.mTries.empty();
  if (mayHedge) {
    const time_point hedge =
      aRequest.mTries.begin()->second.mSentAt + HedgeDelay(aRequest);
    wake = std::min(wake, std::max(hedge, aNow));
  }
  mWakes.erase({ aRequest.mWake, aRequest.mId });
  aRequest.mWake = wake;
  mWakes.insert({ wake, aRequest.mId });
  ScheduleTimer(aNow);
}

void forwarder::ScheduleTimer(time_point aNow)
{
  if (mWakes.empty()) {
    return;
  }
  // A timer that fires too early for its request costs less than moving it for
  // each request.
  const time_point next = mWakes.begin()->first;
  if (next >= mTimerAt) {
    return;
  }
  mTimerAt = next;
  mTimer.StartOnce(
    mLoop, std::max(next - aNow, duration::zero()), [this] { HandleTimer(); });
}

void forwarder::HandleTimer()
{
  const time_point now = MonotonicNow();
  mTimerAt = time_point::max();
  while (!mWakes.empty() && mWakes.begin()->first <= now) {
    const forward_id id = mWakes.begin()->second;
    mWakes.erase(mWakes.begin());
    Wake(mRequests.at(id), now);
  }
  ScheduleTimer(now);
}

void forwarder::Wake(open_request& aRequest, time_point aNow)
{
  if (aNow >= aRequest.mAnswerBy) {
    FinishFailed(aRequest, "the time is over", aNow);
    return;
  }
  if (aRequest.mParkedUntil && aNow >= *aRequest.mParkedUntil) {
    Dispatch(aRequest, aNow);
    return;
  }
  MayHedge(aRequest, aNow);
}

void forwarder::Tick(time_point aNow)
{
  mSums.WriteDue(aNow);
  mConnections.Sweep(mView.mDirectory, aNow);
  mBalancer.Retain(mView.mDirectory);
  for (const target_name& target : mBalancer.TakeProbes(aNow)) {
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
    mBalancer.HandleProbe(aTarget, false, aNow);
    return;
  }
  constexpr duration kProbeTimeout = 500ms;
  mConnections.Call(
    known->mTarget,
    mProtocol.HealthCheck(service->mHealthPath),
    kProbeTimeout,
    aNow,
    [this, aTarget](const http_result& aResult) {
      const bool healthy = aResult.mStatus == http_status::kAnswered &&
                           mProtocol.IsHealthy(aResult.mAnswer, aTarget);
      log_line(log_severity::kInfo, "target_probed")
        .Add("target", aTarget.Value())
        .Add("healthy", healthy);
      mBalancer.HandleProbe(aTarget, healthy, MonotonicNow());
    },
    nullptr);
}

} // namespace parsleystair
