#include "Parsleystair/KeyRanges/OwnerRejections.h"

#include "Parsleystair/KeyRanges/RangeController.h"
#include "Parsleystair/Limits/KeyAdmission.h"
#include "Parsleystair/Limits/OverloadEstimate.h"
#include "UnitTests/Limits/OverloadSimulation.h"

#include <gtest/gtest.h>

#include <iostream>

namespace parsleystair {

namespace {

const service_name kService("keyed");
const target_name kOwner("a");
constexpr uint32_t kHotKey = 1000;

struct played_owner
{
  played_requests mUrgent;
  played_requests mOther;
  /// Requests that reached the owner and were rejected there.
  uint32_t mRejections = 0;
};

/// One owner of all keys that gets 0.6 of its capacity, and 1.5 of it between
/// 10 and 40 s; 0.3 of the requests are urgent. `aHotShare`: share of the
/// requests that are for one key. `aReported`: the routers report rejections,
/// and the limits regard priorities.
played_owner PlayOwner(bool aReported, double aHotShare)
{
  constexpr duration kReportInterval = 500ms;
  constexpr size_t kConcurrency = 4;
  const time_point start(1h);
  simulated_capacity target(kConcurrency, 16);
  range_record record;
  record.mNextFence = 2;
  record.mRanges = { { { 0, kMaxKeyNumber }, { kOwner, 1 }, fence(1), "" } };
  range_controller controller{ range_settings() };
  controller.HandleRecord(record, store_revision(5));
  controller.StartLeading({ term_number(1), start, start });
  known_target known;
  known.mTarget.mName = kOwner;
  known.mTarget.mStartedMs = 1;
  known.mTarget.mConcurrency = kConcurrency;
  controller.HandleTargets({ &known }, start);
  key_admission admission;
  service_load load;
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> draw(0, 1);
  played_owner result;
  std::optional<simulated_callers> callers;
  const auto rate = [&](double aShare) {
    return [&, aShare](time_point aNow) {
      const bool isPeak = aNow >= start + 10s && aNow < start + 40s;
      return aShare * (isPeak ? 1.5 : 0.6) * target.Capacity();
    };
  };
  callers.emplace(
    std::vector<simulated_callers::group>{ { rate(0.3) }, { rate(0.7) } },
    [&](const simulated_callers::request& aRequest, time_point aNow) {
      const uint32_t key = draw(random) < aHotShare
                             ? kHotKey
                             : static_cast<uint32_t>(random() % kMaxKeyNumber);
      ++load.mCounts[key_load::BucketOf(key)];
      const auto priority = static_cast<uint32_t>(aRequest.mGroup);
      const bool admitted =
        aReported ? admission.AdmitsByPriority(
                      kService, key, priority, draw(random), aNow)
                  : admission.Admits(kService, key, draw(random), aNow);
      if (!admitted) {
        callers->Refused(aRequest, DrawRetryAfter(3s, 6s, draw(random)), aNow);
        return;
      }
      const bool taken = target.Take(
        [&, aRequest, aNow](time_point aEnd) {
          load.mLatencies[kOwner].push_back(
            static_cast<uint32_t>((aEnd - aNow) / 1ms));
          callers->Served(aRequest, aEnd);
        },
        aNow);
      if (!taken) {
        ++result.mRejections;
        if (aReported) {
          ++load.mRejections[kOwner];
        }
        callers->Refused(aRequest, DrawRetryAfter(3s, 6s, draw(random)), aNow);
      }
    });
  time_point nextReport = start;
  for (time_point now = start; now < start + 60s;
       now += simulated_callers::kStep) {
    target.Run(now);
    if (now >= nextReport) {
      nextReport = now + kReportInterval;
      controller.HandleLoad(std::exchange(load, {}), now);
      admission.SetLimits({ { kService, controller.Limits(now) } }, now);
    }
    callers->Step(now);
  }
  result.mUrgent = callers->Results()[0];
  result.mOther = callers->Results()[1];
  return result;
}

void Record(const std::string& aName, const played_owner& aPlayed)
{
  std::cout << aName << ": rejections " << aPlayed.mRejections;
  for (const played_requests* each : { &aPlayed.mUrgent, &aPlayed.mOther }) {
    std::cout << "; requests " << each->mRequests << ", served "
              << each->mServed << ", in time " << each->mInTime << ", refusals "
              << each->mRefusals;
  }
  std::cout << std::endl;
}

} // namespace

// Guards against requests that wait in the queue of an owner and are rejected
// there, and against urgent requests that are refused as often as others.
TEST(RejectingOwner, ExcessIsRefusedBeforeItsQueue)
{
  const played_owner before = PlayOwner(false, 0);
  const played_owner after = PlayOwner(true, 0);
  Record("before", before);
  Record("after", after);
  EXPECT_LT(after.mRejections * 2, before.mRejections);
  const uint32_t servedBefore = before.mUrgent.mServed + before.mOther.mServed;
  const uint32_t servedAfter = after.mUrgent.mServed + after.mOther.mServed;
  EXPECT_GT(servedAfter * 100, servedBefore * 95);
  EXPECT_GT(after.mUrgent.mInTime, before.mUrgent.mInTime);
  EXPECT_GT(after.mUrgent.mServed * 100, after.mUrgent.mRequests * 97);
  EXPECT_GT(after.mUrgent.mInTime + after.mOther.mInTime,
            before.mUrgent.mInTime + before.mOther.mInTime);
  // The others get what is left.
  EXPECT_GT(after.mOther.mServed * 2, after.mOther.mRequests);
}

// Guards against a hot key that leaves its owner's other keys without room.
TEST(RejectingOwner, HotKeyIsRefusedBeforeTheQueue)
{
  const played_owner before = PlayOwner(false, 0.7);
  const played_owner after = PlayOwner(true, 0.7);
  Record("before", before);
  Record("after", after);
  EXPECT_LT(after.mRejections * 4, before.mRejections);
  EXPECT_GT(after.mUrgent.mInTime, before.mUrgent.mInTime);
}

// Guards against a capacity that follows from rejections by chance, and against
// one that is taken for the time in which the queue has not been full.
TEST(OwnerRejections, MeasuresTheRateWhileTheQueueIsFull)
{
  owner_rejections owner;
  time_point now(1h);
  for (int i = 0; i < 100; ++i, now += 100ms) {
    owner.Add(2, i % 40 == 0 ? 1 : 0, now);
  }
  EXPECT_FALSE(owner.Capacity(now));
  for (int i = 0; i < 30; ++i, now += 100ms) {
    owner.Add(1, 1, now);
  }
  ASSERT_TRUE(owner.Capacity(now));
  EXPECT_NEAR(*owner.Capacity(now), 10, 1.5);
  owner.Add(20, 0, now + 2s);
  // It is tried later whether the owner has become faster.
  EXPECT_NEAR(*owner.Capacity(now + 4s), *owner.Capacity(now), 1);
  EXPECT_GT(*owner.Capacity(now + 20s), 20);
  EXPECT_FALSE(owner.Capacity(now + 63s));
}

// Guards against an owner that rejects everything and is never tried again.
TEST(OwnerRejections, AnOwnerThatOnlyRejectsKeepsACapacity)
{
  owner_rejections owner;
  time_point now(1h);
  for (int i = 0; i < 50; ++i, now += 100ms) {
    owner.Add(0, 4, now);
  }
  ASSERT_TRUE(owner.Capacity(now));
  EXPECT_GE(*owner.Capacity(now), 1);
}

} // namespace parsleystair
