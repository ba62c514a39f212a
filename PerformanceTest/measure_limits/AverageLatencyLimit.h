#pragma once

#include "Parsleystair/Limits/ConcurrencyLimit.h"

namespace parsleystair {

/// Comparison only: starts requests at a rate that falls while the moving
/// average of latency is over a threshold, and rises otherwise.
class average_latency_limit : public concurrency_limit
{
public:
  average_latency_limit(double aStartPerSecond, duration aThreshold);

  [[nodiscard]] bool Allows(uint32_t aInFlight, time_point aNow) const override;
  void HandleStart(time_point aNow) override;
  void HandleEnd(const limit_sample& aSample, time_point aNow) override;
  [[nodiscard]] double Limit() const override;

private:
  double mPerSecond;
  duration mThreshold;
  double mAverageUs;
  time_point mNextStart = time_point::min();
  time_point mNextStep = time_point::min();
};

} // namespace parsleystair
