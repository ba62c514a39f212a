#include "Parsleystair/Upstream/LatencyWindow.h"

#include <algorithm>

namespace parsleystair {

void latency_window::Add(duration aTime)
{
  mTimes[mNext] = aTime;
  mNext = (mNext + 1) % kSize;
  mCount = std::min(mCount + 1, kSize);
  // Each request asks for the median, so it is not computed for each.
  if (mCount < kStep || mNext % kStep == 0) {
    mMedian = ComputeMedian();
  }
}

duration latency_window::ComputeMedian() const
{
  auto sorted = mTimes;
  const auto middle = sorted.begin() + static_cast<ptrdiff_t>(mCount / 2);
  std::nth_element(
    sorted.begin(), middle, sorted.begin() + static_cast<ptrdiff_t>(mCount));
  return *middle;
}

} // namespace parsleystair
