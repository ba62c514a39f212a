#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/KeyRanges/RangeRecord.h"

#include <map>
#include <vector>

namespace parsleystair {

/// Index of a group of consecutive keys whose load is counted together.
using key_bucket = strong_id<struct key_bucket_tag, uint32_t>;

/// Number of requests by key bucket that a router has counted since its last
/// report.
using key_counts = std::map<key_bucket, uint32_t>;

/// Load by key over the last seconds, summed from the routers' reports. Each
/// bucket also has a small constant weight, so that keys without requests are
/// spread evenly.
class key_load
{
public:
  /// Number of keys per bucket. Busy keys lie close together, and the planner
  /// can't split ranges within a bucket.
  static constexpr uint32_t kKeysPerBucket = 8;
  static constexpr uint32_t kBucketCount = (kMaxKeyNumber + 1) / kKeysPerBucket;

  key_load();

  static key_bucket BucketOf(uint32_t aKey);

  void Add(const key_counts& aCounts, time_point aNow);

  /// Applies the exponential decay up to `aNow`. Call this before reading
  /// weights.
  void Decay(time_point aNow);

  /// Sum of the weights of the keys in an interval.
  [[nodiscard]] double WeightOf(const key_interval& aKeys) const;
  [[nodiscard]] double WeightOf(key_bucket aBucket) const;

  /// Requests in a second for the keys in an interval, averaged over the time
  /// constant of the decay.
  [[nodiscard]] double RateOf(const key_interval& aKeys) const;
  /// Standard deviation of a rate that was counted over that time.
  [[nodiscard]] static double RateDeviation(double aRate);

  /// Decayed number of requests that the weights are based on.
  [[nodiscard]] double RequestCount() const { return mRequestCount; }

private:
  std::vector<double> mWeights;
  double mRequestCount = 0;
  time_point mDecayedAt = time_point::min();
};

} // namespace parsleystair
