#include "Parsleystair/KeyRanges/OwnerRejections.h"

#include <algorithm>
#include <cmath>

namespace parsleystair {

namespace {

/// Time over which responses are counted: slowdowns of 400 ms are averaged, and
/// the rate is known to within a sixth at 20 responses in a second.
constexpr duration kMeasuringTime = 2s;
/// Shortest time that a rate is taken from, if reports are lost.
constexpr duration kMinCountedTime = 1s;
/// Rejections below which the queue was full by chance: their number, and their
/// share of the responses.
constexpr double kMinRejections = 3;
constexpr double kMinRejectionShare = 0.1;
/// Lowest capacity in requests per second, so that an owner that rejects
/// everything is tried again.
constexpr double kMinCapacity = 1;
/// Time for which a measured rate holds, and time in which it doubles after
/// that, as the owner may have become faster.
constexpr duration kHoldTime = 5s;
constexpr duration kDoublingTime = 10s;
/// Time after a measurement from which it limits nothing.
constexpr duration kMaxAge = 60s;

} // namespace

void owner_rejections::Add(size_t aResponses,
                           size_t aRejections,
                           time_point aNow)
{
  if (mMeasurement && aNow - mMeasurement->mStart >= kMeasuringTime) {
    const measurement done = *mMeasurement;
    mMeasurement.reset();
    const duration counted = done.mEnd - done.mStart;
    if (counted >= kMinCountedTime && done.mRejections >= kMinRejections &&
        done.mRejections > kMinRejectionShare * done.mResponses) {
      mRate = std::max(kMinCapacity, done.mResponses / ToSeconds(counted));
      mMeasuredAt = aNow;
    }
  }
  if (!mMeasurement) {
    if (aRejections > 0) {
      mMeasurement = measurement{ aNow, aNow };
    }
    return;
  }
  mMeasurement->mEnd = aNow;
  mMeasurement->mResponses += static_cast<double>(aResponses);
  mMeasurement->mRejections += static_cast<double>(aRejections);
}

std::optional<double> owner_rejections::Capacity(time_point aNow) const
{
  if (mMeasuredAt == time_point::min() || aNow - mMeasuredAt > kMaxAge) {
    return std::nullopt;
  }
  // An owner that rejects again is not given more meanwhile.
  const time_point until = mMeasurement ? mMeasurement->mStart : aNow;
  const duration growing =
    std::max(duration::zero(), until - mMeasuredAt - kHoldTime);
  return mRate * std::exp2(ToSeconds(growing) / ToSeconds(kDoublingTime));
}

} // namespace parsleystair
