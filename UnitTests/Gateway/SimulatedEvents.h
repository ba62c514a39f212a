#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace parsleystair {

/// Simulated clock and the events that are due. Events at the same time run in
/// the order in which they were scheduled.
class simulated_events
{
public:
  [[nodiscard]] time_point Now() const { return mNow; }

  void Schedule(time_point aTime, std::function<void()> aRun)
  {
    mEvents.push({ std::max(aTime, mNow), mNextNumber++, std::move(aRun) });
  }

  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mRun();
    }
    mNow = aEnd;
  }

private:
  struct event
  {
    time_point mAt;
    uint64_t mNumber;
    std::function<void()> mRun;

    bool operator<(const event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  time_point mNow{ 1h };
  uint64_t mNextNumber = 0;
  std::priority_queue<event> mEvents;
};

/// Random choices of a simulation.
class random_choices
{
public:
  explicit random_choices(uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  uint64_t Below(uint64_t aBound) { return mRandom() % aBound; }
  bool Percent(uint64_t aPercent) { return Below(100) < aPercent; }
  /// Whole milliseconds from `aMin` to `aMax`.
  duration Between(duration aMin, duration aMax)
  {
    const auto span = static_cast<uint64_t>((aMax - aMin) / 1ms);
    return aMin + duration(1ms) * static_cast<int64_t>(Below(span + 1));
  }

private:
  std::mt19937_64 mRandom;
};

} // namespace parsleystair
