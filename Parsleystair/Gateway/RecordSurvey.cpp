#include "Parsleystair/Gateway/RecordSurvey.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

std::string EncodeSurveyResponse(const survey_response& aResponse)
{
  return nlohmann::json{
    { "records", EncodeOwnerRecords(aResponse.mRecords) },
    { "knowsGranted", aResponse.mKnowsGrantedRecords },
    { "routers", aResponse.mRouters }
  }.dump();
}

survey_response DecodeSurveyResponse(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    return { DecodeOwnerRecords(json.at("records").get<std::string>()),
             json.at("knowsGranted").get<bool>(),
             json.at("routers").get<std::vector<std::string>>() };
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid survey response: ") +
                      exception.what());
  }
}

} // namespace parsleystair
