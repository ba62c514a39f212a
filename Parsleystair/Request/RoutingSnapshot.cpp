#include "Parsleystair/Request/RoutingSnapshot.h"

#include "Parsleystair/Core/Invariant.h"

namespace parsleystair {

namespace {

std::optional<uint32_t> TargetIndex(const service_configuration& aService,
                                    const target_name& aName)
{
  for (uint32_t i = 0; i < aService.mTargets.size(); ++i) {
    if (aService.mTargets[i].mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<size_t> ServiceIndex(const configuration& aConfiguration,
                                   const service_name& aName)
{
  for (size_t i = 0; i < aConfiguration.mServices.size(); ++i) {
    if (aConfiguration.mServices[i].mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

} // namespace

std::variant<route, route_failure> FindOwner(const routing_snapshot& aSnapshot,
                                             size_t aServiceIndex,
                                             slot_index aSlot,
                                             group_index aGroup,
                                             time_point aNow)
{
  const auto& service = aSnapshot.mConfiguration->mServices[aServiceIndex];
  PARSLEYSTAIR_INVARIANT(service.mOwnership == ownership_mode::kExclusive);
  const auto& routes = (*aSnapshot.mRoutes)[aServiceIndex];
  if (aSlot.Value() >= routes.size() ||
      !routes[aSlot.Value()].mTarget.has_value()) {
    return route_failure::kNoOwner;
  }
  const slot_route& owner = routes[aSlot.Value()];
  const target_configuration& target = service.mTargets[*owner.mTarget];
  const bool current = aGroup.Value() < aSnapshot.mAuthorityUntil.size() &&
                       aNow < aSnapshot.mAuthorityUntil[aGroup.Value()];
  if (!target.mChecksGrants && !current) {
    return route_failure::kNoAuthority;
  }
  return route{ &target, owner.mFence };
}

std::vector<const target_configuration*> UsableTargets(
  const routing_snapshot& aSnapshot,
  size_t aServiceIndex)
{
  const configuration& all = *aSnapshot.mConfiguration;
  const service_configuration& service = all.mServices[aServiceIndex];
  std::vector<const target_configuration*> near;
  std::vector<const target_configuration*> usable;
  for (const target_configuration& target : service.mTargets) {
    if (target.mDraining) {
      continue;
    }
    usable.push_back(&target);
    if (all.RegionOf(target.mFailureDomain) == aSnapshot.mRegion) {
      near.push_back(&target);
    }
  }
  return near.empty() ? usable : near;
}

route_table BuildRoutes(const configuration& aConfiguration,
                        const std::vector<const group_record*>& aRecords)
{
  route_table routes(aConfiguration.mServices.size());
  for (size_t i = 0; i < routes.size(); ++i) {
    const service_configuration& service = aConfiguration.mServices[i];
    if (service.mOwnership == ownership_mode::kExclusive) {
      routes[i].resize(TotalSlots(service));
    }
  }
  for (const group_record* record : aRecords) {
    for (const auto& [slot, ownership] : record->mSlots) {
      const auto service = ServiceIndex(aConfiguration, slot.mService);
      if (!service || slot.mSlot.Value() >= routes[*service].size()) {
        continue;
      }
      routes[*service][slot.mSlot.Value()] = {
        TargetIndex(aConfiguration.mServices[*service], ownership.mOwner),
        ownership.mFence
      };
    }
  }
  return routes;
}

} // namespace parsleystair
