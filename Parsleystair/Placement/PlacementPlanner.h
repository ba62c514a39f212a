#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"
#include "Parsleystair/Placement/ServicePlan.h"

namespace parsleystair {

/// Plans moves that lower the weighted cost of imbalance, churn and unavailable
/// time; the weights come from the configuration. Slots without an owner and
/// slots of lost targets move at once. Other moves only start outside the
/// service's order windows, and moves for balance are limited per minute.
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
