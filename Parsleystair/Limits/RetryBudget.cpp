#include "Parsleystair/Limits/RetryBudget.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr int64_t kTokensPerRetry = 100;
/// Limits the burst of retries after a long time without failures.
constexpr int64_t kMaxTokens = 50 * kTokensPerRetry;
/// Reserve for services with few requests: this many retries at once, refilled
/// by one per second.
constexpr int64_t kReserveTokens = 2 * kTokensPerRetry;
constexpr duration kRefillInterval = 1s;

} // namespace

retry_budget::retry_budget(uint32_t aPercent)
  : mPercent(aPercent)
  , mTokens(aPercent == 0 ? 0 : kReserveTokens)
{
  PARSLEYSTAIR_INVARIANT(aPercent <= 100);
}

void retry_budget::AddFirstAttempt()
{
  mTokens = std::min(kMaxTokens, mTokens + mPercent);
}

bool retry_budget::TryTake(time_point aNow)
{
  if (mPercent == 0) {
    return false;
  }
  RefillReserve(aNow);
  if (mTokens < kTokensPerRetry) {
    return false;
  }
  mTokens -= kTokensPerRetry;
  return true;
}

void retry_budget::RefillReserve(time_point aNow)
{
  if (mLastRefill == time_point::min()) {
    mLastRefill = aNow;
    return;
  }
  const int64_t intervals = (aNow - mLastRefill) / kRefillInterval;
  if (intervals <= 0) {
    return;
  }
  mLastRefill += intervals * kRefillInterval;
  if (mTokens < kReserveTokens) {
    const int64_t added = std::min(intervals * kTokensPerRetry, kReserveTokens);
    mTokens = std::min(kReserveTokens, mTokens + added);
  }
}

} // namespace parsleystair
