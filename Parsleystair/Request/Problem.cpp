#include "Parsleystair/Request/Problem.h"

#include "Parsleystair/Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

constexpr uint32_t kMillisecondsPerSecond = 1000;

struct reason_form
{
  std::string_view mText;
  uint32_t mStatus;
};

reason_form FormOf(refusal_reason aReason)
{
  switch (aReason) {
    case refusal_reason::kBadRequest:
      return { "bad-request", 400 };
    case refusal_reason::kUnknownService:
      return { "unknown-service", 404 };
    case refusal_reason::kMethodNotAllowed:
      return { "method-not-allowed", 405 };
    case refusal_reason::kMissingIdempotencyKey:
      return { "missing-idempotency-key", 400 };
    case refusal_reason::kBadIdempotencyKey:
      return { "bad-idempotency-key", 400 };
    case refusal_reason::kIdempotencyKeyReused:
      return { "idempotency-key-reused", 422 };
    case refusal_reason::kIdempotencyKeyExpired:
      return { "idempotency-key-expired", 409 };
    case refusal_reason::kDuplicateInProgress:
      return { "duplicate-in-progress", 409 };
    case refusal_reason::kRecordsUnavailable:
      return { "records-unavailable", 503 };
    case refusal_reason::kRecordsFull:
      return { "records-full", 503 };
    case refusal_reason::kNoOwner:
      return { "no-owner", 503 };
    case refusal_reason::kOwnerUnreachable:
      return { "owner-unreachable", 503 };
    case refusal_reason::kNoAuthority:
      return { "no-authority", 503 };
    case refusal_reason::kOverloaded:
      return { "overloaded", 503 };
    case refusal_reason::kDeadlineExceeded:
      return { "deadline-exceeded", 504 };
    case refusal_reason::kCrashingRequest:
      return { "crashing-request", 422 };
    case refusal_reason::kIncompleteResponse:
      return { "incomplete-answer", 502 };
    case refusal_reason::kShuttingDown:
      return { "shutting-down", 503 };
  }
  return { "unknown", 500 };
}

http_response ProblemAnswer(refusal_reason aReason,
                            std::string_view aOutcome,
                            const std::string& aDetail,
                            const std::string& aRequestId)
{
  const reason_form form = FormOf(aReason);
  const std::string reason(form.mText);
  const nlohmann::json body = { { "type", "urn:parsleystair:" + reason },
                                { "title", reason },
                                { "status", form.mStatus },
                                { "detail", aDetail },
                                { "reason", reason },
                                { "outcome", aOutcome },
                                { "requestId", aRequestId } };
  http_response answer;
  answer.mStatus = form.mStatus;
  answer.mHeaders = { { "Content-Type", "application/problem+json" } };
  // A caller's text may hold bytes that are not UTF-8.
  answer.mBody = ReportText(body);
  return answer;
}

} // namespace

std::string_view ReasonText(refusal_reason aReason)
{
  return FormOf(aReason).mText;
}

std::string_view RefusalReason(const request_outcome& aOutcome)
{
  if (const auto* notRun = std::get_if<refused_not_run>(&aOutcome)) {
    return ReasonText(notRun->mReason);
  }
  if (const auto* unknown = std::get_if<refused_may_have_run>(&aOutcome)) {
    return ReasonText(unknown->mReason);
  }
  return "";
}

std::string_view OutcomeText(const request_outcome& aOutcome)
{
  if (std::holds_alternative<responded>(aOutcome)) {
    return "ran";
  }
  return std::holds_alternative<refused_not_run>(aOutcome) ? "not-run"
                                                           : "may-have-run";
}

http_response ToHttpResponse(const request_outcome& aOutcome,
                             const std::string& aRequestId)
{
  http_response answer;
  if (const auto* whole = std::get_if<responded>(&aOutcome)) {
    answer = whole->mResponse;
    answer.mHeaders = EndToEndHeaders(answer.mHeaders);
    std::erase_if(answer.mHeaders, [](const http_header& aHeader) {
      return SameHeaderName(aHeader.mName, "request-id");
    });
  } else if (const auto* notRun = std::get_if<refused_not_run>(&aOutcome)) {
    answer =
      ProblemAnswer(notRun->mReason, "not-run", notRun->mDetail, aRequestId);
    if (notRun->mRetryAfterMs > 0) {
      const uint32_t seconds =
        (notRun->mRetryAfterMs + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
      answer.mHeaders.push_back({ "Retry-After", std::to_string(seconds) });
    }
  } else {
    const auto& unknown = std::get<refused_may_have_run>(aOutcome);
    answer = ProblemAnswer(
      unknown.mReason, "may-have-run", unknown.mDetail, aRequestId);
  }
  answer.mHeaders.push_back({ "Request-Id", aRequestId });
  return answer;
}

} // namespace parsleystair
