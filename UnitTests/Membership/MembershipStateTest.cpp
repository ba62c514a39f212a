#include "UnitTests/Membership/Fleet.h"

#include <gtest/gtest.h>
// Must follow gtest.h, which this header extends.
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace parsleystair {

namespace {

constexpr size_t kNodeCount = 5;

/// Expected state of the fleet after the commands, against which the views are
/// checked.
struct fleet_model
{
  std::array<bool, kNodeCount> mStopped{};
  std::array<bool, kNodeCount> mPaused{};
  std::set<std::pair<size_t, size_t>> mBlockedLinks;
  /// Time since each process last started, stopped, paused or resumed, or since
  /// one of its links last changed.
  std::array<duration, kNodeCount> mTimeSinceChange{};
  /// Time since any link last changed.
  duration mTimeSinceLinkChange = 1h;

  [[nodiscard]] bool IsRunning(size_t aNode) const
  {
    return !mStopped[aNode] && !mPaused[aNode];
  }
  [[nodiscard]] bool HasAllLinksUp(size_t aNode) const
  {
    return std::none_of(
      mBlockedLinks.begin(), mBlockedLinks.end(), [&](const auto& aBlocked) {
        return aBlocked.first == aNode || aBlocked.second == aNode;
      });
  }
  void RecordChange(size_t aNode)
  {
    mTimeSinceChange[aNode] = duration::zero();
  }
};

/// The fleet, and the newest incarnation of each member that each view has
/// reported.
struct fleet_under_test
{
  fleet mFleet{ kNodeCount };
  std::map<std::pair<size_t, size_t>, uint64_t> mNewestIncarnations;
};

using command = rc::state::Command<fleet_model, fleet_under_test>;

/// Advances the time and checks each view after each step.
struct advance : command
{
  duration mTime = std::chrono::milliseconds(*rc::gen::inRange(50, 6000));

  void apply(fleet_model& aModel) const override
  {
    for (duration& elapsed : aModel.mTimeSinceChange) {
      elapsed += mTime;
    }
    aModel.mTimeSinceLinkChange += mTime;
  }

  void run(const fleet_model& aModel, fleet_under_test& aSystem) const override
  {
    for (duration passed{}; passed < mTime; passed += fleet::kStep) {
      aSystem.mFleet.Advance(fleet::kStep);
      for (size_t i = 0; i < kNodeCount; ++i) {
        for (size_t j = 0; j < kNodeCount; ++j) {
          if (i != j && aModel.IsRunning(i)) {
            Check(aModel, aSystem, i, j, passed);
          }
        }
      }
    }
  }

  static void Check(const fleet_model& aModel,
                    fleet_under_test& aSystem,
                    size_t aObserver,
                    size_t aSubject,
                    duration aPassed)
  {
    const auto observed = aSystem.mFleet.ObservedMember(aObserver, aSubject);
    RC_ASSERT(observed.has_value());
    const duration timeSinceChange =
      aPassed + std::min(aModel.mTimeSinceChange[aObserver],
                         aModel.mTimeSinceChange[aSubject]);
    // Time until a randomly chosen heartbeat reaches a member that was
    // considered lost.
    constexpr duration kRediscoveryTime = 8s;
    if (aModel.IsRunning(aSubject) && aModel.HasAllLinksUp(aObserver) &&
        aModel.HasAllLinksUp(aSubject) && timeSinceChange > kRediscoveryTime) {
      RC_ASSERT(observed->mState == member_state::kLive);
      RC_ASSERT(observed->mVm == aSystem.mFleet.Vm(aSubject));
    }
    // If no link was blocked before the change or since, reports relayed by
    // other members do not delay detection.
    const bool hearsDirectly =
      aModel.mBlockedLinks.empty() &&
      aModel.mTimeSinceLinkChange + aPassed > timeSinceChange + 2s;
    const duration bound =
      hearsDirectly ? 2s : 4s + aSystem.mFleet.View(aObserver).RelayAllowance();
    if (!aModel.IsRunning(aSubject) && timeSinceChange > bound) {
      RC_ASSERT(observed->mState == member_state::kLost);
    }
    // The fleet assigns increasing incarnations in the order of process starts.
    uint64_t& newestIncarnation =
      aSystem.mNewestIncarnations[{ aObserver, aSubject }];
    RC_ASSERT(observed->mVm.mIncarnation.Value() >= newestIncarnation);
    newestIncarnation = observed->mVm.mIncarnation.Value();
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "advance " << mTime.count() / 1000 << " ms";
  }
};

/// Stops a process and optionally starts a new process with the same name.
struct stop : command
{
  size_t mNode = *rc::gen::inRange<size_t>(0, kNodeCount);
  bool mRestart = *rc::gen::arbitrary<bool>();

  void apply(fleet_model& aModel) const override
  {
    aModel.mStopped[mNode] = !mRestart;
    aModel.mPaused[mNode] = false;
    aModel.RecordChange(mNode);
  }
  void run(const fleet_model&, fleet_under_test& aSystem) const override
  {
    aSystem.mFleet.Stop(mNode);
    if (mRestart) {
      aSystem.mFleet.Start(mNode);
    }
    std::erase_if(aSystem.mNewestIncarnations, [&](const auto& aEntry) {
      return aEntry.first.first == mNode;
    });
  }
  void show(std::ostream& aStream) const override
  {
    aStream << (mRestart ? "restart " : "stop ") << mNode;
  }
};

struct toggle_pause : command
{
  size_t mNode = *rc::gen::inRange<size_t>(0, kNodeCount);

  void checkPreconditions(const fleet_model& aModel) const override
  {
    RC_PRE(!aModel.mStopped[mNode]);
  }
  void apply(fleet_model& aModel) const override
  {
    aModel.mPaused[mNode] = !aModel.mPaused[mNode];
    aModel.RecordChange(mNode);
  }
  void run(const fleet_model& aModel, fleet_under_test& aSystem) const override
  {
    aSystem.mFleet.SetPaused(mNode, !aModel.mPaused[mNode]);
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "pause or resume " << mNode;
  }
};

/// Blocks or restores one direction of a link.
struct toggle_link : command
{
  size_t mFrom = *rc::gen::inRange<size_t>(0, kNodeCount);
  size_t mTo = (mFrom + *rc::gen::inRange<size_t>(1, kNodeCount)) % kNodeCount;

  void apply(fleet_model& aModel) const override
  {
    if (aModel.mBlockedLinks.erase({ mFrom, mTo }) == 0) {
      aModel.mBlockedLinks.emplace(mFrom, mTo);
    }
    aModel.mTimeSinceLinkChange = duration::zero();
    aModel.RecordChange(mFrom);
    aModel.RecordChange(mTo);
  }
  void run(const fleet_model&, fleet_under_test& aSystem) const override
  {
    aSystem.mFleet.SetLinkBlocked(
      mFrom, mTo, !aSystem.mFleet.IsLinkBlocked(mFrom, mTo));
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "block or restore " << mFrom << " to " << mTo;
  }
};

// Guards against views that consider a member lost while its heartbeats arrive
// over working links, keep a stopped member, or revert to an earlier
// incarnation.
RC_GTEST_PROP(MembershipState, ViewsAgreeWithTheFleet, ())
{
  fleet_under_test system;
  rc::state::check(
    fleet_model(),
    system,
    rc::state::gen::
      execOneOfWithArgs<advance, advance, stop, toggle_pause, toggle_link>());
}

} // namespace

} // namespace parsleystair
