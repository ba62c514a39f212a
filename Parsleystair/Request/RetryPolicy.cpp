#include "Parsleystair/Request/RetryPolicy.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr duration kFirstDelay = 20ms;
constexpr duration kMaxDelay = 500ms;
constexpr uint32_t kMaxDoublings = 5;

/// Full jitter: routers that failed together don't retry together.
duration DelayOf(uint32_t aFailures, std::mt19937_64& aRandom)
{
  const auto factor = 1u << std::min(aFailures - 1, kMaxDoublings);
  const duration longest = std::min(kMaxDelay, kFirstDelay * factor);
  std::uniform_int_distribution<int64_t> delay(0, longest.count());
  return duration(delay(aRandom));
}

} // namespace

retry_policy::retry_policy(const request_rule& aRule, time_point aDeadline)
  : mIdempotent(aRule.mIdempotent)
  , mMaxAttempts(aRule.mMaxAttempts)
  , mDeadline(aDeadline)
{
}

retry_decision retry_policy::HandleFailure(const failed_attempt& aFailure,
                                           retry_budget& aBudget,
                                           time_point aNow,
                                           std::mt19937_64& aRandom)
{
  ++mFailures;
  const bool unknown = aFailure.mFailure == attempt_failure::kUnknown;
  mMayHaveRun = mMayHaveRun || unknown;

  // Is another attempt allowed at all? A request that seems to crash targets is
  // not sent to a second one.
  if (aFailure.mCrashSuspected || mFailures >= mMaxAttempts ||
      (unknown && !mIdempotent)) {
    return Refuse(aFailure);
  }

  // Is there time for it?
  const duration asked = std::chrono::milliseconds(aFailure.mRetryAfterMs);
  const duration delay = asked + DelayOf(mFailures, aRandom);
  if (aNow + delay >= mDeadline) {
    return Refuse(aFailure);
  }

  // The budget comes last, so that only retries that happen are counted.
  if (!aBudget.TryTake(aNow)) {
    return Refuse(aFailure);
  }
  return retry_later{ delay, true };
}

retry_decision retry_policy::Refuse(const failed_attempt& aFailure) const
{
  if (mMayHaveRun) {
    return refused_may_have_run{ aFailure.mReason, aFailure.mDetail };
  }
  return refused_not_run{ aFailure.mReason,
                          aFailure.mDetail,
                          aFailure.mRetryAfterMs };
}

} // namespace parsleystair
