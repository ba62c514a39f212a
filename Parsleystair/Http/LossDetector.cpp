#include "Parsleystair/Http/LossDetector.h"

namespace parsleystair {

namespace {

constexpr int kChecksPerLimit = 4;
/// Unanswered probes that show that an answer is due. A live system limits its
/// answers to two a second and may leave one probe unanswered; the next one is
/// sent more than twice as long after the last answer.
constexpr uint32_t kUnansweredProbes = 2;

} // namespace

loss_detector::loss_detector(duration aLimit)
  : mLimit(aLimit)
{
}

duration loss_detector::CheckInterval() const
{
  return mLimit / kChecksPerLimit;
}

bool loss_detector::Check(const peer_signs& aSigns, time_point aNow)
{
  const bool isDue = aSigns.mSegmentsInFlight > 0 ||
                     aSigns.mUnansweredProbes >= kUnansweredProbes;
  if (!isDue) {
    mDueSince.reset();
    return false;
  }
  // What is in flight may have been sent after the last acknowledgement.
  const time_point acknowledged = aNow - aSigns.mSinceAcknowledgement;
  if (!mDueSince || acknowledged > *mDueSince) {
    mDueSince = aNow;
    return false;
  }
  return aNow - *mDueSince >= mLimit;
}

} // namespace parsleystair
