#pragma once

#include "UnitTests/Gateway/SimulatedRouter.h"

#include <deque>
#include <memory>

namespace parsleystair {

struct leadership_world_settings
{
  size_t mRouters = 5;
  size_t mTargets = 6;
  /// See `ownership_oracle`.
  bool mChecksRestarts = false;
  simulated_router_settings mRouter;
};

/// Simulates routers with their elections and range controllers, targets, the
/// store, and a network in which each pair of them has its own path. Throws
/// `ownership_violation` when two running targets hold a sample key, or when a
/// key changes its owner without a higher fence.
class leadership_simulation : private simulated_network
{
public:
  leadership_simulation(uint64_t aSeed,
                        const leadership_world_settings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSeed)
    , mOracle(aSettings.mChecksRestarts)
  {
    for (size_t i = 0; i < aSettings.mTargets; ++i) {
      mTargets.push_back(std::make_unique<simulated_target>(
        i, mEvents, mRandom.Below(1'000'000)));
    }
    for (size_t i = 0; i < aSettings.mRouters; ++i) {
      AddRouter();
    }
    CopyStore();
  }
  leadership_simulation(const leadership_simulation&) = delete;
  leadership_simulation& operator=(const leadership_simulation&) = delete;

  void Run(duration aTime)
  {
    try {
      mEvents.RunUntil(mEvents.Now() + aTime);
    } catch (const ownership_violation& violation) {
      std::string text = TimeText() + violation.what();
      for (const std::string& line : mTrace) {
        text += "\n  " + line;
      }
      throw ownership_violation(text);
    }
  }

  // Faults for random runs. Arguments may have any value: each is reduced
  // modulo the number of targets or routers, or modulo its upper bound.

  void Wait(uint32_t aTime, uint32_t /*aUnused*/)
  {
    Run(duration(1ms) * (aTime % 2500));
  }

  void Load(uint32_t aKey, uint32_t aCount)
  {
    key_counts counts;
    for (uint32_t i = 0; i < 20; ++i) {
      counts[key_load::BucketOf((aKey + i * 8) % (kMaxKeyNumber + 1))] =
        aCount % 20;
    }
    for (router_place& each : mRouters) {
      if (each.mProcess) {
        each.mProcess->HandleLoad({ counts, {} });
      }
    }
  }

  /// The process ends and restarts at its address, or another machine replaces
  /// it at another address.
  void KillRouter(uint32_t aRouter, uint32_t aChoice)
  {
    constexpr uint32_t kLostForGood = 4;
    const size_t router = ChooseRouter(aRouter);
    const duration delay = duration(1ms) * (100 + aChoice / 8 % 3000);
    if (aChoice % kLostForGood == 0) {
      EndRouter(router);
      mEvents.Schedule(Now() + delay, [this] { AddRouter(); });
    } else {
      RestartRouter(router, delay);
    }
  }

  /// The process takes no steps for a time, and then continues with its old
  /// state.
  void PauseRouter(uint32_t aRouter, uint32_t aMilliseconds)
  {
    const size_t router = ChooseRouter(aRouter);
    router_place& each = mRouters[router];
    each.mPausedUntil = Now() + duration(1ms) * (aMilliseconds % 14'000);
    TraceFault("pauses " + SimulatedHost(router), each.mPausedUntil);
  }

  /// The store refuses all or most calls of the router.
  void TurnRouterAway(uint32_t aRouter, uint32_t aMilliseconds)
  {
    const size_t router = ChooseRouter(aRouter);
    router_place& each = mRouters[router];
    each.mTurnedAwayUntil = Now() + duration(1ms) * (aMilliseconds % 10'000);
    each.mTurnedAwayPercent =
      aMilliseconds / 16 % 2 == 0 ? 100 : 50 + aMilliseconds / 32 % 45;

    TraceFault("turns away " + SimulatedHost(router), each.mTurnedAwayUntil);
  }

  /// Cuts the leader from the store and from all routers, and a target from
  /// all routers but the leader. The leases may expire before.
  void IsolateLeaderWithTarget(uint32_t aTarget, uint32_t aMilliseconds)
  {
    KeepTargetWithLeader(aTarget, 13'999);
    if (aTarget / 64 % 3 == 0) {
      mStore.ExpireLeases(time_point::max());
    }
    Isolate(mLastLeader, duration(1ms) * (5000 + aMilliseconds % 7000));
  }

  /// Refuses most calls of the leader, delays its watches, and cuts it from all
  /// routers. Some of its calls reach the store after another router leads.
  void StrandLeader(uint32_t aTarget, uint32_t aMilliseconds)
  {
    KeepTargetWithLeader(aTarget, 13'999);
    const duration time = duration(1ms) * (4000 + aMilliseconds % 8000);
    CutFromRouters(mLastLeader, time);
    router_place& each = mRouters[mLastLeader];
    each.mTurnedAwayUntil = Now() + time;
    each.mTurnedAwayPercent = 40 + aMilliseconds / 64 % 55;
    each.mWatchDelay = duration(1ms) * (aTarget / 64 % 10'000);
    each.mWatchesSlowUntil = Now() + time;
  }

  /// The leader's process ends, and routers learn late that they are elected.
  void DelayElectionNews(uint32_t aTarget, uint32_t aMilliseconds)
  {
    CutTarget(aTarget, 13'999);
    LoseResponses(59, aMilliseconds);
    EndRouter(ChooseRouter(0));
    mEvents.Schedule(Now() + 3s,
                     [this, router = mLastLeader] { StartRouter(router); });
    for (router_place& each : mRouters) {
      if (mRandom.Percent(60)) {
        each.mWatchDelay = mRandom.Between(1s, 9s);
        each.mWatchesSlowUntil = Now() + 10s;
      }
    }
  }

  /// Cuts a router from the store and from all routers, but from no target.
  void IsolateRouter(uint32_t aRouter, uint32_t aMilliseconds)
  {
    Isolate(ChooseRouter(aRouter), duration(1ms) * (aMilliseconds % 12'000));
  }

  void CutRouters(uint32_t aPair, uint32_t aMilliseconds)
  {
    const size_t count = mRouters.size();
    CutPath(RouterNode(aPair % count),
            RouterNode(aPair / count % count),
            duration(1ms) * (aMilliseconds % 9000));
  }

  /// Cuts a target from some routers, while others reach it.
  void CutTarget(uint32_t aTarget, uint32_t aChoice)
  {
    const size_t target = aTarget % mTargets.size();
    const duration time = duration(1ms) * (aChoice % 14'000);
    const uint64_t percent = 30 + aTarget / 64 % 60;
    for (size_t i = 0; i < mRouters.size(); ++i) {
      if (mRandom.Percent(percent)) {
        CutPath(RouterNode(i), TargetNode(target), time);
      }
    }
  }

  /// Cuts a target from all routers but the present leader.
  void KeepTargetWithLeader(uint32_t aTarget, uint32_t aMilliseconds)
  {
    const size_t target = aTarget % mTargets.size();
    const size_t leader = ChooseRouter(0);
    for (size_t i = 0; i < mRouters.size(); ++i) {
      if (i != leader) {
        CutPath(RouterNode(i),
                TargetNode(target),
                duration(1ms) * (aMilliseconds % 14'000));
      }
    }
  }

  void SlowWatches(uint32_t aRouter, uint32_t aMilliseconds)
  {
    const size_t router = ChooseRouter(aRouter);
    router_place& each = mRouters[router];
    each.mWatchDelay = duration(1ms) * (aMilliseconds % 10'000);
    each.mWatchesSlowUntil = Now() + 12s;
    TraceFault("slows watches of " + SimulatedHost(router),
               each.mWatchesSlowUntil);
  }

  /// The store doesn't respond for a time; leases pause, go on or expire.
  void StopStore(uint32_t aMilliseconds, uint32_t aChoice)
  {
    if (Now() < mStoreDownUntil) {
      return;
    }
    const bool isShort = aChoice % 2 == 0;
    const duration time =
      duration(1ms) * (aMilliseconds % (isShort ? 300 : 6000));
    mStoreDownUntil = Now() + time;
    const uint32_t leases = aChoice / 2 % 3;
    if (leases == 0) {
      mStore.PauseLeases(time);
    } else if (leases == 1) {
      mStore.ExpireLeases(time_point::max());
    }

    TraceFault("stops the store", mStoreDownUntil);
  }

  /// The store comes back from a copy of some seconds before, possibly after an
  /// outage.
  void RestoreStore(uint32_t aCopy, uint32_t aMilliseconds)
  {
    if (Now() < mStoreDownUntil) {
      return;
    }
    const simulated_store copy = mCopies[aCopy % mCopies.size()];
    mStoreDownUntil = Now() + duration(1ms) * (aMilliseconds % 3000);
    const bool renewsLeases = aMilliseconds / 4 % 2 == 0;
    mEvents.Schedule(mStoreDownUntil, [this, copy, renewsLeases] {
      mStore.Restore(copy, renewsLeases, Now());
      mCopies.clear();
      mCopies.push_back(mStore);
      Trace("restores the store");
    });
    TraceFault("stops the store for a restore", mStoreDownUntil);
  }

  /// The leader's process ends while the store comes back from a copy.
  void RestoreStoreWithoutLeader(uint32_t aCopy, uint32_t aMilliseconds)
  {
    RestoreStore(aCopy, aMilliseconds);
    RestartRouter(ChooseRouter(0), duration(1ms) * (aMilliseconds / 8 % 9000));
  }

  /// The leader is cut off with a target, and the store comes back from a copy
  /// from before its last changes.
  void RestoreStoreOfIsolatedLeader(uint32_t aTarget, uint32_t aMilliseconds)
  {
    IsolateLeaderWithTarget(aTarget, aMilliseconds);
    RestoreStore(aTarget / 64, aMilliseconds / 64);
  }

  void LoseResponses(uint32_t aPercent, uint32_t aMilliseconds)
  {
    mLostPercent = aPercent % 60;
    mResponsesLostUntil = Now() + duration(1ms) * (aMilliseconds % 5000);
    TraceFault("loses responses", mResponsesLostUntil);
  }

  /// The store executes some calls seconds later, without a response.
  void DelayStoreCalls(uint32_t aPercent, uint32_t aMilliseconds)
  {
    mDelayedPercent = aPercent % 40;
    mCallsDelayedUntil = Now() + duration(1ms) * (aMilliseconds % 5000);
    TraceFault("delays calls of the store", mCallsDelayedUntil);
  }

  void SlowNetwork(uint32_t aPercent, uint32_t aMilliseconds)
  {
    mSlowPercent = aPercent % 60;
    mSlowUntil = Now() + duration(1ms) * (aMilliseconds % 6000);
    TraceFault("slows the network", mSlowUntil);
  }

  /// Bytes to a target wait in the queue of an overloaded link.
  void OverloadLink(uint32_t aTarget, uint32_t aMilliseconds)
  {
    const size_t target = aTarget % mTargets.size();
    mLinkOverloadedUntil[target] =
      Now() + duration(1ms) * (aMilliseconds % 5000);
    TraceFault("overloads the link of t" + std::to_string(target),
               mLinkOverloadedUntil[target]);
  }

  void CrashTarget(uint32_t aTarget, uint32_t aMilliseconds)
  {
    const size_t target = aTarget % mTargets.size();
    EndTarget(target);
    const duration entryDelay = mRandom.Between(0ms, 20ms);
    mEvents.Schedule(
      Now() + duration(1ms) * (aMilliseconds % 8000),
      [this, target, entryDelay] { mTargets[target]->Restart(entryDelay); });
  }

  /// A target that closes its connections with its responses is replaced within
  /// a renewal, and the entry of the new process is late.
  void RestartUnseen(uint32_t aTarget, uint32_t aMilliseconds)
  {
    const size_t target = aTarget % mTargets.size();
    mTargets[target]->CloseAfterResponses(2s);
    const time_point end = Now() + mRandom.Between(900ms, 2s);
    const duration entryDelay = mRandom.Between(0ms, 6s);
    mEvents.Schedule(end, [this, target] { EndTarget(target); });
    mEvents.Schedule(
      end + duration(1ms) * (aMilliseconds % 700),
      [this, target, entryDelay] { mTargets[target]->Restart(entryDelay); });
  }

  void LoseEntry(uint32_t aTarget, uint32_t aMilliseconds)
  {
    RandomTarget(aTarget).LoseEntry(duration(1ms) * (aMilliseconds % 9000));
  }

  void DrainTarget(uint32_t aTarget, uint32_t /*aUnused*/)
  {
    RandomTarget(aTarget).SetDraining(!RandomTarget(aTarget).IsDraining());
  }

  void RefuseConnections(uint32_t aTarget, uint32_t aMilliseconds)
  {
    RandomTarget(aTarget).RefuseConnections(duration(1ms) *
                                            (aMilliseconds % 6000));
  }

  void RejectOrders(uint32_t aTarget, uint32_t aMilliseconds)
  {
    RandomTarget(aTarget).RejectOrders(duration(1ms) * (aMilliseconds % 3000));
  }

  void ApplyGrantsLate(uint32_t aTarget, uint32_t aMilliseconds)
  {
    RandomTarget(aTarget).ApplyGrantsLate(duration(1ms) *
                                          (aMilliseconds % 6000));
  }

  /// Ends all faults and runs until all keys can have an owner.
  void Settle()
  {
    for (auto& [cutPath, until] : mCutUntil) {
      until = std::min(until, Now());
    }
    for (router_place& each : mRouters) {
      each.mPausedUntil = std::min(each.mPausedUntil, Now());
      each.mTurnedAwayUntil = each.mWatchesSlowUntil = Now();
    }
    for (auto& target : mTargets) {
      target->EndFaults();
      target->Restart(0ms);
    }
    mLinkOverloadedUntil.clear();
    mStoreDownUntil = mResponsesLostUntil = mCallsDelayedUntil = mSlowUntil =
      Now();
    Run(25s);
  }

  // Single faults, for measurements.

  /// Router whose entry is in the leader key.
  [[nodiscard]] std::optional<size_t> Leader()
  {
    mStore.ExpireLeases(Now());
    const auto item = mStore.Find(NameInEra(kSimulatedLeaderKey, mStore.Era()));
    if (!item) {
      return std::nullopt;
    }
    const leader_entry entry = DecodeLeaderEntry(item->mValue);
    for (size_t i = 0; i < mRouters.size(); ++i) {
      if (SimulatedHost(i) == entry.mHost) {
        return i;
      }
    }
    return std::nullopt;
  }

  void EndRouter(size_t aRouter)
  {
    router_place& each = mRouters[aRouter];
    if (each.mProcess) {
      Trace("ends " + SimulatedHost(aRouter));
      mEndedProcesses.push_back(std::move(each.mProcess));
    }
  }

  void RestartRouter(size_t aRouter, duration aDelay)
  {
    EndRouter(aRouter);
    mEvents.Schedule(Now() + aDelay, [this, aRouter] { StartRouter(aRouter); });
  }

  void Isolate(size_t aRouter, duration aTime)
  {
    CutFromRouters(aRouter, aTime);
    CutPath(RouterNode(aRouter), kStoreNode, aTime);
  }

  void EndTarget(size_t aTarget)
  {
    Trace("ends t" + std::to_string(aTarget));
    mTargets[aTarget]->Crash(mOracle);
  }

  /// Sample keys that a target holds.
  [[nodiscard]] std::vector<uint32_t> SamplesOf(size_t aTarget) const
  {
    std::vector<uint32_t> samples;
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (mTargets[aTarget]->Holds(sample)) {
        samples.push_back(sample);
      }
    }
    return samples;
  }

  [[nodiscard]] bool IsHeld(uint32_t aSample) const
  {
    return std::any_of(
      mTargets.begin(), mTargets.end(), [&](const auto& aTarget) {
        return aTarget->Holds(aSample);
      });
  }

  [[nodiscard]] size_t UnheldSamples() const
  {
    size_t count = 0;
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      count += IsHeld(sample) ? 0 : 1;
    }
    return count;
  }

  /// Terms in which a router has led so far.
  [[nodiscard]] uint64_t Terms() const
  {
    const auto item = mStore.Find(NameInEra(kSimulatedTermsKey, mStore.Era()));
    return item ? DecodeLeaderTerms(item->mValue).mNext.Value() - 1 : 0;
  }

  /// Depends on all events of the run so far.
  [[nodiscard]] size_t Digest() const { return mDigest; }

private:
  /// A machine with one address; it may have no running process.
  struct router_place
  {
    std::shared_ptr<simulated_router> mProcess;
    uint64_t mRun = 0;
    time_point mPausedUntil = time_point::min();
    time_point mTurnedAwayUntil = time_point::min();
    uint64_t mTurnedAwayPercent = 100;
    duration mWatchDelay{};
    time_point mWatchesSlowUntil = time_point::min();
  };

  using node = size_t;
  using path = std::pair<node, node>;
  static constexpr node kStoreNode = 0;
  static constexpr duration kStoreTimeout = 1s;
  static constexpr duration kExcusedTime = 300ms;
  static constexpr size_t kMaxTraceLines = 120;

  static node RouterNode(size_t aRouter) { return 1 + 2 * aRouter; }
  static node TargetNode(size_t aTarget) { return 2 + 2 * aTarget; }
  static path PathOf(node aLeft, node aRight)
  {
    return std::minmax(aLeft, aRight);
  }

  /// Half of the choices select the last elected leader.
  size_t ChooseRouter(uint32_t aChoice)
  {
    mLastLeader = Leader().value_or(mLastLeader);
    return aChoice % 2 == 0 ? mLastLeader : aChoice / 2 % mRouters.size();
  }

  simulated_target& RandomTarget(uint32_t aChoice)
  {
    return *mTargets[aChoice % mTargets.size()];
  }

  /// Keeps copies of the store from the last seconds.
  void CopyStore()
  {
    constexpr size_t kMaxCopies = 24;
    mCopies.push_back(mStore);
    if (mCopies.size() > kMaxCopies) {
      mCopies.pop_front();
    }
    mEvents.Schedule(Now() + 400ms, [this] { CopyStore(); });
  }

  void AddRouter()
  {
    mRouters.emplace_back();
    StartRouter(mRouters.size() - 1);
  }

  void StartRouter(size_t aRouter)
  {
    router_place& each = mRouters[aRouter];
    if (each.mProcess) {
      return;
    }
    each.mRun = ++mRuns;
    each.mPausedUntil = time_point::min();
    each.mProcess = std::make_shared<simulated_router>(
      static_cast<simulated_network&>(*this),
      router_run{ aRouter, each.mRun },
      mSettings.mRouter,
      mOracle,
      [this](simulated_store&) { return TargetEntries(); });
    Trace("starts " + SimulatedHost(aRouter) + "/" + std::to_string(each.mRun));
    const auto process = each.mProcess;
    RunAt({ aRouter, each.mRun },
          Now() + mRandom.Between(0ms, 100ms),
          [process] { process->Start(); });
  }

  [[nodiscard]] std::vector<discovered_target> TargetEntries() const
  {
    std::vector<discovered_target> entries;
    for (const auto& target : mTargets) {
      if (const auto entry = target->Entry()) {
        entries.push_back(*entry);
      }
    }
    return entries;
  }

  void CutFromRouters(size_t aRouter, duration aTime)
  {
    for (size_t i = 0; i < mRouters.size(); ++i) {
      mCutUntil[PathOf(RouterNode(aRouter), RouterNode(i))] = Now() + aTime;
    }
    TraceFault("cuts " + SimulatedHost(aRouter) + " from all routers",
               Now() + aTime);
  }

  void CutPath(node aLeft, node aRight, duration aTime)
  {
    time_point& until = mCutUntil[PathOf(aLeft, aRight)];
    until = Now() + aTime;
    TraceFault("cuts path " + NodeName(aLeft) + " " + NodeName(aRight), until);
  }

  static std::string NodeName(node aNode)
  {
    return aNode == kStoreNode ? "store"
           : aNode % 2 == 1    ? SimulatedHost((aNode - 1) / 2)
                               : "t" + std::to_string((aNode - 2) / 2);
  }

  [[nodiscard]] time_point CutUntil(node aLeft, node aRight) const
  {
    const auto found = mCutUntil.find(PathOf(aLeft, aRight));
    return found == mCutUntil.end() ? time_point::min() : found->second;
  }

  [[nodiscard]] bool IsPathUp(node aLeft, node aRight) const
  {
    return Now() >= CutUntil(aLeft, aRight);
  }

  duration Delay()
  {
    if (Now() < mSlowUntil && mRandom.Percent(mSlowPercent)) {
      return mRandom.Between(25ms, 550ms);
    }
    return mRandom.Between(1ms, 25ms);
  }

  // `simulated_network`

  [[nodiscard]] time_point Now() const override { return mEvents.Now(); }
  random_choices& Random() override { return mRandom; }

  void RunAt(const router_run& aRun,
             time_point aTime,
             std::function<void()> aEvent) override
  {
    mEvents.Schedule(aTime, [this, aRun, aEvent = std::move(aEvent)] {
      const router_place& each = mRouters[aRun.mRouter];
      if (!each.mProcess || each.mRun != aRun.mRun) {
        return;
      }
      if (Now() < each.mPausedUntil) {
        RunAt(aRun, each.mPausedUntil, aEvent);
        return;
      }
      aEvent();
    });
  }

  void CallStore(const router_run& aRun,
                 store_call aCall,
                 std::function<void(call_outcome)> aFailed) override
  {
    const time_point sent = Now();
    const auto fail = [this, aRun, aFailed](call_outcome aOutcome,
                                            time_point aTime) {
      RunAt(aRun, aTime, [aFailed, aOutcome] { aFailed(aOutcome); });
    };
    mEvents.Schedule(sent + Delay(), [this, aRun, aCall, fail, sent] {
      const node from = RouterNode(aRun.mRouter);
      const bool isDown = Now() < mStoreDownUntil;
      const router_place& caller = mRouters[aRun.mRouter];
      const bool isTurnedAway = Now() < caller.mTurnedAwayUntil &&
                                mRandom.Percent(caller.mTurnedAwayPercent);
      if (!IsPathUp(from, kStoreNode)) {
        fail(call_outcome::kUnknown, sent + kStoreTimeout);
        return;
      }
      if (isDown || isTurnedAway) {
        const bool refused = mRandom.Percent(50);
        fail(refused ? call_outcome::kRefused : call_outcome::kUnknown,
             refused ? Now() + Delay() : sent + kStoreTimeout);
        return;
      }
      if (Now() < mCallsDelayedUntil && mRandom.Percent(mDelayedPercent)) {
        mEvents.Schedule(Now() + mRandom.Between(50ms, 5s), [this, aCall] {
          if (Now() >= mStoreDownUntil) {
            mStore.ExpireLeases(Now());
            aCall(mStore);
          }
        });
        fail(call_outcome::kUnknown, sent + kStoreTimeout);
        return;
      }
      mStore.ExpireLeases(Now());
      const std::function<void()> reply = aCall(mStore);
      const time_point replyAt = Now() + Delay();
      if (IsResponseLost() || replyAt >= sent + kStoreTimeout) {
        // A reset connection ends the call immediately.
        const bool isReset = mRandom.Percent(50);
        fail(call_outcome::kUnknown, isReset ? Now() : sent + kStoreTimeout);
        return;
      }
      RunAt(aRun, replyAt, reply);
    });
  }

  [[nodiscard]] duration WatchDelay(const router_run& aRun) override
  {
    const router_place& each = mRouters[aRun.mRouter];
    return Now() < each.mWatchesSlowUntil ? each.mWatchDelay : 0ms;
  }

  [[nodiscard]] std::vector<std::string> RouterList(
    const router_run& aRun) override
  {
    std::vector<std::string> hosts;
    const auto leader = Leader();
    if (!leader || !mRouters[*leader].mProcess ||
        !IsPathUp(RouterNode(aRun.mRouter), RouterNode(*leader))) {
      return hosts;
    }
    for (size_t i = 0; i < mRouters.size(); ++i) {
      if (mRouters[i].mProcess &&
          IsPathUp(RouterNode(i), RouterNode(*leader))) {
        hosts.push_back(SimulatedHost(i));
      }
    }
    return hosts;
  }

  void CallRouter(const router_run& aRun,
                  const std::string& aHost,
                  duration aTimeout,
                  std::function<void(simulated_router&)> aCall,
                  std::function<void(bool)> aResult) override
  {
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, aRun, ended, aResult](bool aAnswered,
                                                  time_point aTime) {
      RunAt(aRun, aTime, [ended, aResult, aAnswered] {
        if (!std::exchange(*ended, true)) {
          aResult(aAnswered);
        }
      });
    };
    end(false, Now() + aTimeout);
    size_t to = 0;
    while (to < mRouters.size() && SimulatedHost(to) != aHost) {
      ++to;
    }
    if (to == mRouters.size()) {
      return;
    }
    mEvents.Schedule(Now() + 2 * Delay(), [this, aRun, to, aCall, end] {
      router_place& callee = mRouters[to];
      if (!IsPathUp(RouterNode(aRun.mRouter), RouterNode(to)) ||
          !callee.mProcess) {
        return;
      }
      RunAt({ to, callee.mRun }, Now(), [this, aRun, to, aCall, end] {
        aCall(*mRouters[to].mProcess);
        if (IsPathUp(RouterNode(aRun.mRouter), RouterNode(to)) &&
            !IsResponseLost()) {
          end(true, Now() + Delay());
        }
      });
    });
  }

  void SendOnTargetPath(size_t aRouter,
                        size_t aTarget,
                        duration aMaxDelay,
                        std::function<void()> aArrival) override
  {
    const time_point latest = Now() + aMaxDelay;
    const bool isOverloaded = Now() < mLinkOverloadedUntil[aTarget];
    const duration delay = std::min(
      isOverloaded ? mRandom.Between(25ms, 4500ms) : Delay(), aMaxDelay);
    mEvents.Schedule(Now() + delay,
                     [this, aRouter, aTarget, latest, delay, aArrival] {
                       const time_point until =
                         CutUntil(RouterNode(aRouter), TargetNode(aTarget));
                       if (Now() >= until) {
                         aArrival();
                       } else if (until + delay <= latest) {
                         mEvents.Schedule(until + delay, aArrival);
                       }
                     });
  }

  [[nodiscard]] bool IsTargetPathUp(size_t aRouter,
                                    size_t aTarget) const override
  {
    return IsPathUp(RouterNode(aRouter), TargetNode(aTarget));
  }

  simulated_target& Target(size_t aTarget) override
  {
    return *mTargets[aTarget];
  }

  [[nodiscard]] bool IsExcused(size_t aRouter, size_t aTarget) const override
  {
    const auto recovered = [&](time_point aUntil) {
      return aUntil <= Now() && aUntil != time_point::min() &&
             Now() - aUntil <= kExcusedTime;
    };
    return recovered(mRouters[aRouter].mPausedUntil) ||
           recovered(CutUntil(RouterNode(aRouter), TargetNode(aTarget)));
  }

  [[nodiscard]] bool IsResponseLost() override
  {
    return Now() < mResponsesLostUntil && mRandom.Percent(mLostPercent);
  }

  void Trace(std::string aLine) override
  {
    mTrace.push_back(TimeText() + std::move(aLine));
    mDigest = mDigest * 31 + std::hash<std::string>()(mTrace.back());
    if (mTrace.size() > kMaxTraceLines) {
      mTrace.pop_front();
    }
  }

  void TraceFault(const std::string& aFault, time_point aUntil)
  {
    Trace(aFault + " for " + std::to_string((aUntil - Now()) / 1ms) + " ms");
  }

  [[nodiscard]] std::string TimeText() const
  {
    return std::to_string((Now() - time_point(1h)) / 1ms) + " ms: ";
  }

  leadership_world_settings mSettings;
  random_choices mRandom;
  simulated_events mEvents;
  simulated_store mStore;
  std::deque<simulated_store> mCopies;
  ownership_oracle mOracle;
  std::vector<std::unique_ptr<simulated_target>> mTargets;
  std::vector<router_place> mRouters;
  /// Events that refer to an ended process may be pending.
  std::vector<std::shared_ptr<simulated_router>> mEndedProcesses;
  uint64_t mRuns = 0;
  size_t mLastLeader = 0;
  std::map<path, time_point> mCutUntil;
  time_point mStoreDownUntil = time_point::min();
  time_point mResponsesLostUntil = time_point::min();
  uint64_t mLostPercent = 0;
  time_point mCallsDelayedUntil = time_point::min();
  uint64_t mDelayedPercent = 0;
  time_point mSlowUntil = time_point::min();
  uint64_t mSlowPercent = 0;
  std::map<size_t, time_point> mLinkOverloadedUntil;
  std::deque<std::string> mTrace;
  size_t mDigest = 0;
};

} // namespace parsleystair
