#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Limits/ConcurrencyLimit.h"
#include "Parsleystair/Request/Outcome.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace parsleystair {

/// Names one request in a queue; given by the caller of the queue.
using queue_ticket = strong_id<struct queue_ticket_tag, uint64_t>;

/// A request that wants a slot of a target.
struct queued_request
{
  queue_ticket mTicket;
  caller_name mCaller;
  /// 0 is served first.
  uint32_t mPriority = 0;
  time_point mDeadline;
  /// Longest time in the queue.
  duration mMaxWait{};
};

/// A request that left the queue without a slot. It was not sent.
struct shed_request
{
  queue_ticket mTicket;
  refusal_reason mReason = refusal_reason::kOverloaded;
  /// Time in which the queue is expected to drain, in ms, at least 1.
  uint32_t mRetryAfterMs = 0;

  bool operator==(const shed_request&) const = default;
};

/// What happened to an offered request.
struct offer_result
{
  /// The request has a slot and is to be sent now.
  bool mStarted = false;
  /// The offered request, or one that gave its place to it.
  std::optional<shed_request> mShed;
};

/// Slots of one target and the requests that wait for them. Serves by priority,
/// then in turn between callers, then by deadline.
class request_queue
{
public:
  /// `aMaxLength`: requests that may wait, at least 1.
  request_queue(std::unique_ptr<concurrency_limit> aLimit, size_t aMaxLength);

  /// Starts, queues or sheds a request. It is shed at once when its turn is
  /// expected too late for its deadline or its longest wait.
  offer_result Offer(const queued_request& aRequest, time_point aNow);

  /// Next request to be sent, if there is a slot and one waits. Call until
  /// empty after each end of a request, and every few milliseconds, since a
  /// limit below 1 frees its slot later.
  std::optional<queue_ticket> TakeNext(time_point aNow);

  /// Requests that have waited until their deadline or longest wait.
  std::vector<shed_request> TakeExpired(time_point aNow);

  /// Removes a waiting request whose caller has gone. Returns false when it
  /// doesn't wait.
  bool Remove(queue_ticket aTicket);

  /// Gives back the slot of a started request.
  void HandleEnd(const limit_sample& aSample, time_point aNow);

  /// Gives back the slot of a started request that tells nothing of the
  /// target's load, like one that was not sent after all.
  void GiveBack();

  [[nodiscard]] uint32_t InFlight() const { return mInFlight; }
  [[nodiscard]] size_t Waiting() const { return mWaiting.size(); }
  [[nodiscard]] double Limit() const { return mLimit->Value(); }
  /// Expected time until a request behind `aAhead` others starts.
  [[nodiscard]] duration ExpectedWait(size_t aAhead) const;

private:
  struct waiting_request
  {
    queued_request mRequest;
    time_point mExpiresAt;
    /// Turn of the request among those of all callers.
    uint64_t mRound = 0;
  };

  void Start(time_point aNow);
  [[nodiscard]] size_t CountAhead(const waiting_request& aRequest) const;
  [[nodiscard]] uint64_t NextRound(const caller_name& aCaller) const;
  [[nodiscard]] size_t CountOf(const caller_name& aCaller) const;
  std::optional<size_t> FindRequestToEvict(
    const waiting_request& aRequest) const;
  [[nodiscard]] shed_request Shed(const queued_request& aRequest,
                                  refusal_reason aReason) const;
  void Erase(size_t aIndex);

  std::unique_ptr<concurrency_limit> mLimit;
  size_t mMaxLength;
  uint32_t mInFlight = 0;
  /// Moving average of the time for which a request holds its slot.
  duration mMeanLatency{};
  /// Turn of the request that started last.
  uint64_t mCurrentRound = 0;
  std::vector<waiting_request> mWaiting;
};

} // namespace parsleystair
