#include "StandIns/standin_users_platform/OperatorConfiguration.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace parsleystair {

namespace {

using nlohmann::json;

/// Connections that a target takes from all routers together.
constexpr uint32_t kMaxConnections = 100;

json EncodeRoute(const operator_route& aRoute)
{
  json action = { { "service", aRoute.mService },
                  { "timeout_s", ToSeconds(aRoute.mTimeout) },
                  { "max_attempts", aRoute.mMaxAttempts } };
  if (!aRoute.mAllowedRegions.empty()) {
    action["allowed_regions"] = aRoute.mAllowedRegions;
  }
  return { { "name", aRoute.mName },
           { "kind", aRoute.mIdempotent ? "safe" : "unsafe" },
           { "target_latency_s", 1.0 },
           { "priority", 1 },
           { "match", { { "prefix", "/" + aRoute.mName + "/" } } },
           { "action", std::move(action) } };
}

json EncodeService(const operator_service& aService)
{
  json service = { { "name", aService.mName },
                   { "health_path", "/health" },
                   { "max_connections", kMaxConnections } };
  if (aService.mKeyed) {
    service["sharded"] = true;
    service["warm_s"] = 1;
  }
  if (aService.mSlowStartRate > 0) {
    service["slow_start_s"] = ToSeconds(aService.mSlowStart);
    service["warmup_per_s"] = aService.mSlowStartRate;
  }
  return service;
}

} // namespace

std::string TargetKey(const std::string& aTarget)
{
  return "servers/" + aTarget;
}

std::string EncodeOperatorConfiguration(
  uint32_t aVersion,
  const std::vector<operator_route>& aRoutes,
  const std::vector<operator_service>& aServices)
{
  std::ostringstream version;
  version << std::hex << std::setw(8) << std::setfill('0') << aVersion;
  json rules = json::array();
  for (const operator_route& route : aRoutes) {
    rules.push_back(EncodeRoute(route));
  }
  json clusters = json::array();
  for (const operator_service& service : aServices) {
    clusters.push_back(EncodeService(service));
  }
  const json configuration = {
    { "version", version.str() },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", 100000 },
        { "header_timeout_s", 3 },
        { "idle_timeout_s", 15 } } },
    { "listeners", { { { "host", "shop.example" }, { "rules", rules } } } },
    { "clusters", clusters }
  };
  return configuration.dump();
}

} // namespace parsleystair
