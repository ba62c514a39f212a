#pragma once

#include "FakeStore.h"
#include "FakeTarget.h"
#include "Parsleystair/Ownership/OwnershipController.h"

#include <functional>
#include <queue>
#include <random>
#include <tuple>

namespace parsleystair {

/// Faults of the simulated network and clocks, and time settings of the
/// routers.
struct world_settings
{
  uint32_t mRouters = 6;
  /// Share of messages between routers and targets, in percent.
  uint32_t mLossPercent = 2;
  uint32_t mLongDelayPercent = 2;
  duration mLongDelay = 700ms;
  duration mTick = 20ms;
  bool mDrift = true;
  ownership_settings mOwnership;
};

/// Simulation of routers running the real ownership_controller, a fake store
/// and fake targets in simulated time. Throws std::logic_error as soon as two
/// targets would serve one slot or a target would act with an outdated fence.
class ownership_simulation
{
public:
  ownership_simulation(uint64_t aSeed,
                       configuration aConfiguration,
                       world_settings aSettings);

  [[nodiscard]] duration Now() const { return mNow; }
  void Run(duration aTime);

  /// Stops random message loss and long delays.
  void StopMessageFaults()
  {
    mSettings.mLossPercent = mSettings.mLongDelayPercent = 0;
  }

  void PauseRouter(size_t aRouter, duration aTime);
  /// Ends the process and starts it again with empty memory after `aTime`.
  void RestartRouter(size_t aRouter, duration aTime);
  /// Terminates the VM; it disappears from the platform's list 5 s later.
  void EndRouter(size_t aRouter);
  void FreezeTarget(size_t aTarget, duration aTime);
  void RestartTarget(size_t aTarget, duration aTime);
  void EndTarget(size_t aTarget);
  /// Drops messages from one node to the other for `aTime`. Node indexes are
  /// returned by `NodeOf...`.
  void Cut(size_t aFrom, size_t aTo, duration aTime);
  void StopStore(duration aTime) { mStoreDownUntil = mNow + aTime; }
  void SlowStore(duration aTime) { mStoreSlowUntil = mNow + aTime; }
  /// Store calls take effect, but their answers are lost.
  void LoseStoreAnswers(duration aTime) { mAnswersLostUntil = mNow + aTime; }
  void PlanMove(const planned_move& aMove);
  void SetConfiguration(configuration aConfiguration);

  [[nodiscard]] size_t NodeOfRouter(size_t aRouter) const { return aRouter; }
  [[nodiscard]] size_t NodeOfTarget(size_t aTarget) const
  {
    return mRouters.size() + aTarget;
  }
  [[nodiscard]] size_t NodeOfStore() const
  {
    return mRouters.size() + mTargets.size();
  }
  [[nodiscard]] size_t Nodes() const { return NodeOfStore() + 1; }
  [[nodiscard]] const std::vector<fake_target>& Targets() const
  {
    return mTargets;
  }
  [[nodiscard]] size_t Routers() const { return mRouters.size(); }
  /// Null while the router is down.
  [[nodiscard]] const ownership_controller* Router(size_t aRouter) const
  {
    return mRouters[aRouter].mController.get();
  }
  [[nodiscard]] time_point Local(size_t aRouter) const
  {
    return mRouters[aRouter].mClock.At(mNow);
  }
  [[nodiscard]] const fake_store& Store() const { return mStore; }
  [[nodiscard]] const configuration& Configuration() const
  {
    return *mConfiguration;
  }
  /// Number of slots that no target would serve now, in services whose targets
  /// check grants.
  [[nodiscard]] size_t UnservedSlots() const;
  /// Time that slots were unserved since the last `ForgetGaps`; only slots with
  /// such time are included.
  [[nodiscard]] std::map<slot_id, duration> Gaps() const;
  void ForgetGaps();
  uint64_t mMessagesToTargets = 0;
  uint64_t mMessagesToRouters = 0;

private:
  struct fake_router
  {
    live_router mIdentity;
    drifting_clock mClock;
    std::unique_ptr<ownership_controller> mController;
    uint64_t mStartCount = 0;
    bool mIsPaused = false;
    bool mIsListed = true;
    std::vector<std::function<void()>> mBacklog;
    std::map<size_t, std::pair<live_router, duration>> mLastHeartbeats;
    router_view mView;
  };
  struct event
  {
    duration mAt;
    uint64_t mNumber;
    std::function<void()> mFunction;
    bool operator<(const event& aOther) const
    {
      return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
    }
  };
  struct coverage
  {
    duration mUntil{};
    size_t mTarget = 0;
    duration mGap{};
  };

  uint64_t Random(uint64_t aBelow) { return mRandom() % aBelow; }
  void Schedule(duration aTime, std::function<void()> aFunction);
  void RunOnRouter(size_t aRouter,
                   uint64_t aStartCount,
                   std::function<void()> aCall);
  void RunOnTarget(size_t aTarget, std::function<void()> aCall);
  void Send(size_t aFrom, size_t aTo, std::function<void()> aDeliver);
  duration Delay(size_t aFrom, size_t aTo);
  [[nodiscard]] region_name RegionOf(size_t aNode) const;
  [[nodiscard]] bool IsCut(size_t aFrom, size_t aTo) const;
  void StartRouter(size_t aRouter);
  void Tick(size_t aRouter, uint64_t aStartCount);
  void Poll(size_t aRouter, uint64_t aStartCount);
  void Heartbeat(size_t aRouter, uint64_t aStartCount);
  void UpdateRouterView(size_t aRouter);

  using answer = std::function<void()>;
  /// Calls the store. `aExecute` runs at the store and returns the function
  /// that handles the answer at the router; `aFail` is called when there is no
  /// answer.
  void CallStore(size_t aRouter,
                 const std::function<answer()>& aExecute,
                 const std::function<void(store_status)>& aFail);
  /// Runs `aExecute` at another router or a target, then runs the function it
  /// returns at this router.
  void SendRequest(size_t aRouter,
                   size_t aNode,
                   const std::function<answer()>& aExecute);
  void Perform(size_t aRouter, const ownership_actions& aActions);
  void PerformOne(size_t aRouter, const send_grants& aAction);
  void PerformOne(size_t aRouter, const probe_target& aAction);
  void PerformOne(size_t aRouter, const write_group& aAction);
  void PerformOne(size_t aRouter, const read_group& aAction);
  void PerformOne(size_t aRouter, const request_confirmation& aAction);
  void PerformOne(size_t aRouter, const announce_record& aAction);
  void PerformOne(size_t aRouter, const copy_group_records& aAction);
  void PerformOne(size_t aRouter, const fetch_groups& aAction);
  [[nodiscard]] size_t IndexOf(const target_id& aTarget) const;
  [[nodiscard]] size_t IndexOf(const vm_name& aVm) const;

  void CheckGrants(size_t aTarget, const grant_reply& aReply);
  void CheckRouting(size_t aRouter);
  void CheckFence(const slot_id& aSlot, fence aFence, size_t aTarget);

  std::mt19937_64 mRandom;
  world_settings mSettings;
  std::shared_ptr<const configuration> mConfiguration;
  duration mNow{};
  uint64_t mEvents = 0;
  std::priority_queue<event> mQueue;
  std::vector<fake_router> mRouters;
  std::vector<fake_target> mTargets;
  std::vector<std::vector<std::function<void()>>> mTargetBacklogs;
  fake_store mStore;
  duration mStoreDownUntil{};
  duration mStoreSlowUntil{};
  duration mAnswersLostUntil{};
  std::map<std::pair<size_t, size_t>, duration> mCuts;
  std::map<slot_id, std::pair<fence, size_t>> mFences;
  /// Until when requests of a slot may run at targets that do not check grants.
  std::map<slot_id, std::map<size_t, duration>> mRunning;
  std::map<slot_id, coverage> mCoverage;
};

/// Configuration for tests: two regions with two failure domains each, and one
/// service per element of `aServices`, which is its number of targets. The
/// targets of the last `aUnchecked` services do not check grants.
inline configuration MakeConfiguration(const std::vector<uint32_t>& aServices,
                                       size_t aUnchecked,
                                       uint32_t aSlots,
                                       uint32_t aGroups);

} // namespace parsleystair

#include "OwnershipSimulationChecks.h"
#include "OwnershipSimulationEvents.h"
#include "OwnershipSimulationMessages.h"
