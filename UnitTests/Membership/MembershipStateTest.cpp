#include "UnitTests/Membership/Fleet.h"

#include <gtest/gtest.h>
// After gtest.h, which it extends.
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace parsleystair {

namespace {

constexpr size_t kNodes = 5;

/// What the commands have done; the oracle of the views.
struct fleet_model
{
  std::array<bool, kNodes> mStopped{};
  std::array<bool, kNodes> mPaused{};
  std::set<std::pair<size_t, size_t>> mCuts;
  /// Time since a process last started, stopped, paused, resumed, or a link of
  /// it changed.
  std::array<duration, kNodes> mUnchanged{};
  /// Time since any link changed.
  duration mLinksUnchanged = 1h;

  [[nodiscard]] bool IsRunning(size_t aNode) const
  {
    return !mStopped[aNode] && !mPaused[aNode];
  }
  [[nodiscard]] bool HasAllLinks(size_t aNode) const
  {
    return std::none_of(mCuts.begin(), mCuts.end(), [&](const auto& aCut) {
      return aCut.first == aNode || aCut.second == aNode;
    });
  }
  void Change(size_t aNode) { mUnchanged[aNode] = duration::zero(); }
};

/// The fleet, and the newest incarnation that each view has shown.
struct watched_fleet
{
  fleet mFleet{ kNodes };
  std::map<std::pair<size_t, size_t>, uint64_t> mNewest;
};

using command = rc::state::Command<fleet_model, watched_fleet>;

/// Lets time pass and checks each view after each step.
struct advance : command
{
  duration mTime = std::chrono::milliseconds(*rc::gen::inRange(50, 6000));

  void apply(fleet_model& aModel) const override
  {
    for (duration& unchanged : aModel.mUnchanged) {
      unchanged += mTime;
    }
    aModel.mLinksUnchanged += mTime;
  }

  void run(const fleet_model& aModel, watched_fleet& aSystem) const override
  {
    for (duration passed{}; passed < mTime; passed += fleet::kStep) {
      aSystem.mFleet.Advance(fleet::kStep);
      for (size_t i = 0; i < kNodes; ++i) {
        for (size_t j = 0; j < kNodes; ++j) {
          if (i != j && aModel.IsRunning(i)) {
            Check(aModel, aSystem, i, j, passed);
          }
        }
      }
    }
  }

  static void Check(const fleet_model& aModel,
                    watched_fleet& aSystem,
                    size_t aObserver,
                    size_t aSubject,
                    duration aPassed)
  {
    const auto seen = aSystem.mFleet.Seen(aObserver, aSubject);
    RC_ASSERT(seen.has_value());
    const duration settled = aPassed + std::min(aModel.mUnchanged[aObserver],
                                                aModel.mUnchanged[aSubject]);
    // Time for a heartbeat by chance to a member that was taken for lost.
    constexpr duration kFound = 8s;
    if (aModel.IsRunning(aSubject) && aModel.HasAllLinks(aObserver) &&
        aModel.HasAllLinks(aSubject) && settled > kFound) {
      RC_ASSERT(seen->mState == member_state::kLive);
      RC_ASSERT(seen->mVm == aSystem.mFleet.Vm(aSubject));
    }
    // When all links worked before and since, news doesn't come through others.
    const bool isDirect =
      aModel.mCuts.empty() && aModel.mLinksUnchanged + aPassed > settled + 2s;
    const duration bound =
      isDirect ? 2s : 4s + aSystem.mFleet.View(aObserver).RelayAllowance();
    if (!aModel.IsRunning(aSubject) && settled > bound) {
      RC_ASSERT(seen->mState == member_state::kLost);
    }
    // The fleet numbers incarnations in the order of their starts.
    uint64_t& newest = aSystem.mNewest[{ aObserver, aSubject }];
    RC_ASSERT(seen->mVm.mIncarnation.Value() >= newest);
    newest = seen->mVm.mIncarnation.Value();
  }

  void show(std::ostream& aStream) const override
  {
    aStream << "advance " << mTime.count() / 1000 << " ms";
  }
};

/// Ends a process and, perhaps, starts another one of its name.
struct stop : command
{
  size_t mNode = *rc::gen::inRange<size_t>(0, kNodes);
  bool mRestart = *rc::gen::arbitrary<bool>();

  void apply(fleet_model& aModel) const override
  {
    aModel.mStopped[mNode] = !mRestart;
    aModel.mPaused[mNode] = false;
    aModel.Change(mNode);
  }
  void run(const fleet_model&, watched_fleet& aSystem) const override
  {
    aSystem.mFleet.Stop(mNode);
    if (mRestart) {
      aSystem.mFleet.Start(mNode);
    }
    std::erase_if(aSystem.mNewest, [&](const auto& aEntry) {
      return aEntry.first.first == mNode;
    });
  }
  void show(std::ostream& aStream) const override
  {
    aStream << (mRestart ? "restart " : "stop ") << mNode;
  }
};

struct pause : command
{
  size_t mNode = *rc::gen::inRange<size_t>(0, kNodes);

  void checkPreconditions(const fleet_model& aModel) const override
  {
    RC_PRE(!aModel.mStopped[mNode]);
  }
  void apply(fleet_model& aModel) const override
  {
    aModel.mPaused[mNode] = !aModel.mPaused[mNode];
    aModel.Change(mNode);
  }
  void run(const fleet_model& aModel, watched_fleet& aSystem) const override
  {
    aSystem.mFleet.SetPaused(mNode, !aModel.mPaused[mNode]);
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "pause or resume " << mNode;
  }
};

/// Cuts or mends one direction of a link.
struct cut : command
{
  size_t mFrom = *rc::gen::inRange<size_t>(0, kNodes);
  size_t mTo = (mFrom + *rc::gen::inRange<size_t>(1, kNodes)) % kNodes;

  void apply(fleet_model& aModel) const override
  {
    if (aModel.mCuts.erase({ mFrom, mTo }) == 0) {
      aModel.mCuts.emplace(mFrom, mTo);
    }
    aModel.mLinksUnchanged = duration::zero();
    aModel.Change(mFrom);
    aModel.Change(mTo);
  }
  void run(const fleet_model&, watched_fleet& aSystem) const override
  {
    aSystem.mFleet.SetCut(mFrom, mTo, !aSystem.mFleet.IsCut(mFrom, mTo));
  }
  void show(std::ostream& aStream) const override
  {
    aStream << "cut or mend " << mFrom << " to " << mTo;
  }
};

// Guards against views that lose a member which keeps heartbeating over
// working links, keep a stopped one, or go back to an earlier incarnation.
RC_GTEST_PROP(MembershipState, ViewsAgreeWithTheFleet, ())
{
  watched_fleet system;
  rc::state::check(
    fleet_model(),
    system,
    rc::state::gen::execOneOfWithArgs<advance, advance, stop, pause, cut>());
}

} // namespace

} // namespace parsleystair
