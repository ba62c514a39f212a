#include "Parsleystair/Dump/LatencyHistogram.h"

#include "Parsleystair/Core/Invariant.h"

#include <boost/histogram.hpp>
#include <cmath>

namespace parsleystair {

namespace {

constexpr int kBuckets = 64;
constexpr double kLowestMicroseconds = 50;
constexpr double kHighestMicroseconds = 20e6;

auto MakeHistogram()
{
  using axis_type =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  return boost::histogram::make_histogram(
    axis_type(kBuckets, kLowestMicroseconds, kHighestMicroseconds));
}

} // namespace

struct latency_histogram::state
{
  decltype(MakeHistogram()) mCounts = MakeHistogram();
};

latency_histogram::latency_histogram()
  : mState(std::make_unique<state>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::Add(duration aTime)
{
  mState->mCounts(static_cast<double>(aTime.count()));
}

std::vector<latency_bucket> latency_histogram::Buckets() const
{
  std::vector<latency_bucket> buckets;
  const auto& axis = mState->mCounts.axis();
  for (int i = -1; i <= axis.size(); ++i) {
    const bool isLast = i == axis.size();
    const duration bound =
      isLast ? duration::max()
             : duration(std::llround(axis.value(static_cast<double>(i + 1))));
    const double count = mState->mCounts.at(i);
    buckets.push_back({ bound, static_cast<uint64_t>(count) });
  }
  return buckets;
}

duration Quantile(const std::vector<latency_bucket>& aBuckets, double aQuantile)
{
  PARSLEYSTAIR_INVARIANT(aQuantile >= 0 && aQuantile <= 1);
  uint64_t total = 0;
  for (const latency_bucket& bucket : aBuckets) {
    total += bucket.mCount;
  }
  const double wanted = aQuantile * static_cast<double>(total);
  uint64_t seen = 0;
  for (const latency_bucket& bucket : aBuckets) {
    seen += bucket.mCount;
    if (bucket.mCount > 0 && static_cast<double>(seen) >= wanted) {
      return bucket.mUpperBound;
    }
  }
  return duration(0);
}

std::vector<latency_bucket> AddBuckets(
  const std::vector<latency_bucket>& aLeft,
  const std::vector<latency_bucket>& aRight)
{
  if (aLeft.empty()) {
    return aRight;
  }
  std::vector<latency_bucket> sum = aLeft;
  for (size_t i = 0; i < aRight.size(); ++i) {
    PARSLEYSTAIR_INVARIANT(sum[i].mUpperBound == aRight[i].mUpperBound);
    sum[i].mCount += aRight[i].mCount;
  }
  return sum;
}

} // namespace parsleystair
