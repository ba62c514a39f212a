#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>

namespace parsleystair {

struct shared_budget_settings
{
  /// Retries that all routers together may send per request of a caller.
  double mRetryRatio = 0.2;
  /// Additional retries for all routers together in one time window.
  uint32_t mExtraRetries = 0;

  bool operator==(const shared_budget_settings&) const = default;
};

/// One router's part of a retry limit that holds for all routers together in
/// any time window. Needs no communication: each router's budget depends only
/// on the requests that it received.
class shared_retry_budget
{
public:
  explicit shared_retry_budget(const shared_budget_settings& aSettings);

  void AddRequest();

  /// Takes one retry from the budget. Returns false if none is available.
  bool TryTake();

  [[nodiscard]] double AvailableTokens() const { return mTokens; }

private:
  double mRetryRatio;
  double mMaxTokens;
  double mTokens;
};

} // namespace parsleystair
