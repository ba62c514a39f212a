#include "Parsleystair/Platform/TokenBucket.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

token_bucket::token_bucket(double aPerSecond, double aBurst)
  : mPerSecond(aPerSecond)
  , mBurst(aBurst)
  , mTokens(aBurst)
{
  PARSLEYSTAIR_INVARIANT(aPerSecond > 0);
  PARSLEYSTAIR_INVARIANT(aBurst >= 1);
}

bool token_bucket::TryTake(time_point aNow)
{
  if (aNow > mRefilledAt) {
    const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
    mTokens = std::min(mBurst, mTokens + elapsed.count() * mPerSecond);
    mRefilledAt = aNow;
  }
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  PARSLEYSTAIR_INVARIANT(mTokens >= 0);
  return true;
}

} // namespace parsleystair
