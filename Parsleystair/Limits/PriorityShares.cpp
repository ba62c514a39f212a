#include "Parsleystair/Limits/PriorityShares.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Priorities from this one on are treated as one, which bounds the number of
/// levels whatever the configuration says.
constexpr uint32_t kLowestPriority = 15;
/// Part of the earlier weights that remains after each request. Their number is
/// large enough that a level's share doesn't follow single requests, of which a
/// router gets a few in a second.
constexpr double kRemaining = 1 - 1.0 / 64;
/// Part of the proportional share that each level gets in any case.
constexpr double kReservedShare = 0.1;

} // namespace

void priority_shares::Add(uint32_t aPriority)
{
  for (auto& [priority, weight] : mWeights) {
    weight *= kRemaining;
  }
  mWeights[std::min(aPriority, kLowestPriority)] += 1;
}

double priority_shares::ShareOf(double aShare, uint32_t aPriority) const
{
  const uint32_t asked = std::min(aPriority, kLowestPriority);
  double total = 0;
  for (const auto& [priority, weight] : mWeights) {
    total += weight;
  }
  const double reserved = kReservedShare * aShare;
  double rest = (aShare - reserved) * total;
  for (const auto& [priority, weight] : mWeights) {
    const double extra = std::clamp(rest, 0.0, (1 - reserved) * weight);
    if (priority == asked) {
      return reserved + extra / weight;
    }
    rest -= extra;
  }
  return aShare;
}

} // namespace parsleystair
