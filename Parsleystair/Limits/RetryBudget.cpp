#include "Parsleystair/Limits/RetryBudget.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr int64_t kTokensPerRetry = 100;
/// Bounds the burst after a long time without failures.
constexpr int64_t kMaxTokens = 50 * kTokensPerRetry;
/// A service with few requests may still retry: this many retries at once, and
/// one more each second.
constexpr int64_t kFloorTokens = 2 * kTokensPerRetry;
constexpr duration kFloorInterval = 1s;

} // namespace

retry_budget::retry_budget(uint32_t aPercent)
  : mPercent(aPercent)
  , mTokens(aPercent == 0 ? 0 : kFloorTokens)
{
  PARSLEYSTAIR_INVARIANT(aPercent <= 100);
}

void retry_budget::AddFirstTry()
{
  mTokens = std::min(kMaxTokens, mTokens + mPercent);
}

bool retry_budget::TryTake(time_point aNow)
{
  if (mPercent == 0) {
    return false;
  }
  AddFloor(aNow);
  if (mTokens < kTokensPerRetry) {
    return false;
  }
  mTokens -= kTokensPerRetry;
  return true;
}

void retry_budget::AddFloor(time_point aNow)
{
  if (mLastFloor == time_point::min()) {
    mLastFloor = aNow;
    return;
  }
  const int64_t intervals = (aNow - mLastFloor) / kFloorInterval;
  if (intervals <= 0) {
    return;
  }
  mLastFloor += intervals * kFloorInterval;
  if (mTokens < kFloorTokens) {
    const int64_t added = std::min(intervals * kTokensPerRetry, kFloorTokens);
    mTokens = std::min(kFloorTokens, mTokens + added);
  }
}

} // namespace parsleystair
