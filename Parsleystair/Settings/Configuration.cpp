#include "Parsleystair/Settings/Configuration.h"

#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

const service_configuration* configuration::FindService(
  const service_name& aName) const
{
  const auto found =
    std::find_if(mServices.begin(), mServices.end(), [&](const auto& aService) {
      return aService.mName == aName;
    });
  return found == mServices.end() ? nullptr : &*found;
}

region_name configuration::RegionOf(const failure_domain_name& aName) const
{
  for (const auto& domain : mFailureDomains) {
    if (domain.mName == aName) {
      return domain.mRegion;
    }
  }
  return {};
}

const target_configuration* FindTarget(const service_configuration& aService,
                                       const target_name& aName)
{
  const auto found =
    std::find_if(aService.mTargets.begin(),
                 aService.mTargets.end(),
                 [&](const auto& aTarget) { return aTarget.mName == aName; });
  return found == aService.mTargets.end() ? nullptr : &*found;
}

slot_index SlotOf(const service_configuration& aService,
                  const std::string& aKey)
{
  PARSLEYSTAIR_INVARIANT(aService.mSlotCount > 0);
  for (uint32_t i = 0; i < aService.mNamedKeys.size(); ++i) {
    if (!aKey.empty() && aService.mNamedKeys[i] == aKey) {
      return slot_index(aService.mSlotCount + i);
    }
  }
  std::string bytes = aService.mName.Value();
  bytes += '\0';
  bytes += aKey;
  return slot_index(static_cast<uint32_t>(Hash64(bytes) % aService.mSlotCount));
}

uint32_t TotalSlots(const service_configuration& aService)
{
  return aService.mSlotCount +
         static_cast<uint32_t>(aService.mNamedKeys.size());
}

group_index GroupOf(const service_name& aService,
                    slot_index aSlot,
                    uint32_t aGroupCount)
{
  PARSLEYSTAIR_INVARIANT(aGroupCount > 0);
  std::string bytes = aService.Value();
  bytes += '\0';
  bytes += std::to_string(aSlot.Value());
  return group_index(static_cast<uint32_t>(Hash64(bytes) % aGroupCount));
}

} // namespace parsleystair
