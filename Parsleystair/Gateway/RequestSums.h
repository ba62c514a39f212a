#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace parsleystair {

/// How a request of a caller ended.
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

/// Like "not-run", for metrics and lines of single requests.
std::string_view RequestOutcomeName(request_outcome aOutcome);

/// Number of requests by their end.
struct request_outcome_counts
{
  std::array<uint64_t, kRequestOutcomes.size()> mByOutcome{};

  [[nodiscard]] uint64_t Of(request_outcome aOutcome) const
  {
    return mByOutcome[static_cast<size_t>(aOutcome)];
  }

  bool operator==(const request_outcome_counts&) const = default;
};

/// Counts how requests ended, since the start and since the last written sum.
/// Requests that end well have no log line of their own; their number is
/// written once a second and service.
class request_statistics
{
public:
  /// `aReason` of a refusal; empty for other ends.
  void Count(const service_name& aService,
             request_outcome aOutcome,
             duration aElapsed,
             const std::string& aReason);

  /// Writes a `requests_ended` line a service with ended requests, if a second
  /// has passed since the last ones.
  void LogIfDue(time_point aNow);

  [[nodiscard]] const std::map<service_name, request_outcome_counts>& Totals()
    const
  {
    return mTotals;
  }
  /// Refusals by reason. Reasons are texts of the program, so there are
  /// few.
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
