#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <algorithm>

// Regions of routes and evacuated failure domains, as operators set them.

namespace parsleystair {

namespace {

/// Interval of the search for routes whose allowed regions have no target.
constexpr duration kRouteCheckInterval = 1s;

std::string JoinRegions(const std::set<region_name>& aRegions)
{
  std::string text;
  for (const region_name& region : aRegions) {
    text += (text.empty() ? "" : ",") + region.Value();
  }
  return text;
}

} // namespace

void gateway_task::CheckRouteRegions(time_point aNow)
{
  if (aNow < mNextRouteCheck || !IsReady()) {
    return;
  }
  mNextRouteCheck = aNow + kRouteCheckInterval;
  const route_configuration& configuration = mView.mRoutes->Configuration();
  std::set<route_name> unservable;
  if (HasAllowedRegions(configuration)) {
    service_domains inService;
    for (const auto& [name, known] : mView.mDirectory.All()) {
      if (known.IsUsable()) {
        inService.emplace(known.mTarget.mService, known.mTarget.mFailureDomain);
      }
    }
    unservable =
      RoutesWithoutAllowedTarget(configuration, mSettings.mRegions, inService);
  }
  for (const route& each : configuration.mRoutes) {
    const bool isUnservable = unservable.contains(each.mName);
    if (isUnservable && !mUnservableRoutes.contains(each.mName)) {
      log_line(log_severity::kWarning, "route_unservable")
        .Add("route", each.mName.Value())
        .Add("regions", JoinRegions(each.mAllowedRegions));
    } else if (!isUnservable && mUnservableRoutes.contains(each.mName)) {
      log_line(log_severity::kInfo, "route_servable")
        .Add("route", each.mName.Value());
    }
  }
  mUnservableRoutes = std::move(unservable);
}

} // namespace parsleystair
