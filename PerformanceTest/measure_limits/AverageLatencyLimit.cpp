#include "PerformanceTest/measure_limits/AverageLatencyLimit.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr double kAverageWeight = 0.1;
constexpr duration kStepInterval = 100ms;
constexpr double kDecrease = 0.9;
/// Requests per second added in each step.
constexpr double kIncrease = 0.1;
constexpr double kMinPerSecond = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

average_latency_limit::average_latency_limit(double aStartPerSecond,
                                             duration aThreshold)
  : mPerSecond(aStartPerSecond)
  , mThreshold(aThreshold)
  , mAverageUs(static_cast<double>(aThreshold.count()))
{
}

bool average_latency_limit::Allows(uint32_t, time_point aNow) const
{
  return aNow >= mNextStart;
}

void average_latency_limit::HandleStart(time_point aNow)
{
  const double interval = kMicrosecondsPerSecond / mPerSecond;
  mNextStart = aNow + duration(static_cast<int64_t>(interval));
}

void average_latency_limit::HandleEnd(const limit_sample& aSample,
                                      time_point aNow)
{
  const auto latency = static_cast<double>(aSample.mLatency.count());
  mAverageUs += kAverageWeight * (latency - mAverageUs);
  if (aNow < mNextStep) {
    return;
  }
  mNextStep = aNow + kStepInterval;
  const bool slow = mAverageUs > static_cast<double>(mThreshold.count());
  mPerSecond = slow ? std::max(kMinPerSecond, mPerSecond * kDecrease)
                    : mPerSecond + kIncrease;
}

double average_latency_limit::Limit() const
{
  return mPerSecond * mAverageUs / kMicrosecondsPerSecond;
}

} // namespace parsleystair
