#pragma once

#include "Parsleystair/Core/Time.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace parsleystair {

/// A target that runs some requests at a time, each for `kWork`, lets some
/// wait, and rejects the others.
class simulated_capacity
{
public:
  static constexpr duration kWork = 170ms;

  simulated_capacity(size_t aConcurrency, size_t aQueue)
    : mConcurrency(aConcurrency)
    , mQueue(aQueue)
  {
  }

  /// Requests in a second.
  [[nodiscard]] double Capacity() const
  {
    return static_cast<double>(mConcurrency) / ToSeconds(kWork);
  }

  [[nodiscard]] size_t Waiting() const { return mWaiting.size(); }

  /// Takes a request, or rejects it if its queue is full. `aDone` is called by
  /// `Run` with the time at which the request ended.
  bool Take(std::function<void(time_point)> aDone, time_point aNow)
  {
    Run(aNow);
    if (mRunning.size() < mConcurrency) {
      mRunning.emplace(aNow + kWork, std::move(aDone));
    } else if (mWaiting.size() < mQueue) {
      mWaiting.push_back(std::move(aDone));
    } else {
      return false;
    }
    return true;
  }

  void Run(time_point aNow)
  {
    while (!mRunning.empty() && mRunning.begin()->first <= aNow) {
      auto node = mRunning.extract(mRunning.begin());
      if (!mWaiting.empty()) {
        mRunning.emplace(node.key() + kWork, std::move(mWaiting.front()));
        mWaiting.pop_front();
      }
      node.mapped()(node.key());
    }
  }

private:
  size_t mConcurrency;
  size_t mQueue;
  std::multimap<time_point, std::function<void(time_point)>> mRunning;
  std::deque<std::function<void(time_point)>> mWaiting;
};

/// Requests of one kind and what became of them.
struct played_requests
{
  uint32_t mRequests = 0;
  /// Answered before their deadline, and within the latency target.
  uint32_t mServed = 0;
  uint32_t mInTime = 0;
  /// Refusals, in total and of requests that had been refused before.
  uint32_t mRefusals = 0;
  uint32_t mRefusedAgain = 0;
};

/// Callers that send requests at random, and send refused ones again until
/// their deadline.
class simulated_callers
{
public:
  static constexpr duration kDeadline = 6s;
  static constexpr duration kLatencyTarget = 1500ms;
  static constexpr duration kStep = 5ms;

  struct request
  {
    uint64_t mId = 0;
    /// Index of the group of callers.
    size_t mGroup = 0;
    time_point mStart;
    time_point mDeadline;
    bool mRefused = false;
  };

  struct group
  {
    /// Requests in a second.
    std::function<double(time_point)> mRate;
    /// The callers come back at once, whatever the refusal says.
    bool mRetriesAtOnce = false;
  };

  /// `aSend`: handles a request, which ends with `Served` or `Refused`.
  simulated_callers(std::vector<group> aGroups,
                    std::function<void(const request&, time_point)> aSend)
    : mResults(aGroups.size())
    , mGroups(std::move(aGroups))
    , mSend(std::move(aSend))
  {
  }

  void Step(time_point aNow)
  {
    std::uniform_real_distribution<double> draw(0, 1);
    for (size_t i = 0; i < mGroups.size(); ++i) {
      if (draw(mRandom) < mGroups[i].mRate(aNow) * ToSeconds(kStep)) {
        ++mResults[i].mRequests;
        mSend({ mNextId++, i, aNow, aNow + kDeadline, false }, aNow);
      }
    }
    while (!mReturns.empty() && mReturns.begin()->first <= aNow) {
      const request next = mReturns.extract(mReturns.begin()).mapped();
      mSend(next, aNow);
    }
  }

  void Served(const request& aRequest, time_point aNow)
  {
    played_requests& results = mResults[aRequest.mGroup];
    results.mServed += aNow <= aRequest.mDeadline ? 1 : 0;
    results.mInTime += aNow - aRequest.mStart <= kLatencyTarget ? 1 : 0;
  }

  void Refused(request aRequest, duration aRetryAfter, time_point aNow)
  {
    played_requests& results = mResults[aRequest.mGroup];
    ++results.mRefusals;
    results.mRefusedAgain += aRequest.mRefused ? 1 : 0;
    aRequest.mRefused = true;
    const duration left = aRequest.mDeadline - aNow;
    const duration wait = mGroups[aRequest.mGroup].mRetriesAtOnce
                            ? kStep
                            : std::min(aRetryAfter, left / 3);
    if (wait + simulated_capacity::kWork < left) {
      mReturns.emplace(aNow + wait, aRequest);
    }
  }

  [[nodiscard]] const std::vector<played_requests>& Results() const
  {
    return mResults;
  }

private:
  std::vector<played_requests> mResults;
  std::vector<group> mGroups;
  std::function<void(const request&, time_point)> mSend;
  std::mt19937_64 mRandom{ 7 };
  uint64_t mNextId = 1;
  std::multimap<time_point, request> mReturns;
};

} // namespace parsleystair
