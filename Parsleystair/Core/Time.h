#pragma once

#include <chrono>

namespace parsleystair {

/// Length of time with a resolution of one microsecond.
using duration = std::chrono::microseconds;

/// Tag of the time line that never goes back. Only `Clock.h` reads it.
struct monotonic_clock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
  static constexpr bool kIsSteady = true;
};

/// Tag of the calendar time line, in milliseconds since 1970 UTC.
struct wall_clock
{
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<wall_clock, duration>;
  static constexpr bool kIsSteady = false;
};

/// Present time of deciding functions; passed in, never read by them.
using time_point = monotonic_clock::time_point;

/// Calendar time; only compared with times that callers put in their keys.
using wall_time = wall_clock::time_point;

using namespace std::chrono_literals;

/// Seconds with fractions, and back; for messages, settings and averages.
constexpr double ToSeconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

constexpr duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace parsleystair
