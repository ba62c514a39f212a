#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"

#include <map>

namespace parsleystair {

/// A clock that runs up to 1% faster or slower than simulated real time.
struct drifting_clock
{
  double mRate = 1;
  duration mOffset{};

  [[nodiscard]] time_point At(duration aRealTime) const
  {
    const auto scaled = static_cast<double>(aRealTime.count()) * mRate;
    return time_point(duration(static_cast<int64_t>(scaled)) + mOffset);
  }
  /// Simulated real time that passes while this clock advances by `aLocal`.
  [[nodiscard]] duration ToRealTime(duration aLocal) const
  {
    const auto scaled = static_cast<double>(aLocal.count()) / mRate;
    return duration(static_cast<int64_t>(scaled));
  }
};

/// A fake target that checks grants as described in section 6 of
/// docs/design.md.
struct fake_target
{
  struct grant_list
  {
    store_revision mRevision;
    std::map<slot_id, fence> mSlots;
    uint64_t mExpiryMs = 0;
  };

  target_id mId;
  drifting_clock mClock;
  uint64_t mBoot = 1;
  bool mChecksGrants = true;
  bool mIsDown = false;
  bool mIsFrozen = false;
  std::map<group_index, grant_list> mGrantLists;
  std::vector<busy_slots> mBusy;

  [[nodiscard]] uint64_t ClockMs(duration aRealTime) const
  {
    return static_cast<uint64_t>(
      mClock.At(aRealTime).time_since_epoch().count() / 1000);
  }

  /// True when the target would execute a request for the slot.
  [[nodiscard]] bool WouldExecute(group_index aGroup,
                                  const slot_id& aSlot,
                                  duration aRealTime) const
  {
    const auto list = mGrantLists.find(aGroup);
    return !mIsDown && list != mGrantLists.end() &&
           list->second.mSlots.count(aSlot) != 0 &&
           ClockMs(aRealTime) < list->second.mExpiryMs;
  }

  grant_reply Handle(const grant_message& aMessage, duration aRealTime)
  {
    grant_reply reply{ ClockMs(aRealTime), mBoot, {}, {}, {}, mBusy };
    if (aMessage.mBaseClockMs == 0 || aMessage.mBootId != mBoot) {
      return reply;
    }
    for (const group_grant& grant : aMessage.mGroups) {
      ApplyGrant(grant, aMessage.mBaseClockMs + aMessage.mTtlMs, reply);
    }
    return reply;
  }

private:
  void ApplyGrant(const group_grant& aGrant,
                  uint64_t aUntilMs,
                  grant_reply& aReply)
  {
    grant_list& list = mGrantLists[aGrant.mGroup];
    if (aGrant.mRevision < list.mRevision) {
      aReply.mStale.push_back(aGrant.mGroup);
      return;
    }
    if (aGrant.mRevision > list.mRevision) {
      if (!aGrant.mSlots) {
        aReply.mUnknown.push_back(aGrant.mGroup);
        return;
      }
      list = { aGrant.mRevision, {}, 0 };
      for (const granted_slot& slot : *aGrant.mSlots) {
        list.mSlots.emplace(slot.mSlot, slot.mFence);
      }
    }
    list.mExpiryMs = std::max(list.mExpiryMs, aUntilMs);
    aReply.mAccepted.push_back({ aGrant.mGroup, aGrant.mRevision });
  }
};

} // namespace parsleystair
