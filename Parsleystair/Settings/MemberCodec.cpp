#include "Parsleystair/Settings/MemberCodec.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Settings/ConfigurationMembers.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

NLOHMANN_JSON_SERIALIZE_ENUM(key_source,
                             { { key_source::kPath, "path" },
                               { key_source::kHeader, "header" },
                               { key_source::kQuery, "query" } })

NLOHMANN_JSON_SERIALIZE_ENUM(missing_key_policy,
                             { { missing_key_policy::kRefuse, "refuse" },
                               { missing_key_policy::kSendOnce, "send-once" } })

NLOHMANN_JSON_SERIALIZE_ENUM(key_format,
                             { { key_format::kUuidV7, "uuidv7" },
                               { key_format::kAny, "any" } })

NLOHMANN_JSON_SERIALIZE_ENUM(ownership_mode,
                             { { ownership_mode::kExclusive, "exclusive" },
                               { ownership_mode::kShared, "shared" } })

namespace {

using json = nlohmann::json;

template<typename T>
json ToJson(const T& aValue)
{
  return aValue;
}

template<typename Tag, typename Rep>
json ToJson(const strong_id<Tag, Rep>& aValue)
{
  return aValue.Value();
}

json ToJson(const duration& aValue)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count();
}

json ToJson(const std::vector<no_move_window>& aValue)
{
  json windows = json::array();
  for (const no_move_window& window : aValue) {
    windows.push_back({ { "fromMinute", window.mFromMinute },
                        { "toMinute", window.mToMinute } });
  }
  return windows;
}

template<typename T>
void FromJson(const json& aJson, T& aValue)
{
  aJson.get_to(aValue);
}

template<typename Tag, typename Rep>
void FromJson(const json& aJson, strong_id<Tag, Rep>& aValue)
{
  aValue = strong_id<Tag, Rep>(aJson.get<Rep>());
}

void FromJson(const json& aJson, duration& aValue)
{
  aValue = std::chrono::milliseconds(aJson.get<int64_t>());
}

void FromJson(const json& aJson, std::vector<no_move_window>& aValue)
{
  aValue.clear();
  for (const json& window : aJson) {
    aValue.push_back({ window.at("fromMinute").get<uint32_t>(),
                       window.at("toMinute").get<uint32_t>() });
  }
}

} // namespace

template<typename T>
std::string EncodeMembers(const T& aValue, const member_names* aNames)
{
  json object = json::object();
  VisitMembers(&aValue, [&](const char* aName, auto aMember) {
    if (aNames == nullptr || aNames->contains(aName)) {
      object[aName] = ToJson(aValue.*aMember);
    }
  });
  return object.dump();
}

template<typename T>
member_names DecodeMembers(const std::string& aText, T& aValue)
{
  const json object = json::parse(aText);
  member_names names;
  VisitMembers(&aValue, [&](const char* aName, auto aMember) {
    const auto found = object.find(aName);
    if (found != object.end()) {
      FromJson(*found, aValue.*aMember);
      names.insert(aName);
    }
  });
  return names;
}

template<typename T>
std::string EncodeMember(const T& aValue, const std::string& aName)
{
  std::string text;
  VisitMembers(&aValue, [&](const char* aCandidate, auto aMember) {
    if (aName == aCandidate) {
      text = ToJson(aValue.*aMember).dump();
    }
  });
  PARSLEYSTAIR_INVARIANT(!text.empty());
  return text;
}

template<typename T>
member_names DifferentMembers(const T& aLeft, const T& aRight)
{
  member_names names;
  VisitMembers(&aLeft, [&](const char* aName, auto aMember) {
    if (aLeft.*aMember != aRight.*aMember) {
      names.insert(aName);
    }
  });
  return names;
}

template<typename T>
void CopyMembers(const member_names& aNames, const T& aFrom, T& aTo)
{
  VisitMembers(&aFrom, [&](const char* aName, auto aMember) {
    if (aNames.contains(aName)) {
      aTo.*aMember = aFrom.*aMember;
    }
  });
}

#define PARSLEYSTAIR_MEMBER_CODEC(aType)                                       \
  template std::string EncodeMembers(const aType&, const member_names*);       \
  template member_names DecodeMembers(const std::string&, aType&);             \
  template std::string EncodeMember(const aType&, const std::string&);         \
  template member_names DifferentMembers(const aType&, const aType&);          \
  template void CopyMembers(const member_names&, const aType&, aType&);

PARSLEYSTAIR_MEMBER_CODEC(request_rule)
PARSLEYSTAIR_MEMBER_CODEC(target_configuration)
PARSLEYSTAIR_MEMBER_CODEC(service_configuration)
PARSLEYSTAIR_MEMBER_CODEC(measure_weights)
PARSLEYSTAIR_MEMBER_CODEC(failure_domain_configuration)

} // namespace parsleystair
