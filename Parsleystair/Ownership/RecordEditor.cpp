#include "Parsleystair/Ownership/RecordEditor.h"

#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr size_t kHoldersPerGroup = 3;

bool HasJoining(const group_record& aRecord)
{
  return std::any_of(aRecord.mHolders.begin(),
                     aRecord.mHolders.end(),
                     [](const auto& aHolder) { return aHolder.mJoining; });
}

} // namespace

target_name RendezvousTarget(const slot_id& aSlot,
                             const std::vector<target_name>& aCandidates)
{
  PARSLEYSTAIR_INVARIANT(!aCandidates.empty());
  const std::string prefix =
    aSlot.mService.Value() + '\0' + std::to_string(aSlot.mSlot.Value()) + '\0';
  return *std::max_element(
    aCandidates.begin(),
    aCandidates.end(),
    [&](const target_name& aLeft, const target_name& aRight) {
      return Hash64(prefix + aLeft.Value()) < Hash64(prefix + aRight.Value());
    });
}

record_editor::record_editor(const group_state& aState,
                             const edit_context& aContext)
  : mState(aState)
  , mContext(aContext)
  , mNext(aState.Record())
{
}

std::optional<group_record> record_editor::Edit()
{
  if (!mState.Exists()) {
    mNext.mHolders =
      mContext.mRouters.ChooseHolders(mNext.mGroup, mContext.mConfiguration);
    AddMissingSlots();
    return mNext.mHolders.empty() ? std::nullopt : std::optional(mNext);
  }
  FinishMoves();
  // After a change of holders, the quorum must have acknowledged the record
  // before moves start.
  const bool mayStart =
    mContext.mCanStartMoves &&
    (!HasJoining(mNext) ||
     mState.IsQuorumAcked(mNext.mRevision, mContext.mRouters, mContext.mNow));
  if (mayStart) {
    StartMoves();
    AddMissingSlots();
  }
  // Holders change in a separate write, one holder at a time.
  if (mNext == mState.Record()) {
    EditHolders();
  }
  return mNext == mState.Record() ? std::nullopt : std::optional(mNext);
}

void record_editor::AddMissingSlots()
{
  for (const slot_id& slot : mContext.mSlots) {
    slot_ownership& ownership = mNext.mSlots[slot];
    if (ownership.mOwner != target_name() || ownership.mMove) {
      continue;
    }
    const auto to = ChooseTarget(slot);
    if (!to) {
      mNext.mSlots.erase(slot);
      continue;
    }
    // Above any fence that the slot had before it was withdrawn.
    ownership.mFence =
      std::max(ownership.mFence, fence(mNext.mRevision.Value()));
    ownership.mMove = slot_move{ *to, move_reason::kInitial };
  }
}

void record_editor::FinishMoves()
{
  for (auto& [slot, ownership] : mNext.mSlots) {
    if (!ownership.mMove) {
      continue;
    }
    const duration extraWait = ExtraWait(slot, ownership.mOwner);
    if (!mState.CanFinishMove(slot, extraWait, mContext.mNow)) {
      continue;
    }
    // The destination may have been lost or withdrawn since the move started.
    std::optional<target_name> to = ownership.mMove->mDestination;
    if (!IsConfigured(slot)) {
      to = mContext.mIsConfigurationSettled ? std::optional(target_name())
                                            : std::nullopt;
    } else if (!IsUsable({ slot.mService, *to })) {
      to = ChooseTarget(slot);
    }
    if (!to) {
      continue;
    }
    // The revision that this write replaces is that of the intent or of a later
    // write to the group, so it is above every fence that the slot had.
    const fence next(mNext.mRevision.Value());
    PARSLEYSTAIR_INVARIANT(next > ownership.mFence);
    ownership.mOwner = *to;
    ownership.mFence = next;
    ownership.mMove.reset();
    ownership.mSinceMs = mContext.mWallTimeMs;
  }
}

void record_editor::StartMoves()
{
  for (auto slot = mNext.mSlots.begin(); slot != mNext.mSlots.end();) {
    slot_ownership& ownership = slot->second;
    const bool isWithdrawn =
      mContext.mIsConfigurationSettled && !IsConfigured(slot->first);
    const bool isIdle = ownership.mOwner == target_name() && !ownership.mMove;
    if (isWithdrawn && isIdle) {
      slot = mNext.mSlots.erase(slot);
      continue;
    }
    // A slot that gets a new owner in this write does not start another move in
    // the same write.
    const auto before = mState.Record().mSlots.find(slot->first);
    if (!isIdle && !ownership.mMove && !before->second.mMove) {
      ownership.mMove = ChooseMove(slot->first, ownership);
    }
    ++slot;
  }
}

std::optional<slot_move> record_editor::ChooseMove(
  const slot_id& aSlot,
  const slot_ownership& aOwnership) const
{
  if (!IsConfigured(aSlot)) {
    return mContext.mIsConfigurationSettled
             ? std::optional(slot_move{ target_name(), move_reason::kOperator })
             : std::nullopt;
  }
  const target_id owner{ aSlot.mService, aOwnership.mOwner };
  const service_configuration& service =
    *mContext.mConfiguration.FindService(aSlot.mService);
  const target_configuration* target = FindTarget(service, owner.mTarget);
  // Check whether the owner is lost or leaving.
  std::optional<move_reason> reason;
  if (mContext.mLostTargets.count(owner) != 0 ||
      (target == nullptr && mContext.mIsConfigurationSettled)) {
    reason = move_reason::kTargetLost;
  } else if (target != nullptr && target->mDraining) {
    reason = move_reason::kTargetDraining;
  }
  if (reason) {
    const auto to = ChooseTarget(aSlot);
    return to ? std::optional(slot_move{ *to, *reason }) : std::nullopt;
  }
  // Otherwise start the planned move, if its destination is still usable.
  const auto planned = mContext.mPlannedMoves.find(aSlot);
  if (planned == mContext.mPlannedMoves.end() ||
      planned->second.mDestination == owner.mTarget ||
      !IsUsable({ aSlot.mService, planned->second.mDestination })) {
    return std::nullopt;
  }
  return slot_move{ planned->second.mDestination, planned->second.mReason };
}

bool record_editor::IsConfigured(const slot_id& aSlot) const
{
  const service_configuration* service =
    mContext.mConfiguration.FindService(aSlot.mService);
  return service != nullptr &&
         service->mOwnership == ownership_mode::kExclusive &&
         aSlot.mSlot.Value() < TotalSlots(*service);
}

bool record_editor::IsUsable(const target_id& aTarget) const
{
  const service_configuration* service =
    mContext.mConfiguration.FindService(aTarget.mService);
  const target_configuration* target =
    service == nullptr ? nullptr : FindTarget(*service, aTarget.mTarget);
  return target != nullptr && !target->mDraining &&
         mContext.mLostTargets.count(aTarget) == 0;
}

duration record_editor::ExtraWait(const slot_id& aSlot,
                                  const target_name& aOwner) const
{
  const service_configuration* service =
    mContext.mConfiguration.FindService(aSlot.mService);
  const target_configuration* target =
    service == nullptr ? nullptr : FindTarget(*service, aOwner);
  if (target != nullptr && target->mChecksGrants) {
    return duration::zero();
  }
  // A target that does not check grants may run requests until their deadline.
  const auto deadline = mContext.mLongestDeadlines.find(aSlot.mService);
  return deadline == mContext.mLongestDeadlines.end() ? duration::zero()
                                                      : deadline->second;
}

std::optional<target_name> record_editor::ChooseTarget(
  const slot_id& aSlot) const
{
  const service_configuration* service =
    mContext.mConfiguration.FindService(aSlot.mService);
  std::vector<target_name> candidates;
  if (service != nullptr) {
    for (const target_configuration& target : service->mTargets) {
      if (IsUsable({ aSlot.mService, target.mName })) {
        candidates.push_back(target.mName);
      }
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return RendezvousTarget(aSlot, candidates);
}

bool record_editor::ShouldKeepHolder(const group_holder& aHolder) const
{
  const live_router* router = mContext.mRouters.FindLive(aHolder.mVm);
  if (router == nullptr) {
    return !mContext.mRouters.IsAbsentFor(
      aHolder.mVm, mContext.mSettings.mHolderReplacementDelay, mContext.mNow);
  }
  // A holder whose process has restarted has lost its at-most-once records.
  return !router->mLeaving && router->mVm.mIncarnation == aHolder.mIncarnation;
}

bool record_editor::IsReachable(const group_holder& aHolder) const
{
  return mContext.mRouters.FindLive(aHolder.mVm) != nullptr ||
         mContext.mRouters.IsTerminated(
           aHolder.mVm, mContext.mSettings.mGoneDelay, mContext.mNow);
}

void record_editor::EditHolders()
{
  auto& holders = mNext.mHolders;
  // When the VMs of all holders have terminated, no holder is left to confirm;
  // choose a new set.
  const bool areAllGone =
    std::all_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
      return mContext.mRouters.IsTerminated(
        aHolder.mVm, mContext.mSettings.mGoneDelay, mContext.mNow);
    });
  if (areAllGone) {
    const auto chosen =
      mContext.mRouters.ChooseHolders(mNext.mGroup, mContext.mConfiguration);
    if (!chosen.empty()) {
      holders = chosen;
      mNext.mRecordsLostUntilMs = mContext.mWallTimeMs;
    }
    return;
  }
  if (FinishJoining()) {
    return;
  }
  // While a holder is joining, only a joining holder may be replaced.
  const bool hasJoining = HasJoining(mNext);
  for (size_t i = 0; i < holders.size(); ++i) {
    if (holders[i].mJoining == hasJoining && !ShouldKeepHolder(holders[i]) &&
        ReplaceHolder(i)) {
      return;
    }
  }
  if (!hasJoining && holders.size() < kHoldersPerGroup) {
    AddHolder();
  }
}

bool record_editor::FinishJoining()
{
  const vm_identity& self = mContext.mRouters.Self().mVm;
  for (group_holder& holder : mNext.mHolders) {
    const bool isSelf =
      holder.mVm == self.mName && holder.mIncarnation == self.mIncarnation;
    if (holder.mJoining && isSelf && mState.mRecordsCopied &&
        mState.IsQuorumAcked(
          mNext.mRevision, mContext.mRouters, mContext.mNow)) {
      holder.mJoining = false;
      if (mState.mRecordsLostUntil) {
        mNext.mRecordsLostUntilMs = static_cast<uint64_t>(
          mState.mRecordsLostUntil->time_since_epoch().count());
      }
      return true;
    }
  }
  return false;
}

bool record_editor::ReplaceHolder(size_t aIndex)
{
  std::vector<group_holder> others = mNext.mHolders;
  others.erase(others.begin() + static_cast<ptrdiff_t>(aIndex));
  group_holder& holder = mNext.mHolders[aIndex];
  const live_router* router = mContext.mRouters.FindLive(holder.mVm);
  const bool hasRestarted = router != nullptr && !router->mLeaving;
  if (others.empty()) {
    // No other holder is left to copy records from, so the holder does not have
    // to join.
    if (hasRestarted) {
      holder = { holder.mVm, router->mVm.mIncarnation, false };
      mNext.mRecordsLostUntilMs = mContext.mWallTimeMs;
    }
    return hasRestarted;
  }
  // All other holders have to acknowledge the change. It could not complete
  // while one of them may be running but unreachable, so the holders stay
  // unchanged during a partition.
  const bool canComplete =
    std::all_of(others.begin(), others.end(), [&](const auto& aHolder) {
      return IsReachable(aHolder);
    });
  if (!canComplete) {
    return false;
  }
  // A restarted process rejoins as the same holder.
  if (hasRestarted) {
    holder = { holder.mVm, router->mVm.mIncarnation, true };
    return true;
  }
  const auto chosen = mContext.mRouters.ChooseHolder(
    mNext.mGroup, others, mContext.mConfiguration);
  if (chosen) {
    holder = *chosen;
  }
  return chosen.has_value();
}

void record_editor::AddHolder()
{
  const auto chosen = mContext.mRouters.ChooseHolder(
    mNext.mGroup, mNext.mHolders, mContext.mConfiguration);
  const bool areReachable =
    std::all_of(mNext.mHolders.begin(),
                mNext.mHolders.end(),
                [&](const auto& aHolder) { return IsReachable(aHolder); });
  if (chosen && areReachable) {
    mNext.mHolders.push_back(*chosen);
  }
}

} // namespace parsleystair
