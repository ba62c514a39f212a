#include "Parsleystair/KeyRanges/RangeRecord.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/KeyRanges/Handover.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

bool CanMerge(const owned_range& aLeft, const owned_range& aRight)
{
  return aLeft.mKeys.mLast + 1 == aRight.mKeys.mFirst &&
         aLeft.mOwner == aRight.mOwner && aLeft.mFence == aRight.mFence &&
         aLeft.mHandover == aRight.mHandover;
}

void MergeAdjacent(std::vector<owned_range>& aRanges)
{
  std::vector<owned_range> merged;
  for (owned_range& range : aRanges) {
    if (!merged.empty() && CanMerge(merged.back(), range)) {
      merged.back().mKeys.mLast = range.mKeys.mLast;
    } else {
      merged.push_back(std::move(range));
    }
  }
  aRanges = std::move(merged);
}

/// Replaces the bytes that strings of JSON may not hold, and all escapes, by
/// spaces, which no usable handover and no target's name has.
std::string WithoutUnreadableBytes(std::string aText)
{
  for (size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '\\' && index + 1 < aText.size()) {
      aText[index++] = ' ';
      aText[index] = ' ';
    } else if (aText[index] < ' ' || aText[index] > '~') {
      aText[index] = ' ';
    }
  }
  return aText;
}

nlohmann::json ParseRecord(const std::string& aText)
{
  nlohmann::json json = nlohmann::json::parse(aText, nullptr, false);
  return json.is_discarded()
           ? nlohmann::json::parse(WithoutUnreadableBytes(aText))
           : json;
}

} // namespace

std::vector<key_interval> Subtract(const key_interval& aKeys,
                                   const key_interval& aRemoved)
{
  if (!aKeys.Overlaps(aRemoved)) {
    return { aKeys };
  }
  std::vector<key_interval> rest;
  if (aKeys.mFirst < aRemoved.mFirst) {
    rest.push_back({ aKeys.mFirst, aRemoved.mFirst - 1 });
  }
  if (aKeys.mLast > aRemoved.mLast) {
    rest.push_back({ aRemoved.mLast + 1, aKeys.mLast });
  }
  return rest;
}

const owned_range* FindRange(const range_record& aRecord, uint32_t aKey)
{
  const auto after =
    std::upper_bound(aRecord.mRanges.begin(),
                     aRecord.mRanges.end(),
                     aKey,
                     [](uint32_t aNumber, const owned_range& aRange) {
                       return aNumber < aRange.mKeys.mFirst;
                     });
  if (after == aRecord.mRanges.begin()) {
    return nullptr;
  }
  const owned_range& range = *std::prev(after);
  return range.mKeys.Contains(aKey) ? &range : nullptr;
}

void AssignKeys(range_record& aRecord, const owned_range& aRange)
{
  std::vector<owned_range> ranges;
  for (const owned_range& old : aRecord.mRanges) {
    for (const key_interval& rest : Subtract(old.mKeys, aRange.mKeys)) {
      ranges.push_back(old);
      ranges.back().mKeys = rest;
    }
  }
  ranges.push_back(aRange);
  std::sort(ranges.begin(),
            ranges.end(),
            [](const owned_range& aLeft, const owned_range& aRight) {
              return aLeft.mKeys < aRight.mKeys;
            });
  MergeAdjacent(ranges);
  aRecord.mRanges = std::move(ranges);
}

void ValidateRecord(const range_record& aRecord)
{
  const owned_range* last = nullptr;
  for (const owned_range& range : aRecord.mRanges) {
    PARSLEYSTAIR_INVARIANT(range.mKeys.mFirst <= range.mKeys.mLast);
    PARSLEYSTAIR_INVARIANT(range.mKeys.mLast <= kMaxKeyNumber);
    PARSLEYSTAIR_INVARIANT(last == nullptr ||
                           last->mKeys.mLast < range.mKeys.mFirst);
    PARSLEYSTAIR_INVARIANT(range.mFence.Value() < aRecord.mNextFence);
    last = &range;
  }
}

std::string EncodeRangeRecord(const range_record& aRecord)
{
  nlohmann::json ranges = nlohmann::json::array();
  for (const owned_range& range : aRecord.mRanges) {
    ranges.push_back({ range.mKeys.mFirst,
                       range.mKeys.mLast,
                       range.mOwner.mName.Value(),
                       range.mOwner.mStartedMs,
                       range.mFence.Value(),
                       range.mHandover });
  }
  return nlohmann::json{
    { "nextFence", aRecord.mNextFence },
    { "term", aRecord.mTerm.Value() },
    { "ranges", std::move(ranges) }
  }.dump();
}

range_record DecodeRangeRecord(const std::string& aText)
{
  try {
    const nlohmann::json json = ParseRecord(aText);
    range_record record;
    record.mNextFence = json.at("nextFence").get<uint64_t>();
    record.mTerm = term_number(json.value("term", uint64_t{ 0 }));
    for (const nlohmann::json& each : json.at("ranges")) {
      owned_range range;
      range.mKeys.mFirst = each.at(0).get<uint32_t>();
      range.mKeys.mLast = each.at(1).get<uint32_t>();
      range.mOwner.mName = target_name(each.at(2).get<std::string>());
      range.mOwner.mStartedMs = each.at(3).get<uint64_t>();
      range.mFence = fence(each.at(4).get<uint64_t>());
      // A handover only saves time, so a wrong one doesn't void the record.
      const auto handover = each.at(5).get<std::string>();
      if (IsUsableHandover(handover)) {
        range.mHandover = handover;
      }
      record.mRanges.push_back(std::move(range));
    }
    ValidateRecord(record);
    return record;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid range record: ") + exception.what());
  } catch (const invariant_error& exception) {
    throw parse_error(std::string("invalid range record: ") + exception.what());
  }
}

} // namespace parsleystair
