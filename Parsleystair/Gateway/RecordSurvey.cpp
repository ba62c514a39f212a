#include "Parsleystair/Gateway/RecordSurvey.h"

#include "Parsleystair/Core/Error.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Upper limit of times in a response; longer than any grant lasts.
constexpr duration kMaxExpiryTime = 1h;
/// Assumed for routers of earlier versions, which tell only that there may be
/// such grants.
constexpr duration kUnknownForgottenGrantsTime = kMaxExpiryTime;

duration ReadDuration(const nlohmann::json& aJson,
                      const char* aName,
                      duration aDefault)
{
  const auto longest = static_cast<uint64_t>(kMaxExpiryTime.count());
  const uint64_t value =
    aJson.value(aName, static_cast<uint64_t>(aDefault.count()));
  return duration(static_cast<int64_t>(std::min(value, longest)));
}

} // namespace

std::string EncodeSurveyResponse(const survey_response& aResponse)
{
  const abdication_reply& reply = aResponse.mReply;
  // Routers of earlier versions read `knowsGranted` only.
  nlohmann::json json{
    { "records", EncodeOwnerRecords(aResponse.mRecords) },
    { "knowsGranted", reply.mForgottenGrantsExpireIn == duration::zero() },
    { "forgottenGrantsExpireInUs", reply.mForgottenGrantsExpireIn.count() },
    { "routers", reply.mRouters }
  };
  if (reply.mLostGrantsExpireIn) {
    json["lostGrantsExpireInUs"] = reply.mLostGrantsExpireIn->count();
  }
  return json.dump();
}

survey_response DecodeSurveyResponse(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    survey_response response;
    response.mRecords =
      DecodeOwnerRecords(json.at("records").get<std::string>());
    abdication_reply& reply = response.mReply;
    reply.mForgottenGrantsExpireIn = duration::zero();
    if (!json.at("knowsGranted").get<bool>()) {
      reply.mForgottenGrantsExpireIn = ReadDuration(
        json, "forgottenGrantsExpireInUs", kUnknownForgottenGrantsTime);
    }
    if (json.contains("lostGrantsExpireInUs")) {
      reply.mLostGrantsExpireIn =
        ReadDuration(json, "lostGrantsExpireInUs", duration::zero());
    }
    reply.mRouters = json.at("routers").get<std::vector<std::string>>();
    return response;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid survey response: ") +
                      exception.what());
  }
}

std::string EncodeLostGrants(const lost_grants& aLostGrants)
{
  return std::to_string(aLostGrants.mEra.Value()) + " " +
         std::to_string(aLostGrants.mExpireIn.count());
}

std::optional<lost_grants> DecodeLostGrants(const std::string& aText)
{
  uint64_t era = 0;
  uint64_t microseconds = 0;
  const char* end = aText.data() + aText.size();
  const auto eraResult = std::from_chars(aText.data(), end, era);
  if (eraResult.ec != std::errc() || eraResult.ptr == end ||
      *eraResult.ptr != ' ') {
    return std::nullopt;
  }
  const auto result = std::from_chars(eraResult.ptr + 1, end, microseconds);
  const auto longest = static_cast<uint64_t>(kMaxExpiryTime.count());
  if (result.ec != std::errc() || result.ptr != end || microseconds > longest) {
    return std::nullopt;
  }
  return lost_grants{ store_era(era),
                      duration(static_cast<int64_t>(microseconds)) };
}

} // namespace parsleystair
