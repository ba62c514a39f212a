#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"
#include "Parsleystair/Placement/ServicePlan.h"

namespace parsleystair {

/// Moves slots where that lowers the cost, weighted as the configuration says:
/// imbalance, churn and unavailable time. Slots of lost targets are moved at
/// once; those of leaving ones and for balance only outside the service's order
/// windows, and for balance within a budget per minute.
class placement_planner : public placement_policy
{
public:
  explicit placement_planner(const planner_settings& aSettings = {});

  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_input& aInput) const override;

private:
  const planner_settings mSettings;
};

} // namespace parsleystair
