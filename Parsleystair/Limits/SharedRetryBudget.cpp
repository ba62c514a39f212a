#include "Parsleystair/Limits/SharedRetryBudget.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Used part of the ratio. Routers may count requests slightly earlier or later
/// than the time window.
constexpr double kRatioSafetyFactor = 0.8;
/// Unused retries that a router may accumulate, up to the extra retries.
/// Deployments allow at least 2.4 extra retries per router, which this stays
/// below for any number of routers.
constexpr double kMaxTokens = 2;

} // namespace

shared_retry_budget::shared_retry_budget(
  const shared_budget_settings& aSettings)
  : mRetryRatio(aSettings.mRetryRatio * kRatioSafetyFactor)
  , mMaxTokens(
      std::min(kMaxTokens, static_cast<double>(aSettings.mExtraRetries)))
  , mTokens(mMaxTokens)
{
}

void shared_retry_budget::AddRequest()
{
  mTokens = std::min(mMaxTokens, mTokens + mRetryRatio);
}

bool shared_retry_budget::TryTake()
{
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace parsleystair
