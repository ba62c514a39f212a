#pragma once

#include "Parsleystair/Http/HttpConnection.h"
#include "PerformanceTest/parsleystair_load/LoadAccount.h"
#include "PerformanceTest/parsleystair_load/Workload.h"

namespace parsleystair {

/// Says how a request ended: whose answer it got, or why there is none. Times
/// and key are not filled in.
ended_request CheckAnswer(const operation& aOperation,
                          const http_result& aResult);

/// Tells if a target may have run a request that ended so.
bool MayHaveRun(const ended_request& aRequest);

/// Executions by idempotency key, as `GET /executions` of targets says.
using execution_counts = std::map<std::string, uint64_t>;

/// Adds one target's answer. Throws `parse_error`.
void AddExecutions(execution_counts& aCounts, const std::string& aBody);

/// Compares what ran with what callers were told.
execution_findings CompareExecutions(
  const execution_counts& aCounts,
  const std::map<operation_id, operation>& aOperations);

} // namespace parsleystair
