#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Dump/LatencyHistogram.h"
#include "Parsleystair/Request/Outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleystair {

/// What a worker has counted since its start.
struct worker_counters
{
  uint64_t mReceived = 0;
  uint64_t mResponded = 0;
  uint64_t mReplayed = 0;
  std::map<refusal_reason, uint64_t> mNotRun;
  std::map<refusal_reason, uint64_t> mMayHaveRun;
  uint64_t mAttempts = 0;
  uint64_t mRetries = 0;
  /// Answers to requests that had been given up; dropped.
  uint64_t mLateResponses = 0;
  uint64_t mSilentConnections = 0;
  uint64_t mSuspectedCrashes = 0;
  /// Times from a request's arrival to its outcome.
  std::vector<latency_bucket> mLatency;

  /// Adds another worker's counts.
  void Add(const worker_counters& aOther);

  /// Counts the outcome of one request.
  void Count(const request_outcome& aOutcome);
};

} // namespace parsleystair
