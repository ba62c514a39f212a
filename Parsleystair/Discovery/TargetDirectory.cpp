#include "Parsleystair/Discovery/TargetDirectory.h"

#include <set>

namespace parsleystair {

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
  const auto [position, isNew] = mTargets.try_emplace(aTarget.mName);
  known_target& known = position->second;
  const bool restarted =
    isNew || known.mTarget.mStartedMs != aTarget.mStartedMs;
  known.mTarget = aTarget;
  known.mDropAt.reset();
  if (restarted) {
    known.mSlowUntil = aNow + aTarget.mSlowStart;
  }
}

void target_directory::Remove(const target_name& aName, time_point aNow)
{
  const auto found = mTargets.find(aName);
  if (found == mTargets.end()) {
    return;
  }
  // Entries of live targets expire during an outage of the store.
  if (IsInGracePeriod(aNow) && !found->second.mTarget.mDraining) {
    found->second.mDropAt =
      mStoreLost ? aNow + kOutageGracePeriod : mGracePeriodEnd;
    return;
  }
  mTargets.erase(found);
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

bool target_directory::IsInGracePeriod(time_point aNow) const
{
  return mStoreLost || aNow < mGracePeriodEnd;
}

bool target_directory::Expire(time_point aNow)
{
  return std::erase_if(mTargets, [&](const auto& aTarget) {
           const auto& until = aTarget.second.mDropAt;
           return until && *until <= aNow;
         }) > 0;
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
