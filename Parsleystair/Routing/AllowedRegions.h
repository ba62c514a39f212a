#pragma once

#include "Parsleystair/Routing/RouteConfiguration.h"

#include <utility>

namespace parsleystair {

/// Region of each failure domain.
using region_map = std::map<failure_domain_name, region_name>;

/// Failure domains whose targets may get the requests of a route. The choice
/// runs for each attempt over all targets of a service, up to 900, so the
/// regions are resolved once before it.
class allowed_domains
{
public:
  /// `aRegions`: regions of the route; all failure domains are allowed if it is
  /// empty. Otherwise a failure domain that `aMap` lacks is not allowed.
  allowed_domains(const std::set<region_name>& aRegions,
                  const region_map& aMap);

  /// Returns true if no target is excluded.
  [[nodiscard]] bool AllowsAll() const { return mAllowsAll; }
  [[nodiscard]] bool Allows(const failure_domain_name& aDomain) const;

private:
  bool mAllowsAll;
  std::set<failure_domain_name> mDomains;
};

/// Services that have a target in service, with its failure domain.
using service_domains = std::set<std::pair<service_name, failure_domain_name>>;

/// Returns whether the configuration has a route with allowed regions.
bool HasAllowedRegions(const route_configuration& aConfiguration);

/// Routes with allowed regions of which a service has no target in service
/// there.
std::set<route_name> RoutesWithoutAllowedTarget(
  const route_configuration& aConfiguration,
  const region_map& aMap,
  const service_domains& aInService);

} // namespace parsleystair
