#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Limits/RetryBudget.h"
#include "Parsleystair/Request/Outcome.h"
#include "Parsleystair/Settings/Configuration.h"

#include <random>
#include <variant>

namespace parsleystair {

/// What is known of an attempt that brought no complete answer.
enum class attempt_failure
{
  /// No byte was sent.
  kNotSent,
  /// The target said that it did not run the request.
  kRejectedNotRun,
  /// The request was sent and its end is not known.
  kUnknown,
};

/// An attempt that failed.
struct failed_attempt
{
  attempt_failure mFailure = attempt_failure::kUnknown;
  /// Reason for the caller, if this attempt is the last.
  refusal_reason mReason = refusal_reason::kIncompleteResponse;
  std::string mDetail;
  /// What the target asked for; 0 when it asked for nothing.
  uint32_t mRetryAfterMs = 0;
  /// The target refused new connections after the request was sent.
  bool mCrashSuspected = false;
};

/// Another attempt after a delay.
struct retry_later
{
  duration mDelay{};
  /// The same target is likely to fail again; another is better where more than
  /// one may serve the request.
  bool mPreferOtherTarget = true;

  bool operator==(const retry_later&) const = default;
};

using retry_decision =
  std::variant<retry_later, refused_not_run, refused_may_have_run>;

/// Decides after each failed attempt of one request what comes next.
class retry_policy
{
public:
  /// `aDeadline`: end of the request.
  retry_policy(const request_rule& aRule, time_point aDeadline);

  /// Call once for each attempt that failed.
  retry_decision HandleFailure(const failed_attempt& aFailure,
                               retry_budget& aBudget,
                               time_point aNow,
                               std::mt19937_64& aRandom);

private:
  [[nodiscard]] retry_decision Refuse(const failed_attempt& aFailure) const;

  bool mIdempotent;
  uint32_t mMaxAttempts;
  time_point mDeadline;
  uint32_t mFailures = 0;
  /// Some attempt had an unknown end, so that "not run" is wrong for good.
  bool mMayHaveRun = false;
};

} // namespace parsleystair
