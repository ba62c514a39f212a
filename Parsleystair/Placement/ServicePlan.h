#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"

#include <cstddef>
#include <vector>

namespace parsleystair {

/// Cost factors and limits of the planner.
struct planner_settings
{
  /// Duration of the slow start, in which the capacity of a cold target grows
  /// linearly to its full value, starting at no less than
  /// `mSlowStartMinShare`.
  duration mSlowStartTime = 60s;
  double mSlowStartMinShare = 0.1;
  /// Older load measurements and reports are ignored.
  duration mMaxLoadAge = 60s;
  /// Weight of the part of a target's reported load that exceeds its measured
  /// load.
  double mReportedLoadWeight = 0.2;
  /// Utilization up to which a target is preferred for a slot that must move,
  /// relative to the mean of the service.
  double mLoadBound = 1.1;
  /// Highest utilization of a target, relative to the mean, above which
  /// balancing starts and down to which it continues.
  double mStartImbalance = 1.15;
  double mStopImbalance = 1.05;
  /// Cost of moving all slots, in units of imbalance.
  double mChurnScale = 2;
  /// Cost of interrupting the whole load by moves, in units of imbalance.
  double mUnavailabilityScale = 0.5;
  /// A move for balance must gain more than its cost times this factor.
  double mMinGainCostRatio = 1.5;
  /// Gain of a move to another region, relative to the same move within the
  /// region.
  double mCrossRegionFactor = 0.8;
  /// Minimum time between the last change of a slot's owner and a move for
  /// balance.
  duration mBalanceCooldown = 60s;
  /// Moves for balance per minute, as a share of the service's slots; at least
  /// one move.
  double mMoveSharePerMinute = 0.05;
  /// Maximum number of moves in the plan of a service.
  size_t mMaxMoves = 8192;
};

/// Plans the moves of one service.
class service_plan
{
public:
  service_plan(const planner_settings& aSettings,
               const placement_input& aInput,
               const service_configuration& aConfiguration,
               const service_status& aStatus);

  /// Plans moves of slots whose owner is missing, lost, leaving or no longer
  /// configured.
  void PlaceOrphanedSlots();
  /// Plans moves from targets with a high utilization, within the limit of
  /// moves per minute.
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
    /// Concurrent requests that the target should get, reduced in slow start.
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
    /// Index in `mTargets` of the owner or of the destination of a move in
    /// progress; -1 if there is none or it is not usable.
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
