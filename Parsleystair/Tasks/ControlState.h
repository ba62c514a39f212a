#pragma once

#include "Parsleystair/Limits/CrashTable.h"
#include "Parsleystair/Membership/MembershipView.h"
#include "Parsleystair/Ownership/OwnershipController.h"
#include "Parsleystair/Settings/RouterSettings.h"
#include "Parsleystair/Tasks/ConfigurationKeeper.h"

namespace parsleystair {

/// What the control task knows; used by the parts of the control task only.
struct control_state
{
  control_state(const router_settings& aSettings,
                incarnation aIncarnation,
                time_point aNow);

  /// Region of this router; empty while the configuration doesn't tell it.
  [[nodiscard]] region_name Region() const;

  /// Address of a router, from what is known of it or from the settings' seeds.
  [[nodiscard]] std::optional<peer_address> FindPeer(const vm_name& aVm,
                                                     time_point aNow) const;

  /// Routers as the ownership controller wants them.
  [[nodiscard]] router_view Routers(time_point aNow) const;

  /// Sum of the revisions of all known group records; changes with each of
  /// them.
  [[nodiscard]] uint64_t GroupDigest() const;

  /// Groups that list this process as a holder.
  [[nodiscard]] size_t HeldGroups() const;

  /// Routers that hold a group together with this one.
  [[nodiscard]] std::set<vm_name> CoHolders() const;

  router_settings mSettings;
  vm_identity mSelf;
  time_point mStartedAt;
  bool mIsDraining = false;
  configuration_keeper mConfiguration;
  membership_view mMembership;
  ownership_controller mOwnership;
  crash_table mCrashes;
  std::set<vm_name> mListed;

private:
  [[nodiscard]] std::vector<const group_record*> KnownRecords() const;
};

} // namespace parsleystair
