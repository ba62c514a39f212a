#pragma once

#include "Parsleystair/Routing/RouteConfiguration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace parsleystair {

/// Finds the route of a request in one version of the configuration.
class route_table
{
public:
  explicit route_table(route_configuration aConfiguration);

  [[nodiscard]] const route_configuration& Configuration() const
  {
    return mConfiguration;
  }

  /// Route of the host with the longest prefix that matches the path; null if
  /// there is none. A port in the host is ignored.
  [[nodiscard]] std::shared_ptr<const route> Find(std::string_view aHost,
                                                  std::string_view aPath) const;

  /// Returns null if the configuration has no service of that name.
  [[nodiscard]] const routed_service* FindService(
    const service_name& aName) const;

private:
  route_configuration mConfiguration;
  std::unordered_map<std::string, std::shared_ptr<const route>> mRoutes;
};

} // namespace parsleystair
