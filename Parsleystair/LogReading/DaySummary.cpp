#include "Parsleystair/LogReading/DaySummary.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Length of a time without its fraction.
constexpr size_t kSecondLength = sizeof("2026-12-04T07:00:00") - 1;

request_ends EndsOf(const log_record& aRecord)
{
  request_ends ends;
  ends.mAnswered = aRecord.Number("answered");
  ends.mNotRun = aRecord.Number("not_run");
  ends.mUnknownRoute = aRecord.Number("unknown_route");
  ends.mNoAnswer = aRecord.Number("no_answer");
  ends.mTimeOver = aRecord.Number("time_over");
  ends.mCallerGone = aRecord.Number("caller_gone");
  return ends;
}

std::string ValueOf(const log_record& aRecord, const char* aKey)
{
  const std::string* value = aRecord.Find(aKey);
  return value == nullptr ? "" : *value;
}

void Count(day_summary& aSummary, const log_record& aRecord)
{
  aSummary.mSuppressed += aRecord.Number("suppressed");
  aSummary.mDropped += aRecord.Number("dropped");
  if (aRecord.mEvent == "request_refused") {
    ++aSummary.mReasons[ValueOf(aRecord, "reason")];
  } else if (aRecord.mEvent == "target_set_aside") {
    ++aSummary
        .mSetAside[ValueOf(aRecord, "target")][ValueOf(aRecord, "reason")];
  } else if (aRecord.mEvent == "record_written") {
    if (aRecord.Has("done", "true")) {
      ++aSummary.mRecordsWritten[ValueOf(aRecord, "service")];
    }
  } else if (aRecord.mEvent == "keys_released") {
    ++aSummary.mRangesReleased;
  } else if (aRecord.mEvent == "leading_started") {
    ++aSummary.mLeaders;
  } else if (aRecord.mEvent == "store_lost") {
    ++aSummary.mStoreLost;
  }
}

std::vector<failed_second> WorstSeconds(
  const std::map<std::string, request_ends>& aSeconds,
  size_t aWorst)
{
  std::vector<failed_second> worst;
  for (const auto& [second, ends] : aSeconds) {
    if (ends.Failed() > 0) {
      worst.push_back({ second, ends });
    }
  }
  std::stable_sort(worst.begin(),
                   worst.end(),
                   [](const failed_second& aLeft, const failed_second& aRight) {
                     return aLeft.mEnds.Failed() > aRight.mEnds.Failed();
                   });
  worst.resize(std::min(worst.size(), aWorst));
  return worst;
}

} // namespace

uint64_t request_ends::Total() const
{
  return mAnswered + Failed();
}

uint64_t request_ends::Failed() const
{
  return mNotRun + mUnknownRoute + mNoAnswer + mTimeOver + mCallerGone;
}

void request_ends::Add(const request_ends& aOther)
{
  mAnswered += aOther.mAnswered;
  mNotRun += aOther.mNotRun;
  mUnknownRoute += aOther.mUnknownRoute;
  mNoAnswer += aOther.mNoAnswer;
  mTimeOver += aOther.mTimeOver;
  mCallerGone += aOther.mCallerGone;
}

day_summary SummarizeDay(const std::vector<log_record>& aRecords, size_t aWorst)
{
  day_summary summary;
  std::map<std::string, request_ends> seconds;
  for (const log_record& record : aRecords) {
    Count(summary, record);
    if (record.mEvent == "requests_ended") {
      const request_ends ends = EndsOf(record);
      summary.mServices[ValueOf(record, "service")].Add(ends);
      seconds[record.mTime.substr(0, kSecondLength)].Add(ends);
    }
  }
  if (!aRecords.empty()) {
    summary.mFirst = aRecords.front().mTime;
    summary.mLast = aRecords.back().mTime;
  }
  summary.mWorstSeconds = WorstSeconds(seconds, aWorst);
  return summary;
}

} // namespace parsleystair
