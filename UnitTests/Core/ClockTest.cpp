#include "Parsleystair/Core/Clock.h"

#include "Parsleystair/Core/Error.h"

#include <cerrno>
#include <gtest/gtest.h>

namespace parsleystair {

namespace {

constexpr auto kRunning = 100s;
constexpr auto kSuspended = 5s;

timespec ToTimespec(duration aTime)
{
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr int64_t kNanosecondsPerMicrosecond = 1'000;
  timespec value{};
  value.tv_sec = aTime.count() / kMicrosecondsPerSecond;
  value.tv_nsec =
    aTime.count() % kMicrosecondsPerSecond * kNanosecondsPerMicrosecond;
  return value;
}

/// Clocks of a machine that ran for `kRunning` and was suspended for
/// `kSuspended`.
int ReadAfterSuspension(clockid_t aClock, timespec* aTime)
{
  switch (aClock) {
    case CLOCK_BOOTTIME:
      *aTime = ToTimespec(kRunning + kSuspended);
      return 0;
    case CLOCK_MONOTONIC:
      *aTime = ToTimespec(kRunning);
      return 0;
    default:
      errno = EINVAL;
      return -1;
  }
}

int FailToRead(clockid_t, timespec*)
{
  errno = EINVAL;
  return -1;
}

} // namespace

// Guards against a leader that was suspended and takes its last confirmation
// for fresh when it resumes, because its clock stood still in the meantime.
TEST(MonotonicNow, CountsTheTimeInWhichTheMachineWasSuspended)
{
  EXPECT_EQ(MonotonicNow(ReadAfterSuspension),
            time_point(kRunning + kSuspended));
}

// Guards against a time of zero, at which every confirmation is fresh, when the
// system refuses to read the clock.
TEST(MonotonicNow, ThrowsIfTheClockCannotBeRead)
{
  EXPECT_THROW(MonotonicNow(FailToRead), system_error);
}

// Guards against a clock with another unit or zero than the system's.
TEST(MonotonicNow, FollowsTheSystemsClock)
{
  timespec before{};
  timespec after{};
  ASSERT_EQ(clock_gettime(CLOCK_BOOTTIME, &before), 0);
  const duration now = MonotonicNow().time_since_epoch();
  ASSERT_EQ(clock_gettime(CLOCK_BOOTTIME, &after), 0);

  EXPECT_GE(now + 1us,
            std::chrono::seconds(before.tv_sec) +
              std::chrono::nanoseconds(before.tv_nsec));
  EXPECT_LE(now,
            std::chrono::seconds(after.tv_sec) +
              std::chrono::nanoseconds(after.tv_nsec));
}

} // namespace parsleystair
