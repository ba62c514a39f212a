#pragma once

// Simulated time, processes and faults of ownership_simulation. Included by
// OwnershipSimulation.h.

namespace parsleystair {

inline ownership_simulation::ownership_simulation(uint64_t aSeed,
                                                  configuration aConfiguration,
                                                  world_settings aSettings)
  : mRandom(aSeed)
  , mSettings(aSettings)
{
  const auto drift = [&] {
    constexpr uint64_t kSteps = 200;
    const auto step = static_cast<double>(Random(kSteps + 1));
    // From 0.99 to 1.01 of real time.
    return mSettings.mDrift ? 0.99 + step / (kSteps * 50) : 1.0;
  };
  const auto clock = [&] {
    return drifting_clock{ drift(), 1s + duration(Random(100'000'000)) };
  };
  for (const service_configuration& service : aConfiguration.mServices) {
    for (const target_configuration& target : service.mTargets) {
      fake_target fake;
      fake.mId = { service.mName, target.mName };
      fake.mClock = clock();
      fake.mChecksGrants = target.mChecksGrants;
      mTargets.push_back(fake);
    }
  }
  mTargetBacklogs.resize(mTargets.size());
  mRouters.resize(mSettings.mRouters);
  const auto& domains = aConfiguration.mFailureDomains;
  for (size_t i = 0; i < mRouters.size(); ++i) {
    mRouters[i].mIdentity = { { vm_name("router-" + std::to_string(i)), {} },
                              domains[i % domains.size()].mName,
                              false };
    mRouters[i].mClock = clock();
  }
  mConfiguration =
    std::make_shared<const configuration>(std::move(aConfiguration));
  for (size_t i = 0; i < mRouters.size(); ++i) {
    StartRouter(i);
  }
}

inline void ownership_simulation::Run(duration aTime)
{
  const duration end = mNow + aTime;
  while (!mQueue.empty() && mQueue.top().mAt <= end) {
    const event next = mQueue.top();
    mQueue.pop();
    mNow = next.mAt;
    next.mFunction();
  }
  mNow = end;
}

inline void ownership_simulation::Schedule(duration aTime,
                                           std::function<void()> aFunction)
{
  mQueue.push({ mNow + aTime, ++mEvents, std::move(aFunction) });
}

inline void ownership_simulation::RunOnRouter(size_t aRouter,
                                              uint64_t aStartCount,
                                              std::function<void()> aCall)
{
  fake_router& router = mRouters[aRouter];
  if (!router.mController || router.mStartCount != aStartCount) {
    return;
  }
  if (router.mIsPaused) {
    router.mBacklog.push_back(std::move(aCall));
    return;
  }
  aCall();
}

inline void ownership_simulation::RunOnTarget(size_t aTarget,
                                              std::function<void()> aCall)
{
  if (mTargets[aTarget].mIsDown) {
    return;
  }
  if (mTargets[aTarget].mIsFrozen) {
    mTargetBacklogs[aTarget].push_back(std::move(aCall));
    return;
  }
  aCall();
}

inline void ownership_simulation::StartRouter(size_t aRouter)
{
  fake_router& router = mRouters[aRouter];
  const uint64_t startCount = ++router.mStartCount;
  router.mIdentity.mVm.mIncarnation = incarnation(mRandom());
  router.mLastHeartbeats.clear();
  router.mView = {};
  router.mController = std::make_unique<ownership_controller>(
    router.mIdentity, mSettings.mOwnership, Local(aRouter));
  Perform(
    aRouter,
    router.mController->HandleConfiguration(mConfiguration, Local(aRouter)));
  // Start the periodic work of the routers at different times.
  Schedule(duration(Random(20'000)), [=, this] { Tick(aRouter, startCount); });
  Schedule(duration(Random(100'000)), [=, this] { Poll(aRouter, startCount); });
  Schedule(duration(Random(50'000)),
           [=, this] { Heartbeat(aRouter, startCount); });
}

inline void ownership_simulation::Tick(size_t aRouter, uint64_t aStartCount)
{
  fake_router& router = mRouters[aRouter];
  if (!router.mController || router.mStartCount != aStartCount) {
    return;
  }
  if (!router.mIsPaused) {
    Perform(aRouter, router.mController->Tick(Local(aRouter), wall_time(1s)));
    CheckRouting(aRouter);
  }
  Schedule(mSettings.mTick, [=, this] { Tick(aRouter, aStartCount); });
}

inline void ownership_simulation::Heartbeat(size_t aRouter,
                                            uint64_t aStartCount)
{
  fake_router& router = mRouters[aRouter];
  if (!router.mController || router.mStartCount != aStartCount) {
    return;
  }
  if (!router.mIsPaused) {
    for (size_t i = 0; i < mRouters.size(); ++i) {
      if (i == aRouter) {
        continue;
      }
      Send(aRouter, i, [=, this, identity = router.mIdentity] {
        mRouters[i].mLastHeartbeats[aRouter] = { identity, mNow };
      });
    }
    UpdateRouterView(aRouter);
  }
  Schedule(200ms, [=, this] { Heartbeat(aRouter, aStartCount); });
}

inline void ownership_simulation::UpdateRouterView(size_t aRouter)
{
  fake_router& router = mRouters[aRouter];
  router_view view;
  view.mLiveRouters.push_back(router.mIdentity);
  for (const auto& [index, heard] : router.mLastHeartbeats) {
    if (mNow - heard.second < 1500ms && mRouters[index].mIsListed) {
      view.mLiveRouters.push_back(heard.first);
    }
  }
  for (const fake_router& other : mRouters) {
    if (other.mIsListed) {
      view.mListedVms.insert(other.mIdentity.mVm.mName);
    }
  }
  if (view != router.mView) {
    router.mView = view;
    Perform(aRouter, router.mController->HandleRouters(view, Local(aRouter)));
  }
}

inline void ownership_simulation::PauseRouter(size_t aRouter, duration aTime)
{
  fake_router& router = mRouters[aRouter];
  if (router.mIsPaused || !router.mController) {
    return;
  }
  router.mIsPaused = true;
  Schedule(aTime, [=, this] {
    mRouters[aRouter].mIsPaused = false;
    std::vector<std::function<void()>> backlog;
    backlog.swap(mRouters[aRouter].mBacklog);
    for (const auto& call : backlog) {
      call();
    }
  });
}

inline void ownership_simulation::RestartRouter(size_t aRouter, duration aTime)
{
  if (!mRouters[aRouter].mController) {
    return;
  }
  mRouters[aRouter].mController.reset();
  mRouters[aRouter].mBacklog.clear();
  Schedule(aTime, [=, this] { StartRouter(aRouter); });
}

inline void ownership_simulation::EndRouter(size_t aRouter)
{
  mRouters[aRouter].mController.reset();
  mRouters[aRouter].mBacklog.clear();
  Schedule(5s, [=, this] { mRouters[aRouter].mIsListed = false; });
}

inline void ownership_simulation::FreezeTarget(size_t aTarget, duration aTime)
{
  if (mTargets[aTarget].mIsFrozen) {
    return;
  }
  mTargets[aTarget].mIsFrozen = true;
  Schedule(aTime, [=, this] {
    mTargets[aTarget].mIsFrozen = false;
    std::vector<std::function<void()>> backlog;
    backlog.swap(mTargetBacklogs[aTarget]);
    for (auto& call : backlog) {
      RunOnTarget(aTarget, std::move(call));
    }
  });
}

inline void ownership_simulation::EndTarget(size_t aTarget)
{
  mTargets[aTarget].mIsDown = true;
  mTargets[aTarget].mGrantLists.clear();
  mTargetBacklogs[aTarget].clear();
  for (auto& [slot, covered] : mCoverage) {
    if (covered.mTarget == aTarget) {
      covered.mUntil = std::min(covered.mUntil, mNow);
    }
  }
}

inline void ownership_simulation::RestartTarget(size_t aTarget, duration aTime)
{
  if (mTargets[aTarget].mIsDown) {
    return;
  }
  EndTarget(aTarget);
  Schedule(aTime, [=, this] {
    mTargets[aTarget].mIsDown = false;
    ++mTargets[aTarget].mBoot;
  });
}

inline void ownership_simulation::Cut(size_t aFrom, size_t aTo, duration aTime)
{
  mCuts[{ aFrom, aTo }] = mNow + aTime;
}

inline bool ownership_simulation::IsCut(size_t aFrom, size_t aTo) const
{
  const auto cut = mCuts.find({ aFrom, aTo });
  return cut != mCuts.end() && mNow < cut->second;
}

inline void ownership_simulation::PlanMove(const planned_move& aMove)
{
  for (size_t i = 0; i < mRouters.size(); ++i) {
    RunOnRouter(i, mRouters[i].mStartCount, [=, this] {
      Perform(i,
              mRouters[i].mController->HandlePlannedMoves({ aMove }, Local(i)));
    });
  }
}

inline void ownership_simulation::SetConfiguration(configuration aConfiguration)
{
  mConfiguration =
    std::make_shared<const configuration>(std::move(aConfiguration));
  // Routers receive the configuration at different times.
  for (size_t i = 0; i < mRouters.size(); ++i) {
    Schedule(duration(Random(500'000)), [=, this, config = mConfiguration] {
      RunOnRouter(i, mRouters[i].mStartCount, [=, this] {
        Perform(i,
                mRouters[i].mController->HandleConfiguration(config, Local(i)));
      });
    });
  }
}

} // namespace parsleystair
