#include "Parsleystair/Tasks/PeerEndpoint.h"

#include "Parsleystair/Core/Clock.h"

namespace parsleystair {

peer_endpoint::peer_endpoint(control_state& aState,
                             ownership_driver& aDriver,
                             record_driver& aRecords)
  : mState(aState)
  , mDriver(aDriver)
  , mRecords(aRecords)
{
}

void peer_endpoint::Learn(const heartbeat_message& aMessage)
{
  const time_point now = MonotonicNow();
  mState.mMembership.HandleHeartbeat(aMessage, now);
  if (aMessage.mMembers.empty()) {
    return;
  }
  const vm_name& sender = aMessage.mMembers.front().mVm.mName;
  for (const crash_notice& notice : aMessage.mCrashes) {
    mState.mCrashes.Merge(sender, notice, now);
  }
}

heartbeat_message peer_endpoint::MakeHeartbeat()
{
  const time_point now = MonotonicNow();
  heartbeat_message message = mState.mMembership.MakeHeartbeat(now);
  message.mGroupDigest = mState.GroupDigest();
  message.mCrashes = mState.mCrashes.Notices(now);
  return message;
}

heartbeat_message peer_endpoint::HandleHeartbeat(
  const heartbeat_message& aMessage)
{
  Learn(aMessage);
  return MakeHeartbeat();
}

confirm_result peer_endpoint::HandleConfirmRequest(
  const confirm_message& aMessage)
{
  return mState.mOwnership.HandleConfirmRequest(aMessage);
}

void peer_endpoint::HandleAnnouncement(const announce_message& aMessage)
{
  mDriver.Execute(
    mState.mOwnership.HandleAnnouncement(aMessage.mRecord, MonotonicNow()));
}

begin_reply peer_endpoint::HandleBegin(const begin_message& aMessage)
{
  return mRecords.HandleBegin(aMessage);
}

void peer_endpoint::HandleFinish(const finish_message& aMessage)
{
  mRecords.HandleFinish(aMessage);
}

void peer_endpoint::HandleWithdraw(const withdraw_message& aMessage)
{
  mRecords.HandleWithdraw(aMessage);
}

copy_records_reply peer_endpoint::HandleCopyRecords(
  const copy_records_message& aMessage)
{
  // The joining router's record is learned first, so that this holder accepts
  // no more requests under the record before it.
  mDriver.Execute(
    mState.mOwnership.HandleAnnouncement(aMessage.mRecord, MonotonicNow()));
  return mRecords.HandleCopyRecords(aMessage);
}

configuration_reply peer_endpoint::HandleFetchConfigurationRequest()
{
  return { mState.mConfiguration.Revision(), mState.mConfiguration.Text() };
}

groups_reply peer_endpoint::HandleFetchGroupsRequest()
{
  return mState.mOwnership.HandleFetchGroupsRequest();
}

} // namespace parsleystair
