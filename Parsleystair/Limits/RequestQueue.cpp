#include "Parsleystair/Limits/RequestQueue.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <tuple>

namespace parsleystair {

namespace {

/// One sample has this inverse weight in the moving average of latencies.
constexpr int64_t kMeanLatencyDivisor = 16;
constexpr uint32_t kMaxRetryAfterMs = 30'000;

} // namespace

request_queue::request_queue(std::unique_ptr<concurrency_limit> aLimit,
                             size_t aMaxLength)
  : mLimit(std::move(aLimit))
  , mMaxLength(aMaxLength)
{
  PARSLEYSTAIR_INVARIANT(mLimit != nullptr);
  PARSLEYSTAIR_INVARIANT(aMaxLength > 0);
}

offer_result request_queue::Offer(const queued_request& aRequest,
                                  time_point aNow)
{
  if (aNow >= aRequest.mDeadline) {
    return { false, Shed(aRequest, refusal_reason::kDeadlineExceeded) };
  }
  if (mWaiting.empty() && mLimit->Allows(mInFlight, aNow)) {
    Start(aNow);
    return { true, {} };
  }

  // Shed the request if it is expected to start too late.
  waiting_request waiting;
  waiting.mRequest = aRequest;
  waiting.mExpiresAt = std::min(aRequest.mDeadline, aNow + aRequest.mMaxWait);
  waiting.mRound = NextRound(aRequest.mCaller);
  const duration wait = ExpectedWait(CountAhead(waiting));
  const bool startsTooLate = aNow + wait >= waiting.mExpiresAt ||
                             aNow + wait + mMeanLatency >= aRequest.mDeadline;
  if (startsTooLate) {
    return { false, Shed(aRequest, refusal_reason::kOverloaded) };
  }

  // A full queue may evict a less urgent request.
  offer_result result;
  if (mWaiting.size() >= mMaxLength) {
    const std::optional<size_t> evicted = FindRequestToEvict(waiting);
    if (!evicted) {
      return { false, Shed(aRequest, refusal_reason::kOverloaded) };
    }
    result.mShed =
      Shed(mWaiting[*evicted].mRequest, refusal_reason::kOverloaded);
    Erase(*evicted);
  }
  mWaiting.push_back(std::move(waiting));
  PARSLEYSTAIR_INVARIANT(mWaiting.size() <= mMaxLength);
  return result;
}

std::optional<queued_request_id> request_queue::TakeNext(time_point aNow)
{
  if (!mLimit->Allows(mInFlight, aNow)) {
    return std::nullopt;
  }
  std::optional<size_t> next;
  for (size_t i = 0; i < mWaiting.size(); ++i) {
    if (aNow >= mWaiting[i].mExpiresAt) {
      continue;
    }
    const auto order = [](const waiting_request& aWaiting) {
      return std::tuple(aWaiting.mRequest.mPriority,
                        aWaiting.mRound,
                        aWaiting.mRequest.mDeadline);
    };
    if (!next || order(mWaiting[i]) < order(mWaiting[*next])) {
      next = i;
    }
  }
  if (!next) {
    return std::nullopt;
  }

  const queued_request_id ticket = mWaiting[*next].mRequest.mTicket;
  mCurrentRound = std::max(mCurrentRound, mWaiting[*next].mRound);
  Erase(*next);
  Start(aNow);
  return ticket;
}

std::vector<shed_request> request_queue::TakeExpired(time_point aNow)
{
  std::vector<shed_request> expired;
  for (size_t i = 0; i < mWaiting.size();) {
    const waiting_request& waiting = mWaiting[i];
    if (aNow < waiting.mExpiresAt) {
      ++i;
      continue;
    }
    const bool atDeadline = aNow >= waiting.mRequest.mDeadline;
    expired.push_back(Shed(waiting.mRequest,
                           atDeadline ? refusal_reason::kDeadlineExceeded
                                      : refusal_reason::kOverloaded));
    Erase(i);
  }
  return expired;
}

bool request_queue::Remove(queued_request_id aTicket)
{
  for (size_t i = 0; i < mWaiting.size(); ++i) {
    if (mWaiting[i].mRequest.mTicket == aTicket) {
      Erase(i);
      return true;
    }
  }
  return false;
}

void request_queue::HandleEnd(const limit_sample& aSample, time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(mInFlight > 0);
  mInFlight -= 1;
  mLimit->HandleEnd(aSample, aNow);
  if (mMeanLatency == duration::zero()) {
    mMeanLatency = aSample.mLatency;
    return;
  }
  mMeanLatency += (aSample.mLatency - mMeanLatency) / kMeanLatencyDivisor;
}

void request_queue::GiveBack()
{
  PARSLEYSTAIR_INVARIANT(mInFlight > 0);
  mInFlight -= 1;
}

duration request_queue::ExpectedWait(size_t aAhead) const
{
  const double requests = static_cast<double>(aAhead) + 1;
  const double meanLatency = static_cast<double>(mMeanLatency.count());
  return duration(
    static_cast<int64_t>(requests * meanLatency / mLimit->Limit()));
}

void request_queue::Start(time_point aNow)
{
  mInFlight += 1;
  mLimit->HandleStart(aNow);
}

size_t request_queue::CountAhead(const waiting_request& aRequest) const
{
  const auto order = [](const waiting_request& aWaiting) {
    return std::tuple(aWaiting.mRequest.mPriority,
                      aWaiting.mRound,
                      aWaiting.mRequest.mDeadline);
  };
  return static_cast<size_t>(
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
      return order(aWaiting) <= order(aRequest);
    }));
}

/// Start-time fair queueing with equal weights: the first waiting request of
/// each caller gets the current round, its second the next one, and so on.
uint64_t request_queue::NextRound(const caller_name& aCaller) const
{
  uint64_t round = mCurrentRound;
  for (const waiting_request& waiting : mWaiting) {
    if (waiting.mRequest.mCaller == aCaller) {
      round = std::max(round, waiting.mRound + 1);
    }
  }
  return round;
}

size_t request_queue::CountOf(const caller_name& aCaller) const
{
  return static_cast<size_t>(
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const auto& aWaiting) {
      return aWaiting.mRequest.mCaller == aCaller;
    }));
}

/// Returns the last request in order, if it has a lower priority than the new
/// one, or the same priority and a later round, so that one caller can't fill
/// the queue.
std::optional<size_t> request_queue::FindRequestToEvict(
  const waiting_request& aRequest) const
{
  const auto order = [](const waiting_request& aWaiting) {
    return std::pair(aWaiting.mRequest.mPriority, aWaiting.mRound);
  };
  const auto last =
    std::max_element(mWaiting.begin(),
                     mWaiting.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return order(aLeft) < order(aRight);
                     });
  if (last == mWaiting.end() || order(*last) <= order(aRequest)) {
    return std::nullopt;
  }
  return static_cast<size_t>(last - mWaiting.begin());
}

shed_request request_queue::Shed(const queued_request& aRequest,
                                 refusal_reason aReason) const
{
  const duration drainTime = ExpectedWait(mWaiting.size());
  const auto drainTimeMs =
    std::chrono::ceil<std::chrono::milliseconds>(drainTime).count();
  const auto retryAfterMs =
    std::clamp<int64_t>(drainTimeMs, 1, kMaxRetryAfterMs);
  return { aRequest.mTicket, aReason, static_cast<uint32_t>(retryAfterMs) };
}

void request_queue::Erase(size_t aIndex)
{
  PARSLEYSTAIR_INVARIANT(aIndex < mWaiting.size());
  mWaiting.erase(mWaiting.begin() + static_cast<std::ptrdiff_t>(aIndex));
}

} // namespace parsleystair
