#include "Parsleystair/Placement/ServicePlan.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <numeric>

namespace parsleystair {

namespace {

// Load that is added to each slot, as a share of the mean load of a slot. It
// spreads slots without load evenly, since they may get requests later.
constexpr double kBaseLoadShare = 0.1;

bool IsMinuteInWindow(const no_move_window& aWindow, uint32_t aMinute)
{
  if (aWindow.mFromMinute <= aWindow.mToMinute) {
    return aMinute >= aWindow.mFromMinute && aMinute < aWindow.mToMinute;
  }
  // The window spans midnight.
  return aMinute >= aWindow.mFromMinute || aMinute < aWindow.mToMinute;
}

} // namespace

service_plan::service_plan(const planner_settings& aSettings,
                           const placement_input& aInput,
                           const service_configuration& aConfiguration,
                           const service_status& aStatus)
  : mSettings(aSettings)
  , mInput(aInput)
  , mConfiguration(aConfiguration)
  , mStatus(aStatus)
{
  AddTargets();
  AddSlots();
  AddReportedLoads();
}

double service_plan::CapacityOf(const target_configuration& aTarget) const
{
  const auto concurrency = static_cast<double>(aTarget.mConcurrency);
  const auto position = mStatus.mTargets.find(aTarget.mName);
  if (position == mStatus.mTargets.end() ||
      position->second.mState != target_state::kSlowStart) {
    return concurrency;
  }
  const duration timeInState = mInput.mNow - position->second.mSince;
  const double share = static_cast<double>(timeInState.count()) /
                       static_cast<double>(mSettings.mSlowStartTime.count());
  return concurrency * std::clamp(share, mSettings.mSlowStartMinShare, 1.0);
}

void service_plan::AddTargets()
{
  for (const target_configuration& target : mConfiguration.mTargets) {
    if (IsUsable(target, mStatus) && target.mConcurrency > 0) {
      mTargets.push_back(
        { &target, RegionOf(target.mName), CapacityOf(target) });
      mTotalCapacity += mTargets.back().mCapacity;
    }
  }
}

void service_plan::AddSlots()
{
  // Slots with unknown load get the mean of the known loads.
  double knownLoad = 0;
  size_t knownCount = 0;
  const auto isKnown = [&](const slot_status& aSlot) {
    return aSlot.mLoad &&
           mInput.mNow - aSlot.mLoad->mMeasuredAt <= mSettings.mMaxLoadAge;
  };
  for (const auto& [index, slot] : mStatus.mSlots) {
    knownLoad += isKnown(slot) ? slot.mLoad->mPerSecond : 0;
    knownCount += isKnown(slot) ? 1 : 0;
  }
  const double mean =
    knownLoad > 0 ? knownLoad / static_cast<double>(knownCount) : 1.0;

  for (const auto& [index, slot] : mStatus.mSlots) {
    planned_slot entry{ index,
                        &slot,
                        (isKnown(slot) ? slot.mLoad->mPerSecond : mean) +
                          kBaseLoadShare * mean };
    entry.mTarget = IndexOf(slot.mMovingTo.value_or(slot.mOwner));
    entry.mMayBalance = !slot.mMovingTo && entry.mTarget >= 0 &&
                        mInput.mNow - slot.mSince >= mSettings.mBalanceCooldown;
    mTotalLoad += entry.mLoad;
    if (entry.mTarget >= 0) {
      mTargets[entry.mTarget].mLoad += entry.mLoad;
    }
    mSlots.push_back(entry);
  }
}

// A target's reported load may be late or wrong, so only a part of its excess
// over the measured load is added.
void service_plan::AddReportedLoads()
{
  for (usable_target& target : mTargets) {
    const auto position = mStatus.mTargets.find(target.mTarget->mName);
    if (position == mStatus.mTargets.end() || !position->second.mReported) {
      continue;
    }
    const measured_load& reported = *position->second.mReported;
    if (mInput.mNow - reported.mMeasuredAt <= mSettings.mMaxLoadAge) {
      target.mLoad += mSettings.mReportedLoadWeight *
                      std::max(0.0, reported.mPerSecond - target.mLoad);
    }
  }
}

bool service_plan::IsInOrderWindow() const
{
  return std::any_of(mConfiguration.mNoMoveWindows.begin(),
                     mConfiguration.mNoMoveWindows.end(),
                     [&](const no_move_window& aWindow) {
                       return IsMinuteInWindow(aWindow, mInput.mMinuteOfDay);
                     });
}

int service_plan::IndexOf(const target_name& aName) const
{
  for (size_t i = 0; i < mTargets.size(); ++i) {
    if (mTargets[i].mTarget->mName == aName) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

region_name service_plan::RegionOf(const target_name& aName) const
{
  const target_configuration* target = FindTarget(mConfiguration, aName);
  return target == nullptr
           ? region_name()
           : mInput.mConfiguration->RegionOf(target->mFailureDomain);
}

void service_plan::PlaceOrphanedSlots()
{
  if (mTargets.empty()) {
    return;
  }
  // Slots with the highest load are placed first, so that those with a lower
  // load can even out the remaining differences.
  std::vector<std::pair<planned_slot*, move_reason>> orphaned;
  for (planned_slot& slot : mSlots) {
    const auto reason =
      RequiredMoveReason(mConfiguration, mStatus, *slot.mStatus);
    const bool mayMove = reason == move_reason::kInitial ||
                         reason == move_reason::kTargetLost ||
                         !IsInOrderWindow();
    if (reason && mayMove) {
      orphaned.emplace_back(&slot, *reason);
    }
  }
  const auto isUrgent = [](move_reason aReason) {
    return aReason == move_reason::kInitial ||
           aReason == move_reason::kTargetLost;
  };
  std::stable_sort(
    orphaned.begin(),
    orphaned.end(),
    [&](const auto& aLeft, const auto& aRight) {
      return std::make_pair(!isUrgent(aLeft.second), -aLeft.first->mLoad) <
             std::make_pair(!isUrgent(aRight.second), -aRight.first->mLoad);
    });
  for (const auto& [slot, reason] : orphaned) {
    if (mMoves.size() == mSettings.mMaxMoves) {
      return;
    }
    const bool isInitial = reason == move_reason::kInitial;
    const int before = isInitial ? OwnerOfHashedSlot(slot->mSlot) : -1;
    const region_name preferredRegion =
      isInitial ? mInput.mRegion : RegionOf(slot->mStatus->mOwner);
    AddMove(*slot,
            before >= 0 ? before : ChooseTarget(slot->mLoad, preferredRegion),
            reason);
  }
}

// The slot of a new named key starts at the owner of the slot that the key
// hashes to, so that the key keeps its owner. Returns -1 if the slot belongs to
// no named key or that owner is not usable.
int service_plan::OwnerOfHashedSlot(slot_index aSlot) const
{
  if (aSlot.Value() < mConfiguration.mSlotCount) {
    return -1;
  }
  const size_t keyIndex = aSlot.Value() - mConfiguration.mSlotCount;
  if (keyIndex >= mConfiguration.mNamedKeys.size()) {
    return -1;
  }
  service_configuration withoutNamedKeys;
  withoutNamedKeys.mName = mConfiguration.mName;
  withoutNamedKeys.mSlotCount = mConfiguration.mSlotCount;
  const slot_index before =
    SlotOf(withoutNamedKeys, mConfiguration.mNamedKeys[keyIndex]);
  const auto position = mStatus.mSlots.find(before);
  return position == mStatus.mSlots.end() ? -1
                                          : IndexOf(position->second.mOwner);
}

// Chooses the target with the lowest utilization, so that all targets fill up
// evenly. Targets whose utilization stays within the load bound come first, and
// among them those of the preferred region.
int service_plan::ChooseTarget(double aLoad,
                               const region_name& aPreferredRegion) const
{
  const double bound = mSettings.mLoadBound * mTotalLoad / mTotalCapacity;
  int best = 0;
  auto bestRank = std::make_pair(3, 0.0);
  for (size_t i = 0; i < mTargets.size(); ++i) {
    const double utilization = mTargets[i].Utilization(aLoad);
    const bool isPreferredRegion = mTargets[i].mRegion == aPreferredRegion;
    const int tier = utilization > bound ? 2 : (isPreferredRegion ? 0 : 1);
    const auto rank = std::make_pair(tier, utilization);
    if (rank < bestRank) {
      bestRank = rank;
      best = static_cast<int>(i);
    }
  }
  return best;
}

double service_plan::MeanUtilization() const
{
  const double load =
    std::accumulate(mTargets.begin(),
                    mTargets.end(),
                    0.0,
                    [](double aSum, const usable_target& aTarget) {
                      return aSum + aTarget.mLoad;
                    });
  return load / mTotalCapacity;
}

double service_plan::MaxUtilization() const
{
  double highest = 0;
  for (const usable_target& target : mTargets) {
    highest = std::max(highest, target.Utilization());
  }
  return highest;
}

void service_plan::Balance()
{
  if (mTargets.size() < 2 || IsInOrderWindow()) {
    return;
  }
  const auto maxMovesPerMinute = static_cast<uint32_t>(std::max(
    1.0, mSettings.mMoveSharePerMinute * static_cast<double>(mSlots.size())));
  // Hysteresis: balancing continues below the imbalance at which it starts.
  const double maxImbalance = mStatus.mRecentMoves > 0
                                ? mSettings.mStopImbalance
                                : mSettings.mStartImbalance;
  if (MaxUtilization() <= maxImbalance * MeanUtilization()) {
    return;
  }
  for (uint32_t moves = mStatus.mRecentMoves; moves < maxMovesPerMinute;
       ++moves) {
    if (mMoves.size() == mSettings.mMaxMoves) {
      return;
    }
    // Find the target with the highest utilization from which a move gains more
    // than it costs.
    std::vector<int> byUtilization(mTargets.size());
    std::iota(byUtilization.begin(), byUtilization.end(), 0);
    std::sort(
      byUtilization.begin(), byUtilization.end(), [&](int aLeft, int aRight) {
        return mTargets[aLeft].Utilization() > mTargets[aRight].Utilization();
      });
    candidate best;
    for (const int from : byUtilization) {
      if (mTargets[from].Utilization() <=
          mSettings.mStopImbalance * MeanUtilization()) {
        break;
      }
      best = BestMove(from);
      if (best.mSlot != nullptr) {
        break;
      }
    }
    if (best.mSlot == nullptr) {
      return;
    }
    best.mSlot->mMayBalance = false;
    AddMove(*best.mSlot, best.mTo, move_reason::kBalance);
  }
}

// Value of a move = gain - `mMinGainCostRatio` x cost.
// Gain = imbalance weight x (decrease of the higher utilization of the two
// targets, relative to the mean), reduced for a move to another region.
// Cost = churn weight x `mChurnScale` x (slot's share of the slots) +
// unavailable time weight x `mUnavailabilityScale` x (slot's share of the load,
// which is interrupted during the move).
service_plan::candidate service_plan::BestMove(int aFrom)
{
  const measure_weights& weights = mInput.mConfiguration->mWeights;
  const usable_target& from = mTargets[aFrom];
  const double mean = MeanUtilization();
  const double churnCost =
    weights.mChurn * mSettings.mChurnScale / static_cast<double>(mSlots.size());
  candidate best;
  for (planned_slot& slot : mSlots) {
    if (slot.mTarget != aFrom || !slot.mMayBalance) {
      continue;
    }
    const double unavailabilityCost = weights.mUnavailableTime *
                                      mSettings.mUnavailabilityScale *
                                      slot.mLoad / mTotalLoad;
    const double cost =
      mSettings.mMinGainCostRatio * (churnCost + unavailabilityCost);
    for (size_t to = 0; to < mTargets.size(); ++to) {
      const double higherUtilization = std::max(
        from.Utilization(-slot.mLoad), mTargets[to].Utilization(slot.mLoad));
      const double factor = mTargets[to].mRegion == from.mRegion
                              ? 1.0
                              : mSettings.mCrossRegionFactor;
      const double gain = factor * weights.mImbalance *
                          (from.Utilization() - higherUtilization) / mean;
      if (static_cast<int>(to) != aFrom && gain - cost > best.mValue) {
        best = { &slot, static_cast<int>(to), gain - cost };
      }
    }
  }
  return best;
}

void service_plan::AddMove(planned_slot& aSlot, int aTo, move_reason aReason)
{
  PARSLEYSTAIR_INVARIANT(aTo >= 0 && aTo != aSlot.mTarget);
  if (aSlot.mTarget >= 0) {
    mTargets[aSlot.mTarget].mLoad -= aSlot.mLoad;
  }
  mTargets[aTo].mLoad += aSlot.mLoad;
  aSlot.mTarget = aTo;
  mMoves.push_back({ { mConfiguration.mName, aSlot.mSlot },
                     mTargets[aTo].mTarget->mName,
                     aReason });
}

} // namespace parsleystair
