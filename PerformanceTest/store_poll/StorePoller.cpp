#include "PerformanceTest/store_poll/StorePoller.h"

#include "Parsleystair/Core/Clock.h"

namespace parsleystair {

store_poller::store_poller(event_loop& aLoop,
                           const etcd_store_settings& aSettings,
                           duration aInterval)
  : mStore(aLoop, aSettings)
{
  mTimer.StartRepeating(aLoop, aInterval, [this] { Poll(); });
}

void store_poller::StartMeasuring(time_point aNow)
{
  mMeasuredFrom = aNow;
  mFoundAfter.reset();
}

std::optional<duration> store_poller::FoundAfter() const
{
  return mFoundAfter;
}

void store_poller::Poll()
{
  // The first poll reads every record, so that only one is open at a time.
  if (mHead.Value() == 0 && mOpen > 0) {
    return;
  }
  ++mOpen;
  const store_revision from(mHead.Value() + 1);
  mStore.Range({ kPollFrom, kPollTo, from, false },
               [this](const range_reply& aReply) {
                 --mOpen;
                 if (aReply.mStatus != store_status::kReplied) {
                   return;
                 }
                 mHead = aReply.mStoreRevision;
                 if (!mFoundAfter) {
                   mFoundAfter = MonotonicNow() - mMeasuredFrom;
                 }
               });
}

} // namespace parsleystair
