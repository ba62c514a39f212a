#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleystair {

/// Keys, revisions and leases of a coordination store. Calls take effect
/// immediately; the network delays, loses or refuses them.
class simulated_store
{
public:
  [[nodiscard]] std::optional<stored_item> Find(const std::string& aKey) const
  {
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? std::nullopt
                                 : std::optional(found->second.mItem);
  }

  /// Changes of a key after a revision, in order.
  [[nodiscard]] std::vector<item_change> ChangesOf(const std::string& aKey,
                                                   store_revision aAfter) const
  {
    std::vector<item_change> changes;
    for (auto change = mHistory.rbegin(); change != mHistory.rend(); ++change) {
      if (change->mRevision <= aAfter) {
        break;
      }
      if (change->mKey == aKey) {
        changes.insert(changes.begin(), *change);
      }
    }
    return changes;
  }

  [[nodiscard]] store_revision Revision() const
  {
    return store_revision(mRevision);
  }

  write_reply Write(const conditional_write& aWrite)
  {
    for (const item_condition& each : aWrite.mConditions) {
      const auto item = Find(each.mKey);
      if ((item ? item->mRevision : store_revision(0)) != each.mRevision) {
        return { call_outcome::kConflict, {} };
      }
    }
    for (const item_write& each : aWrite.mWrites) {
      if (each.mLease != lease_id(0) && !mLeases.contains(each.mLease)) {
        return { call_outcome::kGone, {} };
      }
    }
    const store_revision revision(++mRevision);
    for (const item_write& each : aWrite.mWrites) {
      mItems[each.mKey] = { { each.mKey, each.mValue, revision }, each.mLease };
      mHistory.push_back({ each.mKey, each.mValue, revision });
    }
    return { call_outcome::kDone, revision };
  }

  lease_reply OpenLease(duration aTtl, time_point aNow)
  {
    const lease_id lease(++mNextLease);
    mLeases[lease] = { aTtl, aNow + aTtl };
    return { call_outcome::kDone, lease, aTtl };
  }

  lease_reply RenewLease(lease_id aLease, time_point aNow)
  {
    const auto found = mLeases.find(aLease);
    if (found == mLeases.end()) {
      return { call_outcome::kGone, aLease, {} };
    }
    found->second.mEnd = aNow + found->second.mTtl;
    return { call_outcome::kDone, aLease, found->second.mTtl };
  }

  lease_reply EndLease(lease_id aLease)
  {
    if (mLeases.erase(aLease) == 0) {
      return { call_outcome::kGone, aLease, {} };
    }
    RemoveItemsOf(aLease);
    return { call_outcome::kDone, aLease, {} };
  }

  /// Ends the leases that have expired.
  void ExpireLeases(time_point aNow)
  {
    for (auto lease = mLeases.begin(); lease != mLeases.end();) {
      if (lease->second.mEnd > aNow) {
        ++lease;
        continue;
      }
      RemoveItemsOf(lease->first);
      lease = mLeases.erase(lease);
    }
  }

  /// Leases don't run during an outage of this length.
  void PauseLeases(duration aTime)
  {
    for (auto& [id, lease] : mLeases) {
      lease.mEnd += aTime;
    }
  }

private:
  struct entry
  {
    stored_item mItem;
    lease_id mLease;
  };

  struct lease_state
  {
    duration mTtl;
    time_point mEnd;
  };

  void RemoveItemsOf(lease_id aLease)
  {
    for (auto item = mItems.begin(); item != mItems.end();) {
      if (item->second.mLease != aLease) {
        ++item;
        continue;
      }
      mHistory.push_back(
        { item->first, std::nullopt, store_revision(++mRevision) });
      item = mItems.erase(item);
    }
  }

  uint64_t mRevision = 1;
  uint64_t mNextLease = 0;
  std::map<std::string, entry> mItems;
  std::map<lease_id, lease_state> mLeases;
  std::vector<item_change> mHistory;
};

} // namespace parsleystair
