#include "Parsleystair/Gateway/WatchHistory.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/PeerMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Most changes kept: more than a burst has within the second by which a router
/// that uses the relay may be behind.
constexpr size_t kMaxChanges = 1'000;
/// Most bytes of their keys and values. All of them must fit into one message.
constexpr size_t kMaxBytes = kMaxPeerMessageBytes / 2;

size_t BytesOf(const item_change& aChange)
{
  return aChange.mKey.size() + (aChange.mValue ? aChange.mValue->size() : 0);
}

} // namespace

void watch_history::HandleReply(store_revision aAfter,
                                const watch_reply& aReply,
                                time_point aNow)
{
  if (aAfter != mCoveredUpTo) {
    mChanges.clear();
    mBytes = 0;
    mCoveredAfter = aAfter;
    mCoveredUpTo = aAfter;
  }
  for (const item_change& change : aReply.mChanges) {
    Add(change);
  }
  mCoveredUpTo = std::max(mCoveredUpTo, aReply.mRevision);
  while (mChanges.size() > kMaxChanges || mBytes > kMaxBytes) {
    // The changes that a read has shown are not in the order of revisions.
    mCoveredAfter = std::max(mCoveredAfter, mChanges.front().mRevision);
    mBytes -= BytesOf(mChanges.front());
    mChanges.pop_front();
  }
  mLastReplyAt = aNow;
  mConfirmedAt = std::max(mConfirmedAt, aReply.mConfirmedAt);
}

void watch_history::Add(const item_change& aChange)
{
  // Each router that lacks the earlier change of a key lacks this one, too.
  const auto earlier = std::find_if(
    mChanges.begin(), mChanges.end(), [&](const item_change& aKept) {
      return aKept.mKey == aChange.mKey;
    });
  if (earlier != mChanges.end()) {
    mBytes -= BytesOf(*earlier);
    mChanges.erase(earlier);
  }
  mBytes += BytesOf(aChange);
  mChanges.push_back(aChange);
}

void watch_history::HandleFailure()
{
  mLastReplyAt = time_point::min();
}

bool watch_history::Covers(store_revision aAfter, time_point aNow) const
{
  const bool fresh =
    mLastReplyAt != time_point::min() && aNow - mLastReplyAt <= kMaxReplyAge;
  return fresh && aAfter >= mCoveredAfter;
}

duration watch_history::Age(time_point aNow) const
{
  return mConfirmedAt == time_point::min() ? kUnknownAge : aNow - mConfirmedAt;
}

watch_reply watch_history::ChangesAfter(store_revision aAfter) const
{
  watch_reply reply;
  reply.mOutcome = call_outcome::kDone;
  reply.mRevision = std::max(mCoveredUpTo, aAfter);
  for (const item_change& change : mChanges) {
    if (change.mRevision > aAfter) {
      reply.mChanges.push_back(change);
    }
  }
  reply.mConfirmedAt = mConfirmedAt;
  return reply;
}

std::string EncodeWatchReply(const aged_watch_reply& aReply)
{
  nlohmann::json changes = nlohmann::json::array();
  for (const item_change& change : aReply.mReply.mChanges) {
    nlohmann::json each = { { "key", change.mKey },
                            { "revision", change.mRevision.Value() } };
    if (change.mValue) {
      each["value"] = nlohmann::json::binary(
        { change.mValue->begin(), change.mValue->end() });
    }
    changes.push_back(std::move(each));
  }
  const std::vector<uint8_t> bytes =
    nlohmann::json::to_cbor({ { "revision", aReply.mReply.mRevision.Value() },
                              { "age_us", aReply.mAge.count() },
                              { "changes", std::move(changes) } });
  return Compress(
    { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

aged_watch_reply DecodeWatchReply(const std::string& aText)
{
  try {
    const nlohmann::json json = ReadCborMessage(aText);
    aged_watch_reply aged;
    // Routers of earlier releases send no age.
    aged.mAge =
      std::max(duration::zero(),
               duration(json.value(
                 "age_us", int64_t{ watch_history::kMaxReplyAge.count() })));
    watch_reply& reply = aged.mReply;
    reply.mOutcome = call_outcome::kDone;
    reply.mRevision = store_revision(json.at("revision").get<uint64_t>());
    for (const nlohmann::json& each : json.at("changes")) {
      item_change change;
      change.mKey = each.at("key").get<std::string>();
      change.mRevision = store_revision(each.at("revision").get<uint64_t>());
      if (each.contains("value")) {
        const auto& value = each.at("value").get_binary();
        change.mValue = std::string(value.begin(), value.end());
      }
      reply.mChanges.push_back(std::move(change));
    }
    return aged;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid watch reply: ") + exception.what());
  }
}

} // namespace parsleystair
