#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace parsleystair {

/// Simulated time and the actions that are due in it.
class event_queue
{
public:
  using action = std::function<void()>;

  [[nodiscard]] time_point Now() const { return mNow; }

  /// Actions of one time run in the order in which they were added.
  void At(time_point aTime, action aAction)
  {
    mEvents.push({ aTime, ++mOrder, std::move(aAction) });
  }

  void RunUntil(time_point aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mAt < aEnd) {
      const event next = mEvents.top();
      mEvents.pop();
      mNow = next.mAt;
      next.mAction();
    }
  }

private:
  struct event
  {
    time_point mAt;
    uint64_t mOrder = 0;
    action mAction;

    bool operator<(const event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  time_point mNow{ 1h };
  uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
};

} // namespace parsleystair
