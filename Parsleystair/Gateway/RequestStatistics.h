#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace parsleystair {

/// Outcome of a caller's request.
enum class request_outcome
{
  kResponded,
  kNotRun,
  kUnknownRoute,
  kNoResponse,
  kDeadlineExceeded,
  kCallerGone,
};

inline constexpr std::array kRequestOutcomes = {
  request_outcome::kResponded,        request_outcome::kNotRun,
  request_outcome::kUnknownRoute,     request_outcome::kNoResponse,
  request_outcome::kDeadlineExceeded, request_outcome::kCallerGone,
};

/// Name of an outcome in metrics and in the log lines of single requests, such
/// as "not-run".
std::string_view RequestOutcomeName(request_outcome aOutcome);

/// Number of requests by outcome.
struct request_outcome_counts
{
  std::array<uint64_t, kRequestOutcomes.size()> mByOutcome{};

  [[nodiscard]] uint64_t Of(request_outcome aOutcome) const
  {
    return mByOutcome[static_cast<size_t>(aOutcome)];
  }

  bool operator==(const request_outcome_counts&) const = default;
};

/// Counts requests by outcome, since the start of the process and since the
/// last summary in the log. Requests that got a target's response have no log
/// line of their own; their number is logged per service, at most once a
/// second.
class request_statistics
{
public:
  /// Counts one finished request. `aReason` is the reason of a refusal and
  /// empty for other outcomes.
  void Count(const service_name& aService,
             request_outcome aOutcome,
             duration aElapsed,
             const std::string& aReason);

  /// Logs one `requests_ended` line for each service that had finished
  /// requests, if a second has passed since the last lines.
  void LogIfDue(time_point aNow);

  [[nodiscard]] const std::map<service_name, request_outcome_counts>& Totals()
    const
  {
    return mTotals;
  }
  /// Number of refusals by reason. Reasons are fixed texts of the program, so
  /// the map stays small.
  [[nodiscard]] const std::map<std::string, uint64_t>& RefusalReasons() const
  {
    return mRefusalReasons;
  }

private:
  struct interval_counts
  {
    request_outcome_counts mCounts;
    duration mLongestDuration{};
  };

  std::map<service_name, request_outcome_counts> mTotals;
  std::map<service_name, interval_counts> mInterval;
  std::map<std::string, uint64_t> mRefusalReasons;
  time_point mLastLogged = time_point::min();
};

} // namespace parsleystair
