#include "Parsleystair/KeyRanges/RangeController.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/StoreEra.h"

#include <algorithm>
#include <set>
#include <utility>

// Why two targets never hold a key at the same time: a target holds a key only
// while it has a valid grant with the key's recorded fence. A new owner is
// recorded only after the old owner has released the key, after which it
// refuses that fence permanently, or after all grants with that fence have
// expired. A grant is valid from the time at which the target's process takes
// it, which is before its answer. Without an answer, the process may take it
// until the end of the connection reaches the target, `mMaxNetworkDelay` after
// the call, also if the target's system has acknowledged it. This router stops
// renewing the grant when a move starts. Former leaders stop at
// `mFormerLeaderRenewsUntil` at the latest, as no order leaves a leader when
// its last confirmation of leadership is too old. They only send fences that
// were recorded before this leadership, as a record of a later term ends
// theirs.
//
// A leader only grants fences that it has recorded itself, as it has no
// connection that shows whether a process with a fence of a former leader has
// restarted since.
//
// After a restore of the store from an older copy, the record may lack changes
// by which former leaders granted keys, and so may not name a holder. Until
// `mRecoversUntil` this router gives no keys out. It goes on renewing what it
// granted itself before the restore, if its leadership was confirmed then
// within the time for which it may renew: an unknown later leader can't have
// waited for these grants to expire, so it can have got the keys only from the
// owner, which then knows a higher fence and refuses the renewal. A later
// leader of the present era counts such grants as expired unless its record
// names them, so they are only renewed for as long as the leadership before the
// restore allowed it, or once the record is written in the present era.
//
// A target that restarts forgets the fences that it has seen. A release or an
// accepted grant therefore says nothing about the target's next process, and
// former leaders must not reach it: after `mFormerLeaderConnectsUntil` they
// only use connections to the process that accepted their grants before.

namespace parsleystair {

namespace {

/// Delay before a failed release, grant or write is tried again.
constexpr duration kRetryDelay = 300ms;
/// Delay before a grant is tried again that was dropped from the queue of the
/// target's grants without being sent.
constexpr duration kHeldBackRetryDelay = 50ms;
/// Number of latencies kept per target to estimate its capacity; they cover a
/// few seconds.
constexpr size_t kMaxLatencySamples = 48;
/// A target whose grants have failed for this time loses its keys.
constexpr duration kMaxFailingTime = 1200ms;
/// If more than 1 / `kRouterFaultDivisor` of the known targets fail, this
/// router itself is taken to be at fault, and no target loses its keys for
/// failing.
constexpr size_t kRouterFaultDivisor = 2;
/// If more than 1 / `kMaxSlowStartDivisor` of the usable targets are in slow
/// start, the others couldn't take their load, and all keep their keys.
constexpr size_t kMaxSlowStartDivisor = 2;

} // namespace

range_controller::range_controller(const range_settings& aSettings)
  : mSettings(aSettings)
{
}

void range_controller::StartLeading(const leadership& aLeadership)
{
  const bool mayHaveGrants =
    aLeadership.mContinues && !mKeptGrants.empty() &&
    aLeadership.mSince <=
      mKeptGrantsConfirmedAt + mSettings.mMaxConfirmationAgeToRenew;
  if (!mayHaveGrants) {
    mKeptGrants.clear();
  }
  mRecoversUntil =
    aLeadership.mRecovers ? time_point::max() : time_point::min();
  mMayWriteWhileRecovering = false;
  mTerm = aLeadership.mTerm;
  mLeading = !IsSuperseded();
  mLeadershipConfirmedAt = aLeadership.mConfirmedAt;
  mFormerLeaderRenewsUntil =
    aLeadership.mSince + mSettings.mMaxConfirmationAgeToRenew;
  mFormerLeaderConnectsUntil =
    aLeadership.mSince + mSettings.mMaxConfirmationAgeToMove;
  mFirstOwnFence = NextFence();
  mFormerLeaderGrants = mRecord.mRanges;
  mNextBalanceTime = aLeadership.mSince;
  ClearPendingWork();
}

uint64_t range_controller::NextFence() const
{
  const store_era era = EraOfNumber(mTerm.Value());
  return std::max(mRecord.mNextFence, FirstNumberOf(era));
}

void range_controller::KeepOwnGrants()
{
  mKeptGrants.clear();
  mKeptGrantsConfirmedAt = mLeadershipConfirmedAt;
  for (const owned_range& range : mRecord.mRanges) {
    const auto owner = mOwners.find(range.mOwner.mName);
    const bool isGranted = owner != mOwners.end() &&
                           range.mFence.Value() >= mFirstOwnFence &&
                           range.mFence > owner->second.mRetiredFence &&
                           range.mFence <= owner->second.mGrantedFence;
    if (!isGranted) {
      continue;
    }
    for (const key_interval& piece : SubtractMoves(range.mKeys)) {
      mKeptGrants.push_back(range);
      mKeptGrants.back().mKeys = piece;
    }
  }
}

void range_controller::RemoveKeptGrant(const key_interval& aKeys)
{
  std::erase_if(mKeptGrants, [&](const owned_range& aKept) {
    return aKept.mKeys.Overlaps(aKeys);
  });
}

void range_controller::StopLeading(time_point aNow)
{
  if (!mLeading) {
    mKeptGrants.clear();
  } else if (aNow >= mRecoversUntil) {
    KeepOwnGrants();
  }
  mLeading = false;
  for (const auto& [order, grant] : mPendingGrants) {
    RecordGrantCall(grant, aNow, mSettings.mMaxNetworkDelay);
  }
  ClearPendingWork();
}

void range_controller::ClearPendingWork()
{
  mMoves.clear();
  mReadyMoves.clear();
  mPendingGrants.clear();
  mNextGrantTimes.clear();
  mPendingRecord.reset();
  mNextWriteTime = time_point::min();
}

void range_controller::HandleLeadershipConfirmed(time_point aAskedAt)
{
  mLeadershipConfirmedAt = std::max(mLeadershipConfirmedAt, aAskedAt);
}

void range_controller::HandleFormerLeadersGone(time_point aNow)
{
  mFormerLeaderRenewsUntil = std::min(mFormerLeaderRenewsUntil, aNow);
  mFormerLeaderConnectsUntil = std::min(mFormerLeaderConnectsUntil, aNow);
  for (move& each : mMoves) {
    const owned_range keys{ each.mKeys, each.mOldOwner, each.mOldFence, "" };
    each.mGrantExpiry = std::min(each.mGrantExpiry, RangeExpiry(keys, aNow));
  }
}

void range_controller::HandleRecordsRecovered(time_point aFrom)
{
  mRecoversUntil = std::min(mRecoversUntil, aFrom);
}

void range_controller::HandleRecordWritable()
{
  mMayWriteWhileRecovering = true;
}

bool range_controller::MayRenew(time_point aNow) const
{
  return mLeading &&
         aNow < mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToRenew;
}

bool range_controller::MayMove(time_point aNow) const
{
  return mLeading &&
         aNow <= mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToMove;
}

void range_controller::HandleRecord(const range_record& aRecord,
                                    store_revision aRevision)
{
  if (aRevision <= mRevision) {
    return;
  }
  ValidateRecord(aRecord);
  // Another leader that wrote the record may also have granted the keys.
  if (!mPendingRecord || *mPendingRecord != aRecord) {
    mFormerLeaderGrants = aRecord.mRanges;
  }
  // Keys with a new owner or a new fence are granted immediately.
  for (const owned_range& range : aRecord.mRanges) {
    const owned_range* old = FindRange(mRecord, range.mKeys.mFirst);
    if (old == nullptr || old->mOwner != range.mOwner ||
        old->mFence != range.mFence) {
      std::erase_if(mNextGrantTimes, [&](const auto& aNext) {
        return range.mKeys.Contains(aNext.first);
      });
    }
  }
  mRecord = aRecord;
  mRevision = aRevision;
  mPendingRecord.reset();
  if (mLeading && IsSuperseded()) {
    mLeading = false;
  }
  // Drop the moves whose keys no longer have the owner and the fence that they
  // had when the move started.
  std::erase_if(mMoves, [&](const move& aMove) {
    const owned_range* range = FindRange(mRecord, aMove.mKeys.mFirst);
    if (range == nullptr) {
      return !aMove.mOldOwner.mName.Value().empty();
    }
    return range->mOwner != aMove.mOldOwner ||
           range->mFence != aMove.mOldFence ||
           !range->mKeys.Contains(aMove.mKeys.mLast);
  });
}

void range_controller::HandleTargets(
  const std::vector<const known_target*>& aTargets,
  time_point aNow)
{
  for (auto& [name, state] : mOwners) {
    state.mRegistered = false;
    state.mUsable = false;
    state.mEvacuated = false;
  }
  for (const known_target* each : aTargets) {
    owner_state& state = mOwners[each->mTarget.mName];
    const bool restarted = state.mTarget.mStartedMs != each->mTarget.mStartedMs;
    state.mTarget = each->mTarget;
    state.mTarget.mDraining = each->IsLeaving();
    state.mRegistered = true;
    state.mUsable = each->IsUsable() && !each->mDropAt;
    state.mLimitedUntil = each->mLimitedUntil;
    state.mEvacuated = each->mEvacuated;
    if (restarted) {
      state.mFailingSince.reset();
    }
  }
  if (!mFirstRegistration && !aTargets.empty()) {
    mFirstRegistration = aNow;
  }
  // Keep the state of unregistered targets only while the record names them as
  // owners, as they may still hold keys.
  std::set<target_name> owners;
  for (const owned_range& range : mRecord.mRanges) {
    owners.insert(range.mOwner.mName);
  }
  std::erase_if(mOwners, [&](const auto& aOwner) {
    return !aOwner.second.mRegistered && !owners.contains(aOwner.first);
  });
}

void range_controller::HandleLoad(const service_load& aLoad, time_point aNow)
{
  mLoad.Add(aLoad.mCounts, aNow);
  for (const auto& [name, samples] : aLoad.mLatencies) {
    const auto owner = mOwners.find(name);
    if (owner == mOwners.end()) {
      continue;
    }
    CountResponses(owner->second, samples.size(), aNow);
    std::deque<uint32_t>& latencies = owner->second.mLatencies;
    latencies.insert(latencies.end(), samples.begin(), samples.end());
    while (latencies.size() > kMaxLatencySamples) {
      latencies.pop_front();
    }
  }
}

void range_controller::HandleGrantResult(order_id aOrder,
                                         order_result aResult,
                                         time_point aNow)
{
  const auto found = mPendingGrants.find(aOrder);
  if (found == mPendingGrants.end()) {
    return;
  }
  const pending_grant grant = found->second;
  mPendingGrants.erase(found);
  if (aResult != order_result::kAccepted &&
      aResult != order_result::kUnverified &&
      aResult != order_result::kNotAttempted) {
    RemoveKeptGrant(grant.mKeys);
  }
  if (aResult == order_result::kNotAttempted) {
    mNextGrantTimes[grant.mKeys.mFirst] = aNow + kHeldBackRetryDelay;
    return;
  }
  owner_state& owner = mOwners[grant.mTarget];
  if (aResult == order_result::kNoConnection) {
    // The target may have restarted since it closed its last connection.
    owner.mRetiredFence =
      std::max({ owner.mRetiredFence, owner.mGrantedFence, grant.mFence });
    mNextGrantTimes[grant.mKeys.mFirst] = aNow + kRetryDelay;
    return;
  }
  if (aResult != order_result::kNotSent) {
    // The target's system acknowledges bytes for a process that takes them
    // later, until the reset of the connection reaches it.
    const bool mayArriveLater = aResult == order_result::kUnacknowledged ||
                                aResult == order_result::kNoResponse ||
                                aResult == order_result::kUnverified;
    RecordGrantCall(
      grant, aNow, mayArriveLater ? mSettings.mMaxNetworkDelay : 0ms);
    for (move& each : mMoves) {
      if (each.mOldOwner.mName == grant.mTarget &&
          each.mKeys.Overlaps(grant.mKeys)) {
        each.mGrantExpiry = std::max(each.mGrantExpiry, GrantExpiry(owner));
      }
    }
  }
  if (aResult == order_result::kAccepted ||
      aResult == order_result::kUnverified) {
    owner.mFailingSince.reset();
    if (aResult == order_result::kAccepted &&
        grant.mFence.Value() >= mFirstOwnFence &&
        grant.mDecidedAt >= mFormerLeaderConnectsUntil) {
      RemoveFormerLeaderGrants(grant.mTarget, grant.mKeys);
    }
    return;
  }
  mNextGrantTimes[grant.mKeys.mFirst] = aNow + kRetryDelay;
  if (aResult == order_result::kFenced) {
    HandleFenced(grant, aNow);
    return;
  }
  if (!owner.mFailingSince) {
    owner.mFailingSince = aNow;
  }
  // The target may have restarted, and its directory entry may show this only
  // later. The new incarnation must not be granted a fence of the old one.
  owner.mRetiredFence = std::max(owner.mRetiredFence, owner.mGrantedFence);
}

void range_controller::RecordGrantCall(const pending_grant& aGrant,
                                       time_point aEnd,
                                       duration aMaxDelay)
{
  owner_state& owner = mOwners[aGrant.mTarget];
  owner.mLastGrantTime = aEnd;
  owner.mLastGrantArrival = std::max(owner.mLastGrantArrival, aEnd + aMaxDelay);
  owner.mGrantedFence = std::max(owner.mGrantedFence, aGrant.mFence);
}

void range_controller::RemoveFormerLeaderGrants(const target_name& aTarget,
                                                const key_interval& aKeys)
{
  std::vector<owned_range> rest;
  for (const owned_range& range : mFormerLeaderGrants) {
    if (range.mOwner.mName != aTarget) {
      rest.push_back(range);
      continue;
    }
    for (const key_interval& piece : Subtract(range.mKeys, aKeys)) {
      rest.push_back(range);
      rest.back().mKeys = piece;
    }
  }
  mFormerLeaderGrants = std::move(rest);
}

void range_controller::HandleFenced(const pending_grant& aGrant,
                                    time_point aNow)
{
  if (!MayMove(aNow)) {
    return;
  }
  // A former leader had some of the keys released and did not record a new
  // owner. The target now refuses the recorded fence, so the keys need a new
  // one. Only ranges that are still recorded with the grant's owner and fence
  // are changed, as the record may have changed since the grant was sent.
  for (const owned_range& range : mRecord.mRanges) {
    const bool same = range.mOwner.mName == aGrant.mTarget &&
                      range.mFence == aGrant.mFence &&
                      range.mKeys.Overlaps(aGrant.mKeys);
    if (!same) {
      continue;
    }
    const key_interval keys{ std::max(range.mKeys.mFirst, aGrant.mKeys.mFirst),
                             std::min(range.mKeys.mLast, aGrant.mKeys.mLast) };
    AddFenceChange(keys, range);
  }
}

void range_controller::HandleReleaseResult(order_id aOrder,
                                           order_result aResult,
                                           const std::string& aHandover,
                                           time_point aNow)
{
  const auto found =
    std::find_if(mMoves.begin(), mMoves.end(), [&](const move& aMove) {
      return aMove.mPendingRelease == aOrder;
    });
  if (found == mMoves.end()) {
    return;
  }
  found->mPendingRelease.reset();
  // A rejection doesn't show that the owner no longer holds the keys: besides
  // another server at its address, an owner in trouble may send it and go on
  // serving.
  if (aResult == order_result::kAccepted) {
    RemoveFormerLeaderGrants(found->mOldOwner.mName, found->mKeys);
    found->mReady = ready_reason::kReleased;
    found->mHandover = aHandover;
    return;
  }
  found->mNextReleaseTime = aNow + kRetryDelay;
}

void range_controller::HandleWriteResult(order_id aWrite,
                                         bool aWritten,
                                         store_revision aRevision,
                                         time_point aNow)
{
  if (!mPendingRecord || aWrite != mPendingWrite) {
    return;
  }
  const range_record written = *mPendingRecord;
  mPendingRecord.reset();
  if (aWritten) {
    HandleRecord(written, aRevision);
    return;
  }
  // The write is retried also if only its answer was lost. If the first write
  // took effect, the retry fails on its expected revision, and the store's
  // watch delivers the record.
  mNextWriteTime = aNow + kRetryDelay;
}

std::vector<ready_move> range_controller::TakeReadyMoves()
{
  return std::exchange(mReadyMoves, {});
}

std::optional<time_point> range_controller::NextStepTime() const
{
  return mLeading ? std::optional(mNextStepTime) : std::nullopt;
}

bool range_controller::HasOwnerRestarted(const target_incarnation& aOwner) const
{
  const auto found = mOwners.find(aOwner.mName);
  return found != mOwners.end() && found->second.mRegistered &&
         found->second.mTarget.mStartedMs != aOwner.mStartedMs;
}

bool range_controller::IsFailing(const owner_state& aState,
                                 time_point aNow) const
{
  if (!aState.mFailingSince || aNow - *aState.mFailingSince < kMaxFailingTime) {
    return false;
  }
  const auto failing =
    std::count_if(mOwners.begin(), mOwners.end(), [](const auto& aOwner) {
      return aOwner.second.mRegistered && aOwner.second.mFailingSince;
    });
  return static_cast<size_t>(failing) * kRouterFaultDivisor <= mOwners.size();
}

bool range_controller::IsSparedInSlowStart(const owner_state& aState,
                                           time_point aNow) const
{
  if (aNow >= aState.mLimitedUntil) {
    return false;
  }
  size_t warm = 0;
  size_t limited = 0;
  for (const auto& [name, owner] : mOwners) {
    if (owner.mUsable && !owner.mFailingSince) {
      ++(aNow < owner.mLimitedUntil ? limited : warm);
    }
  }
  return warm > 0 && limited * kMaxSlowStartDivisor <= warm + limited;
}

bool range_controller::NeedsNewFence(const owned_range& aRange) const
{
  const auto owner = mOwners.find(aRange.mOwner.mName);
  return owner != mOwners.end() && owner->second.mRegistered &&
         (aRange.mFence.Value() < mFirstOwnFence ||
          aRange.mFence <= owner->second.mRetiredFence ||
          HasOwnerRestarted(aRange.mOwner));
}

bool range_controller::MustMove(const owned_range& aRange,
                                time_point aNow) const
{
  if (!MayKeep(aRange, aNow)) {
    return true;
  }
  // An evacuated owner stays while nobody else can take the keys: it is not
  // leaving, and serves them at once when its failure domain is taken back.
  return mOwners.at(aRange.mOwner.mName).mEvacuated && HasCandidate();
}

bool range_controller::MayKeep(const owned_range& aRange, time_point aNow) const
{
  const auto found = mOwners.find(aRange.mOwner.mName);
  if (found == mOwners.end() || !found->second.mRegistered) {
    return false;
  }
  const owner_state& owner = found->second;
  // `mUsable` is not checked: a target whose directory entry is late after an
  // outage of the store keeps its keys.
  return !owner.mTarget.mDraining && !IsFailing(owner, aNow);
}

bool range_controller::IsCandidate(const owner_state& aState)
{
  return aState.mUsable && !aState.mFailingSince;
}

bool range_controller::HasCandidate() const
{
  return std::any_of(mOwners.begin(), mOwners.end(), [](const auto& aOwner) {
    return IsCandidate(aOwner.second);
  });
}

time_point range_controller::GrantExpiry(const owner_state& aOwner) const
{
  return aOwner.mLastGrantArrival + mSettings.MaxHoldTime();
}

bool range_controller::HasPendingGrant(const target_name& aTarget,
                                       const key_interval& aKeys) const
{
  return std::any_of(
    mPendingGrants.begin(), mPendingGrants.end(), [&](const auto& aGrant) {
      return aGrant.second.mTarget == aTarget &&
             aGrant.second.mKeys.Overlaps(aKeys);
    });
}

bool range_controller::HasFormerLeaderGrant(const target_name& aOwner,
                                            const key_interval& aKeys) const
{
  return std::any_of(mFormerLeaderGrants.begin(),
                     mFormerLeaderGrants.end(),
                     [&](const owned_range& aFormer) {
                       return aFormer.mOwner.mName == aOwner &&
                              aFormer.mKeys.Overlaps(aKeys);
                     });
}

time_point range_controller::RangeExpiry(const owned_range& aRange,
                                         time_point aNow) const
{
  const auto owner = mOwners.find(aRange.mOwner.mName);
  const bool hasGrant =
    owner != mOwners.end() && owner->second.mLastGrantTime != time_point::min();
  const time_point expiry = hasGrant ? GrantExpiry(owner->second) : aNow;
  if (!HasFormerLeaderGrant(aRange.mOwner.mName, aRange.mKeys)) {
    return expiry;
  }
  return std::max(
    expiry, mFormerLeaderRenewsUntil + mSettings.MaxFormerGrantLifetime());
}

} // namespace parsleystair
