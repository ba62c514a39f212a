#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <random>

namespace parsleystair {

/// Spaces out calls to a server that fails, by exponential backoff with full
/// jitter. Lets every call pass while the server answers.
class backoff_gate
{
public:
  /// Delays are random between 0 and `aFirstDelay`, which doubles with each
  /// failure up to `aMaxDelay`.
  backoff_gate(duration aFirstDelay, duration aMaxDelay, uint64_t aSeed);

  /// Tells if a call may start now. While the server fails, a call that starts
  /// also delays the next one.
  bool TryStart(time_point aNow);

  void OnSuccess();

  /// `aStartedAt` is the start of the call that failed.
  void OnFailure(time_point aStartedAt, time_point aNow);

  [[nodiscard]] bool IsFailing() const { return mFailures > 0; }

private:
  void DelayNext(time_point aNow);

  duration mFirstDelay;
  duration mMaxDelay;
  std::mt19937_64 mRandom;
  uint32_t mFailures = 0;
  time_point mLastFailure{};
  time_point mNextStart{};
};

} // namespace parsleystair
