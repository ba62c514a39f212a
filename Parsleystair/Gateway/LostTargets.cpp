#include "Parsleystair/Gateway/LostTargets.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Delay of a check. All connections of a process that crashes end at the same
/// time, so an idle one that is open after this delay shows that it lives. A
/// crashed target needs longer to start again.
constexpr duration kCheckDelay = 50ms;
/// Time within which the entry of a target shows that it was restarted.
constexpr duration kRestartTime = 10s;
/// Bounds the memory for requests that a target loses at the same time.
constexpr size_t kMaxContents = 64;

} // namespace

lost_targets::lost_targets(event_loop& aLoop,
                           const target_connections& aConnections,
                           const target_directory& aDirectory,
                           health_checker aChecker,
                           crash_handler aHandler)
  : mLoop(aLoop)
  , mConnections(aConnections)
  , mDirectory(aDirectory)
  , mChecker(std::move(aChecker))
  , mHandler(std::move(aHandler))
{
}

void lost_targets::HandleLostConnection(const discovered_target& aTarget,
                                        const content_fingerprint& aContent,
                                        time_point aNow)
{
  const incarnation_hash hash =
    IncarnationHashOf(aTarget.mName, aTarget.mStartedMs);
  const auto [position, isNew] = mLost.try_emplace(hash);
  lost_target& lost = position->second;
  if (isNew || lost.mState == check_state::kResponds) {
    lost.mTarget = aTarget;
    lost.mContents.clear();
    lost.mLostAt = aNow;
    lost.mState = check_state::kDue;
  }
  if (lost.mContents.size() < kMaxContents) {
    lost.mContents.push_back(aContent);
  }
  if (!mTimerRuns) {
    mTimerRuns = true;
    mTimer.StartOnce(mLoop, kCheckDelay, [this] { CheckDue(MonotonicNow()); });
  }
}

void lost_targets::CheckDue(time_point aNow)
{
  mTimerRuns = false;
  std::vector<incarnation_hash> due;
  for (const auto& [hash, lost] : mLost) {
    if (lost.mState != check_state::kDue) {
      continue;
    }
    if (aNow - lost.mLostAt >= kCheckDelay) {
      due.push_back(hash);
    } else if (!mTimerRuns) {
      mTimerRuns = true;
      mTimer.StartOnce(
        mLoop, kCheckDelay, [this] { CheckDue(MonotonicNow()); });
    }
  }
  for (const incarnation_hash& hash : due) {
    Check(hash, aNow);
  }
}

void lost_targets::Check(const incarnation_hash& aIncarnation, time_point aNow)
{
  lost_target& lost = mLost.at(aIncarnation);
  if (IsRestarted(lost.mTarget)) {
    ConfirmCrash(aIncarnation, aNow);
    return;
  }
  if (mConnections.HasOpenConnection(lost.mTarget, aNow)) {
    lost.mState = check_state::kResponds;
    return;
  }
  lost.mState = check_state::kChecking;
  // An accepted connection would prove nothing: another process may hold the
  // listening socket of one that crashed.
  mChecker(lost.mTarget, [this, aIncarnation](bool aResponded) {
    HandleCheck(aIncarnation, aResponded);
  });
}

void lost_targets::HandleCheck(const incarnation_hash& aIncarnation,
                               bool aResponded)
{
  const auto found = mLost.find(aIncarnation);
  if (found == mLost.end() || found->second.mState != check_state::kChecking) {
    return;
  }
  if (aResponded) {
    found->second.mState = check_state::kResponds;
    return;
  }
  ConfirmCrash(aIncarnation, MonotonicNow());
}

void lost_targets::HandleResponse(const target_name& aTarget,
                                  uint64_t aStartedMs,
                                  time_point aSentAt)
{
  if (mLost.empty()) {
    return;
  }
  const auto found = mLost.find(IncarnationHashOf(aTarget, aStartedMs));
  if (found != mLost.end() && aSentAt > found->second.mLostAt) {
    found->second.mState = check_state::kResponds;
  }
}

bool lost_targets::IsRestarted(const discovered_target& aTarget) const
{
  const known_target* known = mDirectory.Find(aTarget.mName);
  return known != nullptr && known->mTarget.mStartedMs != aTarget.mStartedMs;
}

void lost_targets::ConfirmCrash(const incarnation_hash& aIncarnation,
                                time_point aNow)
{
  const lost_target lost = std::move(mLost.at(aIncarnation));
  mLost.erase(aIncarnation);
  log_line(log_severity::kInfo, "target_crashed")
    .Add("target", lost.mTarget.mName.Value())
    .Add("started_ms", lost.mTarget.mStartedMs)
    .Add("requests", uint64_t{ lost.mContents.size() })
    .Add("after_us", int64_t{ (aNow - lost.mLostAt).count() });
  mHandler(lost.mTarget, lost.mContents, aNow);
}

void lost_targets::Tick(time_point aNow)
{
  std::vector<incarnation_hash> restarted;
  for (const auto& [hash, lost] : mLost) {
    if (lost.mState == check_state::kResponds && IsRestarted(lost.mTarget)) {
      restarted.push_back(hash);
    }
  }
  for (const incarnation_hash& hash : restarted) {
    ConfirmCrash(hash, aNow);
  }
  std::erase_if(mLost, [&](const auto& aLost) {
    return aLost.second.mState == check_state::kResponds &&
           aNow - aLost.second.mLostAt > kRestartTime;
  });
}

} // namespace parsleystair
