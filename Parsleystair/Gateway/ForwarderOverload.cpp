#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/Forwarder.h"

#include <algorithm>

// Requests that are refused because a service, or the owner of a key, has no
// capacity for them.

namespace parsleystair {

void forwarder::HandleOverloadRefusal(open_request& aRequest,
                                      duration aBacklogTime,
                                      time_point aNow)
{
  ++mCounters.mOverloadRefusals;
  aRequest.mRejected = false;
  const target_name owner = OwnerOf(aRequest);
  mOverloads.AddRefusal(aRequest.mService, owner, aNow);
  const duration backlogTime = std::max(
    aBacklogTime, mOverloads.BacklogTime(aRequest.mService, owner, aNow));
  std::uniform_real_distribution<double> draw(0, 1);
  const duration retryAfter =
    DrawRetryAfter(backlogTime, CallerTimeLeft(aRequest, aNow), draw(mRandom));
  aRequest.mRetryAfter = std::max(aRequest.mRetryAfter, retryAfter);
}

target_name forwarder::OwnerOf(const open_request& aRequest) const
{
  const owned_range* range =
    aRequest.mKeyed ? FindOwnedRange(aRequest) : nullptr;
  return range == nullptr ? target_name() : range->mOwner.mName;
}

duration forwarder::CallerTimeLeft(const open_request& aRequest,
                                   time_point aNow)
{
  // A caller that states no time waits at least until the route's timeout.
  const duration fromStart = aRequest.mTerms.mTimeLeft.value_or(
    aRequest.mDeadline - aRequest.mReceivedAt);
  return fromStart - (aNow - aRequest.mReceivedAt);
}

void forwarder::HandleConnectionResult(const target_name& aTarget,
                                       const http_result& aResult,
                                       time_point aNow)
{
  if (aResult.mReused) {
    return;
  }
  if (aResult.mStatus == http_status::kResponded) {
    mBackoff.HandleSuccess(aTarget);
    return;
  }
  const bool isRefused = aResult.mFailure == http_failure::kConnect ||
                         aResult.mFailure == http_failure::kClosed;
  if (isRefused && !mBackoff.IsActive(aTarget, aNow)) {
    log_line(log_severity::kInfo, "connections_held_back")
      .Add("target", aTarget.Value());
  }
  if (isRefused) {
    ++mCounters.mConnectionsRefused;
    mBackoff.HandleFailure(aTarget, aNow);
  }
}

void forwarder::LogOverloadChanges(time_point aNow)
{
  for (const overload_change& change : mOverloads.Update(aNow)) {
    log_line(log_severity::kInfo, "overload_changed")
      .Add("service", change.mSubject.mService.Value())
      .Add("owner", change.mSubject.mOwner.Value())
      .Add("overloaded", change.mOverloaded)
      .Add("backlog_us", int64_t{ change.mBacklogTime.count() });
  }
}

} // namespace parsleystair
