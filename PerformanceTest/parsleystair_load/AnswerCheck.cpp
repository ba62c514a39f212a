#include "PerformanceTest/parsleystair_load/AnswerCheck.h"

#include "Parsleystair/Core/Error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr uint32_t kOk = 200;
constexpr uint32_t kMultipleChoices = 300;

bool IsProblem(const http_response& aAnswer)
{
  const auto type = FindHeader(aAnswer.mHeaders, "content-type");
  return type && type->starts_with("application/problem+json");
}

std::string TextOf(const json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : "missing";
}

/// A repeated request gets the recorded answer of any request with the same
/// idempotency key.
bool IsOwnRequestId(const operation& aOperation, const std::string& aRequestId)
{
  return std::find(aOperation.mRequestIds.begin(),
                   aOperation.mRequestIds.end(),
                   aRequestId) != aOperation.mRequestIds.end();
}

bool IsOwnAnswer(const operation& aOperation, const http_response& aAnswer)
{
  const auto requestId = FindHeader(aAnswer.mHeaders, "request-id");
  if (requestId && !IsOwnRequestId(aOperation, *requestId)) {
    return false;
  }
  // Errors of a target need not have the body of the stand-in.
  if (aAnswer.mStatus < kOk || aAnswer.mStatus >= kMultipleChoices) {
    return true;
  }
  const json body = json::parse(aAnswer.mBody, nullptr, false);
  return body.is_object() && TextOf(body, "key") == aOperation.mKey &&
         IsOwnRequestId(aOperation, TextOf(body, "requestId"));
}

} // namespace

ended_request CheckAnswer(const operation& aOperation,
                          const http_result& aResult)
{
  ended_request ended;
  if (aResult.mStatus == http_status::kNotSent) {
    ended.mEnd = request_end::kNotConnected;
    return ended;
  }
  if (aResult.mStatus == http_status::kNoResponse) {
    ended.mEnd =
      aResult.mTimedOut ? request_end::kTimedOut : request_end::kConnectionLost;
    return ended;
  }
  ended.mStatus = aResult.mResponse.mStatus;
  if (!IsProblem(aResult.mResponse)) {
    ended.mEnd = IsOwnAnswer(aOperation, aResult.mResponse)
                   ? request_end::kAnswered
                   : request_end::kWrongAnswer;
    return ended;
  }
  ended.mEnd = request_end::kRefused;
  const json body = json::parse(aResult.mResponse.mBody, nullptr, false);
  ended.mOutcome = body.is_object() ? TextOf(body, "outcome") : "missing";
  ended.mReason = body.is_object() ? TextOf(body, "reason") : "missing";
  return ended;
}

bool MayHaveRun(const ended_request& aRequest)
{
  if (aRequest.mEnd == request_end::kNotConnected) {
    return false;
  }
  return aRequest.mEnd != request_end::kRefused ||
         aRequest.mOutcome != "not-run";
}

void AddExecutions(execution_counts& aCounts, const std::string& aBody)
{
  try {
    const json body = json::parse(aBody);
    for (const json& execution : body.at("executions")) {
      aCounts[execution.at("idempotencyKey").get<std::string>()] +=
        execution.at("count").get<uint64_t>();
    }
  } catch (const json::exception& failure) {
    throw parse_error(std::string("executions: ") + failure.what());
  }
}

execution_findings CompareExecutions(
  const execution_counts& aCounts,
  const std::map<operation_id, operation>& aOperations)
{
  execution_findings findings;
  for (const auto& [id, operation] : aOperations) {
    const auto found = aCounts.find(operation.mIdempotencyKey);
    if (operation.mIdempotencyKey.empty() || found == aCounts.end() ||
        found->second == 0) {
      continue;
    }
    ++findings.mRan;
    findings.mDoubled += found->second > 1 ? 1 : 0;
    findings.mRanDespiteNotRun += operation.mMayHaveRun ? 0 : 1;
  }
  return findings;
}

} // namespace parsleystair
