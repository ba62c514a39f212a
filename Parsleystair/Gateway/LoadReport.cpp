#include "Parsleystair/Gateway/LoadReport.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

std::string EncodeLoadReport(const load_report& aReport)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, counts] : aReport) {
    nlohmann::json& list = json[service.Value()];
    list = nlohmann::json::array();
    for (const auto& [bucket, count] : counts) {
      list.push_back({ bucket.Value(), count });
    }
  }
  return json.dump();
}

load_report DecodeLoadReport(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    load_report report;
    for (const auto& [service, list] : json.items()) {
      key_counts& counts = report[service_name(service)];
      for (const nlohmann::json& each : list) {
        counts[key_bucket(each.at(0).get<uint32_t>())] +=
          each.at(1).get<uint32_t>();
      }
    }
    return report;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("not a load report: ") + exception.what());
  }
}

} // namespace parsleystair
