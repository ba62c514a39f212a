#include "Parsleystair/Routing/AllowedRegions.h"

#include <algorithm>

namespace parsleystair {

allowed_domains::allowed_domains(const std::set<region_name>& aRegions,
                                 const region_map& aMap)
  : mAllowsAll(aRegions.empty())
{
  if (mAllowsAll) {
    return;
  }
  for (const auto& [domain, region] : aMap) {
    if (aRegions.contains(region)) {
      mDomains.insert(domain);
    }
  }
}

bool allowed_domains::Allows(const failure_domain_name& aDomain) const
{
  return mAllowsAll || mDomains.contains(aDomain);
}

bool HasAllowedRegions(const route_configuration& aConfiguration)
{
  return std::any_of(
    aConfiguration.mRoutes.begin(),
    aConfiguration.mRoutes.end(),
    [](const route& aRoute) { return !aRoute.mAllowedRegions.empty(); });
}

std::set<route_name> RoutesWithoutAllowedTarget(
  const route_configuration& aConfiguration,
  const region_map& aMap,
  const service_domains& aInService)
{
  std::set<route_name> routes;
  for (const route& each : aConfiguration.mRoutes) {
    const allowed_domains allowed(each.mAllowedRegions, aMap);
    if (allowed.AllowsAll()) {
      continue;
    }
    const auto lacksTarget = [&](const weighted_service& aService) {
      return std::none_of(
        aInService.begin(), aInService.end(), [&](const auto& aTarget) {
          return aTarget.first == aService.mService &&
                 allowed.Allows(aTarget.second);
        });
    };
    if (std::any_of(
          each.mServices.begin(), each.mServices.end(), lacksTarget)) {
      routes.insert(each.mName);
    }
  }
  return routes;
}

} // namespace parsleystair
