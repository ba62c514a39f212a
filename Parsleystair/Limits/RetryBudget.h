#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

/// Limits the retries of one service to a share of its first tries, so that a
/// failing service doesn't get a multiple of its normal load.
class retry_budget
{
public:
  /// `aPercent`: retries allowed for each hundred first tries, 0 to 100. With 0
  /// there are no retries at all.
  explicit retry_budget(uint32_t aPercent);

  void AddFirstTry();

  /// Takes one retry from the budget, if there is one.
  bool TryTake(time_point aNow);

private:
  void RefillReserve(time_point aNow);

  uint32_t mPercent;
  /// In hundredths of a retry.
  int64_t mTokens;
  time_point mLastRefill = time_point::min();
};

} // namespace parsleystair
