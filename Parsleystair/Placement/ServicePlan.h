#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"

#include <cstddef>
#include <vector>

namespace parsleystair {

/// Constants of the planner's cost and limits.
struct planner_settings
{
  /// A cold target takes its full share after this time, growing from
  /// `mSlowStartMinShare`.
  duration mSlowStartTime = 60s;
  double mSlowStartMinShare = 0.1;
  /// Loads that are older count as unknown.
  duration mMaxLoadAge = 60s;
  /// Share of a target's own report above what was measured that counts.
  double mReportedLoadWeight = 0.2;
  /// Load up to which a target takes slots of others, relative to its fair
  /// share.
  double mLoadBound = 1.1;
  /// Load of the fullest target, relative to the mean, at which balancing
  /// starts and down to which it goes on.
  double mStartImbalance = 1.15;
  double mStopImbalance = 1.05;
  /// Moving all slots costs as much as this imbalance.
  double mChurnScale = 2;
  /// Stopping all load for a move costs as much as this imbalance.
  double mUnavailabilityScale = 0.5;
  /// Times by which a move's gain must exceed its cost.
  double mMinGainCostRatio = 1.5;
  /// Value of a move to another region, relative to one within its region.
  double mCrossRegionFactor = 0.8;
  /// Time that a slot stays before it is moved for balance again.
  duration mBalanceCooldown = 60s;
  /// Moves for balance a minute, as a share of a service's slots.
  double mMoveSharePerMinute = 0.05;
  /// Moves of one plan.
  size_t mMaxMoves = 8192;
};

/// Works out the moves of one service.
class service_plan
{
public:
  service_plan(const planner_settings& aSettings,
               const placement_input& aInput,
               const service_configuration& aConfiguration,
               const service_status& aStatus);

  /// Slots without a usable owner.
  void PlaceOrphanedSlots();
  /// Slots that weigh too much on their owners; within the budget of moves.
  void Balance();

  [[nodiscard]] const std::vector<planned_move>& Moves() const
  {
    return mMoves;
  }

private:
  struct usable_target
  {
    const target_configuration* mTarget;
    region_name mRegion;
    /// Requests that it should take at the same time.
    double mCapacity;
    double mLoad = 0;

    [[nodiscard]] double Utilization(double aAddedLoad = 0) const
    {
      return (mLoad + aAddedLoad) / mCapacity;
    }
  };

  struct planned_slot
  {
    slot_index mSlot;
    const slot_status* mStatus;
    double mLoad;
    /// Index of the owner, or of the goal of its move; -1 for none.
    int mTarget = -1;
    bool mMayBalance = false;
  };

  struct candidate
  {
    planned_slot* mSlot = nullptr;
    int mTo = -1;
    double mValue = 0;
  };

  void AddTargets();
  void AddSlots();
  void AddReportedLoads();
  [[nodiscard]] double CapacityOf(const target_configuration& aTarget) const;
  [[nodiscard]] bool IsInOrderWindow() const;
  [[nodiscard]] int IndexOf(const target_name& aName) const;
  [[nodiscard]] region_name RegionOf(const target_name& aName) const;
  [[nodiscard]] int ChooseTarget(double aLoad,
                                 const region_name& aPreferredRegion) const;
  [[nodiscard]] int OwnerOfHashedSlot(slot_index aSlot) const;
  [[nodiscard]] candidate BestMove(int aFrom);
  [[nodiscard]] double MeanUtilization() const;
  [[nodiscard]] double MaxUtilization() const;
  void AddMove(planned_slot& aSlot, int aTo, move_reason aReason);

  const planner_settings& mSettings;
  const placement_input& mInput;
  const service_configuration& mConfiguration;
  const service_status& mStatus;
  std::vector<usable_target> mTargets;
  std::vector<planned_slot> mSlots;
  double mTotalLoad = 0;
  double mTotalCapacity = 0;
  std::vector<planned_move> mMoves;
};

} // namespace parsleystair
