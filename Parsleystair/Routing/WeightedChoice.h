#pragma once

#include "Parsleystair/Routing/RouteConfiguration.h"

#include <unordered_map>

namespace parsleystair {

/// Distributes the requests of each route over its services by smooth weighted
/// round robin: any sequence of requests is close to the weights.
class weighted_choice
{
public:
  /// Returns the service for the next request of a route.
  service_name Next(const route& aRoute);

private:
  struct service_credit
  {
    service_name mService;
    int64_t mCredit = 0;
  };

  std::unordered_map<route_name, std::vector<service_credit>> mRoutes;
};

} // namespace parsleystair
