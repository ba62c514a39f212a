#include "PerformanceTest/measure_limits/Simulation.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Limits/RequestQueue.h"
#include "Parsleystair/Limits/RetryBudget.h"
#include "Parsleystair/Request/RetryPolicy.h"
#include "PerformanceTest/measure_limits/AverageLatencyLimit.h"
#include "PerformanceTest/measure_limits/SimulatedTarget.h"

#include <algorithm>
#include <deque>
#include <random>

namespace parsleystair {

namespace {

constexpr duration kOneWay = 1ms;
/// Defaults of `request_rule`.
constexpr duration kDeadline = 2s;
constexpr duration kMaxWait = 500ms;
constexpr size_t kQueueLength = 256;
/// Each try of the baseline gets a third of the deadline.
constexpr uint32_t kMaxTries = 3;
constexpr duration kTryTimeout = kDeadline / kMaxTries;
/// Of `average_latency_limit`: three times the service time.
constexpr duration kLatencyThreshold = 3 * kServiceTime;
/// Interval at which routers look for expired requests and paced slots.
constexpr duration kTick = 2ms;
constexpr uint32_t kCallers = 20;

struct request_state
{
  size_t mRouter = 0;
  time_point mArrived;
  time_point mDeadline;
  uint32_t mTries = 0;
  /// The try that holds a slot of the router; 0 when none does.
  uint32_t mOpenTry = 0;
  time_point mSentAt;
  uint32_t mInFlight = 0;
  bool mEnded = false;
};

struct router_state
{
  std::unique_ptr<request_queue> mQueue;
  /// Of the baseline.
  std::deque<size_t> mUnbounded;
  uint32_t mInFlight = 0;
  retry_budget mBudget{ 10 };
};

class simulation
{
public:
  explicit simulation(const simulation_settings& aSettings);
  simulation_result Run();

private:
  std::unique_ptr<concurrency_limit> MakeLimit() const;
  [[nodiscard]] double CapacityPerSecond(uint32_t aConcurrency) const;
  [[nodiscard]] bool IsBaseline() const;
  [[nodiscard]] uint32_t FixedLimit() const;

  void Arrive();
  void Offer(size_t aRequest);
  void Shed(size_t aRequest);
  void Tick(size_t aRouter);
  void Serve(size_t aRouter);
  void ServeUnbounded(router_state& aRouter);
  void Send(size_t aRequest);
  void TimeOut(size_t aRequest, uint32_t aTry);
  void Reply(target_try aTry, bool aAnswered);
  void FreeSlot(request_state& aRequest, bool aOverloaded);
  void RetryUnbounded(size_t aRequest);
  void HandleRefused(size_t aRequest);

  [[nodiscard]] bool IsCounted(const request_state& aRequest) const;
  simulation_result Summarize();

  simulation_settings mSettings;
  std::mt19937_64 mRandom;
  event_queue mEvents;
  time_point mStart = mEvents.Now();
  simulated_target mTarget;
  std::vector<router_state> mRouters;
  std::vector<request_state> mRequests;

  uint64_t mCounted = 0;
  uint64_t mShedCount = 0;
  uint64_t mServed = 0;
  uint64_t mWastedCount = 0;
  std::vector<duration> mLatencies;
};

simulation::simulation(const simulation_settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mTarget(mEvents,
            mRandom,
            aSettings.mConcurrency,
            aSettings.mConnections,
            [this](target_try aTry, bool aAnswered) {
              mEvents.At(mEvents.Now() + kOneWay,
                         [=, this] { Reply(aTry, aAnswered); });
            })
{
  mRouters.resize(mSettings.mRouters);
  for (size_t i = 0; i < mRouters.size(); ++i) {
    if (!IsBaseline()) {
      mRouters[i].mQueue =
        std::make_unique<request_queue>(MakeLimit(), kQueueLength);
    }
    mEvents.At(mStart + kTick * (i + 1) / mRouters.size(),
               [this, i] { Tick(i); });
  }
  mEvents.At(mStart, [this] { Arrive(); });
  mEvents.At(mStart + mSettings.mWarmUp / 2,
             [this] { mTarget.SetConcurrency(mSettings.mActualConcurrency); });
}

simulation_result simulation::Run()
{
  mEvents.RunUntil(mStart + mSettings.mLength);
  return Summarize();
}

std::unique_ptr<concurrency_limit> simulation::MakeLimit() const
{
  if (mSettings.mPolicy == limit_policy::kAdaptiveQueue) {
    return std::make_unique<adaptive_limit>(1, mSettings.mConcurrency);
  }
  if (mSettings.mPolicy == limit_policy::kAverageLatency) {
    const double share =
      CapacityPerSecond(mSettings.mConcurrency) / mSettings.mRouters;
    return std::make_unique<average_latency_limit>(share, kLatencyThreshold);
  }
  return std::make_unique<fixed_limit>(FixedLimit());
}

double simulation::CapacityPerSecond(uint32_t aConcurrency) const
{
  return aConcurrency / std::chrono::duration<double>(kServiceTime).count();
}

bool simulation::IsBaseline() const
{
  return mSettings.mPolicy == limit_policy::kFixedUnbounded;
}

uint32_t simulation::FixedLimit() const
{
  if (mSettings.mPolicy != limit_policy::kFixedShareQueue) {
    return mSettings.mConcurrency;
  }
  return (mSettings.mConcurrency + mSettings.mRouters - 1) / mSettings.mRouters;
}

void simulation::Arrive()
{
  std::exponential_distribution<double> gap(
    CapacityPerSecond(mSettings.mConcurrency) * mSettings.mLoad);
  const auto next = std::chrono::duration<double>(gap(mRandom));
  mEvents.At(mEvents.Now() + std::chrono::duration_cast<duration>(next),
             [this] { Arrive(); });

  request_state request;
  request.mRouter = mRandom() % mSettings.mActiveRouters;
  request.mArrived = mEvents.Now();
  request.mDeadline = mEvents.Now() + kDeadline;
  mRequests.push_back(request);
  mCounted += IsCounted(request);
  mRouters[request.mRouter].mBudget.AddFirstAttempt();
  Offer(mRequests.size() - 1);
}

void simulation::Offer(size_t aRequest)
{
  request_state& request = mRequests[aRequest];
  router_state& router = mRouters[request.mRouter];
  request.mTries += 1;
  if (IsBaseline()) {
    const uint32_t thisTry = request.mTries;
    mEvents.At(mEvents.Now() + kTryTimeout,
               [this, aRequest, thisTry] { TimeOut(aRequest, thisTry); });
    router.mUnbounded.push_back(aRequest);
    ServeUnbounded(router);
    return;
  }
  const caller_name caller(std::to_string(aRequest % kCallers));
  const offer_result result = router.mQueue->Offer(
    { queued_request_id(aRequest), caller, 5, request.mDeadline, kMaxWait },
    mEvents.Now());
  if (result.mShed) {
    Shed(result.mShed->mTicket.Value());
  }
  if (result.mStarted) {
    Send(aRequest);
  }
}

void simulation::Shed(size_t aRequest)
{
  request_state& request = mRequests[aRequest];
  request.mEnded = true;
  mShedCount += IsCounted(request);
}

void simulation::Tick(size_t aRouter)
{
  if (!IsBaseline()) {
    for (const shed_request& shed :
         mRouters[aRouter].mQueue->TakeExpired(mEvents.Now())) {
      Shed(shed.mTicket.Value());
    }
  }
  Serve(aRouter);
  mEvents.At(mEvents.Now() + kTick, [this, aRouter] { Tick(aRouter); });
}

void simulation::Serve(size_t aRouter)
{
  router_state& router = mRouters[aRouter];
  if (IsBaseline()) {
    ServeUnbounded(router);
    return;
  }
  while (const auto ticket = router.mQueue->TakeNext(mEvents.Now())) {
    Send(ticket->Value());
  }
}

void simulation::ServeUnbounded(router_state& aRouter)
{
  while (!aRouter.mUnbounded.empty() && aRouter.mInFlight < FixedLimit()) {
    const size_t next = aRouter.mUnbounded.front();
    aRouter.mUnbounded.pop_front();
    if (!mRequests[next].mEnded) {
      Send(next);
    }
  }
}

void simulation::Send(size_t aRequest)
{
  request_state& request = mRequests[aRequest];
  router_state& router = mRouters[request.mRouter];
  router.mInFlight += 1;
  request.mOpenTry = request.mTries;
  request.mSentAt = mEvents.Now();
  request.mInFlight = router.mInFlight;
  const target_try sent{ aRequest, request.mTries };
  mEvents.At(mEvents.Now() + kOneWay, [this, sent] { mTarget.Receive(sent); });
  if (!IsBaseline()) {
    mEvents.At(request.mDeadline,
               [this, sent] { TimeOut(sent.mRequest, sent.mTry); });
  }
}

void simulation::TimeOut(size_t aRequest, uint32_t aTry)
{
  request_state& request = mRequests[aRequest];
  if (request.mEnded || request.mTries != aTry) {
    return;
  }
  FreeSlot(request, true);
  if (IsBaseline()) {
    RetryUnbounded(aRequest);
  } else {
    request.mEnded = true;
  }
  Serve(request.mRouter);
}

void simulation::RetryUnbounded(size_t aRequest)
{
  request_state& request = mRequests[aRequest];
  std::erase(mRouters[request.mRouter].mUnbounded, aRequest);
  if (request.mTries >= kMaxTries) {
    request.mEnded = true;
    return;
  }
  Offer(aRequest);
}

void simulation::Reply(target_try aTry, bool aAnswered)
{
  request_state& request = mRequests[aTry.mRequest];
  const bool open = !request.mEnded && request.mOpenTry == aTry.mTry;
  if (aAnswered) {
    mServed += IsCounted(request);
    mWastedCount += IsCounted(request) && !open;
  }
  if (!open) {
    return;
  }
  FreeSlot(request, !aAnswered);
  if (aAnswered) {
    request.mEnded = true;
    if (IsCounted(request)) {
      mLatencies.push_back(mEvents.Now() - request.mArrived);
    }
  } else if (IsBaseline()) {
    RetryUnbounded(aTry.mRequest);
  } else {
    HandleRefused(aTry.mRequest);
  }
  Serve(request.mRouter);
}

void simulation::HandleRefused(size_t aRequest)
{
  request_state& request = mRequests[aRequest];
  retry_policy policy(request_rule{}, request.mDeadline);
  failed_attempt failure;
  failure.mFailure = attempt_failure::kRejectedNotRun;
  const auto decision = policy.HandleFailure(
    failure, mRouters[request.mRouter].mBudget, mEvents.Now(), mRandom);
  if (const auto* retry = std::get_if<retry_later>(&decision)) {
    mEvents.At(mEvents.Now() + retry->mDelay,
               [this, aRequest] { Offer(aRequest); });
    return;
  }
  Shed(aRequest);
}

void simulation::FreeSlot(request_state& aRequest, bool aOverloaded)
{
  if (aRequest.mOpenTry == 0) {
    return;
  }
  router_state& router = mRouters[aRequest.mRouter];
  PARSLEYSTAIR_INVARIANT(router.mInFlight > 0);
  router.mInFlight -= 1;
  aRequest.mOpenTry = 0;
  if (!IsBaseline()) {
    const duration latency = mEvents.Now() - aRequest.mSentAt;
    router.mQueue->HandleEnd({ latency, aRequest.mInFlight, aOverloaded },
                             mEvents.Now());
  }
}

bool simulation::IsCounted(const request_state& aRequest) const
{
  return aRequest.mArrived >= mStart + mSettings.mWarmUp &&
         aRequest.mDeadline < mStart + mSettings.mLength;
}

simulation_result simulation::Summarize()
{
  const duration counted = mSettings.mLength - mSettings.mWarmUp - kDeadline;
  const double possible = CapacityPerSecond(mSettings.mActualConcurrency) *
                          std::chrono::duration<double>(counted).count();
  simulation_result result;
  result.mGoodput = static_cast<double>(mLatencies.size()) / possible;
  result.mShed =
    static_cast<double>(mShedCount) / static_cast<double>(mCounted);
  result.mWasted = mServed == 0 ? 0
                                : static_cast<double>(mWastedCount) /
                                    static_cast<double>(mServed);
  if (!mLatencies.empty()) {
    const auto rank = static_cast<std::ptrdiff_t>(mLatencies.size() * 99 / 100);
    std::nth_element(
      mLatencies.begin(), mLatencies.begin() + rank, mLatencies.end());
    result.mP99Ms = static_cast<double>(mLatencies[rank].count()) / 1e3;
  }
  return result;
}

} // namespace

std::string NameOf(limit_policy aPolicy)
{
  switch (aPolicy) {
    case limit_policy::kFixedUnbounded:
      return "fixed, unbounded, 2 retries";
    case limit_policy::kFixedQueue:
      return "fixed, queue";
    case limit_policy::kFixedShareQueue:
      return "fixed share, queue";
    case limit_policy::kAdaptiveQueue:
      return "adaptive, queue";
    case limit_policy::kAverageLatency:
      return "average latency, queue";
  }
  return "";
}

simulation_result Simulate(const simulation_settings& aSettings)
{
  return simulation(aSettings).Run();
}

} // namespace parsleystair
