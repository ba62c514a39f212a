#include "Parsleystair/Placement/HashPolicies.h"
#include "Parsleystair/Placement/HotKeyTracker.h"
#include "Parsleystair/Placement/PlacementPlanner.h"

#include <gtest/gtest.h>
#include <set>

namespace parsleystair {

namespace {

const service_name kService("recipes");

/// A service with six targets in two regions. Each target owns 20 slots with
/// equal load.
class placement_test : public testing::Test
{
protected:
  placement_test()
  {
    mConfiguration.mFailureDomains = {
      { failure_domain_name("asti-a"), region_name("piemonte") },
      { failure_domain_name("verona-b"), region_name("veneto") }
    };
    service_configuration service;
    service.mName = kService;
    service.mSlotCount = kSlots;
    for (int i = 0; i < kTargets; ++i) {
      target_configuration target;
      target.mName = Target(i);
      target.mFailureDomain =
        failure_domain_name(i < kTargets / 2 ? "asti-a" : "verona-b");
      service.mTargets.push_back(target);
    }
    mConfiguration.mServices = { service };
    for (uint32_t i = 0; i < kSlots; ++i) {
      slot_status& slot = Status().mSlots[slot_index(i)];
      slot.mOwner = Target(static_cast<int>(i) % kTargets);
      slot.mLoad = measured_load{ 10, mNow };
    }
  }

  static target_name Target(int aIndex)
  {
    return target_name("target-" + std::to_string(aIndex));
  }
  service_configuration& Service() { return mConfiguration.mServices[0]; }
  service_status& Status() { return mServices[kService]; }
  void SetState(int aTarget, target_state aState, duration aFor = 0s)
  {
    Status().mTargets[Target(aTarget)] = { aState, mNow - aFor, {} };
  }
  void SetLoad(int aTarget, double aPerSecond)
  {
    for (auto& [index, slot] : Status().mSlots) {
      if (slot.mOwner == Target(aTarget)) {
        slot.mLoad = measured_load{ aPerSecond, mNow };
      }
    }
  }

  [[nodiscard]] std::vector<planned_move> Plan(
    const placement_policy& aPolicy = placement_planner()) const
  {
    return aPolicy.Plan({ std::make_shared<configuration>(mConfiguration),
                          mServices,
                          region_name("piemonte"),
                          mNow,
                          mMinuteOfDay });
  }

  static int CountMovesTo(const std::vector<planned_move>& aMoves, int aTarget)
  {
    return static_cast<int>(
      std::count_if(aMoves.begin(), aMoves.end(), [&](const auto& aMove) {
        return aMove.mDestination == Target(aTarget);
      }));
  }

  static constexpr uint32_t kSlots = 120;
  static constexpr int kTargets = 6;
  configuration mConfiguration;
  std::map<service_name, service_status> mServices;
  time_point mNow{ 1h };
  uint32_t mMinuteOfDay = 600;
};

// Guards against moves in a balanced service.
TEST_F(placement_test, BalancedServiceNeedsNoMoves)
{
  EXPECT_TRUE(Plan().empty());
}

// Guards against slots that stay at a lost target, that all move to the same
// target, or that leave their region while it has free capacity.
TEST_F(placement_test, SlotsOfLostTargetPreferItsRegionWithinLoadBound)
{
  SetState(0, target_state::kLost);
  const auto moves = Plan();
  ASSERT_EQ(moves.size(), 20u);
  for (const planned_move& move : moves) {
    EXPECT_EQ(move.mReason, move_reason::kTargetLost);
  }
  // The mean is 24 slots per remaining target; the load bound is 1.1 times the
  // mean.
  EXPECT_EQ(CountMovesTo(moves, 1), 6);
  EXPECT_EQ(CountMovesTo(moves, 2), 6);
  EXPECT_LE(CountMovesTo(moves, 3), 3);
}

// Guards against slots that can't leave the region of a lost failure domain,
// and against placement by number of slots instead of capacity.
TEST_F(placement_test, SlotsOfLostFailureDomainFollowCapacity)
{
  Service().mTargets[5].mConcurrency = 8;
  for (const int target : { 0, 1, 2 }) {
    SetState(target, target_state::kLost);
  }
  const auto moves = Plan();
  ASSERT_EQ(moves.size(), 60u);
  EXPECT_EQ(CountMovesTo(moves, 3), 10);
  EXPECT_EQ(CountMovesTo(moves, 4), 10);
  EXPECT_EQ(CountMovesTo(moves, 5), 40);
}

// Guards against moves for balance or from leaving targets during an order
// window that spans midnight, and against slots of a lost target that only move
// after the window.
TEST_F(placement_test, OrderWindowAllowsOnlyMovesFromLostTargets)
{
  Service().mNoMoveWindows = { { 23 * 60, 60 } };
  SetState(0, target_state::kDraining);
  SetState(1, target_state::kLost);
  SetLoad(2, 500);
  for (const uint32_t minute : { 23 * 60 + 5, 5 }) {
    mMinuteOfDay = minute;
    const auto moves = Plan();
    EXPECT_EQ(moves.size(), 20u);
    for (const planned_move& move : moves) {
      EXPECT_EQ(move.mReason, move_reason::kTargetLost);
    }
  }
  mMinuteOfDay = 60;
  EXPECT_GT(Plan().size(), 40u);
}

// Guards against a leaving target that keeps its slots or gets new ones,
// whether its configuration or its status marks it as leaving.
TEST_F(placement_test, LeavingTargetLosesAllSlots)
{
  Service().mTargets[0].mDraining = true;
  SetState(1, target_state::kDraining);
  const auto moves = Plan();
  EXPECT_EQ(moves.size(), 40u);
  EXPECT_EQ(CountMovesTo(moves, 0) + CountMovesTo(moves, 1), 0);
}

// Guards against a target that gets its full share of slots during slow start.
TEST_F(placement_test, ColdTargetGetsFewerSlots)
{
  SetState(0, target_state::kLost);
  SetState(1, target_state::kSlowStart, 6s);
  const int cold = CountMovesTo(Plan(), 1);
  SetState(1, target_state::kSlowStart, 60s);
  EXPECT_EQ(cold, 0);
  EXPECT_EQ(CountMovesTo(Plan(), 1), 6);
}

// Guards against moves for balance beyond the limit per minute or within the
// cooldown of a slot, and against cost weights without effect.
TEST_F(placement_test, BalancingRespectsMoveBudgetWeightsAndCooldown)
{
  SetLoad(0, 20);
  const auto moves = Plan();
  EXPECT_EQ(moves.size(), 6u) << "5% of the slots a minute";
  for (const planned_move& move : moves) {
    EXPECT_EQ(move.mReason, move_reason::kBalance);
    EXPECT_EQ(Status().mSlots[move.mSlot.mSlot].mOwner, Target(0));
  }
  Status().mRecentMoves = 6;
  EXPECT_TRUE(Plan().empty());
  Status().mRecentMoves = 0;

  mConfiguration.mWeights.mChurn = 20;
  EXPECT_TRUE(Plan().empty());
  mConfiguration.mWeights.mChurn = 1;

  for (auto& [index, slot] : Status().mSlots) {
    slot.mSince = mNow - 10s;
  }
  EXPECT_TRUE(Plan().empty());
}

// Guards against a second plan for a slot that is moving, and against a move
// that keeps a lost destination.
TEST_F(placement_test, MovingSlotsAreReplannedOnlyIfDestinationIsLost)
{
  SetState(0, target_state::kLost);
  for (auto& [index, slot] : Status().mSlots) {
    if (slot.mOwner == Target(0)) {
      slot.mMovingTo = Target(1 + static_cast<int>(index.Value() / 6 % 5));
    }
  }
  EXPECT_TRUE(Plan().empty());
  SetState(3, target_state::kLost);
  EXPECT_EQ(Plan().size(), 24u)
    << "20 slots of target 3 and 4 slots that move to it";
}

// Guards against a key that changes its owner when it becomes a named key, and
// against a new slot that gets no owner.
TEST_F(placement_test, NewNamedKeyKeepsItsOwner)
{
  const slot_index before = SlotOf(Service(), "hot");
  Service().mNamedKeys = { "hot" };
  Status().mSlots[slot_index(kSlots)] = {};
  const auto moves = Plan();
  ASSERT_EQ(moves.size(), 1u);
  EXPECT_EQ(moves[0].mDestination, Status().mSlots[before].mOwner);
  EXPECT_EQ(moves[0].mReason, move_reason::kInitial);
}

// Guards against reported loads that outweigh measured loads or are too old.
TEST_F(placement_test, MeasuredLoadOutweighsReportedLoad)
{
  SetState(0, target_state::kLive);
  Status().mTargets[Target(0)].mReported = measured_load{ 300, mNow };
  EXPECT_TRUE(Plan().empty());
  Status().mTargets[Target(0)].mReported = measured_load{ 2000, mNow };
  EXPECT_FALSE(Plan().empty());
  Status().mTargets[Target(0)].mReported = measured_load{ 2000, mNow - 2min };
  EXPECT_TRUE(Plan().empty()) << "the report is too old";
}

// Guards against hash policies that choose lost targets.
TEST_F(placement_test, HashPoliciesChooseUsableTargetsOnly)
{
  SetState(0, target_state::kLost);
  for (const planned_move& move : Plan(rendezvous_policy())) {
    EXPECT_NE(move.mDestination, Target(0));
  }
  EXPECT_GT(Plan(modulo_policy()).size(), 80u);
}

// Guards against plans above the move limit, and against a failure if no target
// is usable.
TEST_F(placement_test, PlanRespectsMoveLimit)
{
  planner_settings settings;
  settings.mMaxMoves = 7;
  SetState(0, target_state::kLost);
  EXPECT_EQ(Plan(placement_planner(settings)).size(), 7u);
  for (int i = 0; i < kTargets; ++i) {
    SetState(i, target_state::kLost);
  }
  EXPECT_TRUE(Plan().empty());
}

// Guards against hot keys that are evicted by many rare keys.
TEST(HotKeyTracker, FindsHotKeysInBoundedMemory)
{
  hot_key_tracker tracker(50);
  for (int round = 0; round < 1000; ++round) {
    for (int hot = 0; hot < 10; ++hot) {
      tracker.Add("hot-" + std::to_string(hot));
    }
    for (int rare = 0; rare < 10; ++rare) {
      tracker.Add("rare-" + std::to_string(round * 10 + rare));
    }
  }
  const auto top = tracker.Top(10);
  ASSERT_EQ(top.size(), 10u);
  for (const key_count& entry : top) {
    EXPECT_EQ(entry.mKey.substr(0, 4), "hot-");
    EXPECT_LE(entry.mCount - entry.mError, 1000u);
    EXPECT_GE(entry.mCount, 1000u);
  }
  EXPECT_EQ(tracker.Top(1000).size(), 50u);
  EXPECT_EQ(tracker.Total(), 20'000u);
}

// Guards against named keys that change their slots, and against proposals of
// keys that are not hot.
TEST(HotKeyTracker, ProposedKeysKeepTheirPositions)
{
  hot_key_tracker tracker(100);
  tracker.Add("b", 1000);
  tracker.Add("new", 900);
  for (int i = 0; i < 80; ++i) {
    tracker.Add("rare-" + std::to_string(i), 5);
  }
  const std::vector<std::string> named =
    ProposeNamedKeys({ "gone", "b" }, tracker, 100);
  EXPECT_EQ(named, (std::vector<std::string>{ "new", "b" }));
}

} // namespace

} // namespace parsleystair
