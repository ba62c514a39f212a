#pragma once

#include "Parsleystair/Core/Time.h"

namespace parsleystair {

/// Reads the monotonic clock. For tasks at the edge only.
time_point MonotonicNow();

/// Reads the calendar clock. For tasks at the edge only.
wall_time WallNow();

} // namespace parsleystair
