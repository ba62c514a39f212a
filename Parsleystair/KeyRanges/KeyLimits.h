#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <map>
#include <vector>

namespace parsleystair {

/// Share of the requests for some keys that the keys' owner can serve.
struct key_limit
{
  key_interval mKeys;
  /// Above 0 and below 1.
  double mShare = 1;

  bool operator==(const key_limit&) const = default;
};

/// Limits of one service in the order of their keys, which don't overlap. Keys
/// without a limit are served as far as their owner has room.
using key_limits = std::vector<key_limit>;

/// Requests that each owner can serve in a second.
using owner_capacities = std::map<target_name, double>;

/// Answers the load of hot keys: far more requests for a few keys than their
/// owner can serve, from many routers that don't know of one another. Without
/// limits they fill the owner's queue, so that it serves all its keys late.
///
/// Divides the capacity of each overloaded owner among its buckets of keys so
/// that those with few requests get all they ask for. Owners without a capacity
/// get no limits.
key_limits PlanKeyLimits(const range_record& aRecord,
                         const key_load& aLoad,
                         const owner_capacities& aCapacities);

/// Share that applies to a key; 1 if it has no limit.
double ShareOf(const key_limits& aLimits, uint32_t aKey);

} // namespace parsleystair
