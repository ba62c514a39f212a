#include "Parsleystair/Upstream/LatencyWindow.h"

#include <algorithm>

namespace parsleystair {

void latency_window::Add(duration aLatency)
{
  mLatencies[mNext] = aLatency;
  mNext = (mNext + 1) % kSize;
  mCount = std::min(mCount + 1, kSize);
  // Every request reads the median, so it is computed only at intervals once
  // kMedianInterval values have been added.
  if (mCount < kMedianInterval || mNext % kMedianInterval == 0) {
    mMedian = ComputeMedian();
  }
}

duration latency_window::ComputeMedian() const
{
  auto sorted = mLatencies;
  const auto middle = sorted.begin() + static_cast<ptrdiff_t>(mCount / 2);
  std::nth_element(
    sorted.begin(), middle, sorted.begin() + static_cast<ptrdiff_t>(mCount));
  return *middle;
}

} // namespace parsleystair
