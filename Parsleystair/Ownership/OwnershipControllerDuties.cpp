// Periodic duties of ownership_controller: reading back, announcing and writing
// records, renewing grants and requesting confirmations. The read-only queries
// are here as well.
#include "Parsleystair/Ownership/OwnershipController.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr size_t kRenewerCount = 2;
/// The renewers and the third router by rank write records.
constexpr size_t kWriterCount = 3;
/// Interval between requests for records from other routers.
constexpr duration kFetchInterval = 500ms;
/// Interval between evaluations for changes that become due by time alone: the
/// replacement of absent holders and the end of the settling delay of a
/// configuration.
constexpr duration kEvaluationInterval = 500ms;

} // namespace

ownership_actions ownership_controller::Tick(time_point aNow, wall_time aWall)
{
  mWallTime = aWall;
  // After a pause of this process, answers may still be unread in its sockets,
  // so missing answers do not count.
  if (mTickAt && aNow - *mTickAt > mSettings.mTargetLossTimeout / 2) {
    mGrantSender.RestartLossDetection(aNow);
  }
  mTickAt = aNow;
  auto lost = mGrantSender.LostTargets(aNow);
  // When a network cut ends, half of the targets answer before the rest have
  // had time to, so restart their loss timeout.
  const bool isCutOff = mGrantSender.IsCutOff(lost);
  if (mIsCutOff && !isCutOff) {
    mGrantSender.RestartLossDetection(aNow);
    lost.clear();
  }
  const bool hasChanged = mIsCutOff != isCutOff || lost != mLostTargets;
  mIsCutOff = isCutOff;
  mLostTargets = std::move(lost);
  std::erase_if(mPlannedMoves, [&](const auto& aEntry) {
    return mPlannedMoveExpiry.at(aEntry.first) <= aNow;
  });
  std::erase_if(mPlannedMoveExpiry,
                [&](const auto& aEntry) { return aEntry.second <= aNow; });
  ownership_actions actions;
  for (auto& [group, state] : mGroups) {
    state.mNextEvaluationAt = hasChanged ? aNow : state.mNextEvaluationAt;
    state.Update(mRouters, aNow);
    Advance(state, aNow, actions);
  }
  RequestConfirmations(aNow, actions);
  RequestRecords(aNow, actions);
  return ProcessChanges(aNow, std::move(actions));
}

ownership_actions ownership_controller::ProcessChanges(
  time_point aNow,
  ownership_actions aActions)
{
  std::set<group_index> changed;
  changed.swap(mChangedGroups);
  for (const group_index& group : changed) {
    group_state& state = State(group);
    state.mNextEvaluationAt = aNow;
    state.Update(mRouters, aNow);
    Advance(state, aNow, aActions);
  }
  if (mConfiguration) {
    mGrantSender.Send(mGroups, *mConfiguration, aNow, aActions);
  }
  return aActions;
}

void ownership_controller::Advance(group_state& aState,
                                   time_point aNow,
                                   ownership_actions& aActions)
{
  const bool hasDuties = aState.mRank < kWriterCount || IsJoining(aState);
  if (!mConfiguration || !hasDuties) {
    return;
  }
  if (aState.mReadBackSince) {
    ReadBack(aState, aNow, aActions);
    return;
  }
  Announce(aState, aNow, aActions);
  if (!aState.mPendingWrite) {
    WriteNextRecord(aState, aNow, aActions);
  }
}

void ownership_controller::ReadBack(group_state& aState,
                                    time_point aNow,
                                    ownership_actions& aActions) const
{
  if (aNow < aState.mReadBackSentAt + mSettings.mPollInterval) {
    return;
  }
  aState.mReadBackSentAt = aNow;
  aActions.emplace_back(read_group{ aState.Record().mGroup });
}

void ownership_controller::Announce(group_state& aState,
                                    time_point aNow,
                                    ownership_actions& aActions) const
{
  const group_record& record = aState.Record();
  const bool isJoining = IsJoining(aState);
  const bool hasJoining =
    std::any_of(record.mHolders.begin(),
                record.mHolders.end(),
                [](const auto& aHolder) { return aHolder.mJoining; });
  const auto& progress = aState.Progress();
  const bool hasUnacked =
    std::any_of(progress.begin(), progress.end(), [](const auto& aEntry) {
      return !aEntry.second.mQuorumAckedAt.has_value();
    });
  // Only renewers and joining routers announce; the third router by rank does
  // so once it has become a renewer.
  const bool canAnnounce = aState.mRank < kRenewerCount || isJoining;
  if (!canAnnounce || !(hasUnacked || hasJoining) ||
      aNow < aState.mAnnouncedAt + mSettings.mAnnounceRetryInterval) {
    return;
  }
  aState.mAnnouncedAt = aNow;
  for (const vm_name& holder : aState.Unacknowledged(mRouters, aNow)) {
    aActions.emplace_back(announce_record{ holder, record });
  }
  if (isJoining && !aState.mRecordsCopied) {
    copy_group_records copy{ record, {} };
    for (const group_holder& holder : record.mHolders) {
      if (!holder.mJoining) {
        copy.mHolders.push_back(holder.mVm);
      }
    }
    aActions.emplace_back(std::move(copy));
  }
}

std::optional<group_record> ownership_controller::NextRecord(
  const group_state& aState,
  time_point aNow) const
{
  static const std::vector<slot_id> kNoSlots;
  const auto slots = mSlotsOfGroup.find(aState.Record().mGroup);
  const edit_context context{
    mSettings,
    *mConfiguration,
    mRouters,
    slots == mSlotsOfGroup.end() ? kNoSlots : slots->second,
    mLostTargets,
    mPlannedMoves,
    mLongestDeadlines,
    !mIsCutOff,
    aNow >= mConfigurationSince + mSettings.mConfigurationSettleDelay,
    WallTimeMs(aNow),
    aNow
  };
  return record_editor(aState, context).Edit();
}

void ownership_controller::WriteNextRecord(group_state& aState,
                                           time_point aNow,
                                           ownership_actions& aActions)
{
  // Write only if a recent poll was answered, so that the known record is
  // current. A new process waits before it creates groups.
  if (!HasPollWithin(mSettings.mAuthorityDuration, aNow) ||
      WritesInFlight() >= mSettings.mMaxWritesInFlight ||
      aState.NewestRevision() != aState.Record().mRevision ||
      (!aState.Exists() && aNow < mStartedAt + mSettings.mGroupCreationDelay)) {
    return;
  }
  // Building the next record copies all slots, so do it only when something may
  // have changed.
  if (aNow < aState.mNextEvaluationAt && !aState.HasFinishableMove(aNow)) {
    return;
  }
  auto next = NextRecord(aState, aNow);
  if (!next) {
    aState.mChangePendingSince.reset();
    aState.mNextEvaluationAt = aNow + kEvaluationInterval;
    return;
  }
  // Give routers of lower rank number time to write the change first. A joining
  // router does not wait, since only it knows when it has copied the records.
  aState.mChangePendingSince = aState.mChangePendingSince.value_or(aNow);
  const auto delay =
    mSettings.mTakeoverDelay * static_cast<int64_t>(aState.mRank);
  if (!IsJoining(aState) && aNow - *aState.mChangePendingSince < delay) {
    return;
  }
  if (aState.Exists()) {
    aState.CheckNextRecord(*next, aNow);
  }
  const store_revision expected = aState.Record().mRevision;
  aState.mPendingWrite = pending_write{ expected, *next, aNow };
  aActions.emplace_back(write_group{ expected, std::move(*next) });
}

void ownership_controller::RequestConfirmations(time_point aNow,
                                                ownership_actions& aActions)
{
  if (HasPollWithin(mSettings.mStoreTimeout, aNow) ||
      aNow < mConfirmationsRequestedAt + mSettings.mRenewInterval) {
    return;
  }
  mConfirmationsRequestedAt = aNow;
  std::map<vm_name, request_confirmation> requests;
  for (const auto& [group, state] : mGroups) {
    const group_record& record = state.Record();
    // Every router needs authority to send requests to targets that do not
    // check grants.
    if (!state.Exists() ||
        (state.mRank >= kRenewerCount && !HasOwnerWithoutGrantChecks(record))) {
      continue;
    }
    for (const group_holder& holder : record.mHolders) {
      const bool isOther = holder.mVm != mRouters.Self().mVm.mName;
      if (isOther && !holder.mJoining &&
          mRouters.FindLive(holder.mVm) != nullptr) {
        request_confirmation& request = requests[holder.mVm];
        request.mHolder = holder.mVm;
        request.mGroups.push_back({ group, record.mRevision });
      }
    }
  }
  for (auto& [holder, request] : requests) {
    aActions.emplace_back(std::move(request));
  }
}

void ownership_controller::RequestRecords(time_point aNow,
                                          ownership_actions& aActions)
{
  const bool isMissing =
    std::any_of(mGroups.begin(), mGroups.end(), [](const auto& aEntry) {
      return !aEntry.second.IsReady();
    });
  if (HasPollWithin(mSettings.mStoreTimeout, aNow) ||
      aNow < mRecordsRequestedAt + kFetchInterval ||
      (!isMissing && !mGroups.empty())) {
    return;
  }
  mRecordsRequestedAt = aNow;
  for (const auto& [name, router] : mRouters.Live()) {
    if (name != mRouters.Self().mVm.mName) {
      aActions.emplace_back(fetch_groups{ name });
    }
  }
}

confirm_result ownership_controller::HandleConfirmRequest(
  const confirm_message& aMessage) const
{
  const auto found = mGroups.find(aMessage.mGroup);
  if (found == mGroups.end() || !found->second.IsReady()) {
    return confirm_result::kNotReady;
  }
  return found->second.NewestRevision() > aMessage.mRevision
           ? confirm_result::kNewer
           : confirm_result::kConfirmed;
}

groups_reply ownership_controller::HandleFetchGroupsRequest() const
{
  groups_reply reply;
  for (const auto& [group, state] : mGroups) {
    if (state.Exists() && state.IsReady()) {
      reply.mRecords.push_back(state.Record());
    }
  }
  return reply;
}

const group_record* ownership_controller::FindRecord(group_index aGroup) const
{
  const auto found = mGroups.find(aGroup);
  return found == mGroups.end() || !found->second.Exists()
           ? nullptr
           : &found->second.Record();
}

bool ownership_controller::HasAuthority(group_index aGroup,
                                        time_point aNow) const
{
  return aNow < AuthorityUntil(aGroup);
}

time_point ownership_controller::AuthorityUntil(group_index aGroup) const
{
  const auto found = mGroups.find(aGroup);
  return found == mGroups.end() ? time_point::min()
                                : found->second.AuthorityUntil();
}

size_t ownership_controller::Rank(group_index aGroup) const
{
  const auto found = mGroups.find(aGroup);
  return found == mGroups.end() ? mRouters.Live().size() : found->second.mRank;
}

bool ownership_controller::IsTerminated(const vm_name& aVm,
                                        time_point aNow) const
{
  return mRouters.IsTerminated(aVm, mSettings.mGoneDelay, aNow);
}

bool ownership_controller::IsRenewer(group_index aGroup) const
{
  return Rank(aGroup) < kRenewerCount;
}

ownership_dump ownership_controller::Dump(time_point aNow) const
{
  ownership_dump dump;
  dump.mSelf = mRouters.Self().mVm;
  dump.mIsStoreAnswering = HasPollWithin(mSettings.mAuthorityDuration, aNow);
  dump.mIsCutOff = mIsCutOff;
  dump.mCounters = mCounters;
  for (const auto& [group, state] : mGroups) {
    dump.mGroups.push_back({ state.Record(),
                             state.mRank,
                             state.IsReady(),
                             aNow < state.AuthorityUntil(),
                             state.mPendingWrite.has_value(),
                             state.Progress() });
  }
  for (const auto& [target, session] : mGrantSender.Sessions()) {
    dump.mTargets.push_back({ target,
                              session.IsLost(aNow),
                              session.BootId(),
                              session.LastAnswerAt() });
  }
  return dump;
}

bool ownership_controller::IsJoining(const group_state& aState) const
{
  const vm_identity& self = mRouters.Self().mVm;
  const auto& holders = aState.Record().mHolders;
  return std::any_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
    return aHolder.mJoining && aHolder.mVm == self.mName &&
           aHolder.mIncarnation == self.mIncarnation;
  });
}

size_t ownership_controller::WritesInFlight() const
{
  return static_cast<size_t>(
    std::count_if(mGroups.begin(), mGroups.end(), [](const auto& aEntry) {
      return aEntry.second.mPendingWrite.has_value();
    }));
}

bool ownership_controller::HasPollWithin(duration aTime, time_point aNow) const
{
  return mAnsweredPollSentAt && aNow - *mAnsweredPollSentAt < aTime;
}

bool ownership_controller::HasOwnerWithoutGrantChecks(
  const group_record& aRecord) const
{
  for (const auto& [slot, ownership] : aRecord.mSlots) {
    const service_configuration* service =
      mConfiguration ? mConfiguration->FindService(slot.mService) : nullptr;
    const target_configuration* target =
      service == nullptr ? nullptr : FindTarget(*service, ownership.mOwner);
    if (target != nullptr && !target->mChecksGrants) {
      return true;
    }
  }
  return false;
}

uint64_t ownership_controller::WallTimeMs(time_point aNow) const
{
  const duration sinceTick = mTickAt ? aNow - *mTickAt : duration::zero();
  return static_cast<uint64_t>((mWallTime.time_since_epoch() + sinceTick) /
                               std::chrono::milliseconds(1));
}

} // namespace parsleystair
