#include "Parsleystair/Gateway/RequestSums.h"

#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Failures of a day are looked up by the second.
constexpr duration kInterval = 1s;

} // namespace

std::string_view RequestEndName(request_end aEnd)
{
  switch (aEnd) {
    case request_end::kAnswered:
      return "answered";
    case request_end::kNotRun:
      return "not-run";
    case request_end::kUnknownRoute:
      return "unknown-route";
    case request_end::kNoAnswer:
      return "no-answer";
    case request_end::kTimeOver:
      return "time-over";
    case request_end::kCallerGone:
      return "caller-gone";
  }
  return "unknown";
}

void request_sums::Count(const service_name& aService,
                         request_end aEnd,
                         duration aHeld,
                         const std::string& aReason)
{
  const auto index = static_cast<size_t>(aEnd);
  ++mTotals[aService].mByEnd[index];
  interval_counts& interval = mInterval[aService];
  ++interval.mCounts.mByEnd[index];
  interval.mLongest = std::max(interval.mLongest, aHeld);
  if (!aReason.empty()) {
    ++mReasons[aReason];
  }
}

void request_sums::WriteDue(time_point aNow)
{
  if (mWritten != time_point::min() && aNow - mWritten < kInterval) {
    return;
  }
  mWritten = aNow;
  for (const auto& [service, interval] : mInterval) {
    const request_counts& counts = interval.mCounts;
    log_line(log_severity::kInfo, "requests_ended")
      .Add("service", service.Value())
      .Add("answered", counts.Of(request_end::kAnswered))
      .Add("not_run", counts.Of(request_end::kNotRun))
      .Add("no_answer", counts.Of(request_end::kNoAnswer))
      .Add("time_over", counts.Of(request_end::kTimeOver))
      .Add("unknown_route", counts.Of(request_end::kUnknownRoute))
      .Add("caller_gone", counts.Of(request_end::kCallerGone))
      .Add("longest_us", int64_t{ interval.mLongest.count() });
  }
  mInterval.clear();
}

} // namespace parsleystair
