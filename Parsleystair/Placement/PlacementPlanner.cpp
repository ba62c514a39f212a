#include "Parsleystair/Placement/PlacementPlanner.h"

namespace parsleystair {

placement_planner::placement_planner(const planner_settings& aSettings)
  : mSettings(aSettings)
{
}

std::vector<planned_move> placement_planner::Plan(
  const placement_input& aInput) const
{
  std::vector<planned_move> moves;
  for (const service_configuration& service :
       aInput.mConfiguration->mServices) {
    const auto status = aInput.mServices.find(service.mName);
    if (status == aInput.mServices.end() ||
        service.mOwnership != ownership_mode::kExclusive) {
      continue;
    }
    service_plan plan(mSettings, aInput, service, status->second);
    plan.PlaceOrphanedSlots();
    plan.Balance();
    moves.insert(moves.end(), plan.Moves().begin(), plan.Moves().end());
  }
  return moves;
}

} // namespace parsleystair
