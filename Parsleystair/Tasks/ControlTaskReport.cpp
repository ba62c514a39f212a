#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Tasks/ControlTask.h"

// What operators see of a router's state.

namespace parsleystair {

namespace {

const char* StateName(member_state aState)
{
  switch (aState) {
    case member_state::kLive:
      return "live";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kLost:
      return "lost";
    case member_state::kLeaving:
      return "leaving";
  }
  return "unknown";
}

} // namespace

router_report control_task::MakeReport() const
{
  const time_point now = MonotonicNow();
  router_report report;
  report.mVm = mState.mSelf;
  report.mFailureDomain = mState.mSettings.mFailureDomain;
  report.mRegion = mState.Region();
  report.mConfiguration = mState.mConfiguration.Current();
  report.mIsDraining = mState.mIsDraining;
  report.mIsReady = report.mConfiguration != nullptr && !mState.mIsDraining;
  report.mUptime = now - mState.mStartedAt;
  report.mInForceFor = now - mState.mConfiguration.Since();
  report.mRefusedConfigurations = mState.mConfiguration.Refused();
  report.mOwnership = mState.mOwnership.Dump(now);
  report.mStore = mStore.Counters();
  for (const worker_report& worker : mReports) {
    report.mWorkers.Add(worker.mCounters);
    report.mOpenRequests += worker.mOpenRequests;
  }
  for (const member& known : mState.mMembership.Members(now)) {
    report.mMembers.push_back({ known.mVm,
                                StateName(known.mState),
                                known.mFailureDomain,
                                known.mConfiguration,
                                known.mInForce,
                                known.mAge.value_or(duration::max()) });
  }
  report.mRecords = { mRecords.Counts().mRecords,
                      mRecords.Counts().mBytes,
                      mRecords.OpenAttempts() };
  report.mCrashes = mState.mCrashes.Notices(now);
  report.mNow = now;
  return report;
}

} // namespace parsleystair
