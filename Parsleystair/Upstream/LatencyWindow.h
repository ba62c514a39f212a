#pragma once

#include "Parsleystair/Core/Time.h"

#include <array>
#include <cstddef>

namespace parsleystair {

/// The most recent response times of a target.
class latency_window
{
public:
  void Add(duration aLatency);

  /// Median of the window when it was last computed, at most kMedianInterval
  /// additions ago; zero if the window is empty.
  [[nodiscard]] duration Median() const { return mMedian; }

private:
  static constexpr size_t kSize = 64;
  /// Number of additions between two computations of the median.
  static constexpr size_t kMedianInterval = 16;

  [[nodiscard]] duration ComputeMedian() const;

  std::array<duration, kSize> mLatencies{};
  size_t mCount = 0;
  size_t mNext = 0;
  duration mMedian{};
};

} // namespace parsleystair
