#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"

namespace parsleystair {

/// Baseline: each slot belongs to the usable target with the highest hash of
/// slot and target.
class rendezvous_policy : public placement_policy
{
public:
  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_input& aInput) const override;
};

/// Baseline: each slot belongs to the usable target at the slot's index modulo
/// their number.
class modulo_policy : public placement_policy
{
public:
  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_input& aInput) const override;
};

} // namespace parsleystair
