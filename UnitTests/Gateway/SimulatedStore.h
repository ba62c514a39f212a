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
  [[nodiscard]] store_era Era() const { return mEra; }

  /// Comes back from a copy and starts a new era. Revisions and leases are
  /// assigned again. `aRenewsLeases`: the leases of the copy start anew.
  void Restore(const simulated_store& aCopy,
               bool aRenewsLeases,
               time_point aNow)
  {
    const store_era next(mEra.Value() + 1);
    *this = aCopy;
    mEra = next;
    if (aRenewsLeases) {
      for (auto& [id, lease] : mLeases) {
        lease.mEnd = aNow + lease.mTtl;
      }
    }
  }

  [[nodiscard]] std::optional<stored_item> Find(const std::string& aKey) const
  {
    const auto found = mItems.find(aKey);
    if (found == mItems.end()) {
      return std::nullopt;
    }
    stored_item item = found->second.mItem;
    item.mRevision = MakeRevision(mEra, NumberOf(item.mRevision));
    return item;
  }

  [[nodiscard]] std::vector<stored_item> FindPrefix(
    const std::string& aPrefix) const
  {
    std::vector<stored_item> items;
    for (auto item = mItems.lower_bound(aPrefix);
         item != mItems.end() && item->first.starts_with(aPrefix);
         ++item) {
      items.push_back(*Find(item->first));
    }
    return items;
  }

  /// Changes of a key after a revision, in order.
  [[nodiscard]] std::vector<item_change> ChangesOf(const std::string& aKey,
                                                   store_revision aAfter) const
  {
    std::vector<item_change> changes;
    for (auto change = mHistory.rbegin(); change != mHistory.rend(); ++change) {
      if (NumberOf(change->mRevision) <= NumberOf(aAfter)) {
        break;
      }
      if (change->mKey == aKey) {
        changes.insert(changes.begin(), *change);
        changes.front().mRevision =
          MakeRevision(mEra, NumberOf(change->mRevision));
      }
    }
    return changes;
  }

  [[nodiscard]] store_revision Revision() const
  {
    return MakeRevision(mEra, mRevision);
  }

  /// The store knows the numbers of revisions only, so that a condition from an
  /// earlier era may hold by accident.
  write_reply Write(const conditional_write& aWrite)
  {
    for (const item_condition& each : aWrite.mConditions) {
      const auto item = Find(each.mKey);
      if ((item ? NumberOf(item->mRevision) : 0) != NumberOf(each.mRevision)) {
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
    return { call_outcome::kDone, Revision() };
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

  store_era mEra = kFirstEra;
  uint64_t mRevision = 1;
  uint64_t mNextLease = 0;
  std::map<std::string, entry> mItems;
  std::map<lease_id, lease_state> mLeases;
  std::vector<item_change> mHistory;
};

} // namespace parsleystair
