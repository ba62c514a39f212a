#pragma once

// Invariant checks and test configuration of ownership_simulation. Included by
// OwnershipSimulation.h.

namespace parsleystair {

inline size_t ownership_simulation::UnservedSlots() const
{
  size_t unserved = 0;
  for (const service_configuration& service : mConfiguration->mServices) {
    if (!service.mTargets.front().mChecksGrants) {
      continue;
    }
    for (uint32_t i = 0; i < TotalSlots(service); ++i) {
      const slot_id slot{ service.mName, slot_index(i) };
      const group_index group =
        GroupOf(service.mName, slot.mSlot, mConfiguration->mGroupCount);
      bool isServed = false;
      for (const fake_target& target : mTargets) {
        isServed = isServed || target.WouldExecute(group, slot, mNow);
      }
      unserved += isServed ? 0 : 1;
    }
  }
  return unserved;
}

inline std::map<slot_id, duration> ownership_simulation::Gaps() const
{
  std::map<slot_id, duration> gaps;
  for (const auto& [slot, covered] : mCoverage) {
    const duration open = std::max(mNow - covered.mUntil, duration::zero());
    if (covered.mGap + open > duration::zero()) {
      gaps[slot] = covered.mGap + open;
    }
  }
  return gaps;
}

inline void ownership_simulation::ForgetGaps()
{
  for (auto& [slot, covered] : mCoverage) {
    covered.mGap = duration::zero();
    covered.mUntil = std::max(covered.mUntil, mNow);
  }
}

inline void ownership_simulation::CheckFence(const slot_id& aSlot,
                                             fence aFence,
                                             size_t aTarget)
{
  auto& newest = mFences[aSlot];
  if (aFence < newest.first ||
      (aFence == newest.first && aTarget != newest.second)) {
    throw std::logic_error("a target acts with an outdated fence");
  }
  newest = { aFence, aTarget };
}

inline void ownership_simulation::CheckGrants(size_t aTarget,
                                              const grant_reply& aReply)
{
  const fake_target& target = mTargets[aTarget];
  for (const accepted_grant& grant : aReply.mAccepted) {
    const auto& list = target.mGrantLists.at(grant.mGroup);
    for (const auto& [slot, slotFence] : list.mSlots) {
      if (!target.WouldExecute(grant.mGroup, slot, mNow)) {
        continue;
      }
      CheckFence(slot, slotFence, aTarget);
      for (const fake_target& other : mTargets) {
        if (&other != &target && other.mId.mService == slot.mService &&
            other.WouldExecute(grant.mGroup, slot, mNow)) {
          throw std::logic_error("two targets would serve one slot");
        }
      }
      coverage& covered = mCoverage[slot];
      const duration until =
        mNow +
        target.mClock.ToRealTime((list.mExpiryMs - target.ClockMs(mNow)) * 1ms);
      if (covered.mUntil != duration::zero()) {
        covered.mGap += std::max(mNow - covered.mUntil, duration::zero());
      }
      covered.mUntil = std::max(covered.mUntil, until);
      covered.mTarget = aTarget;
    }
  }
}

inline void ownership_simulation::CheckRouting(size_t aRouter)
{
  const ownership_controller& controller = *mRouters[aRouter].mController;
  for (const service_configuration& service : mConfiguration->mServices) {
    if (service.mTargets.front().mChecksGrants) {
      continue;
    }
    for (uint32_t i = 0; i < TotalSlots(service); ++i) {
      const slot_id slot{ service.mName, slot_index(i) };
      const group_index group =
        GroupOf(service.mName, slot.mSlot, mConfiguration->mGroupCount);
      const group_record* record = controller.FindRecord(group);
      const bool hasSlot = record != nullptr && record->mSlots.count(slot) != 0;
      if (!hasSlot || !controller.HasAuthority(group, Local(aRouter))) {
        continue;
      }
      const slot_ownership& ownership = record->mSlots.at(slot);
      if (ownership.mOwner == target_name() || ownership.mMove) {
        continue;
      }
      // The router would send a request now, which may run until its deadline.
      const size_t target = IndexOf({ service.mName, ownership.mOwner });
      CheckFence(slot, ownership.mFence, target);
      for (const auto& [other, until] : mRunning[slot]) {
        if (other != target && until > mNow) {
          throw std::logic_error("two targets would run requests of one slot");
        }
      }
      mRunning[slot][target] = mNow + mRouters[aRouter].mClock.ToRealTime(
                                        service.mRules.front().mDeadline);
    }
  }
}

inline configuration MakeConfiguration(const std::vector<uint32_t>& aServices,
                                       size_t aUnchecked,
                                       uint32_t aSlots,
                                       uint32_t aGroups)
{
  configuration config;
  config.mRevision = configuration_revision(1);
  config.mGroupCount = aGroups;
  for (const char* name : { "north-a", "north-b", "south-a", "south-b" }) {
    const region_name region(std::string(name).substr(0, 5));
    config.mFailureDomains.push_back({ failure_domain_name(name), region });
  }
  for (size_t i = 0; i < aServices.size(); ++i) {
    service_configuration service;
    service.mName = service_name("service-" + std::to_string(i));
    service.mSlotCount = aSlots;
    service.mRules.emplace_back();
    service.mRules.back().mDeadline = 500ms;
    for (uint32_t j = 0; j < aServices[i]; ++j) {
      target_configuration target;
      target.mName = target_name("target-" + std::to_string(j));
      target.mFailureDomain = config.mFailureDomains[j % 4].mName;
      target.mChecksGrants = i + aUnchecked < aServices.size();
      service.mTargets.push_back(target);
    }
    config.mServices.push_back(service);
  }
  return config;
}

} // namespace parsleystair
