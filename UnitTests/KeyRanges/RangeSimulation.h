#pragma once

#include "Parsleystair/KeyRanges/RangeController.h"
#include "RangeTarget.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace parsleystair {

/// Simulates three routers, five targets, a store and a network with delays.
/// Checks after each step that no sample key is held by two running targets,
/// and that the fence rises with each change of owner.
class range_simulation
{
public:
  static constexpr size_t kRouters = 3;
  static constexpr size_t kTargets = 5;
  static constexpr duration kStepTime = 20ms;
  /// Time between a router's reads of the targets' entries.
  static constexpr duration kDiscoveryInterval = 100ms;
  static constexpr duration kCallTimeout = 600ms;

  explicit range_simulation(uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (size_t i = 0; i < kTargets; ++i) {
      mTargets[i].mStartedMs = i + 1;
    }
    for (router& each : mRouters) {
      each.mController = std::make_unique<range_controller>(mSettings);
    }
  }

  void Run(duration aTime)
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      Step();
    }
  }

  // Faults and other actions. Arguments may have any value: each is reduced
  // modulo the number of targets or routers, or modulo its upper bound.

  void CrashTarget(uint32_t aTarget, uint32_t aMilliseconds)
  {
    target& each = mTargets[aTarget % kTargets];
    each.mUp = false;
    each.mKeys = {};
    each.mRestartAt = mNow + duration(1ms) * (aMilliseconds % 8000);
    each.mEntryExpiresAt = mNow + 2600ms;
  }

  void PartitionTarget(uint32_t aTarget, uint32_t aMilliseconds)
  {
    target& each = mTargets[aTarget % kTargets];
    each.mPartitionedUntil = mNow + duration(1ms) * (aMilliseconds % 8000);
  }

  /// The target's entry is missing for a time while the target keeps running.
  void LoseEntry(uint32_t aTarget, uint32_t aMilliseconds)
  {
    target& each = mTargets[aTarget % kTargets];
    each.mEntryMissingUntil = mNow + duration(1ms) * (aMilliseconds % 9000);
  }

  void DrainTarget(uint32_t aTarget, uint32_t /*aMilliseconds*/)
  {
    target& each = mTargets[aTarget % kTargets];
    each.mDraining = !each.mDraining;
  }

  void EvacuateTarget(uint32_t aTarget, uint32_t /*aMilliseconds*/)
  {
    target& each = mTargets[aTarget % kTargets];
    each.mEvacuated = !each.mEvacuated;
  }

  /// The router's calls to the store fail for a time. If it leads, its lease
  /// may expire.
  void PartitionRouterFromStore(uint32_t aRouter, uint32_t aMilliseconds)
  {
    mRouters[aRouter % kRouters].mStoreUnreachableUntil =
      mNow + duration(1ms) * (aMilliseconds % 14'000);
  }

  /// The router takes no steps and receives no results for a time, and then
  /// continues with its old state.
  void PauseRouter(uint32_t aRouter, uint32_t aMilliseconds)
  {
    mRouters[aRouter % kRouters].mPausedUntil =
      mNow + duration(1ms) * (aMilliseconds % 20'000);
  }

  /// The target resets new connections; open connections remain usable.
  void RefuseConnections(uint32_t aTarget, uint32_t aMilliseconds)
  {
    mTargets[aTarget % kTargets].mRefusesUntil =
      mNow + duration(1ms) * (aMilliseconds % 9000);
  }

  void LoseResponses(uint32_t aPercent, uint32_t aMilliseconds)
  {
    mLostPercent = aPercent % 60;
    mResponsesLostUntil = mNow + duration(1ms) * (aMilliseconds % 6000);
  }

  /// Orders to a target wait in the queue of an overloaded link.
  void OverloadLink(uint32_t aTarget, uint32_t aMilliseconds)
  {
    mTargets[aTarget % kTargets].mLinkOverloadedUntil =
      mNow + duration(1ms) * (aMilliseconds % 5000);
  }

  void Load(uint32_t aKey, uint32_t aCount)
  {
    key_counts counts;
    for (uint32_t i = 0; i < 20; ++i) {
      counts[key_load::BucketOf((aKey + i * 8) % (kMaxKeyNumber + 1))] =
        aCount % 20;
    }
    for (router& each : mRouters) {
      each.mController->HandleLoad({ counts, {} }, mNow);
    }
  }

  void Wait(uint32_t aTime, uint32_t /*aUnused*/)
  {
    Run(duration(1ms) * (aTime % 3000));
  }

  /// Ends the faults and runs for 25 s, so that all keys get an owner. Refusal
  /// of connections is not ended here; it ends by itself within 9 s.
  void Settle()
  {
    for (target& each : mTargets) {
      each.mPartitionedUntil = mNow;
      each.mLinkOverloadedUntil = mNow;
      each.mEntryMissingUntil = mNow;
      each.mRestartAt = std::min(each.mRestartAt, mNow);
      each.mDraining = false;
      each.mEvacuated = false;
    }
    for (router& each : mRouters) {
      each.mPausedUntil = mNow;
      each.mStoreUnreachableUntil = mNow;
    }
    mResponsesLostUntil = mNow;
    Run(25s);
  }

  [[nodiscard]] size_t UnownedSamples() const
  {
    size_t count = 0;
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      count += Holders(sample).empty() ? 1 : 0;
    }
    return count;
  }

private:
  struct target
  {
    bool mUp = true;
    bool mDraining = false;
    bool mEvacuated = false;
    uint64_t mStartedMs = 0;
    time_point mRestartAt = time_point::min();
    time_point mPartitionedUntil = time_point::min();
    time_point mEntryMissingUntil = time_point::min();
    time_point mRefusesUntil = time_point::min();
    time_point mLinkOverloadedUntil = time_point::min();
    time_point mEntryExpiresAt = time_point::max();
    range_target mKeys;
  };

  struct router
  {
    std::unique_ptr<range_controller> mController;
    time_point mStoreUnreachableUntil = time_point::min();
    time_point mPausedUntil = time_point::min();
    time_point mNextRenewal = time_point::min();
    time_point mNextDiscovery = time_point::min();
    uint64_t mSeenRevision = 0;
    bool mLeading = false;
    uint64_t mLeaderRevision = 0;
    /// Start time of the target incarnation to which the connection for grant
    /// orders was opened; 0 if it was never opened.
    std::array<uint64_t, kTargets> mConnectedStartMs{};
    std::array<time_point, kTargets> mConnectionBrokenAt{};
  };

  struct event
  {
    time_point mAt;
    std::function<void()> mRun;
  };

  static target_name NameOf(size_t aTarget)
  {
    return target_name("t" + std::to_string(aTarget));
  }

  [[nodiscard]] std::vector<size_t> Holders(uint32_t aSample) const
  {
    std::vector<size_t> holders;
    for (size_t i = 0; i < kTargets; ++i) {
      if (mTargets[i].mKeys.HeldFence(aSample, mNow)) {
        holders.push_back(i);
      }
    }
    return holders;
  }

  bool IsResponseLost()
  {
    return mNow < mResponsesLostUntil && mRandom() % 100 < mLostPercent;
  }

  duration OrderDelay(const target& aTarget)
  {
    constexpr int64_t kMaxDelayMs = 4500;
    return mNow < aTarget.mLinkOverloadedUntil
             ? duration(1ms) *
                 (1 + static_cast<int64_t>(mRandom() >> 1) % kMaxDelayMs)
             : Delay();
  }

  duration Delay() { return duration(1ms) * (1 + mRandom() % 25); }

  void Schedule(time_point aTime, std::function<void()> aRun)
  {
    mEvents.push_back({ aTime, std::move(aRun) });
  }

  void Step()
  {
    mNow += kStepTime;
    RunEvents();
    StepTargets();
    StepLease();
    for (size_t i = 0; i < kRouters; ++i) {
      StepRouter(i);
    }
    CheckInvariants();
  }

  void RunEvents()
  {
    std::deque<event> due;
    std::deque<event> later;
    for (event& each : mEvents) {
      (each.mAt <= mNow ? due : later).push_back(std::move(each));
    }
    mEvents = std::move(later);
    for (event& each : due) {
      each.mRun();
    }
  }

  void StepTargets()
  {
    for (target& each : mTargets) {
      if (!each.mUp && mNow >= each.mRestartAt) {
        each.mUp = true;
        each.mStartedMs += kTargets;
        each.mEntryExpiresAt = time_point::max();
      }
    }
  }

  /// When the leader's lease has expired, gives it to a random router that is
  /// neither paused nor cut off from the store.
  void StepLease()
  {
    if (mLeader && mNow < mLeaseEnd) {
      return;
    }
    mLeader.reset();
    const size_t first = mRandom() % kRouters;
    for (size_t i = 0; i < kRouters; ++i) {
      router& each = mRouters[(first + i) % kRouters];
      if (mNow < each.mStoreUnreachableUntil || mNow < each.mPausedUntil) {
        continue;
      }
      mLeader = (first + i) % kRouters;
      mLeaderRevision = ++mRevision;
      mLeaseEnd = mNow + 1500ms;
      each.mLeading = true;
      each.mLeaderRevision = mLeaderRevision;
      each.mNextRenewal = mNow + 500ms;
      ReadRecord(each);
      each.mController->StartLeading(
        { term_number(mLeaderRevision), mNow, mNow });
      return;
    }
  }

  void ReadRecord(router& aRouter)
  {
    if (mRecordRevision > aRouter.mSeenRevision) {
      aRouter.mSeenRevision = mRecordRevision;
      aRouter.mController->HandleRecord(mRecord,
                                        store_revision(mRecordRevision));
    }
  }

  void StepRouter(size_t aRouter)
  {
    router& each = mRouters[aRouter];
    if (mNow < each.mPausedUntil) {
      return;
    }
    if (mNow >= each.mStoreUnreachableUntil) {
      StepStore(aRouter);
    }
    for (const range_action& action : each.mController->Step(mNow)) {
      std::visit([&](const auto& aAction) { Execute(aRouter, aAction); },
                 action);
    }
  }

  void StepStore(size_t aRouter)
  {
    router& each = mRouters[aRouter];
    ReadRecord(each);
    if (mNow >= each.mNextDiscovery) {
      each.mNextDiscovery = mNow + kDiscoveryInterval;
      UpdateTargets(each);
    }
    if (!each.mLeading || mNow < each.mNextRenewal) {
      return;
    }
    each.mNextRenewal = mNow + 500ms;
    if (mLeader == aRouter && each.mLeaderRevision == mLeaderRevision) {
      mLeaseEnd = mNow + 1500ms;
      each.mController->HandleLeadershipConfirmed(mNow);
      return;
    }
    each.mLeading = false;
    each.mController->StopLeading(mNow);
  }

  void UpdateTargets(router& aRouter)
  {
    std::vector<known_target> known;
    for (size_t i = 0; i < kTargets; ++i) {
      const target& each = mTargets[i];
      if (mNow < each.mEntryMissingUntil || mNow >= each.mEntryExpiresAt) {
        continue;
      }
      known_target entry;
      entry.mTarget.mName = NameOf(i);
      entry.mTarget.mHost = "10.0.0.1";
      entry.mTarget.mPort = static_cast<uint16_t>(i + 1);
      entry.mTarget.mConcurrency = 4;
      entry.mTarget.mDraining = each.mDraining;
      entry.mTarget.mStartedMs = each.mStartedMs;
      entry.mEvacuated = each.mEvacuated;
      known.push_back(entry);
    }
    std::vector<const known_target*> pointers;
    for (const known_target& each : known) {
      pointers.push_back(&each);
    }
    aRouter.mController->HandleTargets(pointers, mNow);
  }

  /// Delivers an order to a target and the result back to the router. A paused
  /// router receives the result when its pause ends.
  template<typename Handler, typename Callback>
  void DeliverOrder(size_t aRouter,
                    size_t aTarget,
                    Handler aHandler,
                    Callback aCallback)
  {
    const time_point sent = mNow;
    const bool lost = IsResponseLost();
    // An order is lost if its target restarts before the order arrives.
    const uint64_t startedMs = mTargets[aTarget].mStartedMs;
    const time_point arrival = mNow + OrderDelay(mTargets[aTarget]);
    const time_point timeout = sent + kCallTimeout;
    if (arrival > timeout) {
      DeliverResult(aRouter, timeout, [aCallback] {
        aCallback(order_result::kUnacknowledged);
      });
    }
    Schedule(
      arrival,
      [this, aRouter, aTarget, timeout, lost, startedMs, aHandler, aCallback] {
        target& to = mTargets[aTarget];
        const bool reached =
          to.mUp && mNow >= to.mPartitionedUntil && to.mStartedMs == startedMs;
        const order_result end =
          reached ? aHandler() : order_result::kUnacknowledged;
        if (mNow > timeout) {
          return;
        }
        const bool answered = reached && !lost;
        const time_point at = answered ? mNow + Delay() : timeout;
        const order_result seen = answered  ? end
                                  : reached ? order_result::kNoResponse
                                            : order_result::kUnacknowledged;
        DeliverResult(aRouter, at, [aCallback, seen] { aCallback(seen); });
      });
  }

  void DeliverResult(size_t aRouter,
                     time_point aAt,
                     const std::function<void()>& aCallback)
  {
    Schedule(aAt, [this, aRouter, aCallback] {
      const router& each = mRouters[aRouter];
      if (mNow < each.mPausedUntil) {
        DeliverResult(aRouter, each.mPausedUntil, aCallback);
        return;
      }
      aCallback();
    });
  }

  void Execute(size_t aRouter, const grant_order& aOrder)
  {
    const size_t to = aOrder.mAddress.mPort - 1u;
    // A persistent connection breaks when its target restarts. The next call
    // detects this before it sends anything.
    uint64_t& connected = mRouters[aRouter].mConnectedStartMs[to];
    if (connected == 0 && mNow < mTargets[to].mRefusesUntil) {
      DeliverResult(aRouter, mNow + kStepTime, [this, aRouter, aOrder] {
        mRouters[aRouter].mController->HandleGrantResult(
          aOrder.mId, order_result::kNoResponse, mNow);
      });
      return;
    }
    const uint64_t previous = std::exchange(connected, mTargets[to].mStartedMs);
    time_point& brokenAt = mRouters[aRouter].mConnectionBrokenAt[to];
    if (previous != 0 && previous != mTargets[to].mStartedMs) {
      brokenAt = mNow;
    }
    // Further orders of the same step are not sent either, because the
    // controller issued them before the break was detected.
    if (brokenAt == mNow) {
      DeliverResult(aRouter, mNow + kStepTime, [this, aRouter, aOrder] {
        mRouters[aRouter].mController->HandleGrantResult(
          aOrder.mId, order_result::kNotSent, mNow);
      });
      return;
    }
    DeliverOrder(
      aRouter,
      to,
      [this, to, aOrder] {
        return mTargets[to].mKeys.HandleGrant(aOrder, mNow);
      },
      [this, aRouter, aOrder](order_result aEnd) {
        mRouters[aRouter].mController->HandleGrantResult(
          aOrder.mId, aEnd, mNow);
      });
  }

  void Execute(size_t aRouter, const release_order& aOrder)
  {
    const size_t to = aOrder.mAddress.mPort - 1u;
    if (mNow < mTargets[to].mRefusesUntil) {
      DeliverResult(aRouter, mNow + kStepTime, [this, aRouter, aOrder] {
        mRouters[aRouter].mController->HandleReleaseResult(
          aOrder.mId, order_result::kNoResponse, "", mNow);
      });
      return;
    }
    DeliverOrder(
      aRouter,
      to,
      [this, to, aOrder] { return mTargets[to].mKeys.HandleRelease(aOrder); },
      [this, aRouter, aOrder](order_result aEnd) {
        mRouters[aRouter].mController->HandleReleaseResult(
          aOrder.mId, aEnd, "h", mNow);
      });
  }

  void Execute(size_t aRouter, const write_record& aWrite)
  {
    router& each = mRouters[aRouter];
    const bool reached = mNow >= each.mStoreUnreachableUntil;
    const bool conditionHolds =
      each.mLeading && mLeader == aRouter &&
      each.mLeaderRevision == mLeaderRevision &&
      aWrite.mExpectedRevision.Value() == mRecordRevision;
    const bool done = reached && conditionHolds;
    if (done) {
      mRecord = aWrite.mRecord;
      mRecordRevision = ++mRevision;
    }
    const uint64_t revision = mRecordRevision;
    const bool confirmed = done && !IsResponseLost();
    DeliverResult(
      aRouter, mNow + Delay(), [this, aRouter, aWrite, confirmed, revision] {
        mRouters[aRouter].mController->HandleWriteResult(
          aWrite.mId,
          confirmed,
          store_revision(confirmed ? revision : 0),
          mNow);
      });
  }

  void CheckInvariants()
  {
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      const std::vector<size_t> holders = Holders(sample);
      ASSERT_LE(holders.size(), 1u) << "key " << SampleKey(sample) << " at "
                                    << mNow.time_since_epoch().count();
      if (holders.empty()) {
        continue;
      }
      const target& owner = mTargets[holders[0]];
      const target_incarnation holder{ NameOf(holders[0]), owner.mStartedMs };
      const auto held = owner.mKeys.HeldFence(sample, mNow);
      CheckFence(sample, holder, held->Value());
    }
  }

  void CheckFence(uint32_t aSample,
                  const target_incarnation& aHolder,
                  uint64_t aFence)
  {
    auto& [last, lastFence] = mLastOwner[aSample];
    if (last == aHolder) {
      ASSERT_GE(aFence, lastFence) << "key " << SampleKey(aSample);
    } else if (lastFence != 0) {
      ASSERT_GT(aFence, lastFence) << "key " << SampleKey(aSample);
    }
    last = aHolder;
    lastFence = aFence;
  }

  range_settings mSettings;
  std::mt19937_64 mRandom;
  time_point mNow{ 1h };
  std::array<target, kTargets> mTargets;
  std::array<router, kRouters> mRouters;
  std::deque<event> mEvents;
  uint64_t mRevision = 1;
  range_record mRecord;
  uint64_t mRecordRevision = 0;
  std::optional<size_t> mLeader;
  uint64_t mLeaderRevision = 0;
  time_point mLeaseEnd = time_point::min();
  uint32_t mLostPercent = 0;
  time_point mResponsesLostUntil = time_point::min();
  std::map<uint32_t, std::pair<target_incarnation, uint64_t>> mLastOwner;
};

} // namespace parsleystair
