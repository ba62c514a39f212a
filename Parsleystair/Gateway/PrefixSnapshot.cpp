#include "Parsleystair/Gateway/PrefixSnapshot.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/PeerMessage.h"

#include <nlohmann/json.hpp>
#include <set>

namespace parsleystair {

void prefix_snapshot::HandleRead(const prefix_reply& aReply)
{
  mItems.clear();
  for (const stored_item& item : aReply.mItems) {
    mItems[item.mKey] = item;
  }
  mRevision = aReply.mRevision;
  mIsComplete = true;
  mEncoded.clear();
}

void prefix_snapshot::HandleReply(store_revision aAfter,
                                  const watch_reply& aReply)
{
  if (aAfter != mRevision || EraOf(aReply.mRevision) != EraOf(mRevision)) {
    mIsComplete = false;
    mItems.clear();
    return;
  }
  for (const item_change& change : aReply.mChanges) {
    if (change.mValue) {
      mItems[change.mKey] = { change.mKey, *change.mValue, change.mRevision };
    } else {
      mItems.erase(change.mKey);
    }
  }
  if (mRevision < aReply.mRevision) {
    mRevision = aReply.mRevision;
    mEncoded.clear();
  }
}

std::optional<watch_reply> prefix_snapshot::ChangesUntil(
  const prefix_reply& aReply) const
{
  if (!mIsComplete || EraOf(aReply.mRevision) != EraOf(mRevision) ||
      aReply.mRevision < mRevision) {
    return std::nullopt;
  }
  watch_reply changes{
    call_outcome::kDone, {}, aReply.mRevision, aReply.mConfirmedAt
  };
  std::set<std::string> remaining;
  for (const stored_item& item : aReply.mItems) {
    remaining.insert(item.mKey);
    const auto known = mItems.find(item.mKey);
    if (known == mItems.end() || known->second != item) {
      changes.mChanges.push_back({ item.mKey, item.mValue, item.mRevision });
    }
  }
  for (const auto& [key, item] : mItems) {
    if (!remaining.contains(key)) {
      changes.mChanges.push_back({ key, std::nullopt, aReply.mRevision });
    }
  }
  return changes;
}

const std::string& prefix_snapshot::Encoded() const
{
  if (mEncoded.empty()) {
    prefix_reply reply;
    reply.mRevision = mRevision;
    for (const auto& [key, item] : mItems) {
      reply.mItems.push_back(item);
    }
    mEncoded = EncodePrefixReply(reply);
  }
  return mEncoded;
}

std::string EncodePrefixReply(const prefix_reply& aReply)
{
  // Values are bytes. Base64 would hide most of their repetition from the
  // compression.
  nlohmann::json items = nlohmann::json::array();
  for (const stored_item& item : aReply.mItems) {
    items.push_back(
      { item.mKey,
        nlohmann::json::binary({ item.mValue.begin(), item.mValue.end() }),
        item.mRevision.Value() });
  }
  const std::vector<uint8_t> bytes =
    nlohmann::json::to_cbor({ { "revision", aReply.mRevision.Value() },
                              { "items", std::move(items) } });
  return Compress(
    { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

prefix_reply DecodePrefixReply(const std::string& aText)
{
  try {
    const nlohmann::json json = ReadCborMessage(aText);
    prefix_reply reply;
    reply.mOutcome = call_outcome::kDone;
    reply.mRevision = store_revision(json.at("revision").get<uint64_t>());
    for (const nlohmann::json& each : json.at("items")) {
      const auto& value = each.at(1).get_binary();
      reply.mItems.push_back({ each.at(0).get<std::string>(),
                               { value.begin(), value.end() },
                               store_revision(each.at(2).get<uint64_t>()) });
    }
    return reply;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid prefix reply: ") + exception.what());
  }
}

} // namespace parsleystair
