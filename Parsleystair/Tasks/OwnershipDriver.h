#pragma once

#include "Parsleystair/Ownership/OwnershipController.h"
#include "Parsleystair/Peers/PeerClient.h"
#include "Parsleystair/Platform/PlatformStore.h"
#include "Parsleystair/Tasks/TargetLinks.h"

#include <functional>
#include <optional>

namespace parsleystair {

/// Finds the address of a router; none while it is unknown.
using peer_resolver =
  std::function<std::optional<peer_address>(const vm_name&)>;

/// Carries out what the ownership controller decides, and tells it the answers.
class ownership_driver
{
public:
  /// Copies the at-most-once records of a group from its other holders.
  using copy_handler = std::function<void(const copy_group_records&)>;

  ownership_driver(ownership_controller& aController,
                   platform_store& aStore,
                   peer_client& aPeers,
                   target_links& aTargets,
                   peer_resolver aResolver);

  void OnCopyRecords(copy_handler aHandler);

  /// Carries out actions that an input of the controller returned.
  void Execute(const ownership_actions& aActions);

private:
  void Do(const send_grants& aAction);
  void Do(const probe_target& aAction);
  void Do(const write_group& aAction);
  void Do(const read_group& aAction);
  void Do(const request_confirmation& aAction);
  void Do(const announce_record& aAction);
  void Do(const copy_group_records& aAction);
  void Do(const fetch_groups& aAction);

  ownership_controller& mController;
  platform_store& mStore;
  peer_client& mPeers;
  target_links& mTargets;
  peer_resolver mResolver;
  copy_handler mCopyHandler;
};

} // namespace parsleystair
