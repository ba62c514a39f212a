#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GroupRecord.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Settings/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleystair {

/// A router that this router considers live.
struct live_router
{
  vm_identity mVm;
  failure_domain_name mFailureDomain;
  bool mLeaving = false;

  bool operator==(const live_router&) const = default;
};

/// Live routers and the platform's list of VMs, as known to this router.
struct router_view
{
  std::vector<live_router> mLiveRouters;
  /// All VMs on the platform's list, whether live or not; empty until the list
  /// has been read.
  std::set<vm_name> mListedVms;

  bool operator==(const router_view&) const = default;
};

/// Tracks which routers are live and how long others have been absent, ranks
/// routers for a group's duties and chooses holders.
class router_table
{
public:
  /// `aSelf` always counts as live, whatever the view says.
  explicit router_table(live_router aSelf);

  void SetView(const router_view& aView, time_point aNow);

  [[nodiscard]] const live_router& Self() const { return mSelf; }
  [[nodiscard]] const live_router* FindLive(const vm_name& aVm) const;
  [[nodiscard]] const std::map<vm_name, live_router>& Live() const
  {
    return mLive;
  }

  /// True when the VM has not been live for `aTime` or longer.
  [[nodiscard]] bool IsAbsentFor(const vm_name& aVm,
                                 duration aTime,
                                 time_point aNow) const;

  /// True when the VM has been missing from the platform's list for `aTime` or
  /// longer, so that no process on it can confirm a record.
  [[nodiscard]] bool IsTerminated(const vm_name& aVm,
                                  duration aTime,
                                  time_point aNow) const;

  /// Rank of this router for the group's duties (renewing grants and writing
  /// the record), from 0: live holders in the home region, other live holders,
  /// leaving holders, then other routers; ordered by rendezvous hash within
  /// each tier. `aConfiguration` may be null.
  [[nodiscard]] size_t RankOfSelf(const group_record& aRecord,
                                  const configuration* aConfiguration) const;

  /// Live routers that are not leaving, ordered by the group's rendezvous hash.
  [[nodiscard]] std::vector<live_router> RoutersByRendezvous(
    group_index aGroup) const;

  /// Chooses holders for a new group: from two failure domains of its home
  /// region and one elsewhere, as far as such routers exist.
  [[nodiscard]] std::vector<group_holder> ChooseHolders(
    group_index aGroup,
    const configuration& aConfiguration) const;

  /// Chooses a router in a failure domain that has none of `aOthers`. Returns
  /// no value when there is none.
  [[nodiscard]] std::optional<group_holder> ChooseHolder(
    group_index aGroup,
    const std::vector<group_holder>& aOthers,
    const configuration& aConfiguration) const;

private:
  void UpdateAbsent(time_point aNow);
  void UpdateListed(const std::set<vm_name>& aListed, time_point aNow);
  [[nodiscard]] failure_domain_name FailureDomainOf(const vm_name& aVm) const;

  live_router mSelf;
  std::map<vm_name, live_router> mLive;
  std::map<vm_name, failure_domain_name> mFailureDomainOfVm;
  /// When a VM that had been live was first seen absent.
  std::map<vm_name, time_point> mAbsentSince;
  std::set<vm_name> mListed;
  /// When a VM was first seen missing from the platform's list.
  std::map<vm_name, time_point> mUnlistedSince;
  std::optional<time_point> mFirstViewAt;
  std::optional<time_point> mFirstListAt;
};

/// Region that is to have two of a group's holders; empty when the
/// configuration has no failure domains.
region_name HomeRegion(group_index aGroup, const configuration& aConfiguration);

} // namespace parsleystair
