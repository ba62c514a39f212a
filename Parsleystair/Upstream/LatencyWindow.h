#pragma once

#include "Parsleystair/Core/Time.h"

#include <array>
#include <cstddef>

namespace parsleystair {

/// The most recent answer times of a target.
class latency_window
{
public:
  void Add(duration aTime);

  /// Median of the window at one of the last additions; zero when there is
  /// none.
  [[nodiscard]] duration Median() const { return mMedian; }

private:
  static constexpr size_t kSize = 64;
  /// Additions between two computations of the median.
  static constexpr size_t kStep = 16;

  [[nodiscard]] duration ComputeMedian() const;

  std::array<duration, kSize> mTimes{};
  size_t mCount = 0;
  size_t mNext = 0;
  duration mMedian{};
};

} // namespace parsleystair
