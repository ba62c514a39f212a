#include "Parsleystair/Gateway/PeerReport.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Gateway/CrashMessages.h"
#include "Parsleystair/Gateway/PeerMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

std::string EncodePeerReport(const peer_report& aReport)
{
  nlohmann::json json{ { "host", aReport.mRouter.mHost },
                       { "failureDomain",
                         aReport.mRouter.mFailureDomain.Value() },
                       { "large", aReport.mRouter.mIsLarge },
                       { "knownRouters", aReport.mKnownRouters },
                       { "configuration", aReport.mConfigurationVersion },
                       { "knownLimits", aReport.mKnownLimits },
                       { "load", EncodeLoadReport(aReport.mLoad) } };
  // Both are rare, and reports are sent often.
  if (aReport.mKnownCrashes != 0) {
    json["knownCrashes"] = aReport.mKnownCrashes;
  }
  const std::string crashes = EncodeCrashReport(aReport.mCrashes);
  if (!crashes.empty()) {
    json["crashes"] = crashes;
  }
  return json.dump();
}

peer_report DecodePeerReport(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    peer_report report;
    report.mRouter = { json.at("host").get<std::string>(),
                       failure_domain_name(
                         json.at("failureDomain").get<std::string>()),
                       json.value("large", false) };
    report.mKnownRouters = json.at("knownRouters").get<uint64_t>();
    report.mConfigurationVersion = json.value("configuration", uint64_t{ 0 });
    report.mKnownLimits = json.value("knownLimits", uint64_t{ 0 });
    report.mKnownCrashes = json.value("knownCrashes", uint64_t{ 0 });
    report.mCrashes = DecodeCrashReport(json.value("crashes", std::string()));
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
    // An entry of a large machine is an array, to keep the others short.
    nlohmann::json& entries = json[router.mFailureDomain.Value()];
    if (router.mIsLarge) {
      entries.push_back(nlohmann::json::array({ router.mHost }));
    } else {
      entries.push_back(router.mHost);
    }
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
        const bool isLarge = host.is_array();
        routers.push_back({ (isLarge ? host.at(0) : host).get<std::string>(),
                            failure_domain_name(domain),
                            isLarge });
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

std::string EncodeServiceLimits(const service_limits& aLimits)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, limits] : aLimits) {
    nlohmann::json& rows = json[service.Value()];
    for (const key_limit& each : limits) {
      rows.push_back(nlohmann::json::array(
        { each.mKeys.mFirst, each.mKeys.mLast, each.mShare }));
    }
  }
  return json.dump();
}

service_limits DecodeServiceLimits(const std::string& aText)
{
  try {
    service_limits limits;
    const nlohmann::json json = nlohmann::json::parse(aText);
    for (const auto& [service, rows] : json.items()) {
      for (const nlohmann::json& row : rows) {
        limits[service_name(service)].push_back(
          { { row.at(0).get<uint32_t>(), row.at(1).get<uint32_t>() },
            row.at(2).get<double>() });
      }
    }
    return limits;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("malformed limits of keys: ") +
                      exception.what());
  }
}

uint64_t ServiceLimitsDigest(const service_limits& aLimits)
{
  return aLimits.empty()
           ? 0
           : std::max<uint64_t>(1, Hash64(EncodeServiceLimits(aLimits)));
}

std::string EncodeReportResponse(const report_response& aResponse)
{
  nlohmann::json json = nlohmann::json::object();
  if (aResponse.mRouters) {
    json["routers"] = EncodeRouterList(*aResponse.mRouters);
  }
  if (aResponse.mLimits) {
    json["limits"] = EncodeServiceLimits(*aResponse.mLimits);
  }
  if (aResponse.mCrashes) {
    json["crashes"] = EncodeCrashRecords(*aResponse.mCrashes);
  }
  return json.empty() ? "" : Compress(json.dump());
}

report_response DecodeReportResponse(const std::string& aText)
{
  report_response response;
  if (aText.empty()) {
    return response;
  }
  try {
    const nlohmann::json json =
      nlohmann::json::parse(Decompress(aText, kMaxPeerMessageBytes));
    if (json.contains("routers")) {
      response.mRouters =
        DecodeRouterList(json.at("routers").get<std::string>());
    }
    if (json.contains("limits")) {
      response.mLimits =
        DecodeServiceLimits(json.at("limits").get<std::string>());
    }
    if (json.contains("crashes")) {
      response.mCrashes =
        DecodeCrashRecords(json.at("crashes").get<std::string>());
    }
    return response;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("malformed response to a report: ") +
                      exception.what());
  }
}

} // namespace parsleystair
