#include "Parsleystair/KeyRanges/LoadReport.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

std::string EncodeLoadReport(const load_report& aReport)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, load] : aReport) {
    nlohmann::json counts = nlohmann::json::array();
    for (const auto& [bucket, count] : load.mCounts) {
      counts.push_back({ bucket.Value(), count });
    }
    nlohmann::json latencies = nlohmann::json::object();
    for (const auto& [target, samples] : load.mLatencies) {
      latencies[target.Value()] = samples;
    }
    json[service.Value()] = { { "counts", std::move(counts) },
                              { "latencies", std::move(latencies) } };
  }
  return json.dump();
}

load_report DecodeLoadReport(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    load_report report;
    for (const auto& [service, value] : json.items()) {
      service_load& load = report[service_name(service)];
      for (const nlohmann::json& each : value.at("counts")) {
        load.mCounts[key_bucket(each.at(0).get<uint32_t>())] +=
          each.at(1).get<uint32_t>();
      }
      for (const auto& [target, samples] : value.at("latencies").items()) {
        load.mLatencies[target_name(target)] = samples.get<latency_samples>();
      }
    }
    return report;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid load report: ") + exception.what());
  }
}

} // namespace parsleystair
