#include "Parsleystair/Placement/HotKeyTracker.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

hot_key_tracker::hot_key_tracker(size_t aCapacity)
  : mCapacity(aCapacity)
{
  PARSLEYSTAIR_INVARIANT(mCapacity > 0);
}

void hot_key_tracker::Add(const std::string& aKey, uint64_t aCount)
{
  mTotal += aCount;
  const auto known = mCounters.find(aKey);
  if (known != mCounters.end()) {
    SetCount(aKey, known->second, known->second.mCount + aCount);
    return;
  }
  // A new key replaces the key with the smallest count. It inherits that count,
  // which is also the largest possible error of the new count.
  uint64_t inheritedCount = 0;
  if (mCounters.size() == mCapacity) {
    const auto smallest = mKeysByCount.begin();
    inheritedCount = smallest->first;
    mCounters.erase(smallest->second);
    mKeysByCount.erase(smallest);
  }
  mCounters[aKey] = { inheritedCount + aCount, inheritedCount };
  mKeysByCount.emplace(inheritedCount + aCount, aKey);
}

void hot_key_tracker::SetCount(const std::string& aKey,
                               counter& aCounter,
                               uint64_t aCount)
{
  auto node = mKeysByCount.extract({ aCounter.mCount, aKey });
  node.value().first = aCount;
  mKeysByCount.insert(std::move(node));
  aCounter.mCount = aCount;
}

void hot_key_tracker::Halve()
{
  mTotal /= 2;
  mKeysByCount.clear();
  for (auto& [key, known] : mCounters) {
    known.mCount /= 2;
    known.mError /= 2;
    mKeysByCount.emplace(known.mCount, key);
  }
}

std::vector<key_count> hot_key_tracker::Top(size_t aLimit) const
{
  std::vector<key_count> top;
  for (auto entry = mKeysByCount.rbegin(); entry != mKeysByCount.rend();
       ++entry) {
    if (top.size() == aLimit) {
      break;
    }
    const counter& known = mCounters.at(entry->second);
    top.push_back({ entry->second, known.mCount, known.mError });
  }
  return top;
}

std::vector<std::string> ProposeNamedKeys(
  const std::vector<std::string>& aCurrent,
  const hot_key_tracker& aTracker,
  uint32_t aSlotCount,
  size_t aLimit)
{
  PARSLEYSTAIR_INVARIANT(aSlotCount > 0);
  const std::vector<key_count> top = aTracker.Top(2 * aLimit);
  const auto isStillHot = [&](const std::string& aKey) {
    return std::any_of(top.begin(), top.end(), [&](const key_count& aEntry) {
      return aEntry.mKey == aKey;
    });
  };
  const auto isNamed = [&](const std::string& aKey) {
    return std::find(aCurrent.begin(), aCurrent.end(), aKey) != aCurrent.end();
  };

  // Hot keys that are not named yet, highest count first.
  const uint64_t minCount =
    std::max<uint64_t>(1, aTracker.Total() / aSlotCount);
  std::vector<std::string> newHotKeys;
  for (size_t i = 0; i < std::min(aLimit, top.size()); ++i) {
    if (top[i].mCount - top[i].mError >= minCount && !isNamed(top[i].mKey)) {
      newHotKeys.push_back(top[i].mKey);
    }
  }

  // New keys first replace keys that are no longer hot, then extend the list.
  std::vector<std::string> named = aCurrent;
  auto next = newHotKeys.begin();
  for (std::string& key : named) {
    if (next != newHotKeys.end() && !isStillHot(key)) {
      key = *next;
      ++next;
    }
  }
  for (; next != newHotKeys.end() && named.size() < aLimit; ++next) {
    named.push_back(*next);
  }
  return named;
}

} // namespace parsleystair
