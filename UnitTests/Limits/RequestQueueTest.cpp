#include "UnitTests/Support/RandomActions.h"

#include "Parsleystair/Limits/RequestQueue.h"

#include <map>
#include <set>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };

queued_request Request(uint64_t aTicket,
                       const char* aCaller,
                       uint32_t aPriority = 5,
                       duration aDeadline = 10s)
{
  return { queued_request_id(aTicket),
           caller_name(aCaller),
           aPriority,
           kStart + aDeadline,
           10s };
}

/// A queue and a model of its waiting and started requests.
class queue_model
{
public:
  void Offer(uint32_t aFirst, uint32_t aSecond)
  {
    const queued_request request{ queued_request_id(++mLastTicket),
                                  caller_name(std::to_string(aSecond % 3)),
                                  aFirst % 2,
                                  mNow + duration(aFirst % 300'000),
                                  duration(aSecond % 300'000) };
    const offer_result result = mQueue.Offer(request, mNow);
    if (result.mStarted) {
      RC_ASSERT(mWaiting.empty());
      Start(request);
      return;
    }
    mWaiting[request.mTicket] = { request, mNow };
    if (result.mShed) {
      RC_ASSERT(result.mShed->mRetryAfterMs > 0u);
      RC_ASSERT(mWaiting.erase(result.mShed->mTicket) == 1u);
    }
    RC_ASSERT(mWaiting.size() <= kMaxWaiting);
  }

  void TakeNext(uint32_t, uint32_t)
  {
    const auto ticket = mQueue.TakeNext(mNow);
    if (!ticket) {
      return;
    }
    RC_ASSERT(mWaiting.contains(*ticket));
    const queued_request request = mWaiting[*ticket].first;
    for (const auto& [other, waiting] : mWaiting) {
      const bool canStart = mNow < ExpiryOf(waiting);
      RC_ASSERT(!canStart || waiting.first.mPriority >= request.mPriority);
    }
    RC_ASSERT(mNow < ExpiryOf(mWaiting[*ticket]));
    mWaiting.erase(*ticket);
    Start(request);
  }

  void TakeExpired(uint32_t, uint32_t)
  {
    for (const shed_request& shed : mQueue.TakeExpired(mNow)) {
      RC_ASSERT(mNow >= ExpiryOf(mWaiting.at(shed.mTicket)));
      mWaiting.erase(shed.mTicket);
    }
    for (const auto& [ticket, waiting] : mWaiting) {
      RC_ASSERT(mNow < ExpiryOf(waiting));
    }
    RC_ASSERT(mQueue.Waiting() == mWaiting.size());
  }

  void End(uint32_t aLatency, uint32_t)
  {
    if (mInFlight > 0) {
      --mInFlight;
      mQueue.HandleEnd({ duration(aLatency % 50'000), 1, false }, mNow);
    }
    RC_ASSERT(mQueue.InFlight() == mInFlight);
  }

  void Advance(uint32_t aAmount, uint32_t)
  {
    mNow += duration(aAmount % 20'000);
  }

private:
  using model_entry = std::pair<queued_request, time_point>;
  static constexpr size_t kMaxWaiting = 6;
  static constexpr uint32_t kLimit = 3;

  static time_point ExpiryOf(const model_entry& aWaiting)
  {
    return std::min(aWaiting.first.mDeadline,
                    aWaiting.second + aWaiting.first.mMaxWait);
  }

  void Start(const queued_request& aRequest)
  {
    RC_ASSERT(mNow < aRequest.mDeadline);
    RC_ASSERT(mStarted.insert(aRequest.mTicket).second);
    ++mInFlight;
    RC_ASSERT(mInFlight <= kLimit);
  }

  time_point mNow = kStart;
  uint64_t mLastTicket = 0;
  uint32_t mInFlight = 0;
  std::map<queued_request_id, model_entry> mWaiting;
  std::set<queued_request_id> mStarted;
  request_queue mQueue{ std::make_unique<fixed_limit>(kLimit), kMaxWaiting };
};

const std::vector<weighted_action<queue_model>> kActions = {
  { "offer", 6, &queue_model::Offer },
  { "next", 4, &queue_model::TakeNext },
  { "expired", 2, &queue_model::TakeExpired },
  { "end", 4, &queue_model::End },
  { "advance", 3, &queue_model::Advance },
};

} // namespace

// Guards against requests that are lost, started twice, started late or beyond
// the concurrency limit, and against a lower priority that starts first.
RC_GTEST_PROP(RequestQueueModel, RespectsLimitDeadlinesAndPriorities, ())
{
  queue_model model;
  RunRandomActions(model, kActions, 5.0);
}

// Guards against one caller that occupies the whole queue, and against an order
// by deadline that only holds within one caller.
TEST(RequestQueue, AlternatesBetweenCallers)
{
  request_queue queue(std::make_unique<fixed_limit>(1), 3);
  EXPECT_TRUE(queue.Offer(Request(1, "a"), kStart).mStarted);
  queue.Offer(Request(2, "a"), kStart);
  queue.Offer(Request(3, "a"), kStart);
  queue.Offer(Request(4, "b", 5, 9s), kStart);
  const offer_result full = queue.Offer(Request(5, "c", 5, 8s), kStart);
  EXPECT_EQ(full.mShed->mTicket, queued_request_id(3));
  for (const uint64_t expected : { 5, 4, 2 }) {
    queue.HandleEnd({ 1ms, 1, false }, kStart);
    EXPECT_EQ(queue.TakeNext(kStart), queued_request_id(expected));
  }
}

// Guards against a request that waits although it would start too late, and
// against a Retry-After that ignores the measured latency.
TEST(RequestQueue, ShedsEarlyWithDrainTimeAsRetryAfter)
{
  request_queue queue(std::make_unique<fixed_limit>(2), 100);
  queue.Offer(Request(1, "a"), kStart);
  queue.HandleEnd({ 100ms, 1, false }, kStart);
  for (uint64_t i = 2; i < 8; ++i) {
    queue.Offer(Request(i, "a"), kStart);
  }
  ASSERT_EQ(queue.Waiting(), 4u);
  const offer_result shed = queue.Offer(Request(8, "a", 5, 300ms), kStart);
  ASSERT_TRUE(shed.mShed.has_value());
  EXPECT_EQ(shed.mShed->mRetryAfterMs, 250u);
  EXPECT_FALSE(queue.Offer(Request(9, "a", 0, 300ms), kStart).mShed);
}

} // namespace parsleystair
