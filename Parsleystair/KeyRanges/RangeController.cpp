#include "Parsleystair/KeyRanges/RangeController.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <set>

// Why two targets never hold a key at once: a target holds a key only while a
// grant with the key's recorded fence runs. The record names a new owner only
// after the old one released the key, which makes it refuse that fence for
// good, or after no grant with that fence can run any more. Renewals of this
// router end when a move starts; those of earlier leaders end at
// `mForeignUntil`, as each stops renewing when its proof is too old.

namespace parsleystair {

namespace {

/// Time between tries of a release, of a failed grant and of a failed write.
constexpr duration kRetryTime = 300ms;
/// Shortest time between two new fences of an owner that does not answer; each
/// costs a write.
constexpr duration kRefenceInterval = 600ms;
/// Time between two looks at the balance of the load, and moves started at
/// each. Busy keys change within seconds, and a move with a handover costs its
/// keys a few tens of milliseconds.
constexpr duration kBalanceInterval = 500ms;
constexpr int kMaxBalanceMoves = 6;
/// Requests without which the counted load says nothing.
constexpr double kMinRequests = 40;
/// Latencies by which the speed of a target is judged, and the fewest that
/// count; they cover a few seconds.
constexpr size_t kLatencySamples = 48;
constexpr size_t kMinLatencySamples = 12;
constexpr size_t kQuantileDivisor = 4;
/// Latency of a target without samples, in milliseconds.
constexpr double kAssumedLatency = 200;
/// A target that takes no grants for this long loses its keys.
constexpr duration kFailingTime = 1200ms;
/// With this part of the targets failing, the fault is this router's own.
constexpr size_t kOwnFaultDivisor = 2;

} // namespace

range_controller::range_controller(const range_settings& aSettings)
  : mSettings(aSettings)
{
}

void range_controller::StartLeading(time_point aSince)
{
  mLeading = true;
  mProof = aSince;
  mForeignUntil = aSince + mSettings.mUnprovenTime;
  mFirstOwnFence = mRecord.mNextFence;
  mForeign = mRecord.mRanges;
  mNextBalance = aSince + kBalanceInterval;
  ForgetOrders();
}

void range_controller::StopLeading()
{
  mLeading = false;
  ForgetOrders();
}

void range_controller::ForgetOrders()
{
  mMoves.clear();
  mOpenGrants.clear();
  mNextGrant.clear();
  mWriting.reset();
  mNextWrite = time_point::min();
}

void range_controller::HandleProof(time_point aAsked)
{
  mProof = std::max(mProof, aAsked);
}

void range_controller::HandleFormerLeaderGone(time_point aNow)
{
  mForeignUntil = std::min(mForeignUntil, aNow);
}

bool range_controller::MayRenew(time_point aNow) const
{
  return mLeading && aNow - mProof <= mSettings.mUnprovenTime;
}

bool range_controller::MayMove(time_point aNow) const
{
  return mLeading && aNow - mProof <= mSettings.mMoveProof;
}

void range_controller::HandleRecord(const range_record& aRecord,
                                    store_revision aRevision)
{
  if (aRevision <= mRevision) {
    return;
  }
  ValidateRecord(aRecord);
  // What another leader recorded, it may also have granted.
  if (!mWriting || *mWriting != aRecord) {
    mForeign = aRecord.mRanges;
  }
  // Keys with a new owner or fence are granted at once.
  for (const owned_range& range : aRecord.mRanges) {
    const owned_range* old = FindRange(mRecord, range.mKeys.mFrom);
    if (old == nullptr || old->mOwner != range.mOwner ||
        old->mFence != range.mFence) {
      std::erase_if(mNextGrant, [&](const auto& aNext) {
        return range.mKeys.Contains(aNext.first);
      });
    }
  }
  mRecord = aRecord;
  mRevision = aRevision;
  mWriting.reset();
  // A move goes on only if its keys still have the owner that it started from.
  std::erase_if(mMoves, [&](const move& aMove) {
    const owned_range* range = FindRange(mRecord, aMove.mKeys.mFrom);
    if (range == nullptr) {
      return !aMove.mFrom.mName.Value().empty();
    }
    return range->mOwner != aMove.mFrom || range->mFence != aMove.mFence ||
           !range->mKeys.Contains(aMove.mKeys.mTo);
  });
}

void range_controller::HandleTargets(
  const std::vector<const known_target*>& aTargets,
  time_point aNow)
{
  for (auto& [name, state] : mOwners) {
    state.mListed = false;
    state.mUsable = false;
  }
  for (const known_target* each : aTargets) {
    owner_state& state = mOwners[each->mTarget.mName];
    const bool restarted = state.mTarget.mStartedMs != each->mTarget.mStartedMs;
    state.mTarget = each->mTarget;
    state.mListed = true;
    state.mUsable = each->IsUsable() && !each->mMissingUntil;
    if (restarted) {
      state.mFailingSince.reset();
    }
  }
  if (!mFirstListed && !aTargets.empty()) {
    mFirstListed = aNow;
  }
  // Targets that left are remembered only while they may hold keys.
  std::set<target_name> owners;
  for (const owned_range& range : mRecord.mRanges) {
    owners.insert(range.mOwner.mName);
  }
  std::erase_if(mOwners, [&](const auto& aOwner) {
    return !aOwner.second.mListed && !owners.contains(aOwner.first);
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
    std::deque<uint32_t>& latencies = owner->second.mLatencies;
    latencies.insert(latencies.end(), samples.begin(), samples.end());
    while (latencies.size() > kLatencySamples) {
      latencies.pop_front();
    }
  }
}

double range_controller::CapacityOf(const owner_state& aOwner)
{
  const auto concurrency = static_cast<double>(aOwner.mTarget.mConcurrency);
  if (aOwner.mLatencies.size() < kMinLatencySamples) {
    return concurrency / kAssumedLatency;
  }
  // A low quantile shows the target's speed; the mean also shows its queue,
  // which is short again as soon as it has fewer keys.
  std::vector<uint32_t> sorted(aOwner.mLatencies.begin(),
                               aOwner.mLatencies.end());
  const auto quantile =
    sorted.begin() + static_cast<ptrdiff_t>(sorted.size() / kQuantileDivisor);
  std::nth_element(sorted.begin(), quantile, sorted.end());
  return concurrency / std::max<uint32_t>(1, *quantile);
}

void range_controller::HandleGrantEnd(order_id aOrder,
                                      order_end aEnd,
                                      time_point aNow)
{
  const auto found = mOpenGrants.find(aOrder);
  if (found == mOpenGrants.end()) {
    return;
  }
  const open_grant grant = found->second;
  mOpenGrants.erase(found);
  owner_state& owner = mOwners[grant.mTarget];
  if (aEnd != order_end::kNotSent) {
    owner.mLastGrant = aNow;
    owner.mGrantedFence = std::max(owner.mGrantedFence, grant.mFence);
    for (move& each : mMoves) {
      if (each.mFrom.mName == grant.mTarget &&
          each.mKeys.Overlaps(grant.mKeys)) {
        each.mExpires = std::max(each.mExpires, HoldEnd(aNow));
      }
    }
  }
  if (aEnd == order_end::kAccepted) {
    owner.mFailingSince.reset();
    if (grant.mFence.Value() >= mFirstOwnFence) {
      ForgetForeign(grant.mTarget, grant.mKeys);
    }
    return;
  }
  mNextGrant[grant.mKeys.mFrom] = aNow + kRetryTime;
  if (aEnd == order_end::kFenced) {
    HandleFenced(grant, aNow);
    return;
  }
  if (!owner.mFailingSince) {
    owner.mFailingSince = aNow;
  }
  // The target may have restarted, which its entry shows later. Its new life
  // must not take a fence that the old one had.
  owner.mLostFence = std::max(owner.mLostFence, owner.mGrantedFence);
}

void range_controller::ForgetForeign(const target_name& aTarget,
                                     const key_interval& aKeys)
{
  std::vector<owned_range> rest;
  for (const owned_range& range : mForeign) {
    if (range.mOwner.mName != aTarget || !range.mKeys.Overlaps(aKeys)) {
      rest.push_back(range);
      continue;
    }
    owned_range piece = range;
    if (range.mKeys.mFrom < aKeys.mFrom) {
      piece.mKeys = { range.mKeys.mFrom, aKeys.mFrom - 1 };
      rest.push_back(piece);
    }
    if (range.mKeys.mTo > aKeys.mTo) {
      piece.mKeys = { aKeys.mTo + 1, range.mKeys.mTo };
      rest.push_back(piece);
    }
  }
  mForeign = std::move(rest);
}

void range_controller::HandleFenced(const open_grant& aGrant, time_point aNow)
{
  if (!MayMove(aNow)) {
    return;
  }
  // An earlier leader took some of the keys back and did not record an owner.
  // The target refuses the recorded fence now, so a new one is needed. The
  // record may have changed since the grant was sent.
  for (const owned_range& range : mRecord.mRanges) {
    const bool same = range.mOwner.mName == aGrant.mTarget &&
                      range.mFence == aGrant.mFence &&
                      range.mKeys.Overlaps(aGrant.mKeys);
    if (!same) {
      continue;
    }
    const key_interval keys{ std::max(range.mKeys.mFrom, aGrant.mKeys.mFrom),
                             std::min(range.mKeys.mTo, aGrant.mKeys.mTo) };
    AddRefence(keys, range);
  }
}

void range_controller::AddRefences(const target_name& aOwner)
{
  for (const owned_range& range : mRecord.mRanges) {
    if (range.mOwner.mName == aOwner && NeedsFence(range)) {
      AddRefence(range.mKeys, range);
    }
  }
}

void range_controller::AddRefence(const key_interval& aKeys,
                                  const owned_range& aRange)
{
  for (const key_interval& piece : WithoutMoves(aKeys)) {
    move added;
    added.mKeys = piece;
    added.mFrom = aRange.mOwner;
    added.mFence = aRange.mFence;
    added.mTo = aRange.mOwner.mName;
    added.mSameOwner = true;
    // No other target can hold the keys, so nothing has to end first.
    added.mReady = true;
    mMoves.push_back(std::move(added));
  }
}

void range_controller::HandleReleaseEnd(order_id aOrder,
                                        order_end aEnd,
                                        const std::string& aHandover,
                                        time_point aNow)
{
  const auto found =
    std::find_if(mMoves.begin(), mMoves.end(), [&](const move& aMove) {
      return aMove.mRelease == aOrder;
    });
  if (found == mMoves.end()) {
    return;
  }
  found->mRelease.reset();
  // Targets never reject a release: a rejection comes from another server that
  // took over the address, which is free only after the old one has ended.
  if (aEnd == order_end::kAccepted || aEnd == order_end::kRejected) {
    ForgetForeign(found->mFrom.mName, found->mKeys);
    found->mReady = true;
    found->mHandover = aHandover;
    return;
  }
  found->mNextRelease = aNow + kRetryTime;
}

void range_controller::HandleWriteEnd(bool aWritten,
                                      store_revision aRevision,
                                      time_point aNow)
{
  if (!mWriting) {
    return;
  }
  const range_record written = *mWriting;
  mWriting.reset();
  if (aWritten) {
    HandleRecord(written, aRevision);
    return;
  }
  // After a lost answer the same write is tried again: it fails if the first
  // one took effect, and the watch brings the record.
  mNextWrite = aNow + kRetryTime;
}

std::vector<range_action> range_controller::Step(time_point aNow)
{
  std::vector<range_action> actions;
  if (!mLeading) {
    return actions;
  }
  mNextStep = aNow + mSettings.mRenewEvery;
  if (MayMove(aNow)) {
    mLoad.Fade(aNow);
    AddMoves(aNow);
    AddBalanceMoves(aNow);
    StepMoves(aNow, actions);
    StepWrite(aNow, actions);
  }
  if (MayRenew(aNow)) {
    StepGrants(aNow, actions);
  }
  return actions;
}

std::optional<time_point> range_controller::NextStep() const
{
  return mLeading ? std::optional(mNextStep) : std::nullopt;
}

bool range_controller::IsOwnerRestarted(const target_life& aOwner) const
{
  const auto found = mOwners.find(aOwner.mName);
  return found != mOwners.end() && found->second.mListed &&
         found->second.mTarget.mStartedMs != aOwner.mStartedMs;
}

bool range_controller::IsFailing(const owner_state& aState,
                                 time_point aNow) const
{
  if (!aState.mFailingSince || aNow - *aState.mFailingSince < kFailingTime) {
    return false;
  }
  const auto failing =
    std::count_if(mOwners.begin(), mOwners.end(), [](const auto& aOwner) {
      return aOwner.second.mListed && aOwner.second.mFailingSince;
    });
  return static_cast<size_t>(failing) * kOwnFaultDivisor <= mOwners.size();
}

bool range_controller::NeedsFence(const owned_range& aRange) const
{
  const auto owner = mOwners.find(aRange.mOwner.mName);
  return owner != mOwners.end() && owner->second.mListed &&
         aRange.mFence <= owner->second.mLostFence;
}

bool range_controller::MustMove(const owned_range& aRange,
                                time_point aNow) const
{
  const auto found = mOwners.find(aRange.mOwner.mName);
  if (found == mOwners.end() || !found->second.mListed) {
    return true;
  }
  const owner_state& owner = found->second;
  // A target whose entry is late after an outage of the store keeps its keys.
  return owner.mTarget.mDraining || IsOwnerRestarted(aRange.mOwner) ||
         IsFailing(owner, aNow);
}

time_point range_controller::HoldEnd(time_point aGranted) const
{
  const duration hold = std::chrono::duration_cast<duration>(
    mSettings.mHold * mSettings.mClockFactor);
  return aGranted + mSettings.mDeliveryTime + hold;
}

bool range_controller::HasOpenGrant(const target_name& aTarget,
                                    const key_interval& aKeys) const
{
  return std::any_of(
    mOpenGrants.begin(), mOpenGrants.end(), [&](const auto& aGrant) {
      return aGrant.second.mTarget == aTarget &&
             aGrant.second.mKeys.Overlaps(aKeys);
    });
}

time_point range_controller::ExpiryOf(const owned_range& aRange,
                                      time_point aNow) const
{
  const auto owner = mOwners.find(aRange.mOwner.mName);
  time_point last =
    owner == mOwners.end() ? time_point::min() : owner->second.mLastGrant;
  const bool foreign = std::any_of(
    mForeign.begin(), mForeign.end(), [&](const owned_range& aForeign) {
      return aForeign.mOwner.mName == aRange.mOwner.mName &&
             aForeign.mKeys.Overlaps(aRange.mKeys);
    });
  if (foreign) {
    last = std::max(last, mForeignUntil);
  }
  return last == time_point::min() ? aNow : HoldEnd(last);
}

std::vector<key_interval> range_controller::WithoutMoves(
  const key_interval& aKeys) const
{
  std::vector<key_interval> pieces{ aKeys };
  for (const move& each : mMoves) {
    std::vector<key_interval> rest;
    for (const key_interval& piece : pieces) {
      if (!piece.Overlaps(each.mKeys)) {
        rest.push_back(piece);
        continue;
      }
      if (piece.mFrom < each.mKeys.mFrom) {
        rest.push_back({ piece.mFrom, each.mKeys.mFrom - 1 });
      }
      if (piece.mTo > each.mKeys.mTo) {
        rest.push_back({ each.mKeys.mTo + 1, piece.mTo });
      }
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
  added.mTo = aTo;
  added.mReady = aOwner == nullptr || IsOwnerRestarted(aOwner->mOwner);
  if (aOwner != nullptr) {
    PARSLEYSTAIR_INVARIANT(aOwner->mKeys.Contains(aKeys.mFrom) &&
                           aOwner->mKeys.Contains(aKeys.mTo));
    added.mFrom = aOwner->mOwner;
    added.mFence = aOwner->mFence;
    added.mExpires = ExpiryOf(*aOwner, aNow);
  }
  mMoves.push_back(std::move(added));
}

void range_controller::AddMoves(time_point aNow)
{
  // The owner of such a move may have left since; then its keys go elsewhere.
  std::erase_if(mMoves, [&](const move& aMove) {
    return aMove.mSameOwner && !mOwners[aMove.mTo].mListed;
  });

  // Keys whose owner can't keep them.
  for (const owned_range& range : mRecord.mRanges) {
    if (!MustMove(range, aNow)) {
      continue;
    }
    for (const key_interval& piece : WithoutMoves(range.mKeys)) {
      AddMove(piece, &range, {}, aNow);
    }
  }

  // Keys whose owner may have restarted.
  for (const owned_range& range : mRecord.mRanges) {
    if (NeedsFence(range) &&
        aNow >= mOwners.at(range.mOwner.mName).mNextFence) {
      mOwners.at(range.mOwner.mName).mNextFence = aNow + kRefenceInterval;
      AddRefences(range.mOwner.mName);
    }
  }

  // Keys that nobody owns yet.
  if (mRecord.mRanges.empty()) {
    if (!mFirstListed) {
      return;
    }
    const time_point start = *mFirstListed + mSettings.mFirstWait;
    if (aNow < start) {
      mNextStep = std::min(mNextStep, start);
      return;
    }
  }
  uint32_t next = 0;
  std::vector<key_interval> gaps;
  for (const owned_range& range : mRecord.mRanges) {
    if (range.mKeys.mFrom > next) {
      gaps.push_back({ next, range.mKeys.mFrom - 1 });
    }
    next = range.mKeys.mTo + 1;
  }
  if (next <= kMaxKeyNumber) {
    gaps.push_back({ next, kMaxKeyNumber });
  }
  for (const key_interval& gap : gaps) {
    for (const key_interval& piece : WithoutMoves(gap)) {
      AddMove(piece, nullptr, {}, aNow);
    }
  }
}

void range_controller::AddBalanceMoves(time_point aNow)
{
  if (aNow < mNextBalance || !mMoves.empty() ||
      mLoad.Requests() < kMinRequests) {
    return;
  }
  mNextBalance = aNow + kBalanceInterval;
  std::vector<owner_candidate> candidates = Candidates(aNow);
  range_record planned = mRecord;
  for (int count = 0; count < kMaxBalanceMoves; ++count) {
    const auto next = PlanBalance(planned, mLoad, candidates);
    if (!next || WithoutMoves(next->mKeys) != std::vector{ next->mKeys }) {
      return;
    }
    const owned_range* range = FindRange(mRecord, next->mKeys.mFrom);
    PARSLEYSTAIR_INVARIANT(range != nullptr);
    if (!range->mKeys.Contains(next->mKeys.mTo)) {
      return;
    }
    AddMove(next->mKeys, range, next->mTo, aNow);

    // The next one starts from the state after this one.
    const double weight = mLoad.WeightOf(next->mKeys);
    for (owner_candidate& each : candidates) {
      each.mWeight += each.mName == next->mTo ? weight : 0;
      each.mWeight -= each.mName == range->mOwner.mName ? weight : 0;
    }
    AssignKeys(planned, { next->mKeys, { next->mTo, 0 }, range->mFence, "" });
  }
}

void range_controller::StepMoves(time_point aNow,
                                 std::vector<range_action>& aActions)
{
  for (move& each : mMoves) {
    if (!each.mReady && aNow >= each.mExpires &&
        !HasOpenGrant(each.mFrom.mName, each.mKeys)) {
      each.mReady = true;
    }
    if (each.mReady) {
      continue;
    }
    mNextStep = std::min(mNextStep, each.mExpires);
    const auto owner = mOwners.find(each.mFrom.mName);
    const bool reachable = owner != mOwners.end();
    if (!reachable || each.mRelease || aNow < each.mNextRelease) {
      continue;
    }
    each.mRelease = order_id(mNextOrder++);
    const discovered_target& target = owner->second.mTarget;
    aActions.emplace_back(
      release_order{ *each.mRelease,
                     { target.mName, target.mHost, target.mPort },
                     each.mKeys,
                     fence(mRecord.mNextFence) });
  }
}

std::vector<owner_candidate> range_controller::Candidates(time_point aNow) const
{
  std::vector<owner_candidate> candidates;
  for (const auto& [name, owner] : mOwners) {
    if (!owner.mUsable || owner.mFailingSince) {
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

void range_controller::PlaceMove(
  const move& aMove,
  range_record& aRecord,
  std::vector<owner_candidate>& aCandidates) const
{
  if (aMove.mSameOwner) {
    const owner_state& owner = mOwners.at(aMove.mTo);
    if (owner.mListed) {
      AssignKeys(aRecord,
                 { aMove.mKeys,
                   { aMove.mTo, owner.mTarget.mStartedMs },
                   fence(mRecord.mNextFence),
                   aMove.mHandover });
    }
    return;
  }
  const auto chosen = std::find_if(
    aCandidates.begin(), aCandidates.end(), [&](const auto& aCandidate) {
      return aCandidate.mName == aMove.mTo;
    });
  std::vector<planned_range> plan;
  if (chosen != aCandidates.end()) {
    plan.push_back({ aMove.mKeys, aMove.mTo });
  } else {
    plan = PlanOwners(aMove.mKeys, mLoad, aCandidates);
  }
  for (const planned_range& each : plan) {
    const discovered_target& owner = mOwners.at(each.mTo).mTarget;
    AssignKeys(aRecord,
               { each.mKeys,
                 { owner.mName, owner.mStartedMs },
                 fence(mRecord.mNextFence),
                 aMove.mHandover });
  }
}

void range_controller::StepWrite(time_point aNow,
                                 std::vector<range_action>& aActions)
{
  if (mWriting) {
    return;
  }
  if (aNow < mNextWrite) {
    mNextStep = std::min(mNextStep, mNextWrite);
    return;
  }
  std::vector<owner_candidate> candidates = Candidates(aNow);
  const bool anyReady =
    std::any_of(mMoves.begin(), mMoves.end(), [](const move& aMove) {
      return aMove.mReady;
    });
  if (!anyReady) {
    return;
  }
  range_record changed = mRecord;
  changed.mNextFence = mRecord.mNextFence + 1;
  for (const move& each : mMoves) {
    if (each.mReady) {
      PlaceMove(each, changed, candidates);
    }
  }
  if (changed.mRanges == mRecord.mRanges) {
    return;
  }
  ValidateRecord(changed);
  mWriting = changed;
  aActions.emplace_back(write_record{ std::move(changed), mRevision });
}

void range_controller::StepGrants(time_point aNow,
                                  std::vector<range_action>& aActions)
{
  for (const owned_range& range : mRecord.mRanges) {
    const auto owner = mOwners.find(range.mOwner.mName);
    if (owner == mOwners.end() || MustMove(range, aNow) || NeedsFence(range)) {
      continue;
    }
    for (const key_interval& piece : WithoutMoves(range.mKeys)) {
      GrantPiece(piece, range, aNow, aActions);
    }
  }
}

void range_controller::GrantPiece(const key_interval& aKeys,
                                  const owned_range& aRange,
                                  time_point aNow,
                                  std::vector<range_action>& aActions)
{
  if (HasOpenGrant(aRange.mOwner.mName, aKeys)) {
    return;
  }
  const auto [next, isNew] = mNextGrant.try_emplace(aKeys.mFrom, aNow);
  if (next->second > aNow) {
    mNextStep = std::min(mNextStep, next->second);
    return;
  }
  next->second = aNow + mSettings.mRenewEvery;
  mNextStep = std::min(mNextStep, next->second);
  const order_id order(mNextOrder++);
  const discovered_target& target = mOwners.at(aRange.mOwner.mName).mTarget;
  mOpenGrants[order] = { target.mName, aKeys, aRange.mFence };
  aActions.emplace_back(
    grant_order{ order,
                 { target.mName, target.mHost, target.mPort },
                 aKeys,
                 aRange.mFence,
                 mSettings.mHold,
                 aRange.mHandover });
}

} // namespace parsleystair
