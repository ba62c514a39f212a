#include "Parsleystair/KeyRanges/KeyLimits.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Part of an owner's capacity that is given out. The rest keeps its queue
/// short while requests arrive at random.
constexpr double kMaxUtilization = 0.9;
/// Standard deviations by which a counted load must exceed a capacity to be
/// taken for an overload.
constexpr double kOverloadDeviations = 2;
/// Shares above this are no limit.
constexpr double kMaxShare = 0.9;
/// Smallest share, so that an owner whose load has ended is found.
constexpr double kMinShare = 0.01;
/// Steps of shares for each factor of two. Limits are sent to all routers when
/// they change.
constexpr double kStepsPerOctave = 2;

/// Buckets, or parts of them, that one owner has.
struct owned_bucket
{
  key_interval mKeys;
  double mRate = 0;
};

std::vector<owned_bucket> BucketsOf(const key_interval& aKeys,
                                    const key_load& aLoad)
{
  std::vector<owned_bucket> buckets;
  for (uint32_t key = aKeys.mFirst; key <= aKeys.mLast;) {
    const uint32_t last =
      std::min(key | (key_load::kKeysPerBucket - 1), aKeys.mLast);
    buckets.push_back({ { key, last }, aLoad.RateOf({ key, last }) });
    key = last + 1;
  }
  return buckets;
}

/// Largest rate for one bucket with which all buckets together stay within the
/// capacity.
double FairRate(const std::vector<owned_bucket>& aBuckets, double aCapacity)
{
  std::vector<double> rates;
  for (const owned_bucket& each : aBuckets) {
    rates.push_back(each.mRate);
  }
  std::sort(rates.begin(), rates.end());
  double rest = aCapacity;
  for (size_t i = 0; i < rates.size(); ++i) {
    const double equalPart = rest / static_cast<double>(rates.size() - i);
    if (rates[i] > equalPart) {
      return equalPart;
    }
    rest -= rates[i];
  }
  return rates.empty() ? 0 : rates.back();
}

double RoundShare(double aShare)
{
  const double steps = std::round(std::log2(aShare) * kStepsPerOctave);
  return std::clamp(std::exp2(steps / kStepsPerOctave), kMinShare, 1.0);
}

} // namespace

key_limits PlanKeyLimits(const range_record& aRecord,
                         const key_load& aLoad,
                         const owner_capacities& aCapacities)
{
  std::map<target_name, std::vector<owned_bucket>> byOwner;
  for (const owned_range& range : aRecord.mRanges) {
    std::vector<owned_bucket>& buckets = byOwner[range.mOwner.mName];
    const auto added = BucketsOf(range.mKeys, aLoad);
    buckets.insert(buckets.end(), added.begin(), added.end());
  }
  key_limits limits;
  for (const auto& [owner, buckets] : byOwner) {
    const auto capacity = aCapacities.find(owner);
    if (capacity == aCapacities.end()) {
      continue;
    }
    double rate = 0;
    for (const owned_bucket& each : buckets) {
      rate += each.mRate;
    }
    const double certainRate =
      rate - kOverloadDeviations * aLoad.RateDeviation(rate);
    if (certainRate <= capacity->second) {
      continue;
    }
    const double fair = FairRate(buckets, capacity->second * kMaxUtilization);
    for (const owned_bucket& each : buckets) {
      const double share = each.mRate > fair ? fair / each.mRate : 1;
      if (share < kMaxShare) {
        limits.push_back({ each.mKeys, RoundShare(share) });
      }
    }
  }
  std::sort(
    limits.begin(), limits.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mKeys.mFirst < aRight.mKeys.mFirst;
    });
  return limits;
}

double ShareOf(const key_limits& aLimits, uint32_t aKey)
{
  const auto next = std::upper_bound(aLimits.begin(),
                                     aLimits.end(),
                                     aKey,
                                     [](uint32_t aLeft, const auto& aLimit) {
                                       return aLeft < aLimit.mKeys.mFirst;
                                     });
  if (next == aLimits.begin()) {
    return 1;
  }
  const key_limit& limit = *std::prev(next);
  return limit.mKeys.Contains(aKey) ? limit.mShare : 1;
}

} // namespace parsleystair
