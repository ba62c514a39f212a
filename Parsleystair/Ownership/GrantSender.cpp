#include "Parsleystair/Ownership/GrantSender.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// The routers of rank 0 and 1 renew a group's grants.
constexpr size_t kRenewerCount = 2;
/// Upper bound of the round trip to a target, which takes at most 26 ms between
/// regions. An answer that was in flight when a link broke is not evidence that
/// the target is reachable.
constexpr duration kMaxRoundTrip = 30ms;

/// Slots that the target may serve under this record, without slots that are
/// being moved.
std::vector<granted_slot> GrantedSlots(const group_record& aRecord,
                                       const target_id& aTarget)
{
  std::vector<granted_slot> slots;
  const slot_id first{ aTarget.mService, slot_index() };
  for (auto slot = aRecord.mSlots.lower_bound(first);
       slot != aRecord.mSlots.end() && slot->first.mService == aTarget.mService;
       ++slot) {
    if (slot->second.mOwner == aTarget.mTarget && !slot->second.mMove) {
      slots.push_back({ slot->first, slot->second.mFence });
    }
  }
  return slots;
}

bool ChecksGrants(const configuration& aConfiguration, const target_id& aTarget)
{
  const service_configuration* service =
    aConfiguration.FindService(aTarget.mService);
  const target_configuration* target =
    service == nullptr ? nullptr : FindTarget(*service, aTarget.mTarget);
  return target != nullptr && target->mChecksGrants;
}

} // namespace

grant_sender::grant_sender(vm_name aSelf, const ownership_settings& aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

void grant_sender::SetTargets(group_index aGroup, const group_record& aRecord)
{
  group_targets targets;
  for (const auto& [slot, ownership] : aRecord.mSlots) {
    if (ownership.mOwner != target_name()) {
      targets.mOwners.insert({ slot.mService, ownership.mOwner });
    }
    // Also contact the new owner, so that its clock is known before its first
    // grant.
    if (ownership.mMove && ownership.mMove->mDestination != target_name()) {
      targets.mAll.insert({ slot.mService, ownership.mMove->mDestination });
    }
  }
  targets.mAll.insert(targets.mOwners.begin(), targets.mOwners.end());
  group_targets& known = mTargetsOfGroup[aGroup];
  for (const target_id& target : known.mAll) {
    mGroupsOfTarget[target].erase(aGroup);
  }
  known = std::move(targets);
  mNextDue = time_point::min();
  for (const target_id& target : known.mAll) {
    mGroupsOfTarget[target].insert(aGroup);
    const auto session = mSessions.find(target);
    if (session != mSessions.end()) {
      session->second.MakeDue();
    }
  }
}

bool grant_sender::IsRenewed(const target_id& aTarget,
                             const groups& aGroups) const
{
  const std::set<group_index>& groupsOfTarget = mGroupsOfTarget.at(aTarget);
  return std::any_of(
    groupsOfTarget.begin(), groupsOfTarget.end(), [&](const auto& aGroup) {
      return aGroups.at(aGroup).mRank < kRenewerCount;
    });
}

void grant_sender::Send(const groups& aGroups,
                        const configuration& aConfiguration,
                        time_point aNow,
                        ownership_actions& aActions)
{
  if (aNow < mNextDue) {
    return;
  }
  mNextDue = aNow + mSettings.mRenewInterval;
  for (const auto& [target, groupsOfTarget] : mGroupsOfTarget) {
    const auto known = mSessions.find(target);
    if (known != mSessions.end() && !known->second.IsDue(aNow)) {
      mNextDue = std::min(mNextDue, known->second.DueAt());
      continue;
    }
    if (!IsRenewed(target, aGroups)) {
      mSessions.erase(target);
      continue;
    }
    target_session& session =
      mSessions.try_emplace(target, mSettings).first->second;
    if (ChecksGrants(aConfiguration, target)) {
      SendTo(target, session, aGroups, aNow, aActions);
    } else {
      aActions.emplace_back(probe_target{ target });
    }
    session.HandleSent(aNow);
  }
}

void grant_sender::SendTo(const target_id& aTarget,
                          target_session& aSession,
                          const groups& aGroups,
                          time_point aNow,
                          ownership_actions& aActions)
{
  send_grants action;
  action.mTarget = aTarget;
  action.mMessage.mVm = mSelf;
  action.mMessage.mBaseClockMs = aSession.ClockMs();
  action.mMessage.mBootId = aSession.BootId();
  action.mMessage.mTtlMs =
    static_cast<uint32_t>(mSettings.mGrantTtl / std::chrono::milliseconds(1));
  action.mValidUntil = aNow + mSettings.mRenewInterval;
  aSession.mHasWithheldGrant = false;
  for (const group_index& group : mGroupsOfTarget.at(aTarget)) {
    const group_state& state = aGroups.at(group);
    if (state.mRank >= kRenewerCount ||
        mTargetsOfGroup.at(group).mOwners.count(aTarget) == 0) {
      continue;
    }
    // A target process that was first seen after the confirmation was requested
    // may replace a process that has released slots since then, and does not
    // know of that release.
    const bool hasAuthority = aNow < state.AuthorityUntil() &&
                              aSession.BootId() != 0 &&
                              *state.ConfirmedAt() >= aSession.BootIdSeenAt();
    if (!hasAuthority) {
      aSession.mHasWithheldGrant = true;
      continue;
    }
    PARSLEYSTAIR_INVARIANT(state.NewestRevision() == state.Record().mRevision);
    action.mValidUntil = std::min(action.mValidUntil, state.AuthorityUntil());
    const group_revision revision{ group, state.Record().mRevision };
    group_grant grant{ group, revision.mRevision, std::nullopt };
    if (!aSession.HasAccepted(revision)) {
      grant.mSlots = GrantedSlots(state.Record(), aTarget);
    }
    action.mMessage.mGroups.push_back(std::move(grant));
  }
  aActions.emplace_back(std::move(action));
}

void grant_sender::HandleNewAuthority()
{
  for (auto& [target, session] : mSessions) {
    if (session.mHasWithheldGrant) {
      session.MakeDue();
      mNextDue = time_point::min();
    }
  }
}

bool grant_sender::HandleReply(const target_id& aTarget,
                               const grant_reply& aReply,
                               time_point aSentAt,
                               time_point aNow)
{
  const auto found = mSessions.find(aTarget);
  if (found == mSessions.end()) {
    return false;
  }
  target_session& session = found->second;
  // Send again at once when the grants of the answered message were based on an
  // outdated clock or the target did not accept them.
  const bool needsResend = session.HasOutdatedClock(aNow) ||
                           session.BootId() != aReply.mBootId ||
                           !aReply.mUnknown.empty();
  const bool isNew = session.HandleReply(aReply, aSentAt, aNow);
  if (isNew && needsResend) {
    session.MakeDue();
    mNextDue = time_point::min();
  }
  return isNew;
}

void grant_sender::HandleAnswer(const target_id& aTarget,
                                time_point aSentAt,
                                time_point aNow)
{
  const auto found = mSessions.find(aTarget);
  if (found != mSessions.end()) {
    found->second.HandleAnswer(aSentAt, aNow);
  }
}

void grant_sender::RestartLossDetection(time_point aNow)
{
  for (auto& [target, session] : mSessions) {
    session.RestartLossDetection(aNow);
  }
}

std::set<target_id> grant_sender::LostTargets(time_point aNow) const
{
  std::set<target_id> lost;
  for (const auto& [target, session] : mSessions) {
    if (session.IsLost(aNow)) {
      lost.insert(target);
    }
  }
  return lost;
}

bool grant_sender::IsCutOff(const std::set<target_id>& aLost) const
{
  // Targets that stop answering at the same time reach the timeout one after
  // the other. A target therefore counts as answering only if it answered a
  // message sent later than the first unanswered message to the last of the
  // lost targets.
  std::optional<time_point> silentSince;
  for (const target_id& target : aLost) {
    const auto session = mSessions.find(target);
    if (session != mSessions.end()) {
      silentSince = std::max(silentSince, session->second.UnansweredSince());
    }
  }
  if (!silentSince) {
    return false;
  }
  const auto answering = static_cast<size_t>(
    std::count_if(mSessions.begin(), mSessions.end(), [&](const auto& aEntry) {
      return aEntry.second.HasAnsweredSince(*silentSince + kMaxRoundTrip);
    }));
  return answering * 2 < mSessions.size();
}

} // namespace parsleystair
