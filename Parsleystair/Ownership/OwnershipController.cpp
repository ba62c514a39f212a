#include "Parsleystair/Ownership/OwnershipController.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <charconv>

namespace parsleystair {

namespace {

/// Counts the slots whose fence, and therefore owner, differs in the newer
/// record.
size_t CountOwnerChanges(const group_record& aOld, const group_record& aNew)
{
  size_t changes = 0;
  for (const auto& [slot, ownership] : aNew.mSlots) {
    const auto old = aOld.mSlots.find(slot);
    const bool isChanged =
      old != aOld.mSlots.end() && old->second.mFence != ownership.mFence;
    changes += isChanged ? 1 : 0;
  }
  return changes;
}

} // namespace

ownership_controller::ownership_controller(live_router aSelf,
                                           const ownership_settings& aSettings,
                                           time_point aNow)
  : mSettings(aSettings)
  , mRouters(std::move(aSelf))
  , mStartedAt(aNow)
  , mGrantSender(mRouters.Self().mVm.mName, aSettings)
{
}

group_state& ownership_controller::State(group_index aGroup)
{
  const auto [found, added] = mGroups.try_emplace(aGroup, aGroup, mSettings);
  if (added) {
    UpdateRank(found->second);
  }
  return found->second;
}

ownership_actions ownership_controller::HandleConfiguration(
  std::shared_ptr<const configuration> aConfiguration,
  time_point aNow)
{
  if (mConfiguration &&
      aConfiguration->mRevision <= mConfiguration->mRevision) {
    return {};
  }
  PARSLEYSTAIR_INVARIANT(!mConfiguration || aConfiguration->mGroupCount ==
                                              mConfiguration->mGroupCount);
  mConfiguration = std::move(aConfiguration);
  mConfigurationSince = aNow;
  mSlotsOfGroup.clear();
  for (const service_configuration& service : mConfiguration->mServices) {
    // Keep the longest deadline, since requests started under an earlier
    // configuration may still run.
    duration& longest = mLongestDeadlines[service.mName];
    for (const request_rule& rule : service.mRules) {
      longest = std::max(longest, rule.mDeadline);
    }
    if (service.mOwnership != ownership_mode::kExclusive) {
      continue;
    }
    for (uint32_t i = 0; i < TotalSlots(service); ++i) {
      const group_index group =
        GroupOf(service.mName, slot_index(i), mConfiguration->mGroupCount);
      mSlotsOfGroup[group].push_back({ service.mName, slot_index(i) });
    }
  }
  for (uint32_t i = 0; i < mConfiguration->mGroupCount; ++i) {
    UpdateRank(State(group_index(i)));
    mChangedGroups.insert(group_index(i));
  }
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleRouters(const router_view& aView,
                                                      time_point aNow)
{
  mRouters.SetView(aView, aNow);
  for (auto& [group, state] : mGroups) {
    UpdateRank(state);
    mChangedGroups.insert(group);
  }
  return ProcessChanges(aNow, {});
}

range_request ownership_controller::NextPoll() const
{
  range_request request;
  request.mFrom = kPollFrom;
  request.mTo = kPollTo;
  if (mPolledRevision > store_revision()) {
    request.mMinModRevision = store_revision(mPolledRevision.Value() + 1);
  }
  return request;
}

ownership_actions ownership_controller::HandlePollReply(
  const range_reply& aReply,
  time_point aAskedAt,
  time_point aNow)
{
  if (!ApplyEntries(aReply, aAskedAt, aNow)) {
    return {};
  }
  mPolledRevision = std::max(mPolledRevision, aReply.mStoreRevision);
  mAnsweredPollSentAt =
    std::max(mAnsweredPollSentAt.value_or(aAskedAt), aAskedAt);
  for (auto& [group, state] : mGroups) {
    state.HandleStoreConfirmation(aAskedAt);
    FinishReadBack(state, aAskedAt);
  }
  mGrantSender.HandleNewAuthority();
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleGroupRead(
  group_index aGroup,
  const range_reply& aReply,
  time_point aAskedAt,
  time_point aNow)
{
  if (!ApplyEntries(aReply, aAskedAt, aNow)) {
    return {};
  }
  group_state& state = State(aGroup);
  state.HandleStoreConfirmation(aAskedAt);
  FinishReadBack(state, aAskedAt);
  mChangedGroups.insert(aGroup);
  return ProcessChanges(aNow, {});
}

void ownership_controller::FinishReadBack(group_state& aState,
                                          time_point aAskedAt)
{
  if (aState.mReadBackSince && aAskedAt >= *aState.mReadBackSince) {
    aState.mReadBackSince.reset();
  }
}

bool ownership_controller::ApplyEntries(const range_reply& aReply,
                                        time_point aAskedAt,
                                        time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aAskedAt <= aNow);
  if (aReply.mStatus != store_status::kReplied) {
    return false;
  }
  for (const store_entry& entry : aReply.mEntries) {
    ApplyEntry(entry, aNow);
  }
  return true;
}

void ownership_controller::ApplyEntry(const store_entry& aEntry,
                                      time_point aNow)
{
  const std::string prefix = kGroupPrefix;
  if (aEntry.mKey.compare(0, prefix.size(), prefix) != 0) {
    return;
  }
  try {
    const group_record record =
      DecodeGroupRecord(aEntry.mValue, aEntry.mModRevision);
    if (GroupKey(record.mGroup) != aEntry.mKey) {
      throw parse_error("group record: the group does not match the store key");
    }
    if (State(record.mGroup).Record().mRevision > record.mRevision) {
      ++mCounters.mStaleStoreEntries;
    }
    ApplyRecord(record, aNow);
  } catch (const parse_error&) {
    ++mCounters.mUnreadableRecords;
    // Grants must not be renewed based on the previous record.
    const std::string number = aEntry.mKey.substr(prefix.size());
    uint32_t group = 0;
    const char* end = number.data() + number.size();
    if (std::from_chars(number.data(), end, group).ptr == end) {
      State(group_index(group)).HandleUnreadableRecord(aEntry.mModRevision);
    }
  }
}

void ownership_controller::ApplyRecord(const group_record& aRecord,
                                       time_point aNow)
{
  group_state& state = State(aRecord.mGroup);
  if (!state.ApplyRecord(aRecord, aNow)) {
    return;
  }
  DropStartedMoves(aRecord);
  state.mRecordsCopied = state.mRecordsCopied && IsJoining(state);
  UpdateRank(state);
  mGrantSender.SetTargets(aRecord.mGroup, aRecord);
  mChangedGroups.insert(aRecord.mGroup);
}

void ownership_controller::DropStartedMoves(const group_record& aRecord)
{
  std::erase_if(mPlannedMoves, [&](const auto& aEntry) {
    const auto slot = aRecord.mSlots.find(aEntry.first);
    const bool isMoving =
      slot != aRecord.mSlots.end() && slot->second.mMove.has_value();
    if (isMoving) {
      mPlannedMoveExpiry.erase(aEntry.first);
    }
    return isMoving;
  });
}

void ownership_controller::UpdateRank(group_state& aState)
{
  aState.mRank = mRouters.RankOfSelf(aState.Record(), mConfiguration.get());
}

ownership_actions ownership_controller::HandleWriteReply(
  group_index aGroup,
  const transaction_reply& aReply,
  time_point aNow)
{
  group_state& state = State(aGroup);
  if (!state.mPendingWrite) {
    ++mCounters.mStaleWriteReplies;
    return {};
  }
  pending_write write = std::move(*state.mPendingWrite);
  state.mPendingWrite.reset();
  mChangedGroups.insert(aGroup);
  if (aReply.mStatus == store_status::kReplied && aReply.mSucceeded) {
    PARSLEYSTAIR_INVARIANT(aReply.mStoreRevision > write.mExpected);
    write.mRecord.mRevision = aReply.mStoreRevision;
    mCounters.mOwnerChanges += CountOwnerChanges(state.Record(), write.mRecord);
    ApplyRecord(write.mRecord, aNow);
    return ProcessChanges(aNow, {});
  }
  // Whether the write failed or its outcome is unknown, read the record back
  // before the next write.
  state.mReadBackSince = aNow;
  state.mReadBackSentAt = time_point::min();
  if (aReply.mStatus == store_status::kUnknown) {
    ++mCounters.mUnknownWrites;
  } else if (aReply.mStatus == store_status::kReplied) {
    ++mCounters.mConflictingWrites;
  }
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleConfirmReply(
  const vm_name& aHolder,
  const group_revision& aRevision,
  confirm_result aResult,
  time_point aAskedAt,
  time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aAskedAt <= aNow);
  group_state& state = State(aRevision.mGroup);
  if (aRevision.mRevision != state.Record().mRevision) {
    ++mCounters.mStaleConfirms;
    return {};
  }
  if (aResult != confirm_result::kConfirmed) {
    return {};
  }
  state.HandleHolderConfirmation(aHolder, aRevision.mRevision, aAskedAt);
  state.Update(mRouters, aNow);
  mGrantSender.HandleNewAuthority();
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleAnnounceAck(
  const vm_name& aHolder,
  const group_revision& aRevision,
  time_point aSentAt,
  time_point aNow)
{
  group_state& state = State(aRevision.mGroup);
  if (aRevision.mRevision < state.Record().mRevision) {
    ++mCounters.mStaleAcks;
  }
  state.HandleAck(aHolder, aRevision.mRevision, aSentAt);
  mChangedGroups.insert(aRevision.mGroup);
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleAnnouncement(
  const group_record& aRecord,
  time_point aNow)
{
  if (aRecord.mRevision < State(aRecord.mGroup).Record().mRevision) {
    ++mCounters.mStaleAnnouncements;
  }
  ApplyRecord(aRecord, aNow);
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleFetchGroupsReply(
  const vm_name& aVm,
  const groups_reply& aReply,
  time_point aAskedAt,
  time_point aNow)
{
  for (const group_record& record : aReply.mRecords) {
    ApplyRecord(record, aNow);
    if (aAskedAt >= mStartedAt + mSettings.RecoveryDelay()) {
      State(record.mGroup).HandleFetchedRecord(aVm);
    }
    mChangedGroups.insert(record.mGroup);
  }
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleRecordsCopied(
  group_index aGroup,
  std::optional<wall_time> aLostUntil,
  time_point aNow)
{
  group_state& state = State(aGroup);
  state.mRecordsCopied = IsJoining(state);
  state.mRecordsLostUntil = aLostUntil;
  mChangedGroups.insert(aGroup);
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleGrantReply(
  const target_id& aTarget,
  const grant_reply& aReply,
  time_point aSentAt,
  time_point aNow)
{
  mCounters.mRejectedByTargets += aReply.mStale.size();
  if (!mGrantSender.HandleReply(aTarget, aReply, aSentAt, aNow)) {
    ++mCounters.mStaleGrantReplies;
    return ProcessChanges(aNow, {});
  }
  for (const accepted_grant& grant : aReply.mAccepted) {
    std::vector<slot_id> busySlots;
    for (const busy_slots& busy : aReply.mBusy) {
      if (busy.mGroup == grant.mGroup) {
        busySlots = busy.mSlots;
      }
    }
    group_state& state = State(grant.mGroup);
    if (!state.Progress().empty()) {
      state.HandleAcceptedGrant(aTarget, grant.mRevision, busySlots, aSentAt);
      mChangedGroups.insert(grant.mGroup);
    }
  }
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleGrantFailure(
  const target_id& /*aTarget*/,
  time_point aNow)
{
  ++mCounters.mFailedGrants;
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandleAnswered(const target_id& aTarget,
                                                       time_point aSentAt,
                                                       time_point aNow)
{
  mGrantSender.HandleAnswer(aTarget, aSentAt, aNow);
  return ProcessChanges(aNow, {});
}

ownership_actions ownership_controller::HandlePlannedMoves(
  const std::vector<planned_move>& aMoves,
  time_point aNow)
{
  for (const planned_move& move : aMoves) {
    mPlannedMoves[move.mSlot] = move;
    mPlannedMoveExpiry[move.mSlot] = aNow + mSettings.mPlannedMoveTtl;
    if (mConfiguration) {
      mChangedGroups.insert(GroupOf(
        move.mSlot.mService, move.mSlot.mSlot, mConfiguration->mGroupCount));
    }
  }
  return ProcessChanges(aNow, {});
}

} // namespace parsleystair
