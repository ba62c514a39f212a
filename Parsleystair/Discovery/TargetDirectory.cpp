#include "Parsleystair/Discovery/TargetDirectory.h"

#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace parsleystair {

namespace {

/// Time for which the last report of a target that has left is kept. Copies of
/// the store are some seconds old.
constexpr duration kRemovedTargetRetention = 60s;
/// The same for a target that has said that it leaves. Its entry may come back
/// after a long outage of the store.
constexpr duration kLeavingTargetRetention = 1h;
/// Multiple of the service's slow start above which what a target states isn't
/// believed, and the longest slow start in services that declare none.
constexpr int kMaxSlowStartFactor = 2;
constexpr duration kMaxUndeclaredSlowStart = 1min;

} // namespace

void target_directory::Reset(const std::vector<discovered_target>& aTargets,
                             time_point aNow)
{
  std::set<target_name> presentNames;
  for (const discovered_target& target : aTargets) {
    presentNames.insert(target.mName);
    Update(target, aNow);
  }
  std::vector<target_name> missingNames;
  for (const auto& [name, target] : mTargets) {
    if (!presentNames.contains(name) && !target.mDropAt) {
      missingNames.push_back(name);
    }
  }
  for (const target_name& name : missingNames) {
    Remove(name, aNow);
  }
}

void target_directory::Update(const discovered_target& aTarget, time_point aNow)
{
  if (aNow < mSettlesUntil && (IsOutdated(aTarget) || IsRemoved(aTarget))) {
    return;
  }
  const auto [position, isNew] = mTargets.try_emplace(aTarget.mName);
  known_target& known = position->second;
  if (const auto removed = mRemoved.find(aTarget.mName);
      isNew && removed != mRemoved.end()) {
    known.mLeavingStartedMs = removed->second.mLeavingStartedMs;
  }
  const bool restarted =
    isNew || known.mTarget.mStartedMs != aTarget.mStartedMs;
  // An entry may state the same slow start for the whole life of the target.
  const bool hasNewSlowStart =
    restarted || known.mTarget.mSlowStart != aTarget.mSlowStart;
  // An unchanged entry may be read again and shows nothing new.
  if (known.mTarget != aTarget) {
    known.mReplacedUntil.reset();
  }
  known.mTarget = aTarget;
  known.mEvacuated = mEvacuated.contains(aTarget.mFailureDomain);
  known.mDropAt.reset();
  if (restarted) {
    known.mSlowUntil = aNow + aTarget.mSlowStart;
    known.mLimitedUntil = time_point::min();
  }
  if (hasNewSlowStart) {
    ExtendSlowStart(known, aTarget.mSlowStart, aNow);
  }
}

void target_directory::SetSlowStartTimes(slow_start_times aTimes,
                                         time_point aNow)
{
  const slow_start_times former =
    std::exchange(mSlowStartTimes, std::move(aTimes));
  for (auto& [name, known] : mTargets) {
    const service_name& service = known.mTarget.mService;
    if (!mSlowStartTimes.contains(service)) {
      known.mLimitedUntil = time_point::min();
    } else if (!former.contains(service) && known.mSlowUntil > aNow) {
      ExtendSlowStart(known, known.mSlowUntil - aNow, aNow);
    }
  }
}

bool target_directory::HandleSlowStart(const target_name& aName,
                                       uint64_t aStartedMs,
                                       duration aRest,
                                       time_point aNow)
{
  const auto found = mTargets.find(aName);
  return found != mTargets.end() &&
         found->second.mTarget.mStartedMs == aStartedMs &&
         ExtendSlowStart(found->second, aRest, aNow);
}

bool target_directory::ExtendSlowStart(known_target& aKnown,
                                       duration aRest,
                                       time_point aNow)
{
  const auto time = mSlowStartTimes.find(aKnown.mTarget.mService);
  if (time == mSlowStartTimes.end() || aRest <= duration::zero()) {
    return false;
  }
  const duration longest = time->second > duration::zero()
                             ? kMaxSlowStartFactor * time->second
                             : kMaxUndeclaredSlowStart;
  if (aRest > longest) {
    ++mImplausibleSlowStarts;
    log_line(log_severity::kWarning, "slow_start_implausible")
      .Add("target", aKnown.mTarget.mName.Value())
      .Add("stated_us", int64_t{ aRest.count() })
      .Add("taken_us", int64_t{ longest.count() });
  }
  const time_point end = aNow + std::min(aRest, longest);
  if (end <= aKnown.mLimitedUntil) {
    return false;
  }
  if (!aKnown.IsLimited(aNow)) {
    log_line(log_severity::kInfo, "slow_start_began")
      .Add("target", aKnown.mTarget.mName.Value())
      .Add("service", aKnown.mTarget.mService.Value())
      .Add("left_us", int64_t{ (end - aNow).count() });
  }
  aKnown.mLimitedUntil = end;
  return true;
}

void target_directory::Remove(const target_name& aName, time_point aNow)
{
  const auto found = mTargets.find(aName);
  if (found == mTargets.end()) {
    return;
  }
  // Entries of live targets expire during an outage of the store.
  if (IsInGracePeriod(aNow) && !found->second.IsLeaving()) {
    found->second.mDropAt =
      mStoreLost ? aNow + kOutageGracePeriod : mGracePeriodEnd;
    return;
  }
  Erase(aName, aNow);
}

void target_directory::Erase(const target_name& aName, time_point aNow)
{
  const auto found = mTargets.find(aName);
  const discovered_target& target = found->second.mTarget;
  mRemoved[aName] = { target.mStartedMs,
                      target.mReportNumber,
                      aNow,
                      found->second.mLeavingStartedMs };
  mTargets.erase(found);
  std::erase_if(mRemoved, [&](const auto& aRemoved) {
    const removed_target& removed = aRemoved.second;
    return aNow - removed.mRemovedAt > (removed.mLeavingStartedMs
                                          ? kLeavingTargetRetention
                                          : kRemovedTargetRetention);
  });
}

bool target_directory::IsOutdated(const discovered_target& aTarget) const
{
  const auto found = mTargets.find(aTarget.mName);
  if (found == mTargets.end()) {
    return false;
  }
  const discovered_target& known = found->second.mTarget;
  return aTarget.mStartedMs < known.mStartedMs ||
         (aTarget.mStartedMs == known.mStartedMs &&
          aTarget.mReportNumber < known.mReportNumber);
}

bool target_directory::IsRemoved(const discovered_target& aTarget) const
{
  const auto found = mRemoved.find(aTarget.mName);
  if (found == mRemoved.end()) {
    return false;
  }
  const removed_target& removed = found->second;
  return aTarget.mStartedMs < removed.mStartedMs ||
         (aTarget.mStartedMs == removed.mStartedMs &&
          aTarget.mReportNumber != 0 &&
          aTarget.mReportNumber <= removed.mReportNumber);
}

bool target_directory::HandleReplaced(const target_name& aName,
                                      const std::string& aHost,
                                      uint16_t aPort,
                                      time_point aNow)
{
  const auto found = mTargets.find(aName);
  if (found == mTargets.end()) {
    return false;
  }
  known_target& known = found->second;
  if (known.mReplacedUntil || known.mTarget.mHost != aHost ||
      known.mTarget.mPort != aPort) {
    return false;
  }
  known.mReplacedUntil = aNow + kReplacedTime;
  return true;
}

bool target_directory::HandleLeaving(const target_name& aName,
                                     uint64_t aStartedMs)
{
  const auto found = mTargets.find(aName);
  if (found == mTargets.end()) {
    // The entry may come back.
    const auto removed = mRemoved.find(aName);
    if (removed != mRemoved.end() && removed->second.mStartedMs == aStartedMs) {
      removed->second.mLeavingStartedMs = aStartedMs;
    }
    return false;
  }
  known_target& known = found->second;
  if (known.mTarget.mStartedMs != aStartedMs ||
      known.mLeavingStartedMs == aStartedMs) {
    return false;
  }
  known.mLeavingStartedMs = aStartedMs;
  return true;
}

bool target_directory::SetEvacuated(std::set<failure_domain_name> aDomains)
{
  if (aDomains == mEvacuated) {
    return false;
  }
  mEvacuated = std::move(aDomains);
  for (auto& [name, known] : mTargets) {
    known.mEvacuated = mEvacuated.contains(known.mTarget.mFailureDomain);
  }
  return true;
}

void target_directory::HandleStoreOutage(time_point /*aNow*/)
{
  mStoreLost = true;
}

void target_directory::HandleStoreRecovery(time_point aNow)
{
  if (mStoreLost) {
    mStoreLost = false;
    mGracePeriodEnd = aNow + kOutageGracePeriod;
  }
}

void target_directory::HandleStoreRestored(time_point aNow)
{
  mGracePeriodEnd = aNow + kOutageGracePeriod;
  mSettlesUntil = aNow + kRestoreSettlingTime;
}

bool target_directory::IsInGracePeriod(time_point aNow) const
{
  return mStoreLost || aNow < mGracePeriodEnd;
}

bool target_directory::Expire(time_point aNow)
{
  std::vector<target_name> expired;
  bool isAnyUsable = false;
  for (auto& [name, target] : mTargets) {
    if (target.mReplacedUntil && *target.mReplacedUntil <= aNow) {
      target.mReplacedUntil.reset();
      isAnyUsable = true;
    }
    if (target.mDropAt && *target.mDropAt <= aNow) {
      expired.push_back(name);
    }
  }
  for (const target_name& name : expired) {
    Erase(name, aNow);
  }
  return isAnyUsable || !expired.empty();
}

const known_target* target_directory::Find(const target_name& aName) const
{
  const auto found = mTargets.find(aName);
  return found == mTargets.end() ? nullptr : &found->second;
}

std::vector<const known_target*> target_directory::UsableOf(
  const service_name& aService) const
{
  std::vector<const known_target*> usable;
  for (const auto& [name, target] : mTargets) {
    if (target.mTarget.mService == aService && target.IsUsable()) {
      usable.push_back(&target);
    }
  }
  return usable;
}

} // namespace parsleystair
