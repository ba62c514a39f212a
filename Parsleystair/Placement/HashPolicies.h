#pragma once

#include "Parsleystair/Placement/PlacementPolicy.h"

namespace parsleystair {

/// Baseline for comparison: rendezvous hashing. Each slot belongs to the usable
/// target with the highest hash of slot and target.
class rendezvous_policy : public placement_policy
{
public:
  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_input& aInput) const override;
};

/// Baseline for comparison: modulo hashing. Each slot belongs to the usable
/// target at position `slot index % number of usable targets`.
class modulo_policy : public placement_policy
{
public:
  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_input& aInput) const override;
};

} // namespace parsleystair
