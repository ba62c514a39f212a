#pragma once

#include "Parsleystair/Core/Time.h"
#include "PerformanceTest/parsleystair_load/FineHistogram.h"

#include <map>
#include <optional>
#include <string>

namespace parsleystair {

/// How a request of the load ended.
enum class request_end
{
  kAnswered,
  /// A whole answer, but another request's or one that can't be read.
  kWrongAnswer,
  /// A whole answer of the router: an RFC 9457 problem.
  kRefused,
  /// No connection to the router.
  kNotConnected,
  kTimedOut,
  kConnectionLost,
};

struct ended_request
{
  request_end mEnd = request_end::kConnectionLost;
  /// HTTP status of a whole answer.
  uint32_t mStatus = 0;
  /// `outcome` and `reason` of a refusal.
  std::string mOutcome;
  std::string mReason;
  std::string mKey;
  bool mIsRepeat = false;
  time_point mIntendedStart;
  time_point mEndedAt;

  bool operator==(const ended_request&) const = default;
};

/// What the targets say ran, against what callers were told.
struct execution_findings
{
  /// Idempotency keys of this run that ran at all.
  uint64_t mRan = 0;
  /// Idempotency keys that ran more than once.
  uint64_t mDoubled = 0;
  /// Idempotency keys that ran although every request said `not-run`.
  uint64_t mRanDespiteNotRun = 0;
  uint64_t mTargetsAsked = 0;
  uint64_t mTargetsSilent = 0;

  bool operator==(const execution_findings&) const = default;
};

/// Counts of all requests; each is counted once.
class load_account
{
public:
  void NoteIntended() { ++mIntended; }
  /// No connection was idle and the queue was full.
  void NoteNotStarted() { ++mNotStarted; }
  void NoteStarted(duration aLate, bool aIsRepeat);
  void NoteEnded(const ended_request& aRequest);
  void NoteExecutions(const execution_findings& aFindings);

  /// Each intended request is counted as not started or under one end.
  [[nodiscard]] bool AddsUp() const;

  /// Tells if something is wrong that no fault excuses.
  [[nodiscard]] bool HasFindings() const;

  [[nodiscard]] std::string WriteJson() const;
  [[nodiscard]] std::string WriteText() const;

private:
  void NoteAvailability(const ended_request& aRequest);
  [[nodiscard]] uint64_t Total(request_end aEnd) const;

  uint64_t mIntended = 0;
  uint64_t mNotStarted = 0;
  uint64_t mStarted = 0;
  uint64_t mRepeats = 0;
  std::map<request_end, uint64_t> mEnds;
  std::map<uint32_t, uint64_t> mStatuses;
  /// By `outcome` and `reason`.
  std::map<std::pair<std::string, std::string>, uint64_t> mRefusals;
  fine_histogram mAnsweredLatency;
  fine_histogram mRefusedLatency;
  fine_histogram mLateness;
  /// Intended start of the first request of a key that failed, until one is
  /// answered.
  std::map<std::string, time_point> mFailingSince;
  duration mLongestUnavailable{};
  std::string mLongestUnavailableKey;
  std::optional<execution_findings> mExecutions;
};

} // namespace parsleystair
