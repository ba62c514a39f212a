#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"
#include "UnitTests/Gateway/OwnershipOracle.h"
#include "UnitTests/Gateway/SimulatedEvents.h"

#include <optional>

namespace parsleystair {

/// Response of a target to an order.
struct target_response
{
  uint32_t mStatus = 0;
  /// Time at which the target responds.
  time_point mAt;
  /// The target closes the connection with the response.
  bool mCloses = false;
};

/// A target: its process, which restarts under the same name, its entry in the
/// store, and the keys it holds.
class simulated_target
{
public:
  simulated_target(size_t aIndex, simulated_events& aEvents, uint64_t aSeed)
    : mIndex(aIndex)
    , mEvents(aEvents)
    , mRandom(aSeed)
    , mStartedMs(aIndex + 1)
  {
  }

  [[nodiscard]] target_incarnation Incarnation() const
  {
    return { target_name("t" + std::to_string(mIndex)), mStartedMs };
  }
  [[nodiscard]] bool IsUp() const { return mUp; }
  [[nodiscard]] uint64_t StartedMs() const { return mStartedMs; }
  [[nodiscard]] bool Holds(uint32_t aSample) const
  {
    return mUp && mKeys.HeldFence(aSample, mEvents.Now()).has_value();
  }
  [[nodiscard]] bool RefusesConnections() const
  {
    return !mUp || mEvents.Now() < mRefusesUntil;
  }

  /// The target's entry in the store, if it exists.
  [[nodiscard]] std::optional<discovered_target> Entry() const
  {
    const time_point now = mEvents.Now();
    if (now < mEntryMissingUntil || now >= mEntryExpiresAt) {
      return std::nullopt;
    }
    discovered_target entry;
    entry.mName = Incarnation().mName;
    entry.mHost = "10.0.0.1";
    entry.mPort = static_cast<uint16_t>(mIndex + 1);
    entry.mConcurrency = 4;
    entry.mDraining = mDraining;
    entry.mStartedMs = mEntryStartedMs.value_or(mStartedMs);
    return entry;
  }

  /// Ends the process. The entry expires later, unless the target restarts
  /// before.
  void Crash(ownership_oracle& aOracle)
  {
    constexpr duration kEntryExpiry = 2600ms;
    if (mUp) {
      mUp = false;
      mKeys = {};
      mWorkEnds = {};
      aOracle.HandleTargetEnded(Incarnation().mName);
      mEntryStartedMs = mStartedMs;
      mEntryExpiresAt = mEvents.Now() + kEntryExpiry;
    }
  }

  /// `aEntryDelay`: time until the new process is in the store.
  void Restart(duration aEntryDelay)
  {
    if (mUp) {
      return;
    }
    constexpr uint64_t kStartStep = 1000;
    mUp = true;
    mStartedMs += kStartStep;
    const uint64_t started = mStartedMs;
    mEvents.Schedule(mEvents.Now() + aEntryDelay, [this, started] {
      if (mStartedMs == started && mUp) {
        mEntryStartedMs.reset();
        mEntryExpiresAt = time_point::max();
      }
    });
  }

  void LoseEntry(duration aTime) { mEntryMissingUntil = mEvents.Now() + aTime; }
  void SetDraining(bool aDraining) { mDraining = aDraining; }
  [[nodiscard]] bool IsDraining() const { return mDraining; }
  void RefuseConnections(duration aTime)
  {
    mRefusesUntil = mEvents.Now() + aTime;
  }
  /// The target responds to orders with an error and executes none.
  void RejectOrders(duration aTime) { mRejectsUntil = mEvents.Now() + aTime; }
  /// The target doesn't respond to some grants and applies them later.
  void ApplyGrantsLate(duration aTime) { mLateUntil = mEvents.Now() + aTime; }
  /// The target closes the connections of orders with its responses.
  void CloseAfterResponses(duration aTime)
  {
    mClosesUntil = mEvents.Now() + aTime;
  }
  void EndFaults()
  {
    mClosesUntil = time_point::min();
    mEntryMissingUntil = mRefusesUntil = mRejectsUntil = mLateUntil =
      time_point::min();
    mDraining = false;
  }

  /// Returns no response if the target doesn't respond.
  std::optional<target_response> HandleGrant(const grant_order& aOrder,
                                             bool aExcused,
                                             ownership_oracle& aOracle)
  {
    constexpr uint64_t kLatePercent = 40;
    const time_point now = mEvents.Now();
    if (now < mRejectsUntil) {
      return target_response{ kUnavailable, now };
    }
    if (now < mLateUntil && mRandom.Percent(kLatePercent)) {
      const time_point at = now + mRandom.Between(100ms, 12s);
      const uint64_t started = mStartedMs;
      mEvents.Schedule(at, [this, aOrder, aExcused, &aOracle, now, started] {
        if (mUp && mStartedMs == started) {
          ApplyGrant(aOrder, now, aExcused, aOracle);
        }
      });
      return std::nullopt;
    }
    const bool accepted = ApplyGrant(aOrder, now, aExcused, aOracle);
    return target_response{ accepted ? kOk : kConflict,
                            now,
                            now < mClosesUntil };
  }

  target_response HandleRelease(const release_order& aOrder,
                                ownership_oracle& aOracle)
  {
    constexpr uint64_t kBusyPercent = 25;
    const time_point now = mEvents.Now();
    if (now < mRejectsUntil) {
      return { kUnavailable, now };
    }
    const bool busy = mRandom.Percent(kBusyPercent);
    const time_point newWorkEnd = busy ? now + mRandom.Between(50ms, 5s) : now;
    time_point end = now;
    for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
      if (!aOrder.mKeys.Contains(SampleKey(sample))) {
        continue;
      }
      // Running work ends with the grant that it began with.
      if (const auto expiry = mKeys.HeldUntil(sample, now)) {
        mWorkEnds[sample] = std::min(newWorkEnd, *expiry);
      }
      end = std::max(end, mWorkEnds[sample]);
      aOracle.HandleRelease(
        Incarnation().mName, sample, std::max(now, mWorkEnds[sample]));
    }
    mKeys.HandleRelease(aOrder);
    return { kOk, end };
  }

private:
  static constexpr uint32_t kOk = 200;
  static constexpr uint32_t kConflict = 409;
  static constexpr uint32_t kUnavailable = 503;

  bool ApplyGrant(const grant_order& aOrder,
                  time_point aArrivedAt,
                  bool aExcused,
                  ownership_oracle& aOracle)
  {
    if (mKeys.HandleGrant(aOrder, aArrivedAt) != order_result::kAccepted) {
      return false;
    }
    if (!aExcused) {
      aOracle.HandleGrant({ Incarnation(),
                            aOrder.mKeys,
                            aOrder.mFence,
                            aArrivedAt + range_target::HoldTime(aOrder) },
                          mEvents.Now());
    }
    return true;
  }

  size_t mIndex;
  simulated_events& mEvents;
  random_choices mRandom;
  bool mUp = true;
  bool mDraining = false;
  uint64_t mStartedMs;
  /// Start time in the entry while it is older than the process.
  std::optional<uint64_t> mEntryStartedMs;
  time_point mEntryMissingUntil = time_point::min();
  time_point mEntryExpiresAt = time_point::max();
  time_point mRefusesUntil = time_point::min();
  time_point mRejectsUntil = time_point::min();
  time_point mLateUntil = time_point::min();
  time_point mClosesUntil = time_point::min();
  range_target mKeys;
  std::array<time_point, kSampleCount> mWorkEnds{};
};

} // namespace parsleystair
