#pragma once

#include "PerformanceTest/measure_limits/EventQueue.h"

#include <deque>
#include <functional>
#include <random>

namespace parsleystair {

/// Mean time that the target needs for one request.
inline constexpr duration kServiceTime = 50ms;

/// One try of a request at the target.
struct target_try
{
  size_t mRequest = 0;
  uint32_t mTry = 0;
};

/// Runs a fixed number of requests at a time, first come first served, whether
/// or not a router still waits for them.
class simulated_target
{
public:
  /// Called with false when the target refused the try.
  using callback = std::function<void(target_try, bool)>;

  simulated_target(event_queue& aEvents,
                   std::mt19937_64& aRandom,
                   uint32_t aConcurrency,
                   uint32_t aConnections,
                   callback aCallback);

  void SetConcurrency(uint32_t aConcurrency) { mConcurrency = aConcurrency; }
  void Receive(target_try aTry);

private:
  void StartNext();

  event_queue& mEvents;
  std::mt19937_64& mRandom;
  uint32_t mConcurrency;
  uint32_t mConnections;
  callback mCallback;
  std::deque<target_try> mWaiting;
  uint32_t mRunning = 0;
};

} // namespace parsleystair
