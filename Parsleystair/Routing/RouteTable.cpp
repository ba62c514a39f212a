#include "Parsleystair/Routing/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace parsleystair {

namespace {

/// Removes the port and converts to lower case, since host names are compared
/// without case (RFC 9110 section 4.2.3).
std::string NormalizeHost(std::string_view aHost)
{
  const size_t colon = aHost.rfind(':');
  const bool hasPort =
    colon != std::string_view::npos && aHost.find(']', colon) == aHost.npos;
  std::string host(hasPort ? aHost.substr(0, colon) : aHost);
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return host;
}

/// Joins host and prefix with a line break, which neither can contain.
std::string RouteKey(const std::string& aHost, std::string_view aPrefix)
{
  std::string key = aHost + "\n";
  key += aPrefix;
  return key;
}

} // namespace

route_table::route_table(route_configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const route& entry : mConfiguration.mRoutes) {
    mRoutes.emplace(RouteKey(NormalizeHost(entry.mHost), entry.mPrefix),
                    std::make_shared<const route>(entry));
  }
}

std::shared_ptr<const route> route_table::Find(std::string_view aHost,
                                               std::string_view aPath) const
{
  const std::string host = NormalizeHost(aHost);
  size_t end = aPath.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = mRoutes.find(RouteKey(host, aPath.substr(0, end + 1)));
    if (found != mRoutes.end()) {
      return found->second;
    }
    end = end == 0 ? std::string_view::npos : aPath.rfind('/', end - 1);
  }
  return nullptr;
}

const routed_service* route_table::FindService(const service_name& aName) const
{
  const auto found = mConfiguration.mServices.find(aName);
  return found == mConfiguration.mServices.end() ? nullptr : &found->second;
}

} // namespace parsleystair
