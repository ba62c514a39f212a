#include "Parsleystair/Tasks/OwnershipDriver.h"

#include "Parsleystair/Core/Clock.h"

namespace parsleystair {

ownership_driver::ownership_driver(ownership_controller& aController,
                                   platform_store& aStore,
                                   peer_client& aPeers,
                                   target_links& aTargets,
                                   peer_resolver aResolver)
  : mController(aController)
  , mStore(aStore)
  , mPeers(aPeers)
  , mTargets(aTargets)
  , mResolver(std::move(aResolver))
{
}

void ownership_driver::OnCopyRecords(copy_handler aHandler)
{
  mCopyHandler = std::move(aHandler);
}

void ownership_driver::Execute(const ownership_actions& aActions)
{
  for (const ownership_action& action : aActions) {
    std::visit([this](const auto& aContent) { Do(aContent); }, action);
  }
}

void ownership_driver::Do(const send_grants& aAction)
{
  const time_point sentAt = MonotonicNow();
  if (sentAt >= aAction.mValidUntil) {
    return;
  }
  const target_id target = aAction.mTarget;
  mTargets.SendGrants(
    target,
    aAction.mMessage,
    [this, target, sentAt](const std::optional<grant_reply>& aReply) {
      const time_point now = MonotonicNow();
      Execute(aReply
                ? mController.HandleGrantReply(target, *aReply, sentAt, now)
                : mController.HandleGrantFailure(target, now));
    });
}

void ownership_driver::Do(const probe_target& aAction)
{
  const time_point sentAt = MonotonicNow();
  const target_id target = aAction.mTarget;
  mTargets.Probe(target, [this, target, sentAt](bool aAnswered) {
    const time_point now = MonotonicNow();
    Execute(aAnswered ? mController.HandleAnswered(target, sentAt, now)
                      : mController.HandleGrantFailure(target, now));
  });
}

void ownership_driver::Do(const write_group& aAction)
{
  const group_index group = aAction.mRecord.mGroup;
  const std::string key = GroupKey(group);
  transaction_request request;
  request.mCompares = { { key, aAction.mExpected } };
  request.mPuts = { { key, EncodeGroupRecord(aAction.mRecord) } };
  mStore.Transact(request, [this, group](const transaction_reply& aReply) {
    Execute(mController.HandleWriteReply(group, aReply, MonotonicNow()));
  });
}

void ownership_driver::Do(const read_group& aAction)
{
  const time_point askedAt = MonotonicNow();
  const group_index group = aAction.mGroup;
  range_request request;
  request.mFrom = GroupKey(group);
  mStore.Range(request, [this, group, askedAt](const range_reply& aReply) {
    Execute(
      mController.HandleGroupRead(group, aReply, askedAt, MonotonicNow()));
  });
}

void ownership_driver::Do(const request_confirmation& aAction)
{
  const auto address = mResolver(aAction.mHolder);
  if (!address) {
    return;
  }
  const vm_name holder = aAction.mHolder;
  const time_point askedAt = MonotonicNow();
  for (const group_revision& asked : aAction.mGroups) {
    mPeers.Confirm(*address,
                   { asked.mGroup, asked.mRevision },
                   [this, holder, asked, askedAt](
                     const peer_result<confirm_result>& aResult) {
                     if (aResult.mStatus != peer_status::kReplied) {
                       return;
                     }
                     Execute(mController.HandleConfirmReply(
                       holder, asked, aResult.mReply, askedAt, MonotonicNow()));
                   });
  }
}

void ownership_driver::Do(const announce_record& aAction)
{
  const auto address = mResolver(aAction.mHolder);
  if (!address) {
    return;
  }
  const vm_name holder = aAction.mHolder;
  const group_revision announced{ aAction.mRecord.mGroup,
                                  aAction.mRecord.mRevision };
  const time_point sentAt = MonotonicNow();
  mPeers.Announce(*address,
                  { aAction.mRecord },
                  [this, holder, announced, sentAt](
                    const peer_result<acknowledgement>& aResult) {
                    if (aResult.mStatus != peer_status::kReplied) {
                      return;
                    }
                    Execute(mController.HandleAnnounceAck(
                      holder, announced, sentAt, MonotonicNow()));
                  });
}

void ownership_driver::Do(const copy_group_records& aAction)
{
  if (mCopyHandler) {
    mCopyHandler(aAction);
  }
}

void ownership_driver::Do(const fetch_groups& aAction)
{
  const auto address = mResolver(aAction.mVm);
  if (!address) {
    return;
  }
  const vm_name vm = aAction.mVm;
  const time_point askedAt = MonotonicNow();
  mPeers.FetchGroups(
    *address, [this, vm, askedAt](const peer_result<groups_reply>& aResult) {
      if (aResult.mStatus != peer_status::kReplied) {
        return;
      }
      Execute(mController.HandleFetchGroupsReply(
        vm, aResult.mReply, askedAt, MonotonicNow()));
    });
}

} // namespace parsleystair
