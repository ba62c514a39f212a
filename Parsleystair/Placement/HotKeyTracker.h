#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleystair {

/// Estimated count of one key. The true count is between `mCount - mError` and
/// `mCount`.
struct key_count
{
  std::string mKey;
  uint64_t mCount = 0;
  uint64_t mError = 0;

  bool operator==(const key_count&) const = default;
};

/// Finds the most frequent keys of a stream in bounded memory with the
/// Space-Saving algorithm.
class hot_key_tracker
{
public:
  /// Counts at most `aCapacity` keys. Every key with more than 1/`aCapacity` of
  /// the total count is among them.
  explicit hot_key_tracker(size_t aCapacity = 270);

  void Add(const std::string& aKey, uint64_t aCount = 1);

  /// Halves all counts, so that old requests lose weight.
  void Halve();

  /// Returns up to `aLimit` keys, highest count first.
  [[nodiscard]] std::vector<key_count> Top(size_t aLimit) const;

  /// Sum of all added counts, halved by each `Halve`.
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
  /// Pairs of count and key, ordered by count, to find the smallest count.
  std::set<std::pair<uint64_t, std::string>> mKeysByCount;
};

/// Proposes the named keys of a service: hot keys that get a slot of their own.
/// The position in the list determines the slot, so a current key keeps its
/// position while it is among the top `2 * aLimit` keys. New keys replace
/// current keys that are no longer among them, then extend the list up to
/// `aLimit` keys. A new key must have at least the mean count of a slot.
std::vector<std::string> ProposeNamedKeys(
  const std::vector<std::string>& aCurrent,
  const hot_key_tracker& aTracker,
  uint32_t aSlotCount,
  size_t aLimit = 27);

} // namespace parsleystair
