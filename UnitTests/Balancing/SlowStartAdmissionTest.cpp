#include "Parsleystair/Balancing/SlowStartAdmission.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>

namespace parsleystair {

namespace {

constexpr size_t kRouters = 12;
constexpr duration kStep = 20ms;
constexpr double kRate = 3.1;

std::string HostOf(size_t aRouter)
{
  return "10.0.0." + std::to_string(aRouter + 1);
}

sending_router RouterOf(size_t aRouter)
{
  const char* zone = aRouter % 2 == 0 ? "z0" : "z1";
  return { HostOf(aRouter), failure_domain_name(zone) };
}

known_target SlowTarget(time_point aUntil)
{
  known_target target;
  target.mTarget.mName = target_name("t");
  target.mTarget.mFailureDomain = failure_domain_name("z1");
  target.mLimitedUntil = aUntil;
  return target;
}

/// Routers that send to one target in slow start whenever they may. A leader
/// lists those whose reports it has got in the last 3 s, and each learns the
/// list in its next report that gets through.
class slow_start_world
{
public:
  slow_start_world(double aRate, uint64_t aSeed)
    : mRate(aRate)
    , mRandom(aSeed)
  {
    for (size_t i = 0; i < kRouters; ++i) {
      Restart(i);
    }
  }

  /// Runs with faults: about one in each `aFaultInterval`, which may be zero
  /// for none.
  void Run(duration aTime, duration aFaultInterval)
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      if (aFaultInterval > duration::zero() &&
          Draw(aFaultInterval / kStep) == 0) {
        AddFault();
      }
      Step();
    }
  }

  void Restart(size_t aRouter)
  {
    mRouters[aRouter].mAdmission =
      std::make_unique<slow_start_admission>(HostOf(aRouter));
  }
  /// Cuts a router off from the leader.
  void Partition(size_t aRouter, duration aTime)
  {
    mRouters[aRouter].mPartitionedUntil = mNow + aTime;
  }
  void LoseLeader(duration aTime)
  {
    mLeaderLostUntil = mNow + aTime;
    // The next leader knows nothing of the reports to the former one.
    mReports.clear();
    mListFrom = mLeaderLostUntil + 1s;
  }

  [[nodiscard]] size_t Sent() const { return mSent.size(); }
  /// Most requests within one second.
  [[nodiscard]] size_t MostPerSecond() const
  {
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < mSent.size(); ++last) {
      while (mSent[last] - mSent[first] > 1s) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  [[nodiscard]] duration LongestGap() const
  {
    duration longest{};
    for (size_t i = 1; i < mSent.size(); ++i) {
      longest = std::max(longest, mSent[i] - mSent[i - 1]);
    }
    return longest;
  }
  void ForgetSent() { mSent.clear(); }

private:
  struct router
  {
    std::unique_ptr<slow_start_admission> mAdmission;
    time_point mNextReport{};
    time_point mPartitionedUntil{};
    /// A router that is down sends nothing.
    time_point mDownUntil{};
  };

  size_t Draw(int64_t aCount)
  {
    return static_cast<size_t>(
      std::uniform_int_distribution<int64_t>(0, aCount - 1)(mRandom));
  }

  void AddFault()
  {
    const size_t chosen = Draw(kRouters);
    const duration time = 20ms * static_cast<int64_t>(Draw(400));
    switch (Draw(4)) {
      case 0:
        Restart(chosen);
        break;
      case 1:
        Restart(chosen);
        mRouters[chosen].mDownUntil = mNow + time;
        break;
      case 2:
        Partition(chosen, time);
        break;
      default:
        LoseLeader(time);
        break;
    }
  }

  void Report(size_t aRouter)
  {
    router& each = mRouters[aRouter];
    each.mNextReport = mNow + 500ms;
    if (mNow < each.mPartitionedUntil || mNow < mLeaderLostUntil) {
      return;
    }
    mReports[aRouter] = mNow;
    if (mNow < mListFrom) {
      return;
    }
    std::vector<sending_router> list;
    for (const auto& [reporter, at] : mReports) {
      if (mNow - at <= 3s) {
        list.push_back(RouterOf(reporter));
      }
    }
    const duration age = 20ms * static_cast<int64_t>(Draw(25));
    each.mAdmission->HandleRouters(list, mNow - age, mNow);
  }

  void Step()
  {
    mNow += kStep;
    const known_target target = SlowTarget(mNow + 1h);
    for (size_t i = 0; i < kRouters; ++i) {
      if (mNow < mRouters[i].mDownUntil) {
        continue;
      }
      if (mNow >= mRouters[i].mNextReport) {
        Report(i);
      }
      while (mRouters[i].mAdmission->TryTake(target, mRate, mNow)) {
        mSent.push_back(mNow);
      }
    }
  }

  double mRate;
  std::mt19937_64 mRandom;
  time_point mNow{ 1h };
  std::array<router, kRouters> mRouters;
  std::map<size_t, time_point> mReports;
  time_point mLeaderLostUntil{};
  time_point mListFrom{};
  std::vector<time_point> mSent;
};

size_t Bound(double aRate)
{
  return static_cast<size_t>(aRate * 1.5 + 8);
}

} // namespace

// Guards against routers that together exceed what a target in slow start
// bears, while they join, die, restart, lose the leader and disagree about the
// list.
RC_GTEST_PROP(SlowStartAdmission, KeepsTheBoundWhileRoutersDisagree, ())
{
  const double rate = *rc::gen::inRange(5, 100) / 10.0;
  slow_start_world world(rate, *rc::gen::inRange<uint64_t>(0, 1'000'000));
  world.Run(60s, 100ms * *rc::gen::inRange(5, 50));
  RC_ASSERT(world.MostPerSecond() <= Bound(rate));
}

// Guards against a target in slow start that gets too little, or more than it
// bears, while nothing fails.
TEST(SlowStartAdmission, SendersUseTheRateTogether)
{
  slow_start_world world(kRate, 1);
  world.Run(10s, 0ms);
  world.ForgetSent();
  world.Run(20s, 0ms);
  EXPECT_LE(world.MostPerSecond(), 6u);
  EXPECT_GE(world.Sent(), 55u);
  EXPECT_LE(world.Sent(), 64u);
  EXPECT_LE(world.LongestGap(), 700ms);
}

// Guards against more requests from routers that were all restarted at once, or
// of which half lost the others, than from those that stay.
TEST(SlowStartAdmission, KeepsTheBoundWhenHalfOfTheRoutersArePartitioned)
{
  slow_start_world world(kRate, 2);
  world.Run(10s, 0ms);
  for (size_t i = 0; i < kRouters / 2; ++i) {
    world.Partition(i, 20s);
  }
  world.Run(20s, 0ms);
  EXPECT_LE(world.MostPerSecond(), Bound(kRate));
  for (size_t i = 0; i < kRouters; ++i) {
    world.Restart(i);
  }
  world.Run(10s, 0ms);
  EXPECT_LE(world.MostPerSecond(), Bound(kRate));
}

// Guards against a target that gets nothing for 4 s because the leader is lost.
TEST(SlowStartAdmission, GoesOnAtAReducedRateWithoutLeader)
{
  slow_start_world world(kRate, 3);
  world.Run(10s, 0ms);
  world.ForgetSent();
  world.LoseLeader(4s);
  world.Run(20s, 0ms);
  EXPECT_LE(world.LongestGap(), 2s);
  EXPECT_LE(world.MostPerSecond(), Bound(kRate));
}

// Guards against requests of routers without a list, with one that isn't
// confirmed any more, and in the time after a start.
TEST(SlowStartAdmission, SendsNothingWithoutAList)
{
  const time_point start{ 1h };
  const known_target target = SlowTarget(start + 1h);
  const std::vector<sending_router> alone = { RouterOf(1) };
  slow_start_admission admission(HostOf(1));
  EXPECT_FALSE(admission.MaySend(target, kRate, start));
  admission.HandleRouters(alone, start, start);
  admission.HandleRouters(alone, start + 2s, start + 2s);
  EXPECT_FALSE(admission.MaySend(target, kRate, start + 3s));
  const time_point later = start + slow_start_admission::kListOverlap;
  EXPECT_TRUE(admission.MaySend(target, kRate, later));
  EXPECT_FALSE(admission.MaySend(
    target, kRate, start + 2s + slow_start_admission::kReducedTime + 1ms));
}

// Guards against a deployment of one router whose targets never become warm.
TEST(SlowStartAdmission, OnlyRouterHasTheWholeRate)
{
  time_point now{ 1h };
  const known_target target = SlowTarget(now + 1h);
  slow_start_admission admission(HostOf(1));
  size_t sent = 0;
  for (const time_point end = now + 14s; now < end; now += kStep) {
    admission.HandleRouters({ RouterOf(1) }, now, now);
    sent += admission.TryTake(target, kRate, now) ? 1 : 0;
  }
  EXPECT_GE(sent, 28u);
  EXPECT_LE(sent, 32u);
}

// Guards against limits in services without a rate and after the slow start,
// and against a list of a former leader that replaces that of the present one.
TEST(SlowStartAdmission, LimitsOnlySlowStartsWithARate)
{
  const time_point now{ 1h };
  slow_start_admission admission(HostOf(1));
  EXPECT_TRUE(admission.TryTake(SlowTarget(now + 1s), 0, now));
  EXPECT_TRUE(admission.TryTake(SlowTarget(now), kRate, now));
  const known_target target = SlowTarget(now + 1h);
  admission.HandleRouters({ RouterOf(1) }, now, now);
  admission.HandleRouters({ RouterOf(1) }, now + 4s, now + 4s);
  admission.HandleRouters({ RouterOf(3) }, now + 2s, now + 4s);
  EXPECT_TRUE(admission.MaySend(target, kRate, now + 6s));
}

// Guards against a target in slow start that the balancer passes over until it
// is warm, as its cost is higher than that of others.
TEST(SlowStartAdmission, TargetWithoutRequestsIsDue)
{
  const time_point start{ 1h };
  const known_target target = SlowTarget(start + 1h);
  slow_start_admission admission(HostOf(1));
  admission.HandleRouters({ RouterOf(1) }, start, start);
  const time_point now = start + slow_start_admission::kListOverlap;
  admission.HandleRouters({ RouterOf(1) }, now, now);
  ASSERT_TRUE(admission.MaySend(target, kRate, now));
  EXPECT_TRUE(admission.IsDue(target, now));
  ASSERT_TRUE(admission.TryTake(target, kRate, now));
  EXPECT_FALSE(admission.IsDue(target, now + 900ms));
  EXPECT_TRUE(admission.IsDue(target, now + 1s));
  EXPECT_FALSE(admission.IsDue(SlowTarget(now), now + 1s));
}

} // namespace parsleystair
