#include "Parsleystair/Platform/BackoffGate.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Doublings after which the delay no longer grows; keeps the shift in range.
constexpr uint32_t kMaxDoublings = 20;

} // namespace

backoff_gate::backoff_gate(duration aFirstDelay,
                           duration aMaxDelay,
                           uint64_t aSeed)
  : mFirstDelay(aFirstDelay)
  , mMaxDelay(aMaxDelay)
  , mRandom(aSeed)
{
  PARSLEYSTAIR_INVARIANT(aFirstDelay > duration::zero());
  PARSLEYSTAIR_INVARIANT(aMaxDelay >= aFirstDelay);
}

bool backoff_gate::TryStart(time_point aNow)
{
  if (!IsFailing()) {
    return true;
  }
  if (aNow < mNextStart) {
    return false;
  }
  // Calls start on time even when the one before still waits for its timeout,
  // so that a store that stopped answering silently is found again as soon.
  DelayNext(aNow);
  return true;
}

void backoff_gate::OnSuccess()
{
  mFailures = 0;
}

void backoff_gate::OnFailure(time_point aStartedAt, time_point aNow)
{
  // Calls that were open together fail together and count as one failure.
  const bool wasFailing = IsFailing();
  if (wasFailing && aStartedAt < mLastFailure) {
    return;
  }
  mLastFailure = aNow;
  mFailures = std::min(mFailures + 1, kMaxDoublings);
  // Later failures don't move the next start: the time-out of a call from
  // before the recovery would otherwise delay finding the recovered store.
  if (!wasFailing) {
    DelayNext(aNow);
  }
}

void backoff_gate::DelayNext(time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(IsFailing());
  const duration longest =
    std::min(mMaxDelay, mFirstDelay * (int64_t(1) << (mFailures - 1)));
  std::uniform_int_distribution<int64_t> delay(0, longest.count());
  mNextStart = aNow + duration(delay(mRandom));
}

} // namespace parsleystair
