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
enum class request_end
{
  kAnswered,
  kNotRun,
  kUnknownRoute,
  kNoAnswer,
  kTimeOver,
  kCallerGone,
};

inline constexpr std::array kRequestEnds = {
  request_end::kAnswered, request_end::kNotRun,   request_end::kUnknownRoute,
  request_end::kNoAnswer, request_end::kTimeOver, request_end::kCallerGone,
};

/// Like "not-run", for metrics and lines of single requests.
std::string_view RequestEndName(request_end aEnd);

/// Number of requests by their end.
struct request_counts
{
  std::array<uint64_t, kRequestEnds.size()> mByEnd{};

  [[nodiscard]] uint64_t Of(request_end aEnd) const
  {
    return mByEnd[static_cast<size_t>(aEnd)];
  }

  bool operator==(const request_counts&) const = default;
};

/// Counts how requests ended, since the start and since the last written sum.
/// Requests that end well have no log line of their own; their number is
/// written once a second and service.
class request_sums
{
public:
  /// `aReason` of a refusal; empty for other ends.
  void Count(const service_name& aService,
             request_end aEnd,
             duration aHeld,
             const std::string& aReason);

  /// Writes a `requests_ended` line a service with ended requests, if a second
  /// has passed since the last ones.
  void WriteDue(time_point aNow);

  [[nodiscard]] const std::map<service_name, request_counts>& Totals() const
  {
    return mTotals;
  }
  /// Refusals by reason. Reasons are texts of the program, so there are few.
  [[nodiscard]] const std::map<std::string, uint64_t>& Reasons() const
  {
    return mReasons;
  }

private:
  struct interval_counts
  {
    request_counts mCounts;
    duration mLongest{};
  };

  std::map<service_name, request_counts> mTotals;
  std::map<service_name, interval_counts> mInterval;
  std::map<std::string, uint64_t> mReasons;
  time_point mWritten = time_point::min();
};

} // namespace parsleystair
