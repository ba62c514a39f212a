#include "UnitTests/Membership/Fleet.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// Returns the worst state of `aSubject` in the views of the other running
/// nodes. Ignores views in which `aSubject` is leaving.
member_state WorstState(const fleet& aFleet, size_t aSubject)
{
  member_state worst = member_state::kLive;
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    if (i != aSubject && aFleet.IsRunning(i)) {
      const member_state observed = aFleet.ObservedState(i, aSubject);
      worst =
        observed == member_state::kLeaving ? worst : std::max(worst, observed);
    }
  }
  return worst;
}

/// Advances the time until all other running nodes consider `aSubject` lost, or
/// for 10 minutes at most, and returns the time that this took.
duration TimeUntilLost(fleet& aFleet, size_t aSubject)
{
  const time_point start = aFleet.Now();
  const auto isLostInAllViews = [&] {
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      if (aFleet.IsRunning(i) && i != aSubject &&
          aFleet.ObservedState(i, aSubject) != member_state::kLost) {
        return false;
      }
    }
    return true;
  };
  while (!isLostInAllViews() && aFleet.Now() - start < 10min) {
    aFleet.Advance(fleet::kStep);
  }
  return aFleet.Now() - start;
}

// Guards against live members of an idle fleet that are considered lost, and
// against a stopped member that is not detected.
TEST(MembershipView, IdleFleetStaysLiveAndALossIsDetected)
{
  for (const size_t size : { 2, 12, 50 }) {
    fleet testFleet(size);
    const duration allowance = testFleet.View(0).RelayAllowance();
    testFleet.Advance(allowance + 5s);
    for (int second = 0; second < 10; ++second) {
      testFleet.Advance(1s);
      for (size_t i = 1; i < size; ++i) {
        ASSERT_EQ(testFleet.ObservedState(0, i), member_state::kLive) << size;
      }
    }
    testFleet.Stop(size / 2);
    EXPECT_LE(TimeUntilLost(testFleet, size / 2), 2s + allowance) << size;
  }
}

// Guards against slow detection of a lost member by a holder of the same group.
TEST(MembershipView, CoHoldersDetectALossWithinTheTimeout)
{
  fleet testFleet(12);
  testFleet.View(0).SetCoHolders({ fleet::NameOf(6) });
  testFleet.Advance(10s);
  testFleet.Stop(6);
  testFleet.Advance(600ms);
  EXPECT_EQ(testFleet.ObservedState(0, 6), member_state::kSuspect);
  testFleet.Advance(1s);
  EXPECT_EQ(testFleet.ObservedState(0, 6), member_state::kLost);
}

// Guards against a paused process that considers all other members lost when it
// resumes.
TEST(MembershipView, OwnPauseDoesNotMakeOthersLost)
{
  fleet testFleet(5);
  testFleet.Advance(5s);
  testFleet.SetPaused(0, true);
  testFleet.Advance(1min);
  EXPECT_EQ(testFleet.ObservedState(1, 0), member_state::kLost);
  testFleet.SetPaused(0, false);
  for (int i = 0; i < 100; ++i) {
    testFleet.Advance(fleet::kStep);
    for (size_t j = 1; j < testFleet.Size(); ++j) {
      ASSERT_NE(testFleet.ObservedState(0, j), member_state::kLost);
    }
  }
  EXPECT_EQ(WorstState(testFleet, 0), member_state::kLive);
}

// Guards against a router that considers a member lost because the link between
// them is blocked in one or both directions, although all other routers receive
// heartbeats of that member.
TEST(MembershipView, BlockedLinkIsBypassedByRelayedReports)
{
  for (const bool both : { false, true }) {
    fleet testFleet(30);
    testFleet.Advance(10s);
    testFleet.SetLinkBlocked(0, 1, true);
    testFleet.SetLinkBlocked(1, 0, both);
    for (int i = 0; i < 400; ++i) {
      testFleet.Advance(fleet::kStep);
      ASSERT_NE(testFleet.ObservedState(0, 1), member_state::kLost);
      ASSERT_NE(testFleet.ObservedState(1, 0), member_state::kLost);
    }
  }
}

// Guards against two sides of a partition that do not rediscover each other
// after it heals.
TEST(MembershipView, PartitionHeals)
{
  fleet testFleet(6);
  testFleet.Advance(5s);
  const auto setPartitioned = [&](bool aBlocked) {
    for (size_t i = 0; i < 3; ++i) {
      for (size_t j = 3; j < 6; ++j) {
        testFleet.SetLinkBlocked(i, j, aBlocked);
        testFleet.SetLinkBlocked(j, i, aBlocked);
      }
    }
  };
  setPartitioned(true);
  testFleet.Advance(1h);
  EXPECT_EQ(testFleet.ObservedState(0, 5), member_state::kLost);
  EXPECT_EQ(testFleet.ObservedState(0, 2), member_state::kLive);
  setPartitioned(false);
  testFleet.Advance(5s);
  for (size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(WorstState(testFleet, i), member_state::kLive);
  }
}

/// A single view whose heartbeats and platform lists are supplied by the test.
class single_membership_view : public testing::Test
{
protected:
  single_membership_view()
    : mView(Settings(), Notice("self", 1), mNow)
  {
  }

  static membership_settings Settings()
  {
    membership_settings settings;
    settings.mMaxMembers = 100;
    return settings;
  }

  static member_notice Notice(const std::string& aName, uint64_t aIncarnation)
  {
    member_notice notice;
    notice.mVm = { vm_name(aName), incarnation(aIncarnation) };
    notice.mHost = "127.0.0.2";
    notice.mPeerPort = 7000;
    return notice;
  }

  void ReceiveNotices(const std::vector<member_notice>& aNotices)
  {
    mView.HandleHeartbeat({ aNotices, 0, {} }, mNow);
  }

  member Find(const std::string& aName)
  {
    return mView.Find(vm_name(aName), mNow).value_or(member{});
  }

  void Advance(duration aTime)
  {
    for (duration passed{}; passed < aTime; passed += 100ms) {
      mNow += 100ms;
      mView.HandleTick(mNow);
    }
  }

  time_point mNow{ 1h };
  membership_view mView;
};

// Guards against a delayed message of an earlier process that replaces the
// current incarnation.
TEST_F(single_membership_view, IncarnationsNeverDecrease)
{
  ReceiveNotices({ Notice("a", 10) });
  ReceiveNotices({ Notice("a", 20) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(10));
  Advance(600ms);
  ReceiveNotices({ Notice("a", 20) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(20));
  Advance(1s);
  ReceiveNotices({ Notice("a", 10) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(20));
}

// Guards against a stopped member that stays live because a new VM uses its
// address.
TEST_F(single_membership_view, ReusedAddressIsAnotherMember)
{
  ReceiveNotices({ Notice("a", 10) });
  Advance(1s);
  for (int i = 0; i < 20; ++i) {
    ReceiveNotices({ Notice("b", 20) });
    Advance(200ms);
  }
  EXPECT_EQ(Find("a").mState, member_state::kLost);
  EXPECT_EQ(Find("b").mState, member_state::kLive);
}

// Guards against a platform outage that empties the view, and against outdated
// lists that override heartbeats.
TEST_F(single_membership_view, HeartbeatsTakePrecedenceOverTheList)
{
  const listed_vm a{ vm_name("a"), "127.0.0.2", 1, {}, false };
  const listed_vm b{ vm_name("b"), "127.0.0.2", 2, {}, false };
  mView.HandleList({ a, b }, mNow);
  EXPECT_EQ(Find("a").mState, member_state::kSuspect);
  ReceiveNotices({ Notice("a", 1) });
  mView.HandleList({}, mNow);
  EXPECT_TRUE(Find("a").mListed);
  mView.HandleList({ b }, mNow);
  EXPECT_EQ(Find("a").mState, member_state::kLive);
  Advance(700ms);
  EXPECT_EQ(Find("a").mState, member_state::kLost) << "silent and not listed";
  EXPECT_EQ(Find("b").mState, member_state::kSuspect);
  Advance(1s);
  EXPECT_EQ(Find("b").mState, member_state::kLost);
}

// Guards against circulating reports that keep a stopped member live.
TEST_F(single_membership_view, CirculatingReportsAge)
{
  ReceiveNotices({ Notice("b", 1), Notice("a", 10) });
  for (int i = 0; i < 100; ++i) {
    Advance(200ms);
    // The peer returns the reports it received. Each direction takes 200 ms.
    heartbeat_message own = mView.MakeHeartbeat(mNow);
    own.mMembers[0] = Notice("b", 1);
    Advance(200ms);
    mView.HandleHeartbeat(own, mNow);
  }
  EXPECT_EQ(Find("a").mState, member_state::kLost);
}

// Guards against assigning work to members that are leaving or that send no
// heartbeats, and against ranks that depend on the observer.
TEST_F(single_membership_view, RanksLiveMembersOnly)
{
  member_notice leaving = Notice("c", 3);
  leaving.mLeaving = true;
  ReceiveNotices({ Notice("a", 1) });
  ReceiveNotices({ leaving });
  ReceiveNotices({ Notice("b", 2) });
  const auto ranks = mView.RankFor("group/1", mNow);
  EXPECT_EQ(ranks.size(), 3u);
  EXPECT_EQ(Find("c").mState, member_state::kLeaving);
  EXPECT_EQ(mView.RankFor("group/1", mNow), ranks);
  mView.SetLeaving();
  EXPECT_EQ(mView.RankFor("group/1", mNow).size(), 2u);
}

// Guards against configuration ages that do not increase or that depend on the
// clocks of other routers.
TEST_F(single_membership_view, CarriesConfigurationAges)
{
  member_notice notice = Notice("a", 1);
  notice.mConfiguration = configuration_revision(5);
  notice.mInForceMs = 4000;
  ReceiveNotices({ notice });
  Advance(300ms);
  EXPECT_EQ(Find("a").mConfiguration, configuration_revision(5));
  EXPECT_EQ(Find("a").mInForce, 4300ms);
  EXPECT_EQ(mView.MakeHeartbeat(mNow).mMembers.at(1).mInForceMs, 4300u);
}

// Guards against unbounded memory use when heartbeats contain arbitrary member
// names, and against sending too many heartbeats.
TEST_F(single_membership_view, IsBounded)
{
  std::vector<member_notice> notices;
  for (int i = 0; i < 150; ++i) {
    notices.push_back(Notice("vm-" + std::to_string(i), 1));
  }
  ReceiveNotices(notices);
  EXPECT_EQ(mView.Members(mNow).size(), 100u);
  std::set<vm_name> holders;
  for (int i = 0; i < 20; ++i) {
    holders.insert(vm_name("vm-" + std::to_string(i)));
  }
  mView.SetCoHolders(holders);
  Advance(1s);
  EXPECT_EQ(mView.TakePeers(mNow).size(), 8u);
  EXPECT_EQ(mView.MakeHeartbeat(mNow).mMembers.size(), 5u);
  Advance(20min);
  EXPECT_TRUE(mView.Members(mNow).empty());
}

} // namespace

} // namespace parsleystair
