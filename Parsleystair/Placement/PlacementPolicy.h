#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/PlannedMove.h"
#include "Parsleystair/Settings/Configuration.h"

#include <map>
#include <memory>
#include <vector>

namespace parsleystair {

/// Load in requests per second and the time of its measurement.
struct measured_load
{
  double mPerSecond = 0;
  time_point mMeasuredAt;

  bool operator==(const measured_load&) const = default;
};

enum class target_state
{
  kLive,
  /// In slow start: takes less load for some time after its start.
  kSlowStart,
  /// Takes no new slots; its slots move to other targets.
  kDraining,
  kLost,
};

/// Status of a target of one service.
struct target_status
{
  target_state mState = target_state::kLive;
  /// Time at which the target entered this state.
  time_point mSince;
  /// Load that the target reports. The load measured for its slots has a higher
  /// weight.
  std::optional<measured_load> mReported;

  bool operator==(const target_status&) const = default;
};

/// Status of one slot.
struct slot_status
{
  /// Empty when the slot never had an owner.
  target_name mOwner;
  /// Destination of the move in progress, if any.
  std::optional<target_name> mMovingTo;
  /// Time of the last change of owner.
  time_point mSince;
  /// Load that the routers of this deployment sent to the slot.
  std::optional<measured_load> mLoad;

  bool operator==(const slot_status&) const = default;
};

/// Status of the slots and targets of one service.
struct service_status
{
  std::map<slot_index, slot_status> mSlots;
  /// A target without an entry counts as live.
  std::map<target_name, target_status> mTargets;
  /// Number of moves for balance that began within the last minute.
  uint32_t mRecentMoves = 0;

  bool operator==(const service_status&) const = default;
};

/// Input of a placement policy.
struct placement_input
{
  std::shared_ptr<const configuration> mConfiguration;
  std::map<service_name, service_status> mServices;
  /// Preferred region of slots that never had an owner.
  region_name mRegion;
  time_point mNow;
  /// Minutes after midnight UTC.
  uint32_t mMinuteOfDay = 0;
};

/// Decides which target should own which slot.
class placement_policy
{
public:
  virtual ~placement_policy() = default;

  /// Returns the moves to start now, the most urgent first. Doesn't change
  /// moves in progress to a usable target.
  [[nodiscard]] virtual std::vector<planned_move> Plan(
    const placement_input& aInput) const = 0;
};

/// Returns true if the target may own slots: it is neither leaving nor lost.
bool IsUsable(const target_configuration& aTarget,
              const service_status& aService);

/// State of a target. A target that the operator marked as leaving is leaving,
/// unless it is lost.
target_state EffectiveState(const target_configuration& aTarget,
                            const service_status& aService);

/// Reason why a slot must move; empty if it may stay with its owner, or is
/// already moving to a usable target.
std::optional<move_reason> RequiredMoveReason(
  const service_configuration& aConfiguration,
  const service_status& aService,
  const slot_status& aSlot);

} // namespace parsleystair
