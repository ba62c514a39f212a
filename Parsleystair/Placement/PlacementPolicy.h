#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/PlannedMove.h"
#include "Parsleystair/Settings/Configuration.h"

#include <map>
#include <memory>
#include <vector>

namespace parsleystair {

/// A load in requests per second, and when it was measured.
struct measured_load
{
  double mPerSecond = 0;
  time_point mMeasuredAt;

  bool operator==(const measured_load&) const = default;
};

enum class target_state
{
  kLive,
  /// Started a short time ago; takes less load at first.
  kCold,
  /// Takes no new slots; its slots go elsewhere.
  kLeaving,
  kLost,
};

/// What is known of a target of one service.
struct target_status
{
  target_state mState = target_state::kLive;
  /// Since when the target is in this state.
  time_point mSince;
  /// What the target says of itself; what was measured for its slots counts
  /// more.
  std::optional<measured_load> mReported;

  bool operator==(const target_status&) const = default;
};

/// What is known of one slot.
struct slot_status
{
  /// Empty when the slot never had an owner.
  target_name mOwner;
  /// Goal of a move that is under way.
  std::optional<target_name> mMovingTo;
  /// When the owner last changed.
  time_point mSince;
  /// Requests that this deployment's routers sent for the slot.
  std::optional<measured_load> mLoad;

  bool operator==(const slot_status&) const = default;
};

/// One service as the planner sees it.
struct service_status
{
  std::map<slot_index, slot_status> mSlots;
  /// A target that is missing here counts as live.
  std::map<target_name, target_status> mTargets;
  /// Moves for balance that began within the last minute.
  uint32_t mRecentMoves = 0;

  bool operator==(const service_status&) const = default;
};

/// All that a plan depends on.
struct placement_input
{
  std::shared_ptr<const configuration> mConfiguration;
  std::map<service_name, service_status> mServices;
  /// Preferred for slots that have no owner yet.
  region_name mRegion;
  time_point mNow;
  /// After midnight UTC.
  uint32_t mMinuteOfDay = 0;
};

/// Decides which target should own which slot.
class placement_policy
{
public:
  virtual ~placement_policy() = default;

  /// Moves to start now, the most urgent first. Slots that are moving to a
  /// usable target are left alone.
  [[nodiscard]] virtual std::vector<planned_move> Plan(
    const placement_input& aInput) const = 0;
};

/// True when the target takes slots: configured, not leaving and not lost.
bool IsUsable(const target_configuration& aTarget,
              const service_status& aService);

/// State of a target with the operator's wish taken in.
target_state EffectiveState(const target_configuration& aTarget,
                            const service_status& aService);

/// Why a slot has to leave its owner; empty when it may stay.
std::optional<move_reason> RequiredMoveReason(
  const service_configuration& aConfiguration,
  const service_status& aService,
  const slot_status& aSlot);

} // namespace parsleystair
