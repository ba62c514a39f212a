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

  /// Median of the times in the window; zero when there is none.
  [[nodiscard]] duration Median() const;

private:
  static constexpr size_t kSize = 64;

  std::array<duration, kSize> mTimes{};
  size_t mCount = 0;
  size_t mNext = 0;
};

} // namespace parsleystair
