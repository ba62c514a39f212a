#include "Parsleystair/Membership/MembershipView.h"

#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace parsleystair {

namespace {

// Longest name, host or failure domain that is taken from others.
constexpr size_t kMaxNameLength = 253;

// A peer counts as due a little early, so that a tick of the interval's length
// with jitter doesn't skip every other heartbeat.
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
  , mLastProbeAt(aNow)
{
  PARSLEYSTAIR_INVARIANT(IsValid(mSelf));
  PARSLEYSTAIR_INVARIANT(mSettings.mNotices > 0);
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
    // A member's own words about its address are newer than the list.
    if (!known->mHeardAt) {
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
                                   bool aFirstHand,
                                   time_point aNow)
{
  // Each hop makes what is known older than the ages say. Without the added
  // delay, reports that go in circles would keep a stopped member alive.
  const duration age = aFirstHand ? duration::zero()
                                  : std::chrono::milliseconds(aNotice.mAgeMs) +
                                      mSettings.mHopDelay;
  const time_point heardAt = aNow - age;
  if (!aFirstHand && age > mSettings.mLostAfter + RelayAllowance()) {
    return;
  }
  known_member* known = FindOrAdd(aNotice.mVm.mName, aNow);
  if (known == nullptr || !known->MayTake(aNotice.mVm.mIncarnation,
                                          heardAt,
                                          mSettings.mSuspectAfter)) {
    return;
  }
  known->Hear(aNotice, heardAt, aNow);
  if (aFirstHand) {
    known->mHeardDirectlyAt = aNow;
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
  Forget(aNow);
  MarkLost(aNow);
  UpdateDirectPeers(aNow);
}

void membership_view::MarkLost(time_point aNow)
{
  const member_context context = ContextAt(aNow);
  for (auto& [name, known] : mMembers) {
    const bool isNewLoss = !known.mLostAt || known.mHeardAt > known.mLostAt;
    if (isNewLoss && known.StateAt(context) == member_state::kLost) {
      known.mLostAt = aNow;
    }
  }
}

void membership_view::Forget(time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const known_member& known = aEntry.second;
    const time_point since =
      std::max(known.mHeardAt.value_or(known.mKnownSince), mResumedAt);
    return !known.mListed && aNow - since > mSettings.mForgetAfter;
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

// Ring neighbours on both sides, since heartbeats go to the successors and
// come from the predecessors.
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
  const duration wait = mSettings.mInterval * kDuePercent / 100;
  return !aKnown.mExchangedAt || aNow - *aKnown.mExchangedAt >= wait;
}

std::vector<peer_address> membership_view::TakePeers(time_point aNow)
{
  std::vector<peer_address> peers;
  const auto take = [&](const vm_name& aName) {
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

  // One of all members by chance, lost ones included: it carries news across
  // the ring, and it finds members again after a partition.
  const duration wait = mSettings.mInterval * kDuePercent / 100;
  if (!mMembers.empty() && aNow - mLastProbeAt >= wait) {
    mLastProbeAt = aNow;
    ++mProbes;
    const uint64_t random =
      Hash64(mSelf.mVm.mName.Value() + std::to_string(mProbes));
    const auto index = static_cast<std::ptrdiff_t>(random % mMembers.size());
    take(std::next(mMembers.begin(), index)->first);
  }
  for (const vm_name& name : mCoHolders) {
    take(name);
  }
  for (const vm_name& name : RingSuccessors(aNow)) {
    take(name);
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

  // The news that was passed on least, and of that the newest. Lost members
  // age at the receivers without further notices.
  const member_context context = ContextAt(aNow);
  std::vector<known_member*> news;
  for (auto& [name, known] : mMembers) {
    if (known.mHeardAt && known.StateAt(context) != member_state::kLost) {
      news.push_back(&known);
    }
  }
  const size_t newest = std::min(mSettings.mNotices / 2, news.size());
  const size_t count = std::min(mSettings.mNotices, news.size());
  const auto middle = news.begin() + static_cast<std::ptrdiff_t>(newest);
  const auto end = news.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(news.begin(),
                    middle,
                    news.end(),
                    [](const known_member* aLeft, const known_member* aRight) {
                      return std::tie(aLeft->mPassedOn, *aRight->mHeardAt) <
                             std::tie(aRight->mPassedOn, *aLeft->mHeardAt);
                    });
  std::partial_sort(
    middle,
    end,
    news.end(),
    [](const known_member* aLeft, const known_member* aRight) {
      return std::make_tuple(aLeft->mPassedOn > 0, aLeft->mPassedOnAt) <
             std::make_tuple(aRight->mPassedOn > 0, aRight->mPassedOnAt);
    });
  for (auto position = news.begin(); position != end; ++position) {
    ++(*position)->mPassedOn;
    (*position)->mPassedOnAt = aNow;
    message.mMembers.push_back((*position)->NoticeAt(aNow));
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

// About half the members' notices reach a router per interval and hop; the
// factor covers two rounds of all notices, the hops their added delay.
duration membership_view::RelayAllowance() const
{
  constexpr int kHops = 4;
  constexpr int kRounds = 2;
  const auto rounds =
    (mMembers.size() + mSettings.mNotices - 1) / mSettings.mNotices;
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
