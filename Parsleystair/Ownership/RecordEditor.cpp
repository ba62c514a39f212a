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
  // The set that decides on moves must know of a change of holders first.
  const bool mayStart =
    mContext.mCanStartMoves &&
    (!HasJoining(mNext) ||
     mState.IsQuorumAcked(mNext.mRevision, mContext.mRouters, mContext.mNow));
  if (mayStart) {
    StartMoves();
    AddMissingSlots();
  }
  // Holders change in a write of their own, one at a time.
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
    // The intended owner may have been lost or withdrawn in the meantime.
    std::optional<target_name> to = ownership.mMove->mTo;
    if (!IsConfigured(slot)) {
      to = mContext.mIsConfigurationSettled ? std::optional(target_name())
                                            : std::nullopt;
    } else if (!IsUsable({ slot.mService, *to })) {
      to = ChooseTarget(slot);
    }
    if (!to) {
      continue;
    }
    // The revision that this write replaces: the intent's or that of a later
    // write to the group, so above every fence the slot had.
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
    // A slot that this edit has just given an owner stays for this write.
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
  // Find what is wrong with the owner.
  std::optional<move_reason> reason;
  if (mContext.mLostTargets.count(owner) != 0 ||
      (target == nullptr && mContext.mIsConfigurationSettled)) {
    reason = move_reason::kTargetLost;
  } else if (target != nullptr && target->mLeaving) {
    reason = move_reason::kTargetLeaving;
  }
  if (reason) {
    const auto to = ChooseTarget(aSlot);
    return to ? std::optional(slot_move{ *to, *reason }) : std::nullopt;
  }
  // Else follow the plan if it still fits.
  const auto planned = mContext.mPlannedMoves.find(aSlot);
  if (planned == mContext.mPlannedMoves.end() ||
      planned->second.mTo == owner.mTarget ||
      !IsUsable({ aSlot.mService, planned->second.mTo })) {
    return std::nullopt;
  }
  return slot_move{ planned->second.mTo, planned->second.mReason };
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
  return target != nullptr && !target->mLeaving &&
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
  // Its requests end by their deadline only.
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
  // A restarted process has lost its at-most-once records.
  return !router->mLeaving && router->mVm.mIncarnation == aHolder.mIncarnation;
}

bool record_editor::IsReachable(const group_holder& aHolder) const
{
  return mContext.mRouters.FindLive(aHolder.mVm) != nullptr ||
         mContext.mRouters.IsGone(
           aHolder.mVm, mContext.mSettings.mGoneDelay, mContext.mNow);
}

void record_editor::EditHolders()
{
  auto& holders = mNext.mHolders;
  // When every holder has ended for good, nobody can confirm anything.
  const bool areAllGone =
    std::all_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
      return mContext.mRouters.IsGone(
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
  // While one holder joins, only that one may be replaced.
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
    // Nobody is left to copy records from, so there is nothing to join.
    if (hasRestarted) {
      holder = { holder.mVm, router->mVm.mIncarnation, false };
      mNext.mRecordsLostUntilMs = mContext.mWallTimeMs;
    }
    return hasRestarted;
  }
  // All others have to acknowledge. When one of them may be alive elsewhere,
  // the change could not end, so a partition leaves the list as it is.
  const bool canComplete =
    std::all_of(others.begin(), others.end(), [&](const auto& aHolder) {
      return IsReachable(aHolder);
    });
  if (!canComplete) {
    return false;
  }
  // A restarted process takes its own place again.
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
