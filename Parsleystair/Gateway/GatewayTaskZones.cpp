#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <algorithm>

// Regions of routes and evacuated failure domains, as operators set them.

namespace parsleystair {

namespace {

/// Interval of the search for routes whose allowed regions have no target.
constexpr duration kRouteCheckInterval = 1s;
/// Part of a name in a key that is logged. A log line has a maximum length.
constexpr size_t kMaxLoggedNameBytes = 64;

std::string JoinRegions(const std::set<region_name>& aRegions)
{
  std::string text;
  for (const region_name& region : aRegions) {
    text += (text.empty() ? "" : ",") + region.Value();
  }
  return text;
}

} // namespace

void gateway_task::ApplyOperatorItems(const std::vector<stored_item>& aItems)
{
  std::set<failure_domain_name> evacuated;
  for (const stored_item& item : aItems) {
    if (auto domain = mPlatform.mCatalog.EvacuatedDomainOf(item.mKey)) {
      evacuated.insert(std::move(*domain));
    }
  }
  // A router that starts sends nothing before its first configuration, so it
  // knows the failure domains by then.
  ApplyEvacuated(evacuated);
  for (const stored_item& item : aItems) {
    ApplyConfiguration(item.mKey, item.mValue);
  }
}

void gateway_task::ApplyOperatorChange(const item_change& aChange)
{
  const auto domain = mPlatform.mCatalog.EvacuatedDomainOf(aChange.mKey);
  if (domain) {
    std::set<failure_domain_name> evacuated = mView.mDirectory.Evacuated();
    if (aChange.mValue) {
      evacuated.insert(*domain);
    } else {
      evacuated.erase(*domain);
    }
    ApplyEvacuated(evacuated);
  } else if (aChange.mValue) {
    ApplyConfiguration(aChange.mKey, *aChange.mValue);
  }
}

void gateway_task::ApplyEvacuated(const std::set<failure_domain_name>& aDomains)
{
  const std::set<failure_domain_name> previous = mView.mDirectory.Evacuated();
  if (!mView.mDirectory.SetEvacuated(aDomains)) {
    return;
  }
  for (const failure_domain_name& domain : aDomains) {
    if (previous.contains(domain)) {
      continue;
    }
    const std::string zone = domain.Value().substr(0, kMaxLoggedNameBytes);
    if (!mSettings.mRegions.contains(domain)) {
      ++mUnknownEvacuations;
      log_line(log_severity::kWarning, "zone_unknown").Add("zone", zone);
      continue;
    }
    log_line(log_severity::kInfo, "zone_evacuated").Add("zone", zone);
  }
  for (const failure_domain_name& domain : previous) {
    if (!aDomains.contains(domain)) {
      log_line(log_severity::kInfo, "zone_returned")
        .Add("zone", domain.Value().substr(0, kMaxLoggedNameBytes));
    }
  }
  HandleTargetsChanged();
}

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
