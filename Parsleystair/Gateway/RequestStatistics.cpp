#include "Parsleystair/Gateway/RequestStatistics.h"

#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Interval of the log lines. Operators look up failures by the second.
constexpr duration kInterval = 1s;

} // namespace

std::string_view RequestOutcomeName(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::kResponded:
      return "answered";
    case request_outcome::kNotRun:
      return "not-run";
    case request_outcome::kUnknownRoute:
      return "unknown-route";
    case request_outcome::kNoResponse:
      return "no-answer";
    case request_outcome::kDeadlineExceeded:
      return "time-over";
    case request_outcome::kCallerGone:
      return "caller-gone";
  }
  return "unknown";
}

void request_statistics::Count(const service_name& aService,
                               request_outcome aOutcome,
                               duration aElapsed,
                               const std::string& aReason)
{
  const auto index = static_cast<size_t>(aOutcome);
  ++mTotals[aService].mByOutcome[index];
  interval_counts& interval = mInterval[aService];
  ++interval.mCounts.mByOutcome[index];
  interval.mLongestDuration = std::max(interval.mLongestDuration, aElapsed);
  if (!aReason.empty()) {
    ++mRefusalReasons[aReason];
  }
}

void request_statistics::LogIfDue(time_point aNow)
{
  if (mLastLogged != time_point::min() && aNow - mLastLogged < kInterval) {
    return;
  }
  mLastLogged = aNow;
  for (const auto& [service, interval] : mInterval) {
    const request_outcome_counts& counts = interval.mCounts;
    log_line(log_severity::kInfo, "requests_ended")
      .Add("service", service.Value())
      .Add("answered", counts.Of(request_outcome::kResponded))
      .Add("not_run", counts.Of(request_outcome::kNotRun))
      .Add("no_answer", counts.Of(request_outcome::kNoResponse))
      .Add("time_over", counts.Of(request_outcome::kDeadlineExceeded))
      .Add("unknown_route", counts.Of(request_outcome::kUnknownRoute))
      .Add("caller_gone", counts.Of(request_outcome::kCallerGone))
      .Add("longest_us", int64_t{ interval.mLongestDuration.count() });
  }
  mInterval.clear();
}

} // namespace parsleystair
