#include "StandIns/standin_target/GrantTable.h"

#include <algorithm>

namespace parsleystair {

grant_table::grant_table(uint64_t aBoot)
  : mBoot(aBoot)
{
}

grant_reply grant_table::Apply(const grant_message& aMessage,
                               const std::set<slot_id>& aBusy,
                               uint64_t aClockMs)
{
  grant_reply reply;
  reply.mClockMs = aClockMs;
  reply.mBootId = mBoot;
  if (aMessage.mBaseClockMs == 0 || aMessage.mBootId != mBoot) {
    return reply;
  }
  // A grant counts from the clock value that its sender got from this target,
  // so one that was held up on the way is over when it arrives.
  const uint64_t ends = aMessage.mBaseClockMs + aMessage.mTtlMs;
  for (const group_grant& grant : aMessage.mGroups) {
    ApplyGroup(grant, ends, reply);
  }
  // Slots that are not owned any more but still have requests in progress.
  for (const accepted_grant& accepted : reply.mAccepted) {
    const group_state& group = mGroups.at(accepted.mGroup);
    busy_slots busy;
    busy.mGroup = accepted.mGroup;
    for (const slot_id& slot : aBusy) {
      if (!group.mSlots.contains(slot)) {
        busy.mSlots.push_back(slot);
      }
    }
    if (!busy.mSlots.empty()) {
      reply.mBusy.push_back(std::move(busy));
    }
  }
  return reply;
}

void grant_table::ApplyGroup(const group_grant& aGrant,
                             uint64_t aEndsMs,
                             grant_reply& aReply)
{
  const auto found = mGroups.find(aGrant.mGroup);
  const bool known = found != mGroups.end();
  if (known && aGrant.mRevision < found->second.mRevision) {
    aReply.mStale.push_back(aGrant.mGroup);
    return;
  }
  const bool sameRevision =
    known && aGrant.mRevision == found->second.mRevision;
  if (!aGrant.mSlots && !sameRevision) {
    aReply.mUnknown.push_back(aGrant.mGroup);
    return;
  }
  group_state& group = mGroups[aGrant.mGroup];
  if (!sameRevision) {
    group.mEndsMs = 0;
  }
  if (aGrant.mSlots) {
    group.mSlots.clear();
    for (const granted_slot& slot : *aGrant.mSlots) {
      group.mSlots.emplace(slot.mSlot, slot.mFence);
    }
  }
  group.mRevision = aGrant.mRevision;
  group.mEndsMs = std::max(group.mEndsMs, aEndsMs);
  aReply.mAccepted.push_back({ aGrant.mGroup, aGrant.mRevision });
}

bool grant_table::Owns(const slot_id& aSlot,
                       fence aFence,
                       uint64_t aClockMs) const
{
  return std::any_of(mGroups.begin(), mGroups.end(), [&](const auto& aEntry) {
    const group_state& group = aEntry.second;
    const auto slot = group.mSlots.find(aSlot);
    return group.mEndsMs > aClockMs && slot != group.mSlots.end() &&
           slot->second == aFence;
  });
}

std::set<slot_id> grant_table::OwnedSlots(uint64_t aClockMs) const
{
  std::set<slot_id> slots;
  for (const auto& [index, group] : mGroups) {
    if (group.mEndsMs <= aClockMs) {
      continue;
    }
    for (const auto& [slot, slotFence] : group.mSlots) {
      slots.insert(slot);
    }
  }
  return slots;
}

} // namespace parsleystair
