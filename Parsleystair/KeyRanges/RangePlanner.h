#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <optional>

namespace parsleystair {

/// A target that can own keys.
struct owner_candidate
{
  target_name mName;
  /// Share of the load that it can take, relative to the others; above 0.
  double mCapacity = 1;
  /// Weight of the keys that it owns or is about to get.
  double mWeight = 0;
};

/// Keys that are to change owner, and who gets them.
struct planned_range
{
  key_interval mKeys;
  target_name mNewOwner;

  bool operator==(const planned_range&) const = default;
};

/// Spreads keys without an owner over the candidates, in few pieces. Adds what
/// it gives out to the candidates' weights. Empty without candidates.
std::vector<planned_range> PlanOwners(
  const key_interval& aKeys,
  const key_load& aLoad,
  std::vector<owner_candidate>& aCandidates);

/// One move from the most to the least loaded candidate, or nothing while they
/// are close enough.
std::optional<planned_range> PlanBalanceMove(
  const range_record& aRecord,
  const key_load& aLoad,
  const std::vector<owner_candidate>& aCandidates);

} // namespace parsleystair
