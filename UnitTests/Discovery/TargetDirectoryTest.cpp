#include "Parsleystair/Discovery/TargetDirectory.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

discovered_target Target(const std::string& aName)
{
  discovered_target target;
  target.mName = target_name(aName);
  target.mService = service_name("s");
  target.mStartedMs = 1;
  return target;
}

class target_directory_test : public testing::Test
{
protected:
  target_directory_test()
  {
    mDirectory.Reset({ Target("a"), Target("b") }, mNow);
  }

  size_t UsableCount() { return mDirectory.UsableOf(service_name("s")).size(); }

  time_point mNow{ 1h };
  target_directory mDirectory;
};

} // namespace

// Guards against requests to a target whose entry was removed without an outage
// of the store.
TEST_F(target_directory_test, RemovedTargetIsDroppedImmediately)
{
  mDirectory.Remove(target_name("a"), mNow);
  EXPECT_EQ(UsableCount(), 1u);
}

// Guards against a service that loses all its targets because their entries
// expired during an outage of the store.
TEST_F(target_directory_test, KeepsMissingTargetsDuringGracePeriod)
{
  mDirectory.HandleStoreOutage(mNow);
  mNow += 5s;
  mDirectory.HandleStoreRecovery(mNow);
  mDirectory.Reset({}, mNow + 100ms);
  EXPECT_EQ(UsableCount(), 2u);
  mNow += 2s;
  EXPECT_FALSE(mDirectory.Expire(mNow));
  mDirectory.Update(Target("a"), mNow);
  mNow += 300ms;
  EXPECT_TRUE(mDirectory.Expire(mNow));
  EXPECT_EQ(UsableCount(), 1u);
}

// Guards against a grace period that starts again with each entry that is found
// missing.
TEST_F(target_directory_test, GracePeriodStartsWhenStoreRecovers)
{
  mDirectory.HandleStoreOutage(mNow);
  mDirectory.HandleStoreRecovery(mNow);
  mDirectory.Remove(target_name("a"), mNow + 2s);
  mDirectory.Expire(mNow + target_directory::kOutageGracePeriod);
  EXPECT_EQ(UsableCount(), 1u);
}

// Guards against requests to a draining target, also after an outage of the
// store.
TEST_F(target_directory_test, DrainingTargetIsNotUsable)
{
  discovered_target leaving = Target("a");
  leaving.mDraining = true;
  mDirectory.Update(leaving, mNow);
  EXPECT_EQ(UsableCount(), 1u);
  mDirectory.HandleStoreOutage(mNow);
  mDirectory.Remove(target_name("a"), mNow);
  EXPECT_EQ(mDirectory.Find(target_name("a")), nullptr);
}

// Guards against a slow start that restarts with each report.
TEST_F(target_directory_test, SlowStartRestartsOnlyWithTarget)
{
  discovered_target target = Target("c");
  target.mSlowStart = 3s;
  mDirectory.Update(target, mNow);
  mDirectory.Update(target, mNow + 2s);
  EXPECT_EQ(mDirectory.Find(target_name("c"))->mSlowUntil, mNow + 3s);
  target.mStartedMs = 2;
  mDirectory.Update(target, mNow + 9s);
  EXPECT_EQ(mDirectory.Find(target_name("c"))->mSlowUntil, mNow + 12s);
}

// Guards against a limit for targets whose service declares none, and against a
// change of the slow start that the balancer counts.
TEST_F(target_directory_test, LimitsRequestsOnlyWhereDeclared)
{
  discovered_target target = Target("c");
  target.mSlowStart = 3s;
  mDirectory.Update(target, mNow);
  target.mSlowStart = 6s;
  mDirectory.Update(target, mNow + 1s);
  EXPECT_FALSE(mDirectory.HandleSlowStart(target_name("c"), 1, 9s, mNow + 1s));
  EXPECT_FALSE(mDirectory.Find(target_name("c"))->IsLimited(mNow + 1s));
  EXPECT_EQ(mDirectory.Find(target_name("c"))->mSlowUntil, mNow + 3s);
  mDirectory.SetSlowStartTimes({ { service_name("s"), 3s } }, mNow + 1s);
  EXPECT_EQ(mDirectory.Find(target_name("c"))->mLimitedUntil, mNow + 3s);
  mDirectory.SetSlowStartTimes({}, mNow + 1s);
  EXPECT_FALSE(mDirectory.Find(target_name("c"))->IsLimited(mNow + 1s));
}

// Guards against a target that enters slow start again unnoticed, and against
// one that never leaves it because all its entries state the same.
TEST_F(target_directory_test, LaterStatementsStartSlowStartAgain)
{
  mDirectory.SetSlowStartTimes({ { service_name("s"), 3s } }, mNow);
  const auto limitedUntil = [this] {
    return mDirectory.Find(target_name("a"))->mLimitedUntil;
  };
  discovered_target target = Target("a");
  target.mSlowStart = 3s;
  mDirectory.Update(target, mNow);
  EXPECT_EQ(limitedUntil(), mNow + 3s);
  target.mReportNumber = 2;
  mDirectory.Update(target, mNow + 2s);
  EXPECT_EQ(limitedUntil(), mNow + 3s);
  target.mSlowStart = 0s;
  mDirectory.Update(target, mNow + 2s);
  EXPECT_EQ(limitedUntil(), mNow + 3s);

  target.mSlowStart = 2500ms;
  mDirectory.Update(target, mNow + 20s);
  EXPECT_EQ(limitedUntil(), mNow + 22500ms);
  EXPECT_FALSE(mDirectory.HandleSlowStart(target_name("a"), 1, 1s, mNow + 21s));
  EXPECT_TRUE(mDirectory.HandleSlowStart(target_name("a"), 1, 3s, mNow + 21s));
  EXPECT_EQ(limitedUntil(), mNow + 24s);
  EXPECT_FALSE(mDirectory.HandleSlowStart(target_name("a"), 2, 3s, mNow + 30s));
  target.mStartedMs = 2;
  target.mSlowStart = 0s;
  mDirectory.Update(target, mNow + 22s);
  EXPECT_FALSE(mDirectory.Find(target_name("a"))->IsLimited(mNow + 22s));
}

// Guards against a target that gets nearly no requests for a day because of one
// false statement.
TEST_F(target_directory_test, ImplausibleSlowStartIsShortened)
{
  mDirectory.SetSlowStartTimes(
    { { service_name("s"), 3s }, { service_name("u"), 0s } }, mNow);
  EXPECT_TRUE(mDirectory.HandleSlowStart(target_name("a"), 1, 24h, mNow));
  EXPECT_EQ(mDirectory.Find(target_name("a"))->mLimitedUntil, mNow + 6s);
  discovered_target target = Target("c");
  target.mService = service_name("u");
  target.mSlowStart = 24h;
  mDirectory.Update(target, mNow);
  EXPECT_EQ(mDirectory.Find(target_name("c"))->mLimitedUntil, mNow + 1min);
  EXPECT_EQ(mDirectory.ImplausibleSlowStarts(), 2u);
}

// Guards against requests to a target of an evacuated failure domain, also one
// that registers or restarts meanwhile, and against one that stays out of use.
TEST_F(target_directory_test, TargetsOfEvacuatedDomainsAreNotUsable)
{
  discovered_target target = Target("c");
  target.mFailureDomain = failure_domain_name("z");
  mDirectory.Update(target, mNow);
  EXPECT_TRUE(mDirectory.SetEvacuated({ failure_domain_name("z") }));
  EXPECT_FALSE(mDirectory.SetEvacuated({ failure_domain_name("z") }));
  EXPECT_EQ(UsableCount(), 2u);
  target.mStartedMs = 2;
  mDirectory.Update(target, mNow);
  target.mName = target_name("d");
  mDirectory.Update(target, mNow);
  EXPECT_EQ(UsableCount(), 2u);
  target.mFailureDomain = failure_domain_name("y");
  mDirectory.Update(target, mNow);
  EXPECT_EQ(UsableCount(), 3u);
  EXPECT_TRUE(mDirectory.SetEvacuated({}));
  EXPECT_EQ(UsableCount(), 4u);
}

// Guards against requests to a draining target, because a restored store shows
// its entry from the time before.
TEST_F(target_directory_test, OlderReportDoesNotReplaceANewerOne)
{
  discovered_target draining = Target("a");
  draining.mReportNumber = 5;
  draining.mDraining = true;
  mDirectory.Update(draining, mNow);
  discovered_target older = Target("a");
  older.mReportNumber = 4;
  mDirectory.HandleStoreRestored(mNow);
  mDirectory.Reset({ older, Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 1u);

  discovered_target restarted = Target("a");
  restarted.mStartedMs = 2;
  restarted.mReportNumber = 1;
  mDirectory.Update(restarted, mNow);
  mDirectory.Update(draining, mNow);
  EXPECT_EQ(UsableCount(), 2u);
}

// Guards against a live target that is ignored for good, because it starts
// again with an earlier time.
TEST_F(target_directory_test, OlderReportCountsOnceTheRestoredStoreHasSettled)
{
  discovered_target later = Target("a");
  later.mStartedMs = 5;
  later.mDraining = true;
  mDirectory.Update(later, mNow);
  mDirectory.HandleStoreRestored(mNow);
  mDirectory.Update(Target("a"), mNow);
  EXPECT_EQ(UsableCount(), 1u);
  mNow += target_directory::kRestoreSettlingTime;
  mDirectory.Update(Target("a"), mNow);
  EXPECT_EQ(UsableCount(), 2u);
}

// Guards against requests to a target that has left, because a restored store
// still has its entry, and against a live target that is taken for such a one.
TEST_F(target_directory_test, RemovedTargetReturnsOnlyWithANewerReport)
{
  discovered_target removed = Target("a");
  removed.mReportNumber = 5;
  mDirectory.Update(removed, mNow);
  mDirectory.Remove(target_name("a"), mNow);
  mDirectory.HandleStoreRestored(mNow);
  mDirectory.Reset({ removed, Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 1u);
  removed.mReportNumber = 6;
  mDirectory.Reset({ removed, Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 2u);
}

// Guards against a service that loses the targets that registered after the
// copy of a restored store was made.
TEST_F(target_directory_test, KeepsTargetsThatAreMissingFromARestoredStore)
{
  mDirectory.HandleStoreRestored(mNow);
  mDirectory.Reset({ Target("a") }, mNow);
  EXPECT_EQ(UsableCount(), 2u);
  mNow += target_directory::kOutageGracePeriod;
  EXPECT_TRUE(mDirectory.Expire(mNow));
  EXPECT_EQ(UsableCount(), 1u);
}

// Guards against a replaced target that is used again by an entry from before,
// and against a live target that gets no requests for good.
TEST_F(target_directory_test, ReplacedTargetReturnsWithAnotherEntryOrInTime)
{
  const discovered_target replaced = Target("a");
  const auto replace = [&](uint16_t aPort) {
    return mDirectory.HandleReplaced(
      replaced.mName, replaced.mHost, aPort, mNow);
  };
  mDirectory.Reset({ replaced, Target("b") }, mNow);
  EXPECT_FALSE(replace(replaced.mPort + 1));
  EXPECT_EQ(UsableCount(), 2u);
  EXPECT_TRUE(replace(replaced.mPort));
  EXPECT_FALSE(replace(replaced.mPort));
  mDirectory.Reset({ replaced, Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 1u);

  discovered_target moved = replaced;
  moved.mPort += 1;
  mDirectory.Update(moved, mNow);
  EXPECT_EQ(UsableCount(), 2u);

  EXPECT_TRUE(replace(moved.mPort));
  mNow += target_directory::kReplacedTime - 1ms;
  EXPECT_FALSE(mDirectory.Expire(mNow));
  EXPECT_EQ(UsableCount(), 1u);
  mNow += 1ms;
  EXPECT_TRUE(mDirectory.Expire(mNow));
  EXPECT_EQ(UsableCount(), 2u);
}

// Guards against a target that is used again by an entry of the process that
// has said that it leaves, and against one whose next process gets no requests.
TEST_F(target_directory_test, LeavingTargetReturnsOnlyWithAnotherStart)
{
  const target_name name("a");
  EXPECT_FALSE(mDirectory.HandleLeaving(name, 2));
  EXPECT_FALSE(mDirectory.HandleLeaving(target_name("unknown"), 1));
  EXPECT_EQ(UsableCount(), 2u);
  EXPECT_TRUE(mDirectory.HandleLeaving(name, 1));
  EXPECT_FALSE(mDirectory.HandleLeaving(name, 1));
  EXPECT_EQ(UsableCount(), 1u);

  // An entry that is stale, or that contradicts the answer.
  discovered_target entry = Target("a");
  mDirectory.Reset({ entry, Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 1u);
  entry.mReportNumber = 7;
  entry.mPort = 1;
  mDirectory.Update(entry, mNow);
  EXPECT_EQ(UsableCount(), 1u);
  mNow += 10min;
  mDirectory.Expire(mNow);
  EXPECT_EQ(UsableCount(), 1u);

  entry.mStartedMs = 2;
  mDirectory.Update(entry, mNow);
  EXPECT_EQ(UsableCount(), 2u);
  // A late answer of the process before.
  EXPECT_FALSE(mDirectory.HandleLeaving(name, 1));
  EXPECT_EQ(UsableCount(), 2u);
  // A late entry of the process before.
  mDirectory.Update(Target("a"), mNow);
  EXPECT_EQ(UsableCount(), 1u);
}

// Guards against a leaving target that is used again after an outage of the
// store, or because its entry was missing for a time.
TEST_F(target_directory_test, LeavingTargetStaysOutOfUseOverAnOutage)
{
  const target_name name("a");
  EXPECT_TRUE(mDirectory.HandleLeaving(name, 1));
  mDirectory.HandleStoreOutage(mNow);
  EXPECT_EQ(UsableCount(), 1u);
  mNow += 5s;
  mDirectory.HandleStoreRecovery(mNow);
  mDirectory.Reset({ Target("a"), Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 1u);

  mNow += 10s;
  mDirectory.Remove(name, mNow);
  EXPECT_EQ(mDirectory.Find(name), nullptr);
  // An answer may arrive after the entry has gone.
  mDirectory.Remove(target_name("b"), mNow);
  EXPECT_FALSE(mDirectory.HandleLeaving(target_name("b"), 1));
  mNow += 5min;
  mDirectory.Remove(target_name("unknown"), mNow);
  mDirectory.Update(Target("c"), mNow);
  mDirectory.Remove(target_name("c"), mNow);
  mDirectory.Reset({ Target("a"), Target("b") }, mNow);
  EXPECT_EQ(UsableCount(), 0u);
  discovered_target restarted = Target("a");
  restarted.mStartedMs = 2;
  mDirectory.Update(restarted, mNow);
  EXPECT_EQ(UsableCount(), 1u);
}

} // namespace parsleystair
