#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"

#include <map>

namespace parsleystair {

/// A clock that runs up to 1% fast or slow against simulated real time.
struct drifting_clock
{
  double mRate = 1;
  duration mOffset{};

  [[nodiscard]] time_point At(duration aReal) const
  {
    const auto scaled = static_cast<double>(aReal.count()) * mRate;
    return time_point(duration(static_cast<int64_t>(scaled)) + mOffset);
  }
  /// Real time that passes while this clock advances by `aLocal`.
  [[nodiscard]] duration Real(duration aLocal) const
  {
    const auto scaled = static_cast<double>(aLocal.count()) / mRate;
    return duration(static_cast<int64_t>(scaled));
  }
};

/// A target that checks grants, after section 6 of the design page.
struct fake_target
{
  struct grant_list
  {
    store_revision mRevision;
    std::map<slot_id, fence> mSlots;
    uint64_t mUntilMs = 0;
  };

  target_id mId;
  drifting_clock mClock;
  uint64_t mBoot = 1;
  bool mChecksGrants = true;
  bool mIsDown = false;
  bool mIsFrozen = false;
  std::map<group_index, grant_list> mLists;
  std::vector<busy_slots> mBusy;

  [[nodiscard]] uint64_t ClockMs(duration aReal) const
  {
    return static_cast<uint64_t>(mClock.At(aReal).time_since_epoch().count() /
                                 1000);
  }

  /// True when the target would run a request for the slot.
  [[nodiscard]] bool WouldAct(group_index aGroup,
                              const slot_id& aSlot,
                              duration aReal) const
  {
    const auto list = mLists.find(aGroup);
    return !mIsDown && list != mLists.end() &&
           list->second.mSlots.count(aSlot) != 0 &&
           ClockMs(aReal) < list->second.mUntilMs;
  }

  grant_reply Handle(const grant_message& aMessage, duration aReal)
  {
    grant_reply reply{ ClockMs(aReal), mBoot, {}, {}, {}, mBusy };
    if (aMessage.mBaseMs == 0 || aMessage.mBoot != mBoot) {
      return reply;
    }
    for (const group_grant& grant : aMessage.mGroups) {
      Take(grant, aMessage.mBaseMs + aMessage.mTtlMs, reply);
    }
    return reply;
  }

private:
  void Take(const group_grant& aGrant, uint64_t aUntilMs, grant_reply& aReply)
  {
    grant_list& list = mLists[aGrant.mGroup];
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
    list.mUntilMs = std::max(list.mUntilMs, aUntilMs);
    aReply.mAccepted.push_back({ aGrant.mGroup, aGrant.mRevision });
  }
};

} // namespace parsleystair
