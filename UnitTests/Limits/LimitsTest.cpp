#include "Parsleystair/Limits/ConcurrencyLimit.h"
#include "Parsleystair/Limits/CrashTable.h"
#include "Parsleystair/Limits/OutlierTracker.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };
const vm_name kPeer("p");

void AddSamples(adaptive_limit& aLimit, int aCount, limit_sample aSample)
{
  for (int i = 0; i < aCount; ++i) {
    aLimit.HandleEnd(aSample, kStart);
  }
}

} // namespace

// Guards against a limit that stays high while the target's latency rises, or
// that doesn't recover.
TEST(AdaptiveLimit, AdaptsToLatency)
{
  adaptive_limit limit(4, 6);
  AddSamples(limit, 100, { 20ms, 4, false });
  EXPECT_GT(limit.Limit(), 4.0);
  AddSamples(limit, 200, { 200ms, 4, false });
  EXPECT_LT(limit.Limit(), 1.0);
  EXPECT_GE(limit.Limit(), adaptive_limit::kMinLimit);
  limit.HandleStart(kStart);
  EXPECT_FALSE(limit.Allows(0, kStart + 19ms));
  AddSamples(limit, 4000, { 20ms, 6, false });
  EXPECT_EQ(limit.Limit(), 6.0);
}

// Guards against content that is refused after one crash, accepted after two
// crashes at different routers, or refused for more than 300 s.
TEST(CrashTable, RefusesContentAfterTwoCrashes)
{
  crash_table table(2);
  table.HandleCrash(1, kStart);
  EXPECT_FALSE(table.RefusedFor(1, kStart));
  table.Merge(kPeer, { 1, 1, 300'000 }, kStart);
  EXPECT_EQ(table.RefusedFor(1, kStart), 300s);
  EXPECT_FALSE(table.RefusedFor(2, kStart));
  EXPECT_FALSE(table.RefusedFor(1, kStart + 300s));

  // A full table evicts contents with a single crash, but no refused ones.
  table.HandleCrash(2, kStart);
  table.HandleCrash(3, kStart);
  EXPECT_EQ(table.Size(), 2u);
  EXPECT_TRUE(table.RefusedFor(1, kStart));
}

// Guards against one crash that is returned by peers and counted twice, and
// against two routers that extend each other's refusals without end.
TEST(CrashTable, IgnoresOwnCrashesReturnedByPeers)
{
  crash_table one(10);
  crash_table other(10);
  one.HandleCrash(1, kStart);
  time_point now = kStart;
  const auto exchange =
    [&](const char* aName, crash_table& aFrom, crash_table& aTo) {
      for (const crash_notice& notice : aFrom.Notices(now)) {
        now += 12ms;
        aTo.Merge(vm_name(aName), notice, now);
      }
    };
  for (int i = 0; i < 10; ++i) {
    exchange("one", one, other);
    exchange("other", other, one);
  }
  EXPECT_FALSE(one.RefusedFor(1, now));
  one.HandleCrash(1, now);
  const time_point last = now;
  while (other.RefusedFor(1, now) || now < last + 1s) {
    exchange("one", one, other);
    exchange("other", other, one);
    now += 200ms;
  }
  EXPECT_LE(now, last + 306s);
}

// Guards against an unavailable service after a fault common to all targets.
TEST(OutlierTracker, EjectsAtMostOneThirdOfTargets)
{
  outlier_tracker tracker;
  std::vector<target_name> targets;
  for (const char* name : { "a", "b", "c", "d", "e", "f", "g" }) {
    targets.emplace_back(name);
  }
  tracker.SetTargets(targets);
  for (int i = 0; i < 10; ++i) {
    for (const target_name& target : targets) {
      tracker.HandleResult(target, true, kStart);
    }
  }
  EXPECT_EQ(tracker.EjectedCount(kStart), 2u);
  EXPECT_TRUE(tracker.IsEjected(targets[0], kStart + 1s));
  EXPECT_FALSE(tracker.IsEjected(targets[0], kStart + 2s));
  // The next failure after an ejection ejects the target again, for longer.
  tracker.HandleResult(targets[0], true, kStart + 2s);
  EXPECT_TRUE(tracker.IsEjected(targets[0], kStart + 5s));
  tracker.HandleResult(targets[0], false, kStart + 7s);
  tracker.HandleResult(targets[0], true, kStart + 7s);
  EXPECT_FALSE(tracker.IsEjected(targets[0], kStart + 7s));
}

} // namespace parsleystair
