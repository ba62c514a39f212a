#pragma once

#include "Parsleystair/Tasks/ControlState.h"
#include "Parsleystair/Tasks/RecordDriver.h"

namespace parsleystair {

/// Answers the calls of other routers from the control task's state.
class peer_endpoint : public peer_handler
{
public:
  peer_endpoint(control_state& aState,
                ownership_driver& aDriver,
                record_driver& aRecords);

  /// Takes in a heartbeat, whether it is a call or a reply.
  void Learn(const heartbeat_message& aMessage);

  /// This router's own heartbeat.
  heartbeat_message MakeHeartbeat();

  heartbeat_message HandleHeartbeat(const heartbeat_message& aMessage) override;
  confirm_result HandleConfirmRequest(const confirm_message& aMessage) override;
  void HandleAnnouncement(const announce_message& aMessage) override;
  begin_reply HandleBegin(const begin_message& aMessage) override;
  void HandleFinish(const finish_message& aMessage) override;
  void HandleWithdraw(const withdraw_message& aMessage) override;
  copy_records_reply HandleCopyRecords(
    const copy_records_message& aMessage) override;
  configuration_reply HandleFetchConfigurationRequest() override;
  groups_reply HandleFetchGroupsRequest() override;

private:
  control_state& mState;
  ownership_driver& mDriver;
  record_driver& mRecords;
};

} // namespace parsleystair
