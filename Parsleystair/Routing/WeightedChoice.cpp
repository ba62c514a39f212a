#include "Parsleystair/Routing/WeightedChoice.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Tells if the credits belong to the services of a route as it is now.
template<typename Shares>
bool Matches(const Shares& aShares, const route& aRoute)
{
  return std::equal(aShares.begin(),
                    aShares.end(),
                    aRoute.mServices.begin(),
                    aRoute.mServices.end(),
                    [](const auto& aShare, const weighted_service& aService) {
                      return aShare.mService == aService.mService;
                    });
}

} // namespace

service_name weighted_choice::Next(const route& aRoute)
{
  PARSLEYSTAIR_INVARIANT(!aRoute.mServices.empty());
  if (aRoute.mServices.size() == 1) {
    return aRoute.mServices.front().mService;
  }
  std::vector<share>& shares = mRoutes[aRoute.mName];
  if (!Matches(shares, aRoute)) {
    shares.clear();
    for (const weighted_service& each : aRoute.mServices) {
      shares.push_back({ each.mService, 0 });
    }
  }
  int64_t total = 0;
  size_t best = 0;
  for (size_t index = 0; index < shares.size(); ++index) {
    const int64_t weight = aRoute.mServices[index].mWeight;
    shares[index].mCredit += weight;
    total += weight;
    if (shares[index].mCredit > shares[best].mCredit) {
      best = index;
    }
  }
  shares[best].mCredit -= total;
  return shares[best].mService;
}

} // namespace parsleystair
