#include "OwnershipSimulation.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// Two services whose targets check grants and one whose targets do not.
ownership_simulation MakeWorld(uint32_t aRouters = 6)
{
  world_settings settings;
  settings.mRouters = aRouters;
  settings.mLossPercent = settings.mLongDelayPercent = 0;
  return { 1, MakeConfiguration({ 4, 4, 3 }, 1, 32, 8), settings };
}

/// Records known to a router.
std::vector<group_record> Records(const ownership_simulation& aWorld,
                                  size_t aRouter = 0)
{
  return aWorld.Router(aRouter)->HandleFetchGroupsRequest().mRecords;
}

size_t CountOwned(const ownership_simulation& aWorld, const target_id& aTarget)
{
  size_t owned = 0;
  for (const group_record& record : Records(aWorld)) {
    for (const auto& [slot, ownership] : record.mSlots) {
      owned += slot.mService == aTarget.mService &&
               ownership.mOwner == aTarget.mTarget;
    }
  }
  return owned;
}

} // namespace

// Guards against holders that share a failure domain and slots without an owner
// after the first start.
TEST(OwnershipController, CreatesGroupsAcrossFailureDomains)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  EXPECT_EQ(world.UnservedSlots(), 0U);
  ASSERT_EQ(Records(world).size(), 8U);
  for (const group_record& record : Records(world)) {
    std::set<failure_domain_name> domains;
    size_t atHome = 0;
    for (const group_holder& holder : record.mHolders) {
      EXPECT_FALSE(holder.mJoining);
      const size_t index = std::stoul(holder.mVm.Value().substr(7));
      const auto& domain = world.Configuration().mFailureDomains[index % 4];
      domains.insert(domain.mName);
      atHome +=
        domain.mRegion == HomeRegion(record.mGroup, world.Configuration());
    }
    EXPECT_EQ(domains.size(), 3U);
    EXPECT_EQ(atHome, 2U);
  }
}

// Guards against slots that are not served when only one router is deployed.
TEST(OwnershipController, ServesWithOneRouter)
{
  ownership_simulation world = MakeWorld(1);
  world.Run(5s);
  EXPECT_EQ(world.UnservedSlots(), 0U);
  world.RestartRouter(0, 100ms);
  world.EndTarget(0);
  world.Run(5s);
  EXPECT_EQ(world.UnservedSlots(), 0U);
  EXPECT_EQ(CountOwned(world, world.Targets()[0].mId), 0U);
}

// Guards against keys that stay unavailable for more than the required 1 s
// after the loss of their target.
TEST(OwnershipController, ServesAgainWithinASecondOfTargetLoss)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  world.ForgetGaps();
  world.EndTarget(0);
  world.Run(5s);
  ASSERT_FALSE(world.Gaps().empty());
  for (const auto& [slot, gap] : world.Gaps()) {
    EXPECT_LT(gap, 1s) << slot.mService << " " << slot.mSlot;
  }
}

// Guards against interruptions caused by the loss of a router, and against
// groups that keep a holder whose VM has terminated.
TEST(OwnershipController, ReplacesLostHolderWithoutInterruption)
{
  ownership_simulation world = MakeWorld(8);
  world.Run(5s);
  world.ForgetGaps();
  world.EndRouter(1);
  world.Run(15s);
  EXPECT_TRUE(world.Gaps().empty());
  for (const group_record& record : Records(world)) {
    EXPECT_EQ(record.mHolders.size(), 3U);
    for (const group_holder& holder : record.mHolders) {
      EXPECT_NE(holder.mVm, vm_name("router-1"));
      EXPECT_FALSE(holder.mJoining);
    }
  }
}

// Guards against interruptions and moves during an outage of the store, and
// against a restarted router that confirms records before it has recovered
// them.
TEST(OwnershipController, KeepsServingWhileStoreIsDown)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  world.ForgetGaps();
  const auto before = Records(world);
  world.StopStore(60s);
  world.RestartRouter(2, 500ms);
  world.Run(1200ms);
  EXPECT_EQ(world.Router(2)->HandleConfirmRequest({ group_index(0), {} }),
            confirm_result::kNotReady);
  world.Run(50s);
  EXPECT_EQ(world.Router(2)->HandleConfirmRequest({ group_index(0), {} }),
            confirm_result::kNewer);
  EXPECT_EQ(Records(world), before);
  EXPECT_TRUE(world.Gaps().empty());
}

// Guards against a leaving target that keeps its slots or releases them late.
TEST(OwnershipController, MovesSlotsOffLeavingTargets)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  const target_id leaving = world.Targets()[0].mId;
  ASSERT_GT(CountOwned(world, leaving), 0U);
  world.ForgetGaps();
  configuration next = world.Configuration();
  next.mRevision = configuration_revision(2);
  next.mServices[0].mTargets[0].mDraining = true;
  world.SetConfiguration(next);
  world.Run(3s);
  EXPECT_EQ(CountOwned(world, leaving), 0U);
  for (const auto& [slot, gap] : world.Gaps()) {
    EXPECT_LT(gap, 300ms) << slot.mSlot;
  }
}

// Guards against a router that moves all slots because it is itself cut off
// from the targets.
TEST(OwnershipController, StartsNoMovesWhenMostTargetsSeemLost)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  const auto before = Records(world);
  for (size_t router = 0; router < world.Routers(); ++router) {
    for (size_t target = 0; target < 8; ++target) {
      world.Cut(world.NodeOfTarget(target), router, 3s);
    }
  }
  world.Run(4s);
  EXPECT_TRUE(Records(world) == before);
}

// Guards against a grant of an older record to the next process of a target
// that released the slot: only a confirmation requested after that process was
// first seen counts.
TEST(OwnershipController, GrantsToNewProcessOnlyAfterNewConfirmation)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  ownership_controller router = *world.Router(0);
  const target_id target = router.Dump({}).mTargets.front().mTarget;
  const time_point now = world.Local(0);
  const auto count = [&](const ownership_actions& aActions) {
    size_t grants = 0;
    for (const ownership_action& action : aActions) {
      const auto* send = std::get_if<send_grants>(&action);
      grants += send != nullptr && send->mTarget == target
                  ? send->mMessage.mGroups.size()
                  : 0;
    }
    return grants;
  };
  const grant_reply reply{ 900, 77, {}, {}, {}, {} };
  EXPECT_EQ(count(router.HandleGrantReply(target, reply, now, now)), 0U);
  const range_reply poll{ store_status::kReplied, store_revision(500), {} };
  router.HandlePollReply(poll, now - 1ms, now);
  EXPECT_EQ(count(router.Tick(now + 100ms, {})), 0U);
  const auto actions = router.HandlePollReply(poll, now + 100ms, now + 101ms);
  EXPECT_GT(count(actions), 0U);
}

// Guards against two routers with configurations of different revisions that
// move a slot back and forth, and against slots of withdrawn services that keep
// an owner.
TEST(OwnershipController, DropsSlotsOfWithdrawnServices)
{
  ownership_simulation world = MakeWorld();
  world.Run(5s);
  configuration next = world.Configuration();
  next.mRevision = configuration_revision(2);
  next.mServices.erase(next.mServices.begin());
  world.SetConfiguration(next);
  world.Run(8s);
  EXPECT_EQ(CountOwned(world, world.Targets()[0].mId), 0U);
  next.mServices = MakeConfiguration({ 4, 4, 3 }, 1, 32, 8).mServices;
  next.mRevision = configuration_revision(3);
  world.SetConfiguration(next);
  world.Run(5s);
  EXPECT_EQ(world.UnservedSlots(), 0U);
}

} // namespace parsleystair
