#include "PerformanceTest/measure_limits/SimulatedTarget.h"

#include <cmath>

namespace parsleystair {

namespace {

/// Spread of the lognormal service time; 99% are under 3.0 times the median.
constexpr double kServiceSigma = 0.47;

} // namespace

simulated_target::simulated_target(event_queue& aEvents,
                                   std::mt19937_64& aRandom,
                                   uint32_t aConcurrency,
                                   uint32_t aConnections,
                                   callback aCallback)
  : mEvents(aEvents)
  , mRandom(aRandom)
  , mConcurrency(aConcurrency)
  , mConnections(aConnections)
  , mCallback(std::move(aCallback))
{
}

void simulated_target::Receive(target_try aTry)
{
  if (mRunning + mWaiting.size() >= mConnections) {
    mCallback(aTry, false);
    return;
  }
  mWaiting.push_back(aTry);
  StartNext();
}

void simulated_target::StartNext()
{
  while (!mWaiting.empty() && mRunning < mConcurrency) {
    const target_try next = mWaiting.front();
    mWaiting.pop_front();
    mRunning += 1;
    // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
    const double mu = std::log(static_cast<double>(kServiceTime.count())) -
                      kServiceSigma * kServiceSigma / 2;
    std::lognormal_distribution<double> service(mu, kServiceSigma);
    const duration length(static_cast<int64_t>(service(mRandom)));
    mEvents.At(mEvents.Now() + length, [this, next] {
      mRunning -= 1;
      mCallback(next, true);
      StartNext();
    });
  }
}

} // namespace parsleystair
