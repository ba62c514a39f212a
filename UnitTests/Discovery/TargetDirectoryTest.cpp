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

} // namespace parsleystair
