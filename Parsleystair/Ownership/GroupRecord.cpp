#include "Parsleystair/Ownership/GroupRecord.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr uint32_t kFormatVersion = 1;
/// The store rejects larger values.
constexpr size_t kMaxTextBytes = 1'000'000;
/// Highest slot index: 65,536 slots and as many named keys.
constexpr uint64_t kMaxSlot = 131'071;
/// A slot is encoded as three numbers in one flat array: the difference to the
/// previous slot index, the index of the owner, and the index of the pair of
/// fence and time. Owners and fences repeat, so a slot takes about 9 bytes.
constexpr size_t kNumbersPerSlot = 3;

std::string Checksum(const std::string& aBody)
{
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, Hash64(aBody));
  return text;
}

uint64_t ReadNumber(const json& aValue,
                    uint64_t aMax = std::numeric_limits<uint64_t>::max())
{
  if (!aValue.is_number_unsigned() || aValue.get<uint64_t>() > aMax) {
    throw parse_error("group record: " + aValue.dump() +
                      " is not a number from 0 to " + std::to_string(aMax));
  }
  return aValue.get<uint64_t>();
}

/// Returns the element of a dictionary at an encoded index.
const json& Lookup(const json& aDictionary, const json& aIndex)
{
  const uint64_t index = ReadNumber(aIndex);
  if (!aDictionary.is_array() || index >= aDictionary.size()) {
    throw parse_error("group record: index " + std::to_string(index) +
                      " is outside its dictionary");
  }
  return aDictionary[index];
}

/// Assigns indexes to distinct values in the order of their first use.
template<typename Value>
class dictionary
{
public:
  size_t IndexOf(const Value& aValue)
  {
    const auto [found, added] = mIndexes.emplace(aValue, mValues.size());
    if (added) {
      mValues.push_back(aValue);
    }
    return found->second;
  }

  [[nodiscard]] const std::vector<Value>& Values() const { return mValues; }

private:
  std::map<Value, size_t> mIndexes;
  std::vector<Value> mValues;
};

/// Encodes the slots of one service.
class service_encoder
{
public:
  void Add(slot_index aSlot, const slot_ownership& aOwnership)
  {
    mSlots.push_back(aSlot.Value() - mPreviousSlot);
    mSlots.push_back(mTargets.IndexOf(aOwnership.mOwner.Value()));
    mSlots.push_back(
      mFences.IndexOf({ aOwnership.mFence.Value(), aOwnership.mSinceMs }));
    mPreviousSlot = aSlot.Value();
    if (aOwnership.mMove) {
      mMoves.push_back(
        { aSlot.Value(),
          mTargets.IndexOf(aOwnership.mMove->mDestination.Value()),
          static_cast<uint32_t>(aOwnership.mMove->mReason) });
    }
  }

  [[nodiscard]] json Finish(const service_name& aName) const
  {
    return { { "name", aName.Value() },
             { "targets", mTargets.Values() },
             { "fences", mFences.Values() },
             { "slots", mSlots },
             { "moves", mMoves } };
  }

private:
  uint32_t mPreviousSlot = 0;
  dictionary<std::string> mTargets;
  dictionary<std::pair<uint64_t, uint64_t>> mFences;
  json mSlots = json::array();
  json mMoves = json::array();
};

json EncodeHolders(const std::vector<group_holder>& aHolders)
{
  json holders = json::array();
  for (const group_holder& holder : aHolders) {
    holders.push_back({ { "vm", holder.mVm.Value() },
                        { "incarnation", holder.mIncarnation.Value() },
                        { "joining", holder.mJoining } });
  }
  return holders;
}

json EncodeServices(const group_record& aRecord)
{
  json services = json::array();
  auto slot = aRecord.mSlots.begin();
  while (slot != aRecord.mSlots.end()) {
    const service_name& name = slot->first.mService;
    service_encoder encoder;
    for (; slot != aRecord.mSlots.end() && slot->first.mService == name;
         ++slot) {
      encoder.Add(slot->first.mSlot, slot->second);
    }
    services.push_back(encoder.Finish(name));
  }
  return services;
}

std::vector<group_holder> DecodeHolders(const json& aValue)
{
  std::vector<group_holder> holders;
  for (const json& holder : aValue) {
    holders.push_back({ vm_name(holder.at("vm").get<std::string>()),
                        incarnation(ReadNumber(holder.at("incarnation"))),
                        holder.at("joining").get<bool>() });
  }
  return holders;
}

slot_ownership DecodeOwnership(const json& aService,
                               const json& aOwner,
                               const json& aFence)
{
  slot_ownership ownership;
  ownership.mOwner =
    target_name(Lookup(aService.at("targets"), aOwner).get<std::string>());
  const json& pair = Lookup(aService.at("fences"), aFence);
  ownership.mFence = fence(ReadNumber(pair.at(0)));
  ownership.mSinceMs = ReadNumber(pair.at(1));
  return ownership;
}

void DecodeMoves(const json& aService,
                 const service_name& aName,
                 group_record& aRecord)
{
  constexpr auto kLastReason = static_cast<uint64_t>(move_reason::kOperator);
  for (const json& move : aService.at("moves")) {
    const slot_index slot(
      static_cast<uint32_t>(ReadNumber(move.at(0), kMaxSlot)));
    const auto found = aRecord.mSlots.find({ aName, slot });
    if (found == aRecord.mSlots.end()) {
      throw parse_error("group record: a move names a slot that is not listed");
    }
    const std::string to =
      Lookup(aService.at("targets"), move.at(1)).get<std::string>();
    const auto reason =
      static_cast<move_reason>(ReadNumber(move.at(2), kLastReason));
    found->second.mMove = slot_move{ target_name(to), reason };
  }
}

void DecodeService(const json& aService, group_record& aRecord)
{
  const service_name name(aService.at("name").get<std::string>());
  const json& slots = aService.at("slots");
  if (!slots.is_array() || slots.size() % kNumbersPerSlot != 0) {
    throw parse_error("group record: the list of slots is incomplete");
  }
  uint64_t slot = 0;
  for (size_t i = 0; i < slots.size(); i += kNumbersPerSlot) {
    slot += ReadNumber(slots[i], kMaxSlot);
    if (slot > kMaxSlot) {
      throw parse_error("group record: slot index is out of range");
    }
    const slot_id id{ name, slot_index(static_cast<uint32_t>(slot)) };
    const auto ownership =
      DecodeOwnership(aService, slots[i + 1], slots[i + 2]);
    if (!aRecord.mSlots.emplace(id, ownership).second) {
      throw parse_error("group record: a slot is listed twice");
    }
  }
  DecodeMoves(aService, name, aRecord);
}

group_record DecodeBody(const json& aText, store_revision aRevision)
{
  const json& body = aText.at("record");
  if (aText.at("checksum").get<std::string>() != Checksum(body.dump())) {
    throw parse_error("group record: wrong checksum");
  }
  if (ReadNumber(body.at("version")) != kFormatVersion) {
    throw parse_error("group record: unknown format version");
  }
  group_record record;
  record.mGroup = group_index(static_cast<uint32_t>(
    ReadNumber(body.at("group"), std::numeric_limits<uint32_t>::max())));
  record.mRevision = aRevision;
  record.mHolders = DecodeHolders(body.at("holders"));
  record.mRecordsLostUntilMs = ReadNumber(body.at("recordsLostUntilMs"));
  for (const json& service : body.at("services")) {
    DecodeService(service, record);
  }
  return record;
}

} // namespace

std::string EncodeGroupRecord(const group_record& aRecord)
{
  const json body = { { "version", kFormatVersion },
                      { "group", aRecord.mGroup.Value() },
                      { "holders", EncodeHolders(aRecord.mHolders) },
                      { "recordsLostUntilMs", aRecord.mRecordsLostUntilMs },
                      { "services", EncodeServices(aRecord) } };
  const std::string bodyText = body.dump();
  std::string text =
    R"({"checksum":")" + Checksum(bodyText) + R"(","record":)" + bodyText + "}";
  PARSLEYSTAIR_INVARIANT(text.size() <= kMaxTextBytes);
  return text;
}

group_record DecodeGroupRecord(const std::string& aText,
                               store_revision aRevision)
{
  try {
    return DecodeBody(json::parse(aText), aRevision);
  } catch (const json::exception& exception) {
    throw parse_error(std::string("group record: ") + exception.what());
  }
}

std::string GroupKey(group_index aGroup)
{
  return kGroupPrefix + std::to_string(aGroup.Value());
}

} // namespace parsleystair
