#include "Parsleystair/Ownership/GrantMessage.h"

#include "Parsleystair/Core/Error.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json EncodeSlotId(const slot_id& aSlot)
{
  return { { "service", aSlot.mService.Value() },
           { "slot", aSlot.mSlot.Value() } };
}

slot_id DecodeSlotId(const json& aValue)
{
  return { service_name(aValue.at("service").get<std::string>()),
           slot_index(aValue.at("slot").get<uint32_t>()) };
}

json EncodeGroupGrant(const group_grant& aGrant)
{
  json value = { { "group", aGrant.mGroup.Value() },
                 { "revision", aGrant.mRevision.Value() } };
  if (!aGrant.mSlots) {
    return value;
  }
  json slots = json::array();
  for (const granted_slot& granted : *aGrant.mSlots) {
    json slot = EncodeSlotId(granted.mSlot);
    slot["fence"] = granted.mFence.Value();
    slots.push_back(std::move(slot));
  }
  value["slots"] = std::move(slots);
  return value;
}

group_grant DecodeGroupGrant(const json& aValue)
{
  group_grant grant;
  grant.mGroup = group_index(aValue.at("group").get<uint32_t>());
  grant.mRevision = store_revision(aValue.at("revision").get<uint64_t>());
  if (!aValue.contains("slots")) {
    return grant;
  }
  grant.mSlots.emplace();
  for (const json& slot : aValue.at("slots")) {
    grant.mSlots->push_back(
      { DecodeSlotId(slot), fence(slot.at("fence").get<uint64_t>()) });
  }
  return grant;
}

json EncodeGroups(const std::vector<group_index>& aGroups)
{
  json value = json::array();
  for (const group_index& group : aGroups) {
    value.push_back(group.Value());
  }
  return value;
}

std::vector<group_index> DecodeGroups(const json& aValue)
{
  std::vector<group_index> groups;
  for (const json& group : aValue) {
    groups.emplace_back(group.get<uint32_t>());
  }
  return groups;
}

json EncodeBusy(const busy_slots& aBusy)
{
  json slots = json::array();
  for (const slot_id& slot : aBusy.mSlots) {
    slots.push_back(EncodeSlotId(slot));
  }
  return { { "group", aBusy.mGroup.Value() }, { "slots", std::move(slots) } };
}

busy_slots DecodeBusy(const json& aValue)
{
  busy_slots busy;
  busy.mGroup = group_index(aValue.at("group").get<uint32_t>());
  for (const json& slot : aValue.at("slots")) {
    busy.mSlots.push_back(DecodeSlotId(slot));
  }
  return busy;
}

/// Converts exceptions of the JSON library to `parse_error` and prefixes the
/// name of the message.
template<typename Decode>
auto DecodeText(const char* aName, const std::string& aText, Decode aDecode)
{
  try {
    return aDecode(json::parse(aText));
  } catch (const json::exception& exception) {
    throw parse_error(std::string(aName) + ": " + exception.what());
  }
}

} // namespace

std::string EncodeGrantMessage(const grant_message& aMessage)
{
  json groups = json::array();
  for (const group_grant& grant : aMessage.mGroups) {
    groups.push_back(EncodeGroupGrant(grant));
  }
  const json value = { { "vm", aMessage.mVm.Value() },
                       { "base", aMessage.mBaseClockMs },
                       { "boot", aMessage.mBootId },
                       { "ttlMs", aMessage.mTtlMs },
                       { "groups", std::move(groups) } };
  return value.dump();
}

grant_message DecodeGrantMessage(const std::string& aText)
{
  return DecodeText("grant message", aText, [](const json& aValue) {
    grant_message message;
    message.mVm = vm_name(aValue.at("vm").get<std::string>());
    message.mBaseClockMs = aValue.at("base").get<uint64_t>();
    message.mBootId = aValue.at("boot").get<uint64_t>();
    message.mTtlMs = aValue.at("ttlMs").get<uint32_t>();
    for (const json& grant : aValue.at("groups")) {
      message.mGroups.push_back(DecodeGroupGrant(grant));
    }
    return message;
  });
}

std::string EncodeGrantReply(const grant_reply& aReply)
{
  json accepted = json::array();
  for (const accepted_grant& grant : aReply.mAccepted) {
    accepted.push_back({ { "group", grant.mGroup.Value() },
                         { "revision", grant.mRevision.Value() } });
  }
  json busy = json::array();
  for (const busy_slots& slots : aReply.mBusy) {
    busy.push_back(EncodeBusy(slots));
  }
  const json value = { { "clockMs", aReply.mClockMs },
                       { "boot", aReply.mBootId },
                       { "accepted", std::move(accepted) },
                       { "stale", EncodeGroups(aReply.mStale) },
                       { "unknown", EncodeGroups(aReply.mUnknown) },
                       { "busy", std::move(busy) } };
  return value.dump();
}

grant_reply DecodeGrantReply(const std::string& aText)
{
  return DecodeText("grant reply", aText, [](const json& aValue) {
    grant_reply reply;
    reply.mClockMs = aValue.at("clockMs").get<uint64_t>();
    reply.mBootId = aValue.at("boot").get<uint64_t>();
    for (const json& grant : aValue.at("accepted")) {
      reply.mAccepted.push_back(
        { group_index(grant.at("group").get<uint32_t>()),
          store_revision(grant.at("revision").get<uint64_t>()) });
    }
    reply.mStale = DecodeGroups(aValue.at("stale"));
    reply.mUnknown = DecodeGroups(aValue.at("unknown"));
    for (const json& busy : aValue.at("busy")) {
      reply.mBusy.push_back(DecodeBusy(busy));
    }
    return reply;
  });
}

} // namespace parsleystair
