#include "UnitTests/Membership/Fleet.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// The worst state that any running node has for `aSubject`.
member_state WorstState(const fleet& aFleet, size_t aSubject)
{
  member_state worst = member_state::kLive;
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    if (i != aSubject && aFleet.IsRunning(i)) {
      const member_state seen = aFleet.StateSeen(i, aSubject);
      worst = seen == member_state::kLeaving ? worst : std::max(worst, seen);
    }
  }
  return worst;
}

/// Longest time that `aSubject` is not lost for all after it stopped.
duration TimeToLoss(fleet& aFleet, size_t aSubject)
{
  const time_point start = aFleet.Now();
  const auto isLostForAll = [&] {
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      if (aFleet.IsRunning(i) && i != aSubject &&
          aFleet.StateSeen(i, aSubject) != member_state::kLost) {
        return false;
      }
    }
    return true;
  };
  while (!isLostForAll() && aFleet.Now() - start < 10min) {
    aFleet.Advance(fleet::kStep);
  }
  return aFleet.Now() - start;
}

// Guards against members of a quiet fleet that are taken for lost, and against
// a loss that isn't seen.
TEST(MembershipView, QuietFleetStaysLiveAndALossIsSeen)
{
  for (const size_t size : { 2, 12, 50 }) {
    fleet nodes(size);
    const duration allowance = nodes.View(0).RelayAllowance();
    nodes.Advance(allowance + 5s);
    for (int second = 0; second < 10; ++second) {
      nodes.Advance(1s);
      for (size_t i = 1; i < size; ++i) {
        ASSERT_EQ(nodes.StateSeen(0, i), member_state::kLive) << size;
      }
    }
    nodes.Stop(size / 2);
    EXPECT_LE(TimeToLoss(nodes, size / 2), 2s + allowance) << size;
  }
}

// Guards against slow detection between holders of one group.
TEST(MembershipView, CoHoldersSeeALossWithinItsTime)
{
  fleet nodes(12);
  nodes.View(0).SetCoHolders({ fleet::NameOf(6) });
  nodes.Advance(10s);
  nodes.Stop(6);
  nodes.Advance(600ms);
  EXPECT_EQ(nodes.StateSeen(0, 6), member_state::kSuspect);
  nodes.Advance(1s);
  EXPECT_EQ(nodes.StateSeen(0, 6), member_state::kLost);
}

// Guards against a paused process that takes everyone else for lost when it
// comes back.
TEST(MembershipView, OwnPauseIsNotHeldAgainstOthers)
{
  fleet nodes(5);
  nodes.Advance(5s);
  nodes.SetPaused(0, true);
  nodes.Advance(1min);
  EXPECT_EQ(nodes.StateSeen(1, 0), member_state::kLost);
  nodes.SetPaused(0, false);
  for (int i = 0; i < 100; ++i) {
    nodes.Advance(fleet::kStep);
    for (size_t j = 1; j < nodes.Size(); ++j) {
      ASSERT_NE(nodes.StateSeen(0, j), member_state::kLost);
    }
  }
  EXPECT_EQ(WorstState(nodes, 0), member_state::kLive);
}

// Guards against a link that is broken in one or both directions and makes one
// router lose a member that all others hear.
TEST(MembershipView, CutLinkIsBridgedByOthers)
{
  for (const bool both : { false, true }) {
    fleet nodes(30);
    nodes.Advance(10s);
    nodes.SetCut(0, 1, true);
    nodes.SetCut(1, 0, both);
    for (int i = 0; i < 400; ++i) {
      nodes.Advance(fleet::kStep);
      ASSERT_NE(nodes.StateSeen(0, 1), member_state::kLost);
      ASSERT_NE(nodes.StateSeen(1, 0), member_state::kLost);
    }
  }
}

// Guards against two sides of a partition that don't find each other again.
TEST(MembershipView, PartitionHeals)
{
  fleet nodes(6);
  nodes.Advance(5s);
  const auto setCut = [&](bool aCut) {
    for (size_t i = 0; i < 3; ++i) {
      for (size_t j = 3; j < 6; ++j) {
        nodes.SetCut(i, j, aCut);
        nodes.SetCut(j, i, aCut);
      }
    }
  };
  setCut(true);
  nodes.Advance(1h);
  EXPECT_EQ(nodes.StateSeen(0, 5), member_state::kLost);
  EXPECT_EQ(nodes.StateSeen(0, 2), member_state::kLive);
  setCut(false);
  nodes.Advance(5s);
  for (size_t i = 0; i < 6; ++i) {
    EXPECT_EQ(WorstState(nodes, i), member_state::kLive);
  }
}

/// One view that the test feeds by hand.
class one_view : public testing::Test
{
protected:
  one_view()
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

  void Hear(const std::vector<member_notice>& aNotices)
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

// Guards against a late message of an earlier process that brings it back.
TEST_F(one_view, IncarnationsNeverGoBack)
{
  Hear({ Notice("a", 10) });
  Hear({ Notice("a", 20) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(10));
  Advance(600ms);
  Hear({ Notice("a", 20) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(20));
  Advance(1s);
  Hear({ Notice("a", 10) });
  EXPECT_EQ(Find("a").mVm.mIncarnation, incarnation(20));
}

// Guards against an old member that lives on in a new VM at its address.
TEST_F(one_view, ReusedAddressIsAnotherMember)
{
  Hear({ Notice("a", 10) });
  Advance(1s);
  for (int i = 0; i < 20; ++i) {
    Hear({ Notice("b", 20) });
    Advance(200ms);
  }
  EXPECT_EQ(Find("a").mState, member_state::kLost);
  EXPECT_EQ(Find("b").mState, member_state::kLive);
}

// Guards against an outage of the platform that empties the view, and against
// lists that are behind.
TEST_F(one_view, HeartbeatsOutweighTheList)
{
  const listed_vm a{ vm_name("a"), "127.0.0.2", 1, {}, false };
  const listed_vm b{ vm_name("b"), "127.0.0.2", 2, {}, false };
  mView.HandleList({ a, b }, mNow);
  EXPECT_EQ(Find("a").mState, member_state::kSuspect);
  Hear({ Notice("a", 1) });
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

// Guards against reports that go in circles and keep a stopped member alive.
TEST_F(one_view, ReportsThatGoInCirclesAge)
{
  Hear({ Notice("b", 1), Notice("a", 10) });
  for (int i = 0; i < 100; ++i) {
    Advance(200ms);
    // The peer reports back what it was told, 200 ms on the way each time.
    heartbeat_message own = mView.MakeHeartbeat(mNow);
    own.mMembers[0] = Notice("b", 1);
    Advance(200ms);
    mView.HandleHeartbeat(own, mNow);
  }
  EXPECT_EQ(Find("a").mState, member_state::kLost);
}

// Guards against duties for members that are leaving or silent, and against
// ranks that depend on the observer.
TEST_F(one_view, RanksLiveMembersOnly)
{
  member_notice leaving = Notice("c", 3);
  leaving.mLeaving = true;
  Hear({ Notice("a", 1) });
  Hear({ leaving });
  Hear({ Notice("b", 2) });
  const auto ranks = mView.RankFor("group/1", mNow);
  EXPECT_EQ(ranks.size(), 3u);
  EXPECT_EQ(Find("c").mState, member_state::kLeaving);
  EXPECT_EQ(mView.RankFor("group/1", mNow), ranks);
  mView.SetLeaving();
  EXPECT_EQ(mView.RankFor("group/1", mNow).size(), 2u);
}

// Guards against ages of configurations that stand still or use other clocks.
TEST_F(one_view, CarriesConfigurationAges)
{
  member_notice notice = Notice("a", 1);
  notice.mConfiguration = configuration_revision(5);
  notice.mInForceMs = 4000;
  Hear({ notice });
  Advance(300ms);
  EXPECT_EQ(Find("a").mConfiguration, configuration_revision(5));
  EXPECT_EQ(Find("a").mInForce, 4300ms);
  EXPECT_EQ(mView.MakeHeartbeat(mNow).mMembers.at(1).mInForceMs, 4300u);
}

// Guards against memory that grows with invented names, and against too many
// heartbeats.
TEST_F(one_view, IsBounded)
{
  std::vector<member_notice> notices;
  for (int i = 0; i < 150; ++i) {
    notices.push_back(Notice("vm-" + std::to_string(i), 1));
  }
  Hear(notices);
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
