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

/// A router that is live in the eyes of this router.
struct live_router
{
  vm_identity mVm;
  failure_domain_name mFailureDomain;
  bool mLeaving = false;

  bool operator==(const live_router&) const = default;
};

/// What this router knows of all routers.
struct router_view
{
  std::vector<live_router> mLive;
  /// All VMs on the platform's list, live or not; empty when the list has never
  /// been read.
  std::set<vm_name> mListed;

  bool operator==(const router_view&) const = default;
};

/// Which routers are live, for how long the others have been absent, and who
/// is in line for a group's duties.
class router_table
{
public:
  /// `aSelf` always counts as live.
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

  /// True when the VM has been off the platform's list for `aTime` or longer,
  /// so that no process of it can confirm anything.
  [[nodiscard]] bool IsGone(const vm_name& aVm,
                            duration aTime,
                            time_point aNow) const;

  /// Place of this router in line for the group's duties, from 0: live holders
  /// in the home region, other live holders, leaving ones, then other routers;
  /// by rendezvous hash within each of these. `aConfiguration` may be null.
  [[nodiscard]] size_t RankOfSelf(const group_record& aRecord,
                                  const configuration* aConfiguration) const;

  /// Live routers by rendezvous hash of the group; leaving ones left out.
  [[nodiscard]] std::vector<live_router> RoutersByRendezvous(
    group_index aGroup) const;

  /// Holders for a new group: two failure domains of its home region and one
  /// elsewhere, as far as there are any.
  [[nodiscard]] std::vector<group_holder> ChooseHolders(
    group_index aGroup,
    const configuration& aConfiguration) const;

  /// A router in a failure domain that none of `aOthers` is in, or null.
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
  /// When a VM that was live before was first seen absent.
  std::map<vm_name, time_point> mAbsentSince;
  std::set<vm_name> mListed;
  /// When a VM was first seen off the platform's list.
  std::map<vm_name, time_point> mUnlistedSince;
  std::optional<time_point> mFirstViewAt;
  std::optional<time_point> mFirstListAt;
};

/// Region that holds two of a group's holders; empty without failure domains.
region_name HomeRegion(group_index aGroup, const configuration& aConfiguration);

} // namespace parsleystair
