#include "Parsleystair/Upstream/LatencyWindow.h"

#include <algorithm>

namespace parsleystair {

void latency_window::Add(duration aTime)
{
  mTimes[mNext] = aTime;
  mNext = (mNext + 1) % kSize;
  mCount = std::min(mCount + 1, kSize);
}

duration latency_window::Median() const
{
  if (mCount == 0) {
    return duration(0);
  }
  auto sorted = mTimes;
  const auto middle = sorted.begin() + static_cast<ptrdiff_t>(mCount / 2);
  std::nth_element(
    sorted.begin(), middle, sorted.begin() + static_cast<ptrdiff_t>(mCount));
  return *middle;
}

} // namespace parsleystair
