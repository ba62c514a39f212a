#include "Parsleystair/Core/Clock.h"

#include "Parsleystair/Core/Error.h"

#include <cerrno>
#include <cstring>
#include <string>

namespace parsleystair {

time_point MonotonicNow(clock_reader aReader)
{
  // CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still while
  // the machine is suspended. A leader would then take an old confirmation for
  // a fresh one after it has resumed.
  timespec sinceBoot{};
  if (aReader(CLOCK_BOOTTIME, &sinceBoot) != 0) {
    throw system_error(std::string("cannot read CLOCK_BOOTTIME: ") +
                       std::strerror(errno));
  }
  return time_point(std::chrono::duration_cast<duration>(
    std::chrono::seconds(sinceBoot.tv_sec) +
    std::chrono::nanoseconds(sinceBoot.tv_nsec)));
}

wall_time WallNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return wall_time(
    std::chrono::duration_cast<wall_clock::duration>(sinceEpoch));
}

} // namespace parsleystair
