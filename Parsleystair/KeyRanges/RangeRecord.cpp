#include "Parsleystair/KeyRanges/RangeRecord.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

bool CanMerge(const owned_range& aLeft, const owned_range& aRight)
{
  return aLeft.mKeys.mTo + 1 == aRight.mKeys.mFrom &&
         aLeft.mOwner == aRight.mOwner && aLeft.mFence == aRight.mFence &&
         aLeft.mHandover == aRight.mHandover;
}

void MergeAdjacent(std::vector<owned_range>& aRanges)
{
  std::vector<owned_range> merged;
  for (owned_range& range : aRanges) {
    if (!merged.empty() && CanMerge(merged.back(), range)) {
      merged.back().mKeys.mTo = range.mKeys.mTo;
    } else {
      merged.push_back(std::move(range));
    }
  }
  aRanges = std::move(merged);
}

} // namespace

std::vector<key_interval> Subtract(const key_interval& aKeys,
                                   const key_interval& aRemoved)
{
  if (!aKeys.Overlaps(aRemoved)) {
    return { aKeys };
  }
  std::vector<key_interval> rest;
  if (aKeys.mFrom < aRemoved.mFrom) {
    rest.push_back({ aKeys.mFrom, aRemoved.mFrom - 1 });
  }
  if (aKeys.mTo > aRemoved.mTo) {
    rest.push_back({ aRemoved.mTo + 1, aKeys.mTo });
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
                       return aNumber < aRange.mKeys.mFrom;
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
    PARSLEYSTAIR_INVARIANT(range.mKeys.mFrom <= range.mKeys.mTo);
    PARSLEYSTAIR_INVARIANT(range.mKeys.mTo <= kMaxKeyNumber);
    PARSLEYSTAIR_INVARIANT(last == nullptr ||
                           last->mKeys.mTo < range.mKeys.mFrom);
    PARSLEYSTAIR_INVARIANT(range.mFence.Value() < aRecord.mNextFence);
    last = &range;
  }
}

std::string EncodeRangeRecord(const range_record& aRecord)
{
  nlohmann::json ranges = nlohmann::json::array();
  for (const owned_range& range : aRecord.mRanges) {
    ranges.push_back({ range.mKeys.mFrom,
                       range.mKeys.mTo,
                       range.mOwner.mName.Value(),
                       range.mOwner.mStartedMs,
                       range.mFence.Value(),
                       range.mHandover });
  }
  return nlohmann::json{
    { "nextFence", aRecord.mNextFence }, { "ranges", std::move(ranges) }
  }.dump();
}

range_record DecodeRangeRecord(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    range_record record;
    record.mNextFence = json.at("nextFence").get<uint64_t>();
    for (const nlohmann::json& each : json.at("ranges")) {
      owned_range range;
      range.mKeys.mFrom = each.at(0).get<uint32_t>();
      range.mKeys.mTo = each.at(1).get<uint32_t>();
      range.mOwner.mName = target_name(each.at(2).get<std::string>());
      range.mOwner.mStartedMs = each.at(3).get<uint64_t>();
      range.mFence = fence(each.at(4).get<uint64_t>());
      range.mHandover = each.at(5).get<std::string>();
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
