#pragma once

#include "Parsleystair/Core/Time.h"

#include <cmath>

namespace parsleystair {

/// Number of events that are counted less the longer ago they were.
class decaying_count
{
public:
  static constexpr duration kTimeConstant = 3s;

  void Add(double aCount, time_point aNow)
  {
    mCount = At(aNow) + aCount;
    mCountedAt = aNow;
  }

  /// Events in a second, averaged over the time constant.
  [[nodiscard]] double Rate(time_point aNow) const
  {
    return At(aNow) / ToSeconds(kTimeConstant);
  }

private:
  [[nodiscard]] double At(time_point aNow) const
  {
    return mCount == 0 ? 0
                       : mCount * std::exp(-ToSeconds(aNow - mCountedAt) /
                                           ToSeconds(kTimeConstant));
  }

  double mCount = 0;
  time_point mCountedAt = time_point::min();
};

} // namespace parsleystair
