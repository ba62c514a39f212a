#include "Parsleystair/Gateway/PeerReport.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

std::string EncodePeerReport(const peer_report& aReport)
{
  return nlohmann::json{
    { "host", aReport.mRouter.mHost },
    { "failureDomain", aReport.mRouter.mFailureDomain.Value() },
    { "knownRouters", aReport.mKnownRouters },
    { "configuration", aReport.mConfigurationVersion },
    { "load", EncodeLoadReport(aReport.mLoad) }
  }.dump();
}

peer_report DecodePeerReport(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    peer_report report;
    report.mRouter = { json.at("host").get<std::string>(),
                       failure_domain_name(
                         json.at("failureDomain").get<std::string>()) };
    report.mKnownRouters = json.at("knownRouters").get<uint64_t>();
    report.mConfigurationVersion = json.value("configuration", uint64_t{ 0 });
    report.mLoad = DecodeLoadReport(json.at("load").get<std::string>());
    return report;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("malformed peer report: ") +
                      exception.what());
  }
}

std::string EncodeRouterList(const router_list& aRouters)
{
  nlohmann::json json = nlohmann::json::object();
  for (const router_entry& router : aRouters) {
    json[router.mFailureDomain.Value()].push_back(router.mHost);
  }
  return json.dump();
}

router_list DecodeRouterList(const std::string& aText)
{
  try {
    router_list routers;
    const nlohmann::json json = nlohmann::json::parse(aText);
    for (const auto& [domain, hosts] : json.items()) {
      for (const nlohmann::json& host : hosts) {
        routers.push_back(
          { host.get<std::string>(), failure_domain_name(domain) });
      }
    }
    std::sort(routers.begin(), routers.end());
    return routers;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("malformed list of routers: ") +
                      exception.what());
  }
}

uint64_t RouterListDigest(const router_list& aRouters)
{
  return std::max<uint64_t>(1, Hash64(EncodeRouterList(aRouters)));
}

} // namespace parsleystair
