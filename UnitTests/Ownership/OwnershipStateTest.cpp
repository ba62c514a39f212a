#include "OwnershipSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace parsleystair {

namespace {

enum class fault
{
  kNone,
  kPauseRouter,
  kRestartRouter,
  kFreezeTarget,
  kRestartTarget,
  kLinkDown,
  kPartition,
  kOneWayPartition,
  kStoreDown,
  kStoreSlow,
  kStoreAnswersLost,
  kPlannedMove,
  kLeavingTarget,
};

constexpr int kFaults = static_cast<int>(fault::kLeavingTarget) + 1;

/// The simulation does the checking; the model only counts the commands.
struct model
{
  int mCommands = 0;
};

/// Injects one fault that lasts `mDuration`, then runs `mRunTime` of simulated
/// time.
struct inject : rc::state::Command<model, ownership_simulation>
{
  fault mFault = static_cast<fault>(*rc::gen::inRange(0, kFaults));
  /// Index of a router, target or slot, or a set of nodes as bits.
  size_t mFirst = *rc::gen::inRange<size_t>(0, 1 << 16);
  size_t mSecond = *rc::gen::inRange<size_t>(0, 1 << 16);
  duration mDuration = *rc::gen::inRange(1, 4000) * 1ms;
  duration mRunTime = *rc::gen::inRange(0, 700) * 1ms;

  void apply(model& aModel) const override { ++aModel.mCommands; }

  void run(const model& /*aModel*/, ownership_simulation& aWorld) const override
  {
    Apply(aWorld);
    aWorld.Run(mRunTime);
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "fault " << static_cast<int>(mFault) << " on " << mFirst << ", "
            << mSecond << " for " << mDuration.count() << " us, then run "
            << mRunTime.count() << " us";
  }

private:
  void Apply(ownership_simulation& aWorld) const
  {
    const size_t router = mFirst % aWorld.Routers();
    const size_t target = mFirst % aWorld.Targets().size();
    switch (mFault) {
      case fault::kNone:
        return;
      case fault::kPauseRouter:
        return aWorld.PauseRouter(router, mDuration);
      case fault::kRestartRouter:
        return aWorld.RestartRouter(router, mDuration);
      case fault::kFreezeTarget:
        return aWorld.FreezeTarget(target, mDuration);
      case fault::kRestartTarget:
        return aWorld.RestartTarget(target, mDuration % 300ms);
      case fault::kLinkDown:
        return aWorld.Cut(
          mFirst % aWorld.Nodes(), mSecond % aWorld.Nodes(), mDuration);
      case fault::kPartition:
        return PartitionNodes(aWorld, true);
      case fault::kOneWayPartition:
        return PartitionNodes(aWorld, false);
      case fault::kStoreDown:
        return aWorld.StopStore(mDuration);
      case fault::kStoreSlow:
        return aWorld.SlowStore(mDuration);
      case fault::kStoreAnswersLost:
        return aWorld.LoseStoreAnswers(mDuration);
      case fault::kPlannedMove:
        return PlanMove(aWorld);
      case fault::kLeavingTarget:
        return SetLeavingTarget(aWorld);
    }
  }

  void PartitionNodes(ownership_simulation& aWorld, bool aBothWays) const
  {
    for (size_t from = 0; from < aWorld.Nodes(); ++from) {
      for (size_t to = 0; to < aWorld.Nodes(); ++to) {
        const bool fromInside = (mFirst >> from) % 2 == 1;
        const bool toInside = (mFirst >> to) % 2 == 1;
        if (fromInside != toInside && (aBothWays || fromInside)) {
          aWorld.Cut(from, to, mDuration);
        }
      }
    }
  }

  void PlanMove(ownership_simulation& aWorld) const
  {
    const auto& services = aWorld.Configuration().mServices;
    const auto& service = services[mFirst % services.size()];
    const auto& targets = service.mTargets;
    const slot_index slot(static_cast<uint32_t>(mFirst % service.mSlotCount));
    aWorld.PlanMove({ { service.mName, slot },
                      targets[mSecond % targets.size()].mName,
                      move_reason::kBalance });
  }

  void SetLeavingTarget(ownership_simulation& aWorld) const
  {
    configuration next = aWorld.Configuration();
    next.mRevision = configuration_revision(next.mRevision.Value() + 1);
    auto& targets = next.mServices[mFirst % next.mServices.size()].mTargets;
    // At most one target of a service leaves at a time, so that others can take
    // over its slots.
    for (size_t i = 0; i < targets.size(); ++i) {
      targets[i].mDraining = i == mSecond % (targets.size() + 1);
    }
    aWorld.SetConfiguration(next);
  }
};

} // namespace

// Guards against two targets that serve one slot, decreasing fences and slots
// that stay unserved, under random sequences of faults.
RC_GTEST_PROP(OwnershipState, HasAtMostOneActiveOwnerPerSlot, ())
{
  const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
  ownership_simulation world(
    seed, MakeConfiguration({ 4, 3 }, 1, 12, 4), world_settings());
  world.Run(5s);
  rc::state::check(model(), world, rc::state::gen::execOneOfWithArgs<inject>());
  world.StopMessageFaults();
  world.Run(12s);
  RC_ASSERT(world.UnservedSlots() == 0U);
}

} // namespace parsleystair
