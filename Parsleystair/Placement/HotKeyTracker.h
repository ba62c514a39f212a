#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleystair {

/// Count of one key; the true count is between `mCount - mError` and `mCount`.
struct key_count
{
  std::string mKey;
  uint64_t mCount = 0;
  uint64_t mError = 0;

  bool operator==(const key_count&) const = default;
};

/// Finds the most frequent keys of a stream in bounded memory (Space-Saving).
class hot_key_tracker
{
public:
  /// Keeps `aCapacity` keys; every key with more than 1/`aCapacity` of the
  /// total is among them.
  explicit hot_key_tracker(size_t aCapacity = 270);

  void Add(const std::string& aKey, uint64_t aCount = 1);

  /// Halves all counts, so that keys that are no longer hot fade.
  void Halve();

  /// The most frequent keys, highest count first.
  [[nodiscard]] std::vector<key_count> Top(size_t aLimit) const;

  /// Sum of all counts.
  [[nodiscard]] uint64_t Total() const { return mTotal; }

private:
  struct counter
  {
    uint64_t mCount = 0;
    uint64_t mError = 0;
  };

  void SetCount(const std::string& aKey, counter& aCounter, uint64_t aCount);

  const size_t mCapacity;
  uint64_t mTotal = 0;
  std::map<std::string, counter> mCounters;
  /// The same counts in order, to find the smallest.
  std::set<std::pair<uint64_t, std::string>> mKeysByCount;
};

/// Named keys that a service should have, at most `aLimit`. A key keeps its
/// place in the list, which is its slot, while it is among the top
/// `2 * aLimit`; new keys take free places. A key is worth a name when it has
/// at least a slot's mean share of the requests.
std::vector<std::string> ProposeNamedKeys(
  const std::vector<std::string>& aCurrent,
  const hot_key_tracker& aTracker,
  uint32_t aSlotCount,
  size_t aLimit = 27);

} // namespace parsleystair
