#include "Parsleystair/Placement/HashPolicies.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Plans a move for each slot whose owner differs from the target that
/// `aChooseTarget` returns. Skips slots that are already moving.
template<typename Choose>
std::vector<planned_move> PlanAllSlots(const placement_input& aInput,
                                       Choose aChooseTarget)
{
  std::vector<planned_move> moves;
  for (const service_configuration& service :
       aInput.mConfiguration->mServices) {
    const auto status = aInput.mServices.find(service.mName);
    if (status == aInput.mServices.end()) {
      continue;
    }
    std::vector<target_name> usable;
    for (const target_configuration& target : service.mTargets) {
      if (IsUsable(target, status->second)) {
        usable.push_back(target.mName);
      }
    }
    if (usable.empty()) {
      continue;
    }
    for (const auto& [index, slot] : status->second.mSlots) {
      const slot_id id{ service.mName, index };
      const target_name& to = aChooseTarget(id, usable);
      if (!slot.mMovingTo && to != slot.mOwner) {
        const auto reason = RequiredMoveReason(service, status->second, slot);
        moves.push_back({ id, to, reason.value_or(move_reason::kBalance) });
      }
    }
  }
  return moves;
}

uint64_t RendezvousWeight(const slot_id& aSlot, const target_name& aTarget)
{
  std::string text = aSlot.mService.Value();
  text += '\0';
  text += std::to_string(aSlot.mSlot.Value());
  text += '\0';
  text += aTarget.Value();
  return Hash64(text);
}

} // namespace

std::vector<planned_move> rendezvous_policy::Plan(
  const placement_input& aInput) const
{
  return PlanAllSlots(
    aInput,
    [](const slot_id& aSlot,
       const std::vector<target_name>& aUsable) -> const target_name& {
      return *std::max_element(
        aUsable.begin(),
        aUsable.end(),
        [&](const target_name& aLeft, const target_name& aRight) {
          return RendezvousWeight(aSlot, aLeft) <
                 RendezvousWeight(aSlot, aRight);
        });
    });
}

std::vector<planned_move> modulo_policy::Plan(
  const placement_input& aInput) const
{
  return PlanAllSlots(
    aInput,
    [](const slot_id& aSlot,
       const std::vector<target_name>& aUsable) -> const target_name& {
      return aUsable[aSlot.mSlot.Value() % aUsable.size()];
    });
}

} // namespace parsleystair
