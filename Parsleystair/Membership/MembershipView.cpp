#include "Parsleystair/Membership/MembershipView.h"

#include "Parsleystair/Core/Hash.h"
#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace parsleystair {

namespace {

// Earlier incarnations that are remembered per name, so that a late message of
// one of them can't bring it back.
constexpr size_t kMaxSuperseded = 4;

// Longest name, host or failure domain that is taken from others.
constexpr size_t kMaxNameLength = 253;

// A peer counts as due a little early, so that a tick of the interval's length
// with jitter doesn't skip every other heartbeat.
constexpr int kDuePercent = 75;

uint32_t ToMilliseconds(duration aDuration)
{
  const auto milliseconds =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::clamp<int64_t>(milliseconds, 0, kMax));
}

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
    entry* known = FindOrAdd(listed.mName, aNow);
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

membership_view::entry* membership_view::FindOrAdd(const vm_name& aName,
                                                   time_point aNow)
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
  entry& added = mMembers[aName];
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
  entry* known = FindOrAdd(aNotice.mVm.mName, aNow);
  if (known == nullptr || !MayTakeIncarnation(*known, aNotice.mVm, heardAt)) {
    return;
  }
  if (known->mNotice.mVm.mIncarnation != aNotice.mVm.mIncarnation) {
    ReplaceIncarnation(*known, aNotice.mVm.mIncarnation);
  }
  if (!known->mHeardAt || heardAt >= *known->mHeardAt) {
    known->mHeardAt = heardAt;
    known->mPassedOn = 0;
    TakeFields(*known, aNotice, aNow);
  }
  if (aFirstHand) {
    known->mHeardDirectlyAt = aNow;
    known->mExchangedAt = aNow;
  }
}

// Incarnations are random, so nothing in them tells which is newer. Another
// one is taken in only after the known one has been silent, because two
// processes of one name never live side by side for long and a late message of
// an earlier one arrives while the new one is heard.
bool membership_view::MayTakeIncarnation(const entry& aEntry,
                                         const vm_identity& aVm,
                                         time_point aHeardAt) const
{
  if (aVm.mIncarnation == aEntry.mNotice.mVm.mIncarnation) {
    return true;
  }
  const auto& superseded = aEntry.mSuperseded;
  if (std::find(superseded.begin(), superseded.end(), aVm.mIncarnation) !=
      superseded.end()) {
    return false;
  }
  return !aEntry.mHeardAt ||
         aHeardAt > *aEntry.mHeardAt + mSettings.mSuspectAfter;
}

void membership_view::ReplaceIncarnation(entry& aEntry,
                                         incarnation aIncarnation)
{
  if (aEntry.mHeardAt) {
    aEntry.mSuperseded.push_back(aEntry.mNotice.mVm.mIncarnation);
  }
  if (aEntry.mSuperseded.size() > kMaxSuperseded) {
    aEntry.mSuperseded.pop_front();
  }
  aEntry.mNotice.mVm.mIncarnation = aIncarnation;
  aEntry.mNotice.mLeaving = false;
  aEntry.mNotice.mConfiguration = configuration_revision();
  aEntry.mHeardAt.reset();
  aEntry.mHeardDirectlyAt.reset();
  aEntry.mLostAt.reset();
}

void membership_view::TakeFields(entry& aEntry,
                                 const member_notice& aNotice,
                                 time_point aNow)
{
  member_notice& known = aEntry.mNotice;
  known.mHost = aNotice.mHost;
  known.mPeerPort = aNotice.mPeerPort;
  known.mFailureDomain = aNotice.mFailureDomain;
  // A process that is leaving never stays after all.
  known.mLeaving = known.mLeaving || aNotice.mLeaving;
  if (aNotice.mConfiguration > known.mConfiguration) {
    known.mConfiguration = aNotice.mConfiguration;
    aEntry.mInForceSince = aNow - std::chrono::milliseconds(aNotice.mInForceMs);
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
  for (auto& [name, known] : mMembers) {
    const bool isNewLoss = !known.mLostAt || known.mHeardAt > known.mLostAt;
    if (isNewLoss && StateOf(known, aNow) == member_state::kLost) {
      known.mLostAt = aNow;
    }
  }
}

void membership_view::Forget(time_point aNow)
{
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const entry& known = aEntry.second;
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
  std::set<vm_name> direct = mCoHolders;
  std::vector<vm_name> ring;
  for (const auto& [name, known] : mMembers) {
    if (StateOf(known, aNow) != member_state::kLost) {
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
  std::set<vm_name> successors;
  auto position = mMembers.upper_bound(mSelf.mVm.mName);
  for (size_t i = 0; i < mMembers.size(); ++i) {
    if (successors.size() == mSettings.mRingNeighbours) {
      break;
    }
    if (position == mMembers.end()) {
      position = mMembers.begin();
    }
    if (StateOf(position->second, aNow) != member_state::kLost) {
      successors.insert(position->first);
    }
    ++position;
  }
  return successors;
}

bool membership_view::IsDue(const entry& aEntry, time_point aNow) const
{
  const duration wait = mSettings.mInterval * kDuePercent / 100;
  return !aEntry.mExchangedAt || aNow - *aEntry.mExchangedAt >= wait;
}

std::vector<peer_address> membership_view::TakePeers(time_point aNow)
{
  std::vector<peer_address> peers;
  const auto take = [&](const vm_name& aName) {
    const auto position = mMembers.find(aName);
    if (position == mMembers.end() || peers.size() == mSettings.mMaxPeers) {
      return;
    }
    entry& known = position->second;
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

member_notice membership_view::NoticeOf(const entry& aEntry,
                                        time_point aNow) const
{
  member_notice notice = aEntry.mNotice;
  notice.mAgeMs = ToMilliseconds(aNow - *aEntry.mHeardAt);
  notice.mInForceMs = ToMilliseconds(aNow - aEntry.mInForceSince);
  return notice;
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
  std::vector<entry*> news;
  for (auto& [name, known] : mMembers) {
    if (known.mHeardAt && StateOf(known, aNow) != member_state::kLost) {
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
                    [](const entry* aLeft, const entry* aRight) {
                      return std::tie(aLeft->mPassedOn, *aRight->mHeardAt) <
                             std::tie(aRight->mPassedOn, *aLeft->mHeardAt);
                    });
  std::partial_sort(
    middle, end, news.end(), [](const entry* aLeft, const entry* aRight) {
      return std::make_tuple(aLeft->mPassedOn > 0, aLeft->mPassedOnAt) <
             std::make_tuple(aRight->mPassedOn > 0, aRight->mPassedOnAt);
    });
  for (auto position = news.begin(); position != end; ++position) {
    ++(*position)->mPassedOn;
    (*position)->mPassedOnAt = aNow;
    message.mMembers.push_back(NoticeOf(**position, aNow));
  }
  return message;
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

member_state membership_view::StateOf(const entry& aEntry,
                                      time_point aNow) const
{
  if (aEntry.mLostAt && !(aEntry.mHeardAt > aEntry.mLostAt)) {
    return member_state::kLost;
  }
  // Silence counts from the newest of: a sign of life, the end of the own
  // pause, and the time since when the member should be heard directly.
  const time_point heardAt = aEntry.mHeardAt.value_or(aEntry.mKnownSince);
  time_point since = std::max(heardAt, mResumedAt);
  duration allowance = RelayAllowance();
  if (aEntry.mDirectSince) {
    since = std::max(since, *aEntry.mDirectSince);
    // If others hear it well after this router did, only the link to it is
    // broken, and news takes the way through others.
    const time_point directly =
      std::max(aEntry.mHeardDirectlyAt.value_or(time_point::min()),
               *aEntry.mDirectSince);
    const bool isRelayed = heardAt - directly > mSettings.mSuspectAfter;
    allowance = isRelayed ? allowance : duration::zero();
  }
  const duration silence = aNow - since;
  if (silence > mSettings.mLostAfter + allowance) {
    return member_state::kLost;
  }
  if (silence > mSettings.mSuspectAfter + allowance) {
    // The list and the silence agree that it has ended.
    return aEntry.mListed ? member_state::kSuspect : member_state::kLost;
  }
  if (!aEntry.mHeardAt) {
    return member_state::kSuspect;
  }
  return aEntry.mNotice.mLeaving ? member_state::kLeaving : member_state::kLive;
}

member membership_view::Describe(const entry& aEntry, time_point aNow) const
{
  member described;
  described.mVm = aEntry.mNotice.mVm;
  described.mAddress = { aEntry.mNotice.mVm.mName,
                         aEntry.mNotice.mHost,
                         aEntry.mNotice.mPeerPort };
  described.mFailureDomain = aEntry.mNotice.mFailureDomain;
  described.mState = StateOf(aEntry, aNow);
  described.mListed = aEntry.mListed;
  if (aEntry.mHeardAt) {
    described.mAge = aNow - *aEntry.mHeardAt;
  }
  described.mConfiguration = aEntry.mNotice.mConfiguration;
  described.mInForce = aNow - aEntry.mInForceSince;
  return described;
}

std::vector<member> membership_view::Members(time_point aNow) const
{
  std::vector<member> members;
  for (const auto& [name, known] : mMembers) {
    members.push_back(Describe(known, aNow));
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
  return Describe(position->second, aNow);
}

std::vector<vm_identity> membership_view::RankFor(std::string_view aDuty,
                                                  time_point aNow) const
{
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
    if (StateOf(known, aNow) == member_state::kLive) {
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
