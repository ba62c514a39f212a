#pragma once

#include "Parsleystair/Core/Time.h"

#include <ctime>

namespace parsleystair {

/// Reads a clock of the system like `clock_gettime`: returns 0, or -1 with
/// `errno` set.
using clock_reader = int (*)(clockid_t, timespec*);

/// Reads the monotonic clock, which counts the time since the machine's start,
/// including all time for which the machine was suspended. Timers of
/// `event_loop` don't count that time and so run late by it. For tasks at the
/// edge only. Throws `system_error` if the clock can't be read.
time_point MonotonicNow(clock_reader aReader = ::clock_gettime);

/// Reads the calendar clock. For tasks at the edge only.
wall_time WallNow();

} // namespace parsleystair
