#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

struct shared_budget_settings
{
  /// Repeats that all routers together may send for each request of callers.
  double mRetryRatio = 0.2;
  /// Repeats allowed besides, for all routers together in one window.
  uint32_t mExtraRetries = 0;

  bool operator==(const shared_budget_settings&) const = default;
};

/// One router's part of a limit on repeats that holds for all routers
/// together, in any window of time. Needs no messages: each router spends a
/// share of the requests that it got itself.
class shared_retry_budget
{
public:
  explicit shared_retry_budget(const shared_budget_settings& aSettings);

  void AddRequest();

  /// Takes one repeat, if there is one.
  bool TryTake();

  [[nodiscard]] double AvailableTokens() const { return mTokens; }

private:
  double mRetryRatio;
  double mMaxTokens;
  double mTokens;
};

} // namespace parsleystair
