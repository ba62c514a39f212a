#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

/// Limits the retries of one service to a share of its first attempts, so that
/// retries don't multiply the load of a failing service.
class retry_budget
{
public:
  /// `aPercent`: retries allowed per hundred first attempts, 0 to 100. 0
  /// disables retries.
  explicit retry_budget(uint32_t aPercent);

  void AddFirstAttempt();

  /// Takes one retry from the budget. Returns false if none is available.
  bool TryTake(time_point aNow);

private:
  void RefillReserve(time_point aNow);

  uint32_t mPercent;
  /// In hundredths of a retry.
  int64_t mTokens;
  time_point mLastRefill = time_point::min();
};

} // namespace parsleystair
