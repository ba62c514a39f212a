#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GrantMessage.h"

#include <map>
#include <set>

namespace parsleystair {

/// Target's side of the grant protocol, on the target's own clock.
class grant_table
{
public:
  /// `aBoot` names this life of the target; above 0.
  explicit grant_table(uint64_t aBoot);

  /// Applies a message. `aBusy` are the slots with requests in progress.
  grant_reply Apply(const grant_message& aMessage,
                    const std::set<slot_id>& aBusy,
                    uint64_t aClockMs);

  /// Tells if a slot is granted now with this fence.
  [[nodiscard]] bool Owns(const slot_id& aSlot,
                          fence aFence,
                          uint64_t aClockMs) const;

  /// Slots granted now.
  [[nodiscard]] std::set<slot_id> OwnedSlots(uint64_t aClockMs) const;

private:
  struct group_state
  {
    store_revision mRevision;
    uint64_t mEndsMs = 0;
    std::map<slot_id, fence> mSlots;
  };

  void ApplyGroup(const group_grant& aGrant,
                  uint64_t aEndsMs,
                  grant_reply& aReply);

  uint64_t mBoot;
  std::map<group_index, group_state> mGroups;
};

} // namespace parsleystair
