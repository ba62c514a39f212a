#include "Parsleystair/Limits/SharedRetryBudget.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Part of the ratio that is used: routers count requests a little earlier or
/// later than the window does.
constexpr double kRatioSafetyFactor = 0.8;
/// Repeats that a router may keep for later, as long as the slack allows them.
/// Deployments give 2.4 or more of slack a router, which this stays below
/// however many there are.
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
