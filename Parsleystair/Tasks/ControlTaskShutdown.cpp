#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Tasks/ControlTask.h"

#include <algorithm>

// The graceful shutdown of a router.

namespace parsleystair {

namespace {

/// Time for the platform's balancer to see that this router is not ready.
constexpr duration kBalancerNotice = 1s;

} // namespace

void control_task::Shutdown()
{
  if (mShutdownSince) {
    return;
  }
  log_line(log_severity::kInfo, "shutdown_started")
    .Add("vm", mState.mSelf.mName.Value());
  mShutdownSince = MonotonicNow();
  mState.mIsDraining = true;
  mState.mMembership.SetLeaving();
}

bool control_task::AreWorkersDrained() const
{
  return std::all_of(
    mReports.begin(), mReports.end(), [](const worker_report& aReport) {
      return aReport.mDrained;
    });
}

bool control_task::IsHandedOver(time_point aNow) const
{
  // A group's three holders are different routers, so without three others
  // there is nobody who could take this router's place.
  constexpr size_t kHolders = 3;
  const router_view view = mState.Routers(aNow);
  const auto staying =
    std::count_if(view.mLiveRouters.begin(),
                  view.mLiveRouters.end(),
                  [](const live_router& aRouter) { return !aRouter.mLeaving; });
  return static_cast<size_t>(staying) < kHolders || mState.HeldGroups() == 0;
}

void control_task::ContinueShutdown(time_point aNow)
{
  const duration elapsed = aNow - *mShutdownSince;
  const duration limit = mState.mSettings.mShutdownLimit;
  if (!mDrainOrdered && elapsed >= std::min(kBalancerNotice, limit / 2)) {
    mDrainOrdered = true;
    SendToWorkers(drain_order{});
    OrderReports();
  }
  const bool isComplete = AreWorkersDrained() && IsHandedOver(aNow);
  if (isComplete || elapsed >= limit) {
    log_line(log_severity::kInfo, "shutdown_ended")
      .Add("vm", mState.mSelf.mName.Value())
      .Add("complete", isComplete)
      .Add("held_groups", uint64_t{ mState.HeldGroups() })
      .Add("elapsed_ms", elapsed / std::chrono::milliseconds(1));
    mLoop.Stop();
  }
}

} // namespace parsleystair
