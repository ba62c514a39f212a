#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace parsleystair {

/// One bucket of a histogram: counts of values up to an upper bound.
struct latency_bucket
{
  /// Upper bound; the last bucket has none and holds duration::max().
  duration mUpperBound{};
  uint64_t mCount = 0;

  bool operator==(const latency_bucket&) const = default;
};

/// Counts of times from 50 us to 20 s in buckets of equal ratio.
class latency_histogram
{
public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Add(duration aTime);

  /// All buckets in rising order, with those below and above the range.
  [[nodiscard]] std::vector<latency_bucket> Buckets() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Upper bound of the bucket that holds a quantile from 0 to 1; zero when there
/// are no counts.
duration Quantile(const std::vector<latency_bucket>& aBuckets,
                  double aQuantile);

/// Adds the counts of two lists of the same buckets; either may be empty.
std::vector<latency_bucket> AddBuckets(
  const std::vector<latency_bucket>& aLeft,
  const std::vector<latency_bucket>& aRight);

} // namespace parsleystair
