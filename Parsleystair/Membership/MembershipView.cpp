#include "Parsleystair/Membership/MembershipView.h"

#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace parsleystair {

namespace {

// Longest name, host or failure domain accepted from other routers.
constexpr size_t kMaxNameLength = 253;

// A peer is due for a heartbeat at this percentage of the interval, so that
// ticks one interval apart with jitter don't skip every other heartbeat.
constexpr int kDuePercent = 75;

bool IsValid(const member_notice& aNotice)
{
  const auto isShort = [](const std::string& aText) {
    return aText.size() <= kMaxNameLength;
  };
  return !aNotice.mVm.mName.Value().empty() &&
         isShort(aNotice.mVm.mName.Value()) && isShort(aNotice.mHost) &&
         isShort(aNotice.mFailureDomain.Value());
}

} // namespace

membership_view::membership_view(const membership_settings& aSettings,
                                 member_notice aSelf,
                                 time_point aNow)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mInForceSince(aNow)
  , mLastTick(aNow)
  , mResumedAt(aNow)
  , mLastRandomPeerAt(aNow)
{
  PARSLEYSTAIR_INVARIANT(IsValid(mSelf));
  PARSLEYSTAIR_INVARIANT(mSettings.mMaxNotices > 0);
}

void membership_view::SetConfiguration(configuration_revision aRevision,
                                       time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aRevision > mSelf.mConfiguration);
  mSelf.mConfiguration = aRevision;
  mInForceSince = aNow;
}

void membership_view::SetLeaving()
{
  mSelf.mLeaving = true;
}

void membership_view::SetCoHolders(std::set<vm_name> aCoHolders)
{
  mCoHolders = std::move(aCoHolders);
}

void membership_view::HandleList(const std::vector<listed_vm>& aList,
                                 time_point aNow)
{
  if (aList.empty()) {
    return;
  }
  for (auto& [name, known] : mMembers) {
    known.mListed = false;
  }
  for (const listed_vm& listed : aList) {
    known_member* known = FindOrAdd(listed.mName, aNow);
    if (known == nullptr) {
      continue;
    }
    known->mListed = true;
    known->mNotice.mLeaving = known->mNotice.mLeaving || listed.mLeaving;
    // The address that a member reports about itself is newer than the list.
    if (!known->mConfirmedAt) {
      known->mNotice.mHost = listed.mHost;
      known->mNotice.mPeerPort = listed.mPeerPort;
      known->mNotice.mFailureDomain = listed.mFailureDomain;
    }
  }
  UpdateDirectPeers(aNow);
}

known_member* membership_view::FindOrAdd(const vm_name& aName, time_point aNow)
{
  if (aName == mSelf.mVm.mName) {
    return nullptr;
  }
  const auto position = mMembers.find(aName);
  if (position != mMembers.end()) {
    return &position->second;
  }
  if (mMembers.size() >= mSettings.mMaxMembers) {
    return nullptr;
  }
  known_member& added = mMembers[aName];
  added.mNotice.mVm.mName = aName;
  added.mKnownSince = aNow;
  added.mInForceSince = aNow;
  return &added;
}

void membership_view::HandleHeartbeat(const heartbeat_message& aMessage,
                                      time_point aNow)
{
  bool isSender = true;
  for (const member_notice& notice : aMessage.mMembers) {
    if (IsValid(notice)) {
      HandleNotice(notice, isSender, aNow);
    }
    isSender = false;
  }
}

void membership_view::HandleNotice(const member_notice& aNotice,
                                   bool aIsDirect,
                                   time_point aNow)
{
  // The reported age excludes the transmission time of each hop. Without the
  // added delay, notices relayed in a cycle would keep a stopped member live.
  const duration age =
    aIsDirect ? duration::zero()
              : std::chrono::milliseconds(aNotice.mAgeMs) + mSettings.mHopDelay;
  const time_point confirmedAt = aNow - age;
  if (!aIsDirect && age > mSettings.mLostAfter + RelayAllowance()) {
    return;
  }
  known_member* known = FindOrAdd(aNotice.mVm.mName, aNow);
  if (known == nullptr || !known->Accepts(aNotice.mVm.mIncarnation,
                                          confirmedAt,
                                          mSettings.mSuspectAfter)) {
    return;
  }
  known->ApplyNotice(aNotice, confirmedAt, aNow);
  if (aIsDirect) {
    known->mDirectlyConfirmedAt = aNow;
    known->mExchangedAt = aNow;
  }
}

void membership_view::HandleTick(time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aNow >= mLastTick);
  if (aNow - mLastTick > mSettings.mSuspectAfter) {
    mResumedAt = aNow;
  }
  mLastTick = aNow;
  RemoveExpired(aNow);
  MarkLost(aNow);
  UpdateDirectPeers(aNow);
}

void membership_view::MarkLost(time_point aNow)
{
  const member_context context = ContextAt(aNow);
  for (auto& [name, known] : mMembers) {
    const bool isNewLoss = !known.mLostAt || known.mConfirmedAt > known.mLostAt;
    if (isNewLoss && known.StateAt(context) == member_state::kLost) {
      known.mLostAt = aNow;
    }
  }
}

void membership_view::RemoveExpired(time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const known_member& known = aEntry.second;
    const time_point since =
      std::max(known.mConfirmedAt.value_or(known.mKnownSince), mResumedAt);
    return !known.mListed && aNow - since > mSettings.mRemoveAfter;
  });
}

void membership_view::UpdateDirectPeers(time_point aNow)
{
  const std::set<vm_name> direct = DirectPeers(aNow);
  for (auto& [name, known] : mMembers) {
    if (direct.count(name) == 0) {
      known.mDirectSince.reset();
    } else if (!known.mDirectSince) {
      known.mDirectSince = aNow;
    }
  }
}

// Returns the co-holders and the ring neighbours on both sides, because
// heartbeats are sent to the successors and received from the predecessors.
std::set<vm_name> membership_view::DirectPeers(time_point aNow) const
{
  const member_context context = ContextAt(aNow);
  std::set<vm_name> direct = mCoHolders;
  std::vector<vm_name> ring;
  for (const auto& [name, known] : mMembers) {
    if (known.StateAt(context) != member_state::kLost) {
      ring.push_back(name);
    }
  }
  const size_t count = std::min(mSettings.mRingNeighbours, ring.size());
  const size_t start = static_cast<size_t>(
    std::lower_bound(ring.begin(), ring.end(), mSelf.mVm.mName) - ring.begin());
  for (size_t i = 0; i < count; ++i) {
    direct.insert(ring[(start + i) % ring.size()]);
    direct.insert(ring[(start + ring.size() - 1 - i) % ring.size()]);
  }
  return direct;
}

std::set<vm_name> membership_view::RingSuccessors(time_point aNow) const
{
  const member_context context = ContextAt(aNow);
  std::set<vm_name> successors;
  auto position = mMembers.upper_bound(mSelf.mVm.mName);
  for (size_t i = 0; i < mMembers.size(); ++i) {
    if (successors.size() == mSettings.mRingNeighbours) {
      break;
    }
    if (position == mMembers.end()) {
      position = mMembers.begin();
    }
    if (position->second.StateAt(context) != member_state::kLost) {
      successors.insert(position->first);
    }
    ++position;
  }
  return successors;
}

bool membership_view::IsDue(const known_member& aKnown, time_point aNow) const
{
  const duration dueAfter = mSettings.mInterval * kDuePercent / 100;
  return !aKnown.mExchangedAt || aNow - *aKnown.mExchangedAt >= dueAfter;
}

std::vector<peer_address> membership_view::TakePeers(time_point aNow)
{
  std::vector<peer_address> peers;
  const auto addPeer = [&](const vm_name& aName) {
    const auto position = mMembers.find(aName);
    if (position == mMembers.end() || peers.size() == mSettings.mMaxPeers) {
      return;
    }
    known_member& known = position->second;
    if (IsDue(known, aNow) && !known.mNotice.mHost.empty()) {
      known.mExchangedAt = aNow;
      peers.push_back({ aName, known.mNotice.mHost, known.mNotice.mPeerPort });
    }
  };

  // One random member, which may be a lost one: this relays notices across the
  // ring and restores contact with members after a partition.
  const duration dueAfter = mSettings.mInterval * kDuePercent / 100;
  if (!mMembers.empty() && aNow - mLastRandomPeerAt >= dueAfter) {
    mLastRandomPeerAt = aNow;
    ++mRandomPeerCount;
    const uint64_t random =
      Hash64(mSelf.mVm.mName.Value() + std::to_string(mRandomPeerCount));
    const auto index = static_cast<std::ptrdiff_t>(random % mMembers.size());
    addPeer(std::next(mMembers.begin(), index)->first);
  }
  for (const vm_name& name : mCoHolders) {
    addPeer(name);
  }
  for (const vm_name& name : RingSuccessors(aNow)) {
    addPeer(name);
  }
  return peers;
}

heartbeat_message membership_view::MakeHeartbeat(time_point aNow)
{
  heartbeat_message message;
  member_notice self = mSelf;
  self.mAgeMs = 0;
  self.mInForceMs = ToMilliseconds(aNow - mInForceSince);
  message.mMembers.push_back(std::move(self));

  // Half of the notices are the least relayed ones, the newest first. The rest
  // were never relayed or were relayed longest ago. Lost members are omitted,
  // because their age grows at the receivers without further notices.
  const member_context context = ContextAt(aNow);
  std::vector<known_member*> candidates;
  for (auto& [name, known] : mMembers) {
    if (known.mConfirmedAt && known.StateAt(context) != member_state::kLost) {
      candidates.push_back(&known);
    }
  }
  const size_t newestCount =
    std::min(mSettings.mMaxNotices / 2, candidates.size());
  const size_t count = std::min(mSettings.mMaxNotices, candidates.size());
  const auto middle =
    candidates.begin() + static_cast<std::ptrdiff_t>(newestCount);
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    candidates.begin(),
    middle,
    candidates.end(),
    [](const known_member* aLeft, const known_member* aRight) {
      return std::tie(aLeft->mRelayCount, *aRight->mConfirmedAt) <
             std::tie(aRight->mRelayCount, *aLeft->mConfirmedAt);
    });
  std::partial_sort(
    middle,
    end,
    candidates.end(),
    [](const known_member* aLeft, const known_member* aRight) {
      return std::make_tuple(aLeft->mRelayCount > 0, aLeft->mRelayedAt) <
             std::make_tuple(aRight->mRelayCount > 0, aRight->mRelayedAt);
    });
  for (auto position = candidates.begin(); position != end; ++position) {
    ++(*position)->mRelayCount;
    (*position)->mRelayedAt = aNow;
    message.mMembers.push_back((*position)->MakeNotice(aNow));
  }
  return message;
}

member_context membership_view::ContextAt(time_point aNow) const
{
  return { mSettings.mSuspectAfter,
           mSettings.mLostAfter,
           RelayAllowance(),
           mResumedAt,
           aNow };
}

// About half of the members' notices reach a router per interval and hop.
// `kRounds` covers two rounds of all notices, `kHops` the delay added per hop.
duration membership_view::RelayAllowance() const
{
  constexpr int kHops = 4;
  constexpr int kRounds = 2;
  const auto rounds =
    (mMembers.size() + mSettings.mMaxNotices - 1) / mSettings.mMaxNotices;
  return mSettings.mInterval * static_cast<int64_t>(rounds) * kRounds +
         mSettings.mHopDelay * kHops;
}

std::vector<member> membership_view::Members(time_point aNow) const
{
  const member_context context = ContextAt(aNow);
  std::vector<member> members;
  for (const auto& [name, known] : mMembers) {
    members.push_back(known.Describe(context));
  }
  return members;
}

std::optional<member> membership_view::Find(const vm_name& aName,
                                            time_point aNow) const
{
  const auto position = mMembers.find(aName);
  if (position == mMembers.end()) {
    return std::nullopt;
  }
  return position->second.Describe(ContextAt(aNow));
}

std::vector<vm_identity> membership_view::RankFor(std::string_view aDuty,
                                                  time_point aNow) const
{
  const member_context context = ContextAt(aNow);
  std::vector<std::pair<uint64_t, vm_identity>> ranked;
  const auto add = [&](const vm_identity& aVm) {
    std::string text(aDuty);
    text += '\0';
    text += aVm.mName.Value();
    ranked.emplace_back(Hash64(text), aVm);
  };
  if (!mSelf.mLeaving) {
    add(mSelf.mVm);
  }
  for (const auto& [name, known] : mMembers) {
    if (known.StateAt(context) == member_state::kLive) {
      add(known.mNotice.mVm);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<vm_identity> order;
  for (auto& [hash, vm] : ranked) {
    order.push_back(std::move(vm));
  }
  return order;
}

} // namespace parsleystair
