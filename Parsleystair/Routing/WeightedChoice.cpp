#include "Parsleystair/Routing/WeightedChoice.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Returns true if the credits belong to the current services of the route.
template<typename Credits>
bool HaveSameServices(const Credits& aCredits, const route& aRoute)
{
  return std::equal(aCredits.begin(),
                    aCredits.end(),
                    aRoute.mServices.begin(),
                    aRoute.mServices.end(),
                    [](const auto& aCredit, const weighted_service& aService) {
                      return aCredit.mService == aService.mService;
                    });
}

} // namespace

service_name weighted_choice::Next(const route& aRoute)
{
  PARSLEYSTAIR_INVARIANT(!aRoute.mServices.empty());
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  std::vector<service_credit>& credits = mRoutes[aRoute.mName];
  if (!HaveSameServices(credits, aRoute)) {
    credits.clear();
    for (const weighted_service& service : aRoute.mServices) {
      credits.push_back({ service.mService, 0 });
    }
  }
  int64_t total = 0;
  size_t best = 0;
  for (size_t index = 0; index < credits.size(); ++index) {
    const int64_t weight = aRoute.mServices[index].mWeight;
    credits[index].mCredit += weight;
    total += weight;
    if (credits[index].mCredit > credits[best].mCredit) {
      best = index;
    }
  }
  credits[best].mCredit -= total;
  return credits[best].mService;
}

} // namespace parsleystair
