#include "Parsleystair/KeyRanges/RangeController.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/StoreEra.h"
#include "Parsleystair/KeyRanges/Handover.h"

#include <algorithm>
#include <cmath>
#include <map>

// Planning of the leader's actions: which keys move, which targets get them,
// and which grants are due. Events are handled in RangeController.cpp.

namespace parsleystair {

namespace {

/// Minimum time between two new fences for an owner, as each new fence costs a
/// write of the record. It limits the writes for an owner that does not answer.
constexpr duration kFenceChangeInterval = 600ms;
/// Time between two checks of the load balance. The set of busy keys changes
/// within seconds, and a move with a handover interrupts its keys for a few
/// tens of milliseconds.
constexpr duration kBalanceInterval = 500ms;
/// Maximum number of moves per check: one for each `kOwnersPerBalanceMove`
/// candidates, but at least `kMinBalanceMoves`. No check starts before all
/// moves of the last one are done, which takes as long as the slowest release,
/// and busy keys may have to be spread over many owners.
constexpr size_t kMinBalanceMoves = 6;
constexpr size_t kOwnersPerBalanceMove = 2;
/// Maximum number of moves from one owner per check. Each release occupies a
/// connection to the owner until the work on the keys has ended, and few
/// connections are available.
constexpr size_t kMaxBalanceMovesPerOwner = 8;
/// Minimum number of counted requests at which the load is balanced; fewer say
/// nothing about its distribution.
constexpr double kMinRequestsToBalance = 40;
/// Minimum number of latencies to estimate a target's capacity from, and the
/// divisor that selects the quantile of them (4 for the lower quartile).
constexpr size_t kMinLatencySamples = 12;
constexpr size_t kLatencyQuantileDivisor = 4;
constexpr double kMillisecondsPerSecond = 1000;
/// Time in seconds after which the highest rate of responses of a target counts
/// half, as targets become slower.
constexpr double kResponseRateHalfLife = 30;
/// Ratio of the latency to the time of the work alone above which an owner has
/// a queue that is to become shorter, and the share of its rate meanwhile.
constexpr double kMaxQueueFactor = 1.5;
constexpr double kDrainingShare = 0.5;
/// Latency assumed for a target with too few samples, in milliseconds.
constexpr double kAssumedLatencyMs = 200;

} // namespace

double range_controller::CapacityOf(const owner_state& aOwner)
{
  const auto concurrency = static_cast<double>(aOwner.mTarget.mConcurrency);
  if (aOwner.mLatencies.size() < kMinLatencySamples) {
    return concurrency / kAssumedLatencyMs;
  }
  // A low quantile reflects the target's service time. The mean also includes
  // the time in its queue, which gets short again once it has fewer keys.
  std::vector<uint32_t> sorted(aOwner.mLatencies.begin(),
                               aOwner.mLatencies.end());
  const auto quantile =
    sorted.begin() +
    static_cast<ptrdiff_t>(sorted.size() / kLatencyQuantileDivisor);
  std::nth_element(sorted.begin(), quantile, sorted.end());
  return concurrency / std::max<uint32_t>(1, *quantile);
}

void range_controller::CountResponses(owner_state& aOwner,
                                      size_t aCount,
                                      time_point aNow)
{
  aOwner.mResponses.Add(static_cast<double>(aCount), aNow);
  if (aOwner.mMaxResponseRateAt != time_point::min()) {
    aOwner.mMaxResponseRate *= std::exp2(
      -ToSeconds(aNow - aOwner.mMaxResponseRateAt) / kResponseRateHalfLife);
  }
  aOwner.mMaxResponseRate =
    std::max(aOwner.mMaxResponseRate, aOwner.mResponses.Rate(aNow));
  aOwner.mMaxResponseRateAt = aNow;
}

double range_controller::AdmittedRate(const owner_state& aOwner)
{
  // The latencies of an owner with a queue include the time in the queue, and
  // show less than it can serve. The responses that it gives show a rate that
  // it can serve, and with the latencies how long the queue is.
  const double byLatency = CapacityOf(aOwner) * kMillisecondsPerSecond;
  const double rate = std::max(byLatency, aOwner.mMaxResponseRate);
  return rate > kMaxQueueFactor * byLatency ? rate * kDrainingShare : rate;
}

key_limits range_controller::Limits(time_point aNow)
{
  if (!mLeading) {
    return {};
  }
  mLoad.Decay(aNow);
  owner_capacities capacities;
  for (const auto& [name, owner] : mOwners) {
    if (owner.mLatencies.size() >= kMinLatencySamples) {
      capacities[name] = AdmittedRate(owner);
    }
  }
  return PlanKeyLimits(mRecord, mLoad, capacities);
}

void range_controller::AddFenceChanges(const target_name& aOwner)
{
  for (const owned_range& range : mRecord.mRanges) {
    if (range.mOwner.mName == aOwner && NeedsNewFence(range)) {
      AddFenceChange(range.mKeys, range);
    }
  }
}

void range_controller::AddFenceChange(const key_interval& aKeys,
                                      const owned_range& aRange)
{
  for (const key_interval& piece : SubtractMoves(aKeys)) {
    move added;
    added.mKeys = piece;
    added.mOldOwner = aRange.mOwner;
    added.mOldFence = aRange.mFence;
    added.mNewOwner = aRange.mOwner.mName;
    added.mKeepsOwner = true;
    added.mHandover = aRange.mHandover;
    // No other target can hold the keys, so there is no release or expiry to
    // wait for.
    added.mReady = ready_reason::kFenceChange;
    mMoves.push_back(std::move(added));
  }
}

std::vector<range_action> range_controller::Step(time_point aNow)
{
  std::vector<range_action> actions;
  if (!mLeading) {
    return actions;
  }
  mNextStepTime = aNow + mSettings.mRenewInterval;
  if (aNow < mRecoversUntil) {
    mNextStepTime = std::min(mNextStepTime, mRecoversUntil);
    if (mMayWriteWhileRecovering && MayMove(aNow)) {
      StepWrite(aNow, actions);
    }
    StepKeptGrants(aNow, actions);
    return actions;
  }
  mKeptGrants.clear();
  if (MayMove(aNow)) {
    mLoad.Decay(aNow);
    AddRequiredMoves(aNow);
    AddBalanceMoves(aNow);
    StepMoves(aNow, actions);
    ReportReadyMoves(aNow);
    StepWrite(aNow, actions);
  }
  if (MayRenew(aNow)) {
    StepGrants(aNow, actions);
  }
  return actions;
}

std::vector<key_interval> range_controller::SubtractMoves(
  const key_interval& aKeys) const
{
  std::vector<key_interval> pieces{ aKeys };
  for (const move& each : mMoves) {
    std::vector<key_interval> rest;
    for (const key_interval& piece : pieces) {
      const std::vector<key_interval> left = Subtract(piece, each.mKeys);
      rest.insert(rest.end(), left.begin(), left.end());
    }
    pieces = std::move(rest);
  }
  return pieces;
}

void range_controller::AddMove(const key_interval& aKeys,
                               const owned_range* aOwner,
                               const target_name& aTo,
                               time_point aNow)
{
  move added;
  added.mKeys = aKeys;
  added.mNewOwner = aTo;
  if (aOwner == nullptr) {
    added.mReady = ready_reason::kNoOwner;
  } else {
    PARSLEYSTAIR_INVARIANT(aOwner->mKeys.Contains(aKeys.mFirst) &&
                           aOwner->mKeys.Contains(aKeys.mLast));
    added.mOldOwner = aOwner->mOwner;
    added.mOldFence = aOwner->mFence;
    added.mGrantExpiry = RangeExpiry(*aOwner, aNow);
  }
  mMoves.push_back(std::move(added));
}

void range_controller::AddRequiredMoves(time_point aNow)
{
  // Drop the fence changes of owners that are no longer registered; their keys
  // are moved to other owners below.
  std::erase_if(mMoves, [&](const move& aMove) {
    return aMove.mKeepsOwner && !mOwners[aMove.mNewOwner].mRegistered;
  });

  // Move the keys of owners that can't keep them.
  for (const owned_range& range : mRecord.mRanges) {
    const auto owner = mOwners.find(range.mOwner.mName);
    const bool isSpared =
      owner != mOwners.end() && IsSparedInSlowStart(owner->second, aNow);
    if (!isSpared && !MustMove(range, aNow)) {
      continue;
    }
    for (const key_interval& piece : SubtractMoves(range.mKeys)) {
      AddMove(piece, &range, {}, aNow);
    }
  }

  // Assign a new fence to the keys of owners that have restarted or may have.
  // The owner keeps the keys, as the new incarnation may already hold them by a
  // grant that was meant for the old one.
  for (const owned_range& range : mRecord.mRanges) {
    if (NeedsNewFence(range) &&
        aNow >= mOwners.at(range.mOwner.mName).mNextFenceChangeTime) {
      mOwners.at(range.mOwner.mName).mNextFenceChangeTime =
        aNow + kFenceChangeInterval;
      AddFenceChanges(range.mOwner.mName);
    }
  }

  // Assign the keys without an owner.
  if (mRecord.mRanges.empty()) {
    if (!mFirstRegistration) {
      return;
    }
    const time_point start =
      *mFirstRegistration + mSettings.mInitialAssignmentDelay;
    if (aNow < start) {
      mNextStepTime = std::min(mNextStepTime, start);
      return;
    }
  }
  uint32_t next = 0;
  std::vector<key_interval> gaps;
  for (const owned_range& range : mRecord.mRanges) {
    if (range.mKeys.mFirst > next) {
      gaps.push_back({ next, range.mKeys.mFirst - 1 });
    }
    next = range.mKeys.mLast + 1;
  }
  if (next <= kMaxKeyNumber) {
    gaps.push_back({ next, kMaxKeyNumber });
  }
  for (const key_interval& gap : gaps) {
    for (const key_interval& piece : SubtractMoves(gap)) {
      AddMove(piece, nullptr, {}, aNow);
    }
  }
}

void range_controller::AddBalanceMoves(time_point aNow)
{
  if (aNow < mNextBalanceTime || !mMoves.empty() ||
      mLoad.RequestCount() < kMinRequestsToBalance) {
    return;
  }
  mNextBalanceTime = aNow + kBalanceInterval;
  std::vector<owner_candidate> candidates = OwnerCandidates(aNow);
  range_record planned = mRecord;
  const size_t moves =
    std::max(kMinBalanceMoves, candidates.size() / kOwnersPerBalanceMove);
  std::map<target_name, size_t> movesPerOwner;
  for (size_t count = 0; count < moves; ++count) {
    const auto next = PlanBalanceMove(planned, mLoad, candidates);
    if (!next || SubtractMoves(next->mKeys) != std::vector{ next->mKeys }) {
      return;
    }
    const owned_range* range = FindRange(mRecord, next->mKeys.mFirst);
    PARSLEYSTAIR_INVARIANT(range != nullptr);
    if (!range->mKeys.Contains(next->mKeys.mLast) ||
        ++movesPerOwner[range->mOwner.mName] > kMaxBalanceMovesPerOwner) {
      return;
    }
    AddMove(next->mKeys, range, next->mNewOwner, aNow);

    // Plan the next move on the state after this one.
    const double weight = mLoad.WeightOf(next->mKeys);
    for (owner_candidate& each : candidates) {
      each.mWeight += each.mName == next->mNewOwner ? weight : 0;
      each.mWeight -= each.mName == range->mOwner.mName ? weight : 0;
    }
    AssignKeys(planned,
               { next->mKeys, { next->mNewOwner, 0 }, range->mFence, "" });
  }
}

void range_controller::StepMoves(time_point aNow,
                                 std::vector<range_action>& aActions)
{
  for (move& each : mMoves) {
    if (!each.mReady && aNow >= each.mGrantExpiry &&
        !HasPendingGrant(each.mOldOwner.mName, each.mKeys)) {
      each.mReady = ready_reason::kGrantExpired;
    }
    if (each.mReady) {
      continue;
    }
    // After the expiry, the move only waits for the results of pending grants.
    if (each.mGrantExpiry > aNow) {
      mNextStepTime = std::min(mNextStepTime, each.mGrantExpiry);
    }
    const time_point releaseTime =
      std::max(each.mNextReleaseTime, mFormerLeaderConnectsUntil);
    if (aNow < releaseTime) {
      mNextStepTime = std::min(mNextStepTime, releaseTime);
      continue;
    }
    const auto owner = mOwners.find(each.mOldOwner.mName);
    const bool reachable = owner != mOwners.end();
    // A pending grant may arrive after the release, at a process that has
    // replaced the owner since and doesn't know the release's fence.
    if (!reachable || each.mPendingRelease ||
        HasPendingGrant(each.mOldOwner.mName, each.mKeys)) {
      continue;
    }
    each.mPendingRelease = order_id(mNextOrderId++);
    const discovered_target& target = owner->second.mTarget;
    aActions.emplace_back(release_order{
      *each.mPendingRelease,
      { target.mName, target.mHost, target.mPort },
      each.mKeys,
      fence(NextFence()),
      mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToMove });
  }
}

void range_controller::ReportReadyMoves(time_point aNow)
{
  for (move& each : mMoves) {
    if (!each.mReady || each.mReported) {
      continue;
    }
    each.mReported = true;
    ready_move& ready = mReadyMoves.emplace_back();
    ready.mReason = *each.mReady;
    ready.mKeys = each.mKeys;
    ready.mOldOwner = each.mOldOwner;
    ready.mOldFence = each.mOldFence;
    const auto owner = mOwners.find(each.mOldOwner.mName);
    if (owner != mOwners.end() &&
        owner->second.mLastGrantTime != time_point::min()) {
      ready.mLastGrantAge = aNow - owner->second.mLastGrantTime;
    }
    if (HasFormerLeaderGrant(each.mOldOwner.mName, each.mKeys)) {
      ready.mFormerLeadersStoppedFor = aNow - mFormerLeaderRenewsUntil;
    }
  }
}

std::vector<owner_candidate> range_controller::OwnerCandidates(
  time_point aNow) const
{
  std::vector<owner_candidate> candidates;
  for (const auto& [name, owner] : mOwners) {
    if (!IsCandidate(owner) || IsSparedInSlowStart(owner, aNow)) {
      continue;
    }
    owner_candidate candidate{ name, CapacityOf(owner), 0 };
    for (const owned_range& range : mRecord.mRanges) {
      if (range.mOwner.mName == name && !MustMove(range, aNow)) {
        candidate.mWeight += mLoad.WeightOf(range.mKeys);
      }
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void range_controller::ApplyMove(
  const move& aMove,
  range_record& aRecord,
  std::vector<owner_candidate>& aCandidates) const
{
  if (aMove.mKeepsOwner) {
    const owner_state& owner = mOwners.at(aMove.mNewOwner);
    if (owner.mRegistered) {
      AssignKeys(aRecord,
                 { aMove.mKeys,
                   { aMove.mNewOwner, owner.mTarget.mStartedMs },
                   fence(NextFence()),
                   aMove.mHandover });
    }
    return;
  }
  const auto chosen = std::find_if(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aCandidate) {
      return aCandidate.mName == aMove.mNewOwner;
    });
  std::vector<planned_range> plan;
  if (chosen != aCandidates.end()) {
    plan.push_back({ aMove.mKeys, aMove.mNewOwner });
  } else {
    plan = PlanOwners(aMove.mKeys, mLoad, aCandidates);
  }
  for (const planned_range& each : plan) {
    const discovered_target& owner = mOwners.at(each.mNewOwner).mTarget;
    AssignKeys(aRecord,
               { each.mKeys,
                 { owner.mName, owner.mStartedMs },
                 fence(NextFence()),
                 aMove.mHandover });
  }
}

void range_controller::StepWrite(time_point aNow,
                                 std::vector<range_action>& aActions)
{
  if (mPendingRecord) {
    return;
  }
  if (aNow < mNextWriteTime) {
    mNextStepTime = std::min(mNextStepTime, mNextWriteTime);
    return;
  }
  std::vector<owner_candidate> candidates = OwnerCandidates(aNow);
  const bool anyReady =
    std::any_of(mMoves.begin(), mMoves.end(), [](const move& aMove) {
      return aMove.mReady.has_value();
    });
  // A record of an earlier era is written again in the present one.
  const bool isOutdated = mRevision != store_revision(0) &&
                          EraOf(mRevision) != EraOfNumber(mTerm.Value());
  if (!anyReady && !isOutdated) {
    return;
  }
  range_record changed = mRecord;
  changed.mNextFence = NextFence() + 1;
  changed.mTerm = mTerm;
  for (const move& each : mMoves) {
    if (each.mReady) {
      ApplyMove(each, changed, candidates);
    }
  }
  if (changed.mRanges == mRecord.mRanges && !isOutdated) {
    return;
  }
  LimitHandovers(changed, kMaxRecordHandoverBytes);
  ValidateRecord(changed);
  mPendingRecord = changed;
  mPendingWrite = order_id(mNextOrderId++);
  aActions.emplace_back(
    write_record{ mPendingWrite, std::move(changed), mRevision });
}

void range_controller::StepGrants(time_point aNow,
                                  std::vector<range_action>& aActions)
{
  for (const owned_range& range : mRecord.mRanges) {
    const auto owner = mOwners.find(range.mOwner.mName);
    // Keys that must move are subtracted below, once their move has started.
    // While this router may move none, an evacuated owner keeps its grants.
    if (owner == mOwners.end() || !MayKeep(range, aNow) ||
        NeedsNewFence(range)) {
      continue;
    }
    for (const key_interval& piece : SubtractMoves(range.mKeys)) {
      GrantKeys(piece,
                range,
                mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToRenew,
                mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToMove,
                aNow,
                aActions);
    }
  }
}

void range_controller::StepKeptGrants(time_point aNow,
                                      std::vector<range_action>& aActions)
{
  if (!MayRenew(aNow)) {
    return;
  }
  const time_point sendUntil =
    mLeadershipConfirmedAt + mSettings.mMaxConfirmationAgeToRenew;
  const time_point unrecordedUntil =
    mKeptGrantsConfirmedAt + mSettings.mMaxConfirmationAgeToRenew;
  for (const owned_range& kept : std::vector(mKeptGrants)) {
    const time_point keptUntil =
      IsRecorded(kept) ? sendUntil : std::min(sendUntil, unrecordedUntil);
    // A new connection might lead to a process that has replaced the owner and
    // knows no fences.
    if (aNow < keptUntil && mOwners.contains(kept.mOwner.mName)) {
      GrantKeys(kept.mKeys, kept, keptUntil, time_point::min(), aNow, aActions);
    }
  }
}

bool range_controller::IsRecorded(const owned_range& aGrant) const
{
  const owned_range* range = FindRange(mRecord, aGrant.mKeys.mFirst);
  return EraOf(mRevision) == EraOfNumber(mTerm.Value()) && range != nullptr &&
         range->mKeys.Contains(aGrant.mKeys.mLast) &&
         range->mOwner == aGrant.mOwner && range->mFence == aGrant.mFence;
}

void range_controller::GrantKeys(const key_interval& aKeys,
                                 const owned_range& aRange,
                                 time_point aSendUntil,
                                 time_point aConnectUntil,
                                 time_point aNow,
                                 std::vector<range_action>& aActions)
{
  if (HasPendingGrant(aRange.mOwner.mName, aKeys)) {
    return;
  }
  const auto [next, isNew] = mNextGrantTimes.try_emplace(aKeys.mFirst, aNow);
  if (next->second > aNow) {
    mNextStepTime = std::min(mNextStepTime, next->second);
    return;
  }
  next->second = aNow + mSettings.mRenewInterval;
  mNextStepTime = std::min(mNextStepTime, next->second);
  const order_id order(mNextOrderId++);
  const discovered_target& target = mOwners.at(aRange.mOwner.mName).mTarget;
  mPendingGrants[order] = { target.mName, aKeys, aRange.mFence, aNow };
  aActions.emplace_back(
    grant_order{ order,
                 { target.mName, target.mHost, target.mPort },
                 aKeys,
                 aRange.mFence,
                 mSettings.mGrantDuration,
                 aRange.mHandover,
                 aSendUntil,
                 aConnectUntil });
}

} // namespace parsleystair
