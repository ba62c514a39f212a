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

/// Identifies a request in a queue; assigned by the user of the queue.
using queued_request_id = strong_id<struct queue_ticket_tag, uint64_t>;

/// A request to be sent to a target.
struct queued_request
{
  queued_request_id mTicket;
  caller_name mCaller;
  /// 0 is served first.
  uint32_t mPriority = 0;
  time_point mDeadline;
  /// Maximum time in the queue.
  duration mMaxWait{};
};

/// A request that was removed from the queue without being sent.
struct shed_request
{
  queued_request_id mTicket;
  refusal_reason mReason = refusal_reason::kOverloaded;
  /// Expected time until the queue is empty, in ms, at least 1.
  uint32_t mRetryAfterMs = 0;

  bool operator==(const shed_request&) const = default;
};

/// Result of `request_queue::Offer`.
struct offer_result
{
  /// The request counts as in flight and must be sent now.
  bool mStarted = false;
  /// The offered request or the request that it replaced, if one was shed.
  std::optional<shed_request> mShed;
};

/// Queue of the requests to one target, with a concurrency limit. Starts
/// requests by priority, then fairly between callers, then by deadline.
class request_queue
{
public:
  /// `aMaxLength`: maximum number of waiting requests, at least 1.
  request_queue(std::unique_ptr<concurrency_limit> aLimit, size_t aMaxLength);

  /// Starts, queues or sheds a request. It is shed immediately if it is
  /// expected to start too late for its deadline or maximum wait.
  offer_result Offer(const queued_request& aRequest, time_point aNow);

  /// Starts and returns the next waiting request, if the limit allows one. Call
  /// until it returns nothing, after each finished request and every few
  /// milliseconds, since a limit below 1 delays starts.
  std::optional<queued_request_id> TakeNext(time_point aNow);

  /// Removes and returns the requests that reached their deadline or maximum
  /// wait.
  std::vector<shed_request> TakeExpired(time_point aNow);

  /// Removes a waiting request whose caller has disconnected. Returns false if
  /// the request is not waiting.
  bool Remove(queued_request_id aTicket);

  /// Records the end of a started request.
  void HandleEnd(const limit_sample& aSample, time_point aNow);

  /// Records the end of a started request without a sample for the limit, such
  /// as one that was not sent.
  void GiveBack();

  [[nodiscard]] uint32_t InFlight() const { return mInFlight; }
  [[nodiscard]] size_t Waiting() const { return mWaiting.size(); }
  [[nodiscard]] double Limit() const { return mLimit->Limit(); }
  /// Expected time until a request with `aAhead` requests ahead of it starts.
  [[nodiscard]] duration ExpectedWait(size_t aAhead) const;

private:
  struct waiting_request
  {
    queued_request mRequest;
    time_point mExpiresAt;
    /// Fair queueing round in which the request starts.
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
  /// Exponential moving average of the latency of requests.
  duration mMeanLatency{};
  /// Highest round of a request taken from the queue.
  uint64_t mCurrentRound = 0;
  std::vector<waiting_request> mWaiting;
};

} // namespace parsleystair
