#pragma once

#include <cstdint>

namespace parsleystair {

/// Counts since the start of the process; they never decrease.
struct forwarder_counters
{
  uint64_t mReceived = 0;
  /// Attempts at targets, in total and by result.
  uint64_t mAttempts = 0;
  uint64_t mAttemptsNotConnected = 0;
  uint64_t mAttemptsNotRun = 0;
  uint64_t mAttemptsWithoutResponse = 0;
  uint64_t mAttemptsFailed = 0;
  /// Retries, hedges, and those that the retry budget did not allow.
  uint64_t mRetries = 0;
  uint64_t mHedges = 0;
  uint64_t mRetriesOverBudget = 0;
  /// Requests sent to targets in slow start, and requests that ended because
  /// such a target gets no more.
  uint64_t mSlowStartSent = 0;
  uint64_t mSlowStartRefused = 0;
  /// Requests refused for lack of capacity.
  uint64_t mOverloadRefusals = 0;
  /// New connections that targets did not take, or ended before a response.
  uint64_t mConnectionsRefused = 0;

  bool operator==(const forwarder_counters&) const = default;
};

} // namespace parsleystair
