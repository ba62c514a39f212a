#include "Parsleystair/Limits/ConcurrencyLimit.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Differences between shorter times come from the network and from schedulers,
/// not from a queue at the target. Without this bound, targets that answer in
/// 0.1 ms got less than a third of the requests that they could take.
constexpr duration kMinBaselineLatency = 5ms;
/// Samples of one step. Fewer follow load faster, but follow the scatter of
/// single requests as well.
constexpr int64_t kSamplesPerWindow = 20;
/// Latency up to this multiple of the lowest is taken as normal scatter.
constexpr double kLatencyTolerance = 2.0;
/// Largest reduction in one step.
constexpr double kMinGradient = 0.7;
/// Reduction in a step in which the target refused or timed out.
constexpr double kOverloadGradient = 0.8;
/// Growth in one step, in requests; probes for free capacity.
constexpr double kLimitIncrease = 0.05;
/// The lowest latency is forgotten after this time, because a target may become
/// slower for good.
constexpr duration kBaselineLifetime = 60s;
constexpr duration kBaselineBucketTime = 10s;

} // namespace

fixed_limit::fixed_limit(uint32_t aLimit)
  : mLimit(aLimit)
{
  PARSLEYSTAIR_INVARIANT(aLimit > 0);
}

bool fixed_limit::Allows(uint32_t aInFlight, time_point) const
{
  return aInFlight < mLimit;
}

void fixed_limit::HandleStart(time_point) {}

void fixed_limit::HandleEnd(const limit_sample&, time_point) {}

double fixed_limit::Value() const
{
  return mLimit;
}

adaptive_limit::adaptive_limit(double aStart, double aMax)
  : mLimit(aStart)
  , mMax(aMax)
{
  PARSLEYSTAIR_INVARIANT(aMax >= 1);
  PARSLEYSTAIR_INVARIANT(aStart >= kMinLimit && aStart <= aMax);
}

bool adaptive_limit::Allows(uint32_t aInFlight, time_point aNow) const
{
  // Rounded to the nearest whole number: rounded down, a limit that settles
  // just below 2 would leave half of the capacity unused.
  if (mLimit >= 1) {
    return static_cast<double>(aInFlight) + 1 <= mLimit + 0.5;
  }
  return aInFlight == 0 && aNow >= mNextStart;
}

void adaptive_limit::HandleStart(time_point aNow)
{
  // With a limit of 1/n, one request starts every n latencies.
  if (mLimit < 1) {
    const double interval =
      static_cast<double>(mBaselineLatency.count()) / mLimit;
    mNextStart = aNow + duration(static_cast<int64_t>(interval));
  }
}

void adaptive_limit::HandleEnd(const limit_sample& aSample, time_point aNow)
{
  mOverloaded = mOverloaded || aSample.mOverloaded;
  mMaxInFlight = std::max(mMaxInFlight, aSample.mInFlight);
  mLatencySum += aSample.mLatency;
  mSampleCount += 1;
  if (mSampleCount >= kSamplesPerWindow) {
    UpdateLimit(aNow);
  }
}

double adaptive_limit::Value() const
{
  return mLimit;
}

void adaptive_limit::UpdateLimit(time_point aNow)
{
  const duration mean = mLatencySum / mSampleCount;
  UpdateBaselines(mean, aNow);
  mBaselineLatency = BaselineLatency();

  double gradient = 1;
  if (mean > duration::zero()) {
    const double ratio = static_cast<double>(BaselineLatency().count()) /
                         static_cast<double>(mean.count());
    gradient = std::clamp(kLatencyTolerance * ratio, kMinGradient, 1.0);
  }
  if (mOverloaded) {
    gradient = std::min(gradient, kOverloadGradient);
  }

  // A limit that was not reached says nothing about the capacity above it.
  const bool limitReached = mMaxInFlight + 1 > mLimit;
  const double growth = gradient >= 1 && limitReached ? kLimitIncrease : 0;
  mLimit = std::clamp(mLimit * gradient + growth, kMinLimit, mMax);

  mLatencySum = duration::zero();
  mSampleCount = 0;
  mMaxInFlight = 0;
  mOverloaded = false;
}

void adaptive_limit::UpdateBaselines(duration aMean, time_point aNow)
{
  while (!mBaselines.empty() &&
         aNow - mBaselines.front().mStart > kBaselineLifetime) {
    mBaselines.pop_front();
  }
  if (mBaselines.empty() ||
      aNow - mBaselines.back().mStart > kBaselineBucketTime) {
    mBaselines.push_back({ aNow, aMean });
    return;
  }
  mBaselines.back().mMinLatency =
    std::min(mBaselines.back().mMinLatency, aMean);
}

duration adaptive_limit::BaselineLatency() const
{
  duration minLatency = mBaselines.front().mMinLatency;
  for (const baseline_bucket& bucket : mBaselines) {
    minLatency = std::min(minLatency, bucket.mMinLatency);
  }
  return std::max(minLatency, kMinBaselineLatency);
}

} // namespace parsleystair
