#pragma once

#include "Parsleystair/LogReading/LogRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleystair {

/// Ends of requests; from the lines that sum a second.
struct request_ends
{
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mUnknownRoute = 0;
  uint64_t mNoAnswer = 0;
  uint64_t mTimeOver = 0;
  uint64_t mCallerGone = 0;

  [[nodiscard]] uint64_t Total() const;
  /// All that were not answered.
  [[nodiscard]] uint64_t Failed() const;
  void Add(const request_ends& aOther);

  bool operator==(const request_ends&) const = default;
};

/// Requests of one second that were not answered.
struct failed_second
{
  /// Without fractions, like `2026-12-04T07:00:00`.
  std::string mSecond;
  request_ends mEnds;

  bool operator==(const failed_second&) const = default;
};

/// What the logs of a day add up to.
struct day_summary
{
  std::string mFirst;
  std::string mLast;
  std::map<std::string, request_ends> mServices;
  /// Reasons of refusals that were written, by number of lines.
  std::map<std::string, uint64_t> mReasons;
  /// Worst first.
  std::vector<failed_second> mWorstSeconds;
  /// Targets that were set aside, and how often, by reason.
  std::map<std::string, std::map<std::string, uint64_t>> mSetAside;
  /// Records of owners written and ranges released, by service.
  std::map<std::string, uint64_t> mRecordsWritten;
  uint64_t mRangesReleased = 0;
  uint64_t mLeaders = 0;
  uint64_t mStoreLost = 0;
  /// Lines that were counted instead of written, and lines that were lost.
  uint64_t mSuppressed = 0;
  uint64_t mDropped = 0;

  bool operator==(const day_summary&) const = default;
};

/// `aRecords`: sorted by time. `aWorst`: seconds that are listed.
day_summary SummarizeDay(const std::vector<log_record>& aRecords,
                         size_t aWorst);

} // namespace parsleystair
