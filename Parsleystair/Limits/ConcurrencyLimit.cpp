#include "Parsleystair/Limits/ConcurrencyLimit.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Differences between shorter latencies come from the network and schedulers,
/// not from a queue at the target. Without this bound, targets that respond in
/// 0.1 ms got less than a third of the requests that they could serve.
constexpr duration kMinBaselineLatency = 5ms;
/// Samples per update of the limit. Fewer samples adapt faster to load, but
/// also to the variance of single requests.
constexpr int64_t kSamplesPerWindow = 20;
/// Latency up to this multiple of the baseline counts as normal variance.
constexpr double kLatencyTolerance = 2.0;
/// Largest reduction in one update.
constexpr double kMinGradient = 0.7;
/// Reduction in an update if the target refused a request because of load or
/// timed out.
constexpr double kOverloadGradient = 0.8;
/// Increase in one update, in requests; probes for free capacity.
constexpr double kLimitIncrease = 0.05;
/// Baselines expire after this time, because a target may become permanently
/// slower.
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

double fixed_limit::Limit() const
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
  // Round to the nearest integer: if rounded down, a limit that settles just
  // below 2 would leave half of the capacity unused.
  if (mLimit >= 1) {
    return static_cast<double>(aInFlight) + 1 <= mLimit + 0.5;
  }
  return aInFlight == 0 && aNow >= mNextStart;
}

void adaptive_limit::HandleStart(time_point aNow)
{
  // With a limit of 1/n, one request starts every n baseline latencies.
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

double adaptive_limit::Limit() const
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

  // Increase the limit only if it was reached; otherwise the samples don't show
  // whether there is capacity above it.
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
