#include "Parsleystair/Gateway/LeaderEntry.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using nlohmann::json;

json ToJson(const leader_entry& aEntry)
{
  return { { "vm", aEntry.mVm.Value() },
           { "incarnation", aEntry.mIncarnation.Value() },
           { "host", aEntry.mHost },
           { "port", aEntry.mPort },
           { "term", aEntry.mTerm.Value() },
           { "lease", aEntry.mLease.Value() } };
}

leader_entry FromJson(const json& aJson)
{
  return { vm_name(aJson.at("vm").get<std::string>()),
           incarnation(aJson.at("incarnation").get<uint64_t>()),
           aJson.at("host").get<std::string>(),
           aJson.at("port").get<uint16_t>(),
           term_number(aJson.value("term", uint64_t{ 0 })),
           lease_id(aJson.value("lease", uint64_t{ 0 })) };
}

} // namespace

std::string EncodeLeaderEntry(const leader_entry& aEntry)
{
  return ToJson(aEntry).dump();
}

leader_entry DecodeLeaderEntry(const std::string& aText)
{
  try {
    return FromJson(json::parse(aText));
  } catch (const json::exception& exception) {
    throw parse_error(std::string("invalid leader entry: ") + exception.what());
  }
}

void RemoveLeader(leader_terms& aTerms, const leader_entry& aEntry)
{
  std::erase_if(aTerms.mLeaders, [&](const leader_entry& aLeader) {
    return aLeader.mHost == aEntry.mHost && aLeader.mPort == aEntry.mPort;
  });
}

std::string EncodeLeaderTerms(const leader_terms& aTerms)
{
  json leaders = json::array();
  for (const leader_entry& each : aTerms.mLeaders) {
    leaders.push_back(ToJson(each));
  }
  json encoded = { { "next", aTerms.mNext.Value() },
                   { "leaders", std::move(leaders) } };
  if (!aTerms.mRecovered) {
    encoded["recovered"] = false;
  }
  if (aTerms.mLostGrantsExpireIn) {
    encoded["lostGrantsExpireInUs"] = aTerms.mLostGrantsExpireIn->count();
  }
  return encoded.dump();
}

leader_terms DecodeLeaderTerms(const std::string& aText)
{
  try {
    const json parsed = json::parse(aText);
    leader_terms terms;
    terms.mNext = term_number(parsed.at("next").get<uint64_t>());
    terms.mRecovered = parsed.value("recovered", true);
    if (parsed.contains("lostGrantsExpireInUs")) {
      const auto count = parsed.at("lostGrantsExpireInUs").get<int64_t>();
      if (count < 0) {
        throw parse_error("invalid leader terms: lostGrantsExpireInUs is " +
                          std::to_string(count));
      }
      terms.mLostGrantsExpireIn = duration(count);
    }
    for (const json& each : parsed.at("leaders")) {
      terms.mLeaders.push_back(FromJson(each));
    }
    return terms;
  } catch (const json::exception& exception) {
    throw parse_error(std::string("invalid leader terms: ") + exception.what());
  }
}

} // namespace parsleystair
