#include "Parsleystair/Limits/SharedRetryBudget.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Part of the ratio that is used: routers count requests a little earlier or
/// later than the window does.
constexpr double kUsedPart = 0.8;
/// Routers among which the slack is divided. Fleets grow, and the slack grows
/// with them more slowly.
constexpr double kAssumedRouters = 24;
/// Repeats that a router with few requests may keep for later, at least.
constexpr double kMinTokens = 2;

} // namespace

shared_retry_budget::shared_retry_budget(
  const shared_budget_settings& aSettings)
  : mRatio(aSettings.mRatio * kUsedPart)
  , mMax(std::max(kMinTokens, aSettings.mSlack / kAssumedRouters))
  , mTokens(mMax)
{
}

void shared_retry_budget::AddRequest()
{
  mTokens = std::min(mMax, mTokens + mRatio);
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
