#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace parsleystair {

/// Measurement of one finished request to a target.
struct limit_sample
{
  /// Time from sending the request to the end of the response.
  duration mLatency{};
  /// Requests in flight when this one was sent, including it.
  uint32_t mInFlight = 0;
  /// The target refused the request because of load or did not respond in time.
  bool mOverloaded = false;
};

/// Limits the requests that one router has in flight to one target.
class concurrency_limit
{
public:
  virtual ~concurrency_limit() = default;

  /// Returns true if one more request may start.
  [[nodiscard]] virtual bool Allows(uint32_t aInFlight,
                                    time_point aNow) const = 0;
  virtual void HandleStart(time_point aNow) = 0;
  virtual void HandleEnd(const limit_sample& aSample, time_point aNow) = 0;
  /// Current limit of requests in flight; may be below 1.
  [[nodiscard]] virtual double Limit() const = 0;
};

/// Constant limit.
class fixed_limit : public concurrency_limit
{
public:
  /// `aLimit` is at least 1.
  explicit fixed_limit(uint32_t aLimit);

  [[nodiscard]] bool Allows(uint32_t aInFlight, time_point aNow) const override;
  void HandleStart(time_point aNow) override;
  void HandleEnd(const limit_sample& aSample, time_point aNow) override;
  [[nodiscard]] double Limit() const override;

private:
  uint32_t mLimit;
};

/// Adapts the limit to the ratio of the baseline latency to the current
/// latency. A limit below 1 is enforced by a minimum interval between starts,
/// because a target may run fewer concurrent requests than there are routers.
class adaptive_limit : public concurrency_limit
{
public:
  /// `aMax` is at least 1, `aStart` from `kMinLimit` to `aMax`.
  adaptive_limit(double aStart, double aMax);

  /// Lowest value of the limit.
  static constexpr double kMinLimit = 0.05;

  [[nodiscard]] bool Allows(uint32_t aInFlight, time_point aNow) const override;
  void HandleStart(time_point aNow) override;
  void HandleEnd(const limit_sample& aSample, time_point aNow) override;
  [[nodiscard]] double Limit() const override;

private:
  struct baseline_bucket
  {
    time_point mStart;
    duration mMinLatency;
  };

  void UpdateLimit(time_point aNow);
  void UpdateBaselines(duration aMean, time_point aNow);
  [[nodiscard]] duration BaselineLatency() const;

  double mLimit;
  double mMax;
  duration mLatencySum{};
  int64_t mSampleCount = 0;
  uint32_t mMaxInFlight = 0;
  bool mOverloaded = false;
  /// Earliest next start while the limit is below 1.
  time_point mNextStart = time_point::min();
  duration mBaselineLatency{};
  std::deque<baseline_bucket> mBaselines;
};

} // namespace parsleystair
