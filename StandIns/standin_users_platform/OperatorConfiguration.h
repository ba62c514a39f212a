#pragma once

#include "Parsleystair/Core/Time.h"

#include <string>
#include <vector>

namespace parsleystair {

/// Key of the store under which the operator's configuration stands.
inline constexpr const char* kConfigurationKey = "op/config";

/// Key of a target's entry.
std::string TargetKey(const std::string& aTarget);

/// A route `/NAME/` of the host `shop.example`.
struct operator_route
{
  std::string mName;
  bool mIdempotent = true;
  std::string mService;
  duration mTimeout = 5s;
  uint32_t mMaxAttempts = 2;
  /// Empty if all regions are allowed.
  std::vector<std::string> mAllowedRegions;

  bool operator==(const operator_route&) const = default;
};

struct operator_service
{
  std::string mName;
  bool mKeyed = false;
  /// Requests per second that a target bears in slow start; 0 for no limit.
  double mSlowStartRate = 0;
  duration mSlowStart{};

  bool operator==(const operator_service&) const = default;
};

/// The operator's configuration as it stands in the store.
std::string EncodeOperatorConfiguration(
  uint32_t aVersion,
  const std::vector<operator_route>& aRoutes,
  const std::vector<operator_service>& aServices);

} // namespace parsleystair
