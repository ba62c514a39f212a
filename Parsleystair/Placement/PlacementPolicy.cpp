#include "Parsleystair/Placement/PlacementPolicy.h"

namespace parsleystair {

target_state EffectiveState(const target_configuration& aTarget,
                            const service_status& aService)
{
  const auto position = aService.mTargets.find(aTarget.mName);
  const target_state state = position == aService.mTargets.end()
                               ? target_state::kLive
                               : position->second.mState;
  if (state != target_state::kLost && aTarget.mDraining) {
    return target_state::kDraining;
  }
  return state;
}

bool IsUsable(const target_configuration& aTarget,
              const service_status& aService)
{
  const target_state state = EffectiveState(aTarget, aService);
  return state == target_state::kLive || state == target_state::kSlowStart;
}

std::optional<move_reason> RequiredMoveReason(
  const service_configuration& aConfiguration,
  const service_status& aService,
  const slot_status& aSlot)
{
  const target_configuration* destination =
    aSlot.mMovingTo ? FindTarget(aConfiguration, *aSlot.mMovingTo) : nullptr;
  if (destination != nullptr && IsUsable(*destination, aService)) {
    return std::nullopt;
  }
  if (aSlot.mOwner == target_name()) {
    return move_reason::kInitial;
  }
  const target_configuration* owner = FindTarget(aConfiguration, aSlot.mOwner);
  // The owner is no longer configured: the operator removed it.
  if (owner == nullptr) {
    return move_reason::kOperator;
  }
  switch (EffectiveState(*owner, aService)) {
    case target_state::kLost:
      return move_reason::kTargetLost;
    case target_state::kDraining:
      return move_reason::kTargetDraining;
    default:
      return std::nullopt;
  }
}

} // namespace parsleystair
