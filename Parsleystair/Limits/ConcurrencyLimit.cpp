#include "Parsleystair/Limits/ConcurrencyLimit.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Differences between shorter times come from the network and from schedulers,
/// not from a queue at the target. Without this bound, targets that answer in
/// 0.1 ms got less than a third of the requests that they could take.
constexpr duration kShortestBaseline = 5ms;
/// Samples of one step. Fewer follow load faster, but follow the scatter of
/// single requests as well.
constexpr int64_t kWindowSamples = 20;
/// Latency up to this multiple of the lowest is taken as normal scatter.
constexpr double kTolerance = 2.0;
/// Largest reduction in one step.
constexpr double kLowestGradient = 0.7;
/// Reduction in a step in which the target refused or timed out.
constexpr double kOverloadedGradient = 0.8;
/// Growth in one step, in requests; probes for free capacity.
constexpr double kGrowth = 0.05;
/// The lowest latency is forgotten after this time, because a target may become
/// slower for good.
constexpr duration kBaselineTime = 60s;
constexpr duration kBaselineStep = 10s;

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
  PARSLEYSTAIR_INVARIANT(aStart >= kMin && aStart <= aMax);
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
    const double interval = static_cast<double>(mMeanLatency.count()) / mLimit;
    mNextStart = aNow + duration(static_cast<int64_t>(interval));
  }
}

void adaptive_limit::HandleEnd(const limit_sample& aSample, time_point aNow)
{
  mOverloaded = mOverloaded || aSample.mOverloaded;
  mMostInFlight = std::max(mMostInFlight, aSample.mInFlight);
  mLatencySum += aSample.mLatency;
  mSamples += 1;
  if (mSamples >= kWindowSamples) {
    EndWindow(aNow);
  }
}

double adaptive_limit::Value() const
{
  return mLimit;
}

void adaptive_limit::EndWindow(time_point aNow)
{
  const duration mean = mLatencySum / mSamples;
  AddBaseline(mean, aNow);
  mMeanLatency = Baseline();

  double gradient = 1;
  if (mean > duration::zero()) {
    const double ratio = static_cast<double>(Baseline().count()) /
                         static_cast<double>(mean.count());
    gradient = std::clamp(kTolerance * ratio, kLowestGradient, 1.0);
  }
  if (mOverloaded) {
    gradient = std::min(gradient, kOverloadedGradient);
  }

  // A limit that was not reached says nothing about the capacity above it.
  const bool reached = mMostInFlight + 1 > mLimit;
  const double growth = gradient >= 1 && reached ? kGrowth : 0;
  mLimit = std::clamp(mLimit * gradient + growth, kMin, mMax);

  mLatencySum = duration::zero();
  mSamples = 0;
  mMostInFlight = 0;
  mOverloaded = false;
}

void adaptive_limit::AddBaseline(duration aMean, time_point aNow)
{
  while (!mBaselines.empty() &&
         aNow - mBaselines.front().mFrom > kBaselineTime) {
    mBaselines.pop_front();
  }
  if (mBaselines.empty() || aNow - mBaselines.back().mFrom > kBaselineStep) {
    mBaselines.push_back({ aNow, aMean });
    return;
  }
  mBaselines.back().mLowest = std::min(mBaselines.back().mLowest, aMean);
}

duration adaptive_limit::Baseline() const
{
  duration lowest = mBaselines.front().mLowest;
  for (const baseline& step : mBaselines) {
    lowest = std::min(lowest, step.mLowest);
  }
  return std::max(lowest, kShortestBaseline);
}

} // namespace parsleystair
