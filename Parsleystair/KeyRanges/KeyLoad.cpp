#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Time constant of the exponential decay of counts; busy keys change
/// within seconds.
constexpr double kDecayTimeConstantSeconds = 3.0;
/// Weight added to each bucket, in requests.
constexpr double kBaseWeight = 0.002;
constexpr duration kDecayInterval = 200ms;

} // namespace

key_load::key_load()
  : mWeights(kBucketCount, 0)
{
}

key_bucket key_load::BucketOf(uint32_t aKey)
{
  return key_bucket(std::min(aKey, kMaxKeyNumber) / kKeysPerBucket);
}

void key_load::Add(const key_counts& aCounts, time_point aNow)
{
  Decay(aNow);
  for (const auto& [bucket, count] : aCounts) {
    if (bucket.Value() < kBucketCount) {
      mWeights[bucket.Value()] += count;
      mRequestCount += count;
    }
  }
}

void key_load::Decay(time_point aNow)
{
  if (mDecayedAt == time_point::min()) {
    mDecayedAt = aNow;
  }
  if (aNow - mDecayedAt < kDecayInterval) {
    return;
  }
  const double factor =
    std::exp(-ToSeconds(aNow - mDecayedAt) / kDecayTimeConstantSeconds);
  for (double& weight : mWeights) {
    weight *= factor;
  }
  mRequestCount *= factor;
  mDecayedAt = aNow;
}

double key_load::WeightOf(const key_interval& aKeys) const
{
  double weight = 0;
  uint32_t key = aKeys.mFirst;
  while (key <= aKeys.mLast) {
    const uint32_t bucket = key / kKeysPerBucket;
    const uint32_t next = (bucket + 1) * kKeysPerBucket;
    const uint32_t covered = std::min(next - 1, aKeys.mLast) - key + 1;
    weight += WeightOf(key_bucket(bucket)) * covered / kKeysPerBucket;
    key = next;
  }
  return weight;
}

double key_load::RateOf(const key_interval& aKeys) const
{
  const double baseWeight =
    kBaseWeight * static_cast<double>(aKeys.Size()) / kKeysPerBucket;
  return std::max(0.0, WeightOf(aKeys) - baseWeight) /
         kDecayTimeConstantSeconds;
}

double key_load::RateDeviation(double aRate)
{
  // A decayed count of a Poisson process has half of its mean as its variance.
  return std::sqrt(aRate / (2 * kDecayTimeConstantSeconds));
}

double key_load::WeightOf(key_bucket aBucket) const
{
  return mWeights[aBucket.Value()] + kBaseWeight;
}

} // namespace parsleystair
