#include "Parsleystair/Core/Clock.h"

namespace parsleystair {

time_point MonotonicNow()
{
  const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(sinceBoot));
}

wall_time WallNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return wall_time(
    std::chrono::duration_cast<wall_clock::duration>(sinceEpoch));
}

} // namespace parsleystair
