#pragma once

#include "Parsleystair/Core/Time.h"

namespace parsleystair {

/// Limit of a rate that lets short bursts pass.
class token_bucket
{
public:
  /// `aPerSecond` tokens arrive each second until there are `aBurst`. Starts
  /// full. Both are above 0.
  token_bucket(double aPerSecond, double aBurst);

  /// Takes one token; false when there is none.
  bool TryTake(time_point aNow);

private:
  double mPerSecond;
  double mBurst;
  double mTokens;
  time_point mRefilledAt{};
};

} // namespace parsleystair
