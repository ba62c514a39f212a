#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <optional>

namespace parsleystair {

/// A target that can own keys.
struct owner_candidate
{
  target_name mName;
  /// Load that the target can take, relative to the other candidates; above 0.
  double mCapacity = 1;
  /// Weight of the keys that the target owns or is planned to get.
  double mWeight = 0;
};

/// Planned assignment of keys to a new owner.
struct planned_range
{
  key_interval mKeys;
  target_name mNewOwner;

  bool operator==(const planned_range&) const = default;
};

/// Distributes keys over the candidates in few pieces, and adds the weights of
/// the pieces to the candidates. The result is empty if there are no
/// candidates.
std::vector<planned_range> PlanOwners(
  const key_interval& aKeys,
  const key_load& aLoad,
  std::vector<owner_candidate>& aCandidates);

/// Plans one move from the most loaded candidate that has a suitable piece to
/// the least loaded one. The result is empty if the load is balanced or no
/// piece is suitable.
std::optional<planned_range> PlanBalanceMove(
  const range_record& aRecord,
  const key_load& aLoad,
  const std::vector<owner_candidate>& aCandidates);

} // namespace parsleystair
