#include "Parsleystair/Settings/ConfigurationCodec.h"

#include "Parsleystair/Settings/ConfigurationCheck.h"
#include "Parsleystair/Settings/ConfigurationSchema.h"
#include "Parsleystair/Settings/JsonShape.h"
#include "Parsleystair/Settings/MemberCodec.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

template<typename T>
json EncodeList(const std::vector<T>& aValues)
{
  json list = json::array();
  for (const T& value : aValues) {
    list.push_back(json::parse(EncodeMembers(value)));
  }
  return list;
}

template<typename T>
void DecodeList(const json& aObject, const char* aName, std::vector<T>& aValues)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return;
  }
  for (const json& element : *found) {
    DecodeMembers(element.dump(), aValues.emplace_back());
  }
}

configuration Decode(const json& aDocument)
{
  configuration result;
  result.mRevision =
    configuration_revision(aDocument.at("revision").get<uint64_t>());
  result.mGroupCount = aDocument.at("groupCount").get<uint32_t>();
  const json weights = aDocument.value("weights", json::object());
  DecodeMembers(weights.dump(), result.mWeights);
  DecodeList(aDocument, "failureDomains", result.mFailureDomains);
  for (const json& service : aDocument.at("services")) {
    result.mServices.push_back(DecodeService(service.dump()));
  }
  return result;
}

} // namespace

std::vector<value_problem> CheckConfigurationText(const std::string& aText)
{
  std::vector<value_problem> problems = ConfigurationShape().Check(aText);
  if (!problems.empty()) {
    return problems;
  }
  return CheckConfiguration(Decode(json::parse(aText)));
}

configuration ParseConfiguration(const std::string& aText)
{
  std::vector<value_problem> problems = ConfigurationShape().Check(aText);
  if (!problems.empty()) {
    throw value_problems_error(std::move(problems));
  }
  configuration result = Decode(json::parse(aText));
  problems = CheckConfiguration(result);
  if (!problems.empty()) {
    throw value_problems_error(std::move(problems));
  }
  return result;
}

std::string EncodeConfiguration(const configuration& aConfiguration)
{
  json services = json::array();
  for (const service_configuration& service : aConfiguration.mServices) {
    services.push_back(json::parse(EncodeService(service)));
  }
  const json document = {
    { "revision", aConfiguration.mRevision.Value() },
    { "groupCount", aConfiguration.mGroupCount },
    { "weights", json::parse(EncodeMembers(aConfiguration.mWeights)) },
    { "failureDomains", EncodeList(aConfiguration.mFailureDomains) },
    { "services", std::move(services) }
  };
  return document.dump();
}

std::string EncodeService(const service_configuration& aService)
{
  json service = json::parse(EncodeMembers(aService));
  service["targets"] = EncodeList(aService.mTargets);
  service["rules"] = EncodeList(aService.mRules);
  return service.dump();
}

service_configuration DecodeService(const std::string& aText)
{
  const json document = json::parse(aText);
  service_configuration service;
  DecodeMembers(aText, service);
  DecodeList(document, "targets", service.mTargets);
  DecodeList(document, "rules", service.mRules);
  return service;
}

} // namespace parsleystair
