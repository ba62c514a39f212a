#include "Parsleystair/Ownership/GroupState.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// True when both belong to the same move. The fence changes with every change
/// of owner and is never reused, so the same fence means that the owner has not
/// changed in between.
bool IsSameMove(const slot_ownership& aOld, const slot_ownership& aNew)
{
  return aOld.mMove && aNew.mMove && aOld.mOwner == aNew.mOwner &&
         aOld.mFence == aNew.mFence;
}

void CheckFences(const group_record& aOld, const group_record& aNew)
{
  for (const auto& [slot, ownership] : aNew.mSlots) {
    const auto old = aOld.mSlots.find(slot);
    if (old == aOld.mSlots.end()) {
      continue;
    }
    PARSLEYSTAIR_INVARIANT(ownership.mFence >= old->second.mFence);
    PARSLEYSTAIR_INVARIANT(ownership.mFence > old->second.mFence ||
                           ownership.mOwner == old->second.mOwner);
  }
}

} // namespace

size_t Quorum(const group_record& aRecord)
{
  const auto joining = static_cast<size_t>(std::count_if(
    aRecord.mHolders.begin(), aRecord.mHolders.end(), [](const auto& aHolder) {
      return aHolder.mJoining;
    }));
  if (joining > 0) {
    return aRecord.mHolders.size() - joining;
  }
  return aRecord.mHolders.size() / 2 + 1;
}

group_state::group_state(group_index aGroup,
                         const ownership_settings& aSettings)
  : mSettings(aSettings)
{
  mRecord.mGroup = aGroup;
}

bool group_state::ApplyRecord(const group_record& aRecord, time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aRecord.mGroup == mRecord.mGroup);
  if (aRecord.mRevision <= mRecord.mRevision) {
    return false;
  }
  CheckFences(mRecord, aRecord);
  // Keep the progress of slots whose move continues. A move cannot have
  // finished and started again in between, because the fence would have
  // changed.
  std::map<slot_id, move_progress> progress;
  for (const auto& [slot, ownership] : aRecord.mSlots) {
    if (!ownership.mMove || ownership.mOwner == target_name()) {
      continue;
    }
    const auto old = mRecord.mSlots.find(slot);
    const bool isKnown =
      old != mRecord.mSlots.end() && IsSameMove(old->second, ownership);
    progress[slot] = isKnown
                       ? mProgress.at(slot)
                       : move_progress{ aRecord.mRevision, aNow, {}, false };
  }
  mProgress.swap(progress);
  mRecord = aRecord;
  mNewestRevision = std::max(mNewestRevision, aRecord.mRevision);
  mChangePendingSince.reset();
  mAnnouncedAt = time_point::min();
  return true;
}

void group_state::HandleUnreadableRecord(store_revision aRevision)
{
  mNewestRevision = std::max(mNewestRevision, aRevision);
}

void group_state::HandleStoreConfirmation(time_point aAskedAt)
{
  mReady = true;
  mStoreConfirmedAt = std::max(mStoreConfirmedAt.value_or(aAskedAt), aAskedAt);
}

void group_state::HandleHolderConfirmation(const vm_name& aHolder,
                                           store_revision aRevision,
                                           time_point aAskedAt)
{
  auto& confirm = mConfirmations[aHolder];
  if (aRevision > confirm.first) {
    confirm = { aRevision, aAskedAt };
  } else if (aRevision == confirm.first) {
    confirm.second = std::max(confirm.second, aAskedAt);
  }
}

void group_state::HandleAck(const vm_name& aHolder,
                            store_revision aRevision,
                            time_point aSentAt)
{
  auto& known = mAcks[aHolder];
  known = std::max(known, { aRevision, aSentAt });
}

bool group_state::HasAck(const vm_name& aHolder,
                         store_revision aRevision,
                         duration aValidity,
                         time_point aNow) const
{
  const auto ack = mAcks.find(aHolder);
  return ack != mAcks.end() && ack->second.first >= aRevision &&
         aNow - ack->second.second <= aValidity;
}

void group_state::HandleFetchedRecord(const vm_name& aVm)
{
  mFetchedFrom.insert(aVm);
}

std::vector<vm_name> group_state::ReadyHolders() const
{
  std::vector<vm_name> holders;
  for (const group_holder& holder : mRecord.mHolders) {
    if (!holder.mJoining) {
      holders.push_back(holder.mVm);
    }
  }
  return holders;
}

void group_state::UpdateReady(const vm_name& aSelf)
{
  if (mReady) {
    return;
  }
  // Joining holders count as well: one of them may be the only other holder of
  // a record that this router acknowledged before its restart.
  const auto& holders = mRecord.mHolders;
  const bool hasAllOthers =
    std::all_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
      return aHolder.mVm == aSelf || mFetchedFrom.count(aHolder.mVm) != 0;
    });
  mReady = Exists() && hasAllOthers;
}

void group_state::UpdateHolderConfirmation(const vm_name& aSelf,
                                           time_point aNow)
{
  const size_t quorum = Quorum(mRecord);
  if (mConfirmations.empty() && quorum != 1) {
    return;
  }
  std::vector<time_point> confirmed;
  for (const vm_name& holder : ReadyHolders()) {
    if (holder == aSelf) {
      if (mReady) {
        confirmed.push_back(aNow);
      }
      continue;
    }
    const auto found = mConfirmations.find(holder);
    if (found != mConfirmations.end() &&
        found->second.first == mRecord.mRevision) {
      confirmed.push_back(found->second.second);
    }
  }
  // The confirmation is as old as the oldest of the newest answers that make up
  // the quorum.
  if (quorum == 0 || confirmed.size() < quorum) {
    return;
  }
  std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
  const time_point proof = confirmed[quorum - 1];
  mHoldersConfirmedAt = std::max(mHoldersConfirmedAt.value_or(proof), proof);
}

void group_state::Update(const router_table& aRouters, time_point aNow)
{
  const vm_name& self = aRouters.Self().mVm.mName;
  UpdateReady(self);
  UpdateHolderConfirmation(self, aNow);
  for (auto& [slot, progress] : mProgress) {
    if (!progress.mQuorumAckedAt &&
        IsQuorumAcked(progress.mRevision, aRouters, aNow)) {
      progress.mQuorumAckedAt = aNow;
    }
  }
}

std::optional<time_point> group_state::ConfirmedAt() const
{
  return std::max(mStoreConfirmedAt, mHoldersConfirmedAt);
}

time_point group_state::AuthorityUntil() const
{
  const auto proof = ConfirmedAt();
  if (!proof || !Exists() || mNewestRevision != mRecord.mRevision) {
    return time_point::min();
  }
  return *proof + mSettings.mAuthorityDuration;
}

std::vector<vm_name> group_state::Unacknowledged(const router_table& aRouters,
                                                 time_point aNow) const
{
  std::vector<vm_name> missing;
  for (const group_holder& holder : mRecord.mHolders) {
    const bool isAcked =
      holder.mVm == aRouters.Self().mVm.mName ||
      HasAck(holder.mVm, mRecord.mRevision, mSettings.mAckValidity / 2, aNow);
    if (!isAcked && aRouters.FindLive(holder.mVm) != nullptr) {
      missing.push_back(holder.mVm);
    }
  }
  return missing;
}

bool group_state::IsQuorumAcked(store_revision aRevision,
                                const router_table& aRouters,
                                time_point aNow) const
{
  size_t acked = 0;
  for (const vm_name& holder : ReadyHolders()) {
    // A terminated VM cannot confirm older records, so it counts as well.
    if (holder == aRouters.Self().mVm.mName ||
        HasAck(holder, aRevision, mSettings.mAckValidity, aNow) ||
        aRouters.IsTerminated(holder, mSettings.mGoneDelay, aNow)) {
      ++acked;
    }
  }
  const size_t quorum = Quorum(mRecord);
  return quorum > 0 && acked >= quorum;
}

void group_state::HandleAcceptedGrant(const target_id& aTarget,
                                      store_revision aRevision,
                                      const std::vector<slot_id>& aBusy,
                                      time_point aSentAt)
{
  for (auto& [slot, progress] : mProgress) {
    const slot_ownership& ownership = mRecord.mSlots.at(slot);
    if (slot.mService != aTarget.mService ||
        ownership.mOwner != aTarget.mTarget) {
      continue;
    }
    // Until a quorum had acknowledged the record, another router could have had
    // the older record confirmed and granted it to the target's next process.
    const bool isProven = progress.mQuorumAckedAt &&
                          aSentAt >= *progress.mQuorumAckedAt &&
                          aRevision >= progress.mRevision;
    const bool isBusy =
      std::find(aBusy.begin(), aBusy.end(), slot) != aBusy.end();
    progress.mReleased = progress.mReleased || (isProven && !isBusy);
  }
}

bool group_state::CanFinishMove(const slot_id& aSlot,
                                duration aExtraWait,
                                time_point aNow) const
{
  const auto ownership = mRecord.mSlots.find(aSlot);
  if (ownership == mRecord.mSlots.end() || !ownership->second.mMove) {
    return false;
  }
  // No target serves a slot without an owner, so there is nothing to wait for.
  if (ownership->second.mOwner == target_name()) {
    return true;
  }
  const move_progress& progress = mProgress.at(aSlot);
  if (progress.mReleased) {
    return true;
  }
  if (!progress.mQuorumAckedAt) {
    return false;
  }
  const time_point start = std::max(progress.mSeenAt, *progress.mQuorumAckedAt);
  // The extra wait covers a deadline measured on another router's clock; 2%
  // allow for both clocks being off by 1%.
  return aNow - start >= mSettings.ExclusionWait() + aExtraWait * 102 / 100;
}

bool group_state::HasFinishableMove(time_point aNow) const
{
  return std::any_of(
    mProgress.begin(), mProgress.end(), [&](const auto& aEntry) {
      return CanFinishMove(aEntry.first, duration::zero(), aNow);
    });
}

void group_state::CheckNextRecord(const group_record& aNext,
                                  time_point aNow) const
{
  CheckFences(mRecord, aNext);
  for (const auto& [slot, ownership] : aNext.mSlots) {
    const auto old = mRecord.mSlots.find(slot);
    if (old == mRecord.mSlots.end()) {
      PARSLEYSTAIR_INVARIANT(ownership.mOwner == target_name());
      continue;
    }
    const bool isChanged = ownership.mFence != old->second.mFence &&
                           old->second.mOwner != target_name();
    PARSLEYSTAIR_INVARIANT(!isChanged ||
                           CanFinishMove(slot, duration::zero(), aNow));
    // A move must not be cancelled: a router that missed the record in between
    // would take the next move of the slot for the same one.
    const bool isCancelled = old->second.mMove && !ownership.mMove &&
                             ownership.mFence == old->second.mFence;
    PARSLEYSTAIR_INVARIANT(!isCancelled);
  }
}

} // namespace parsleystair
