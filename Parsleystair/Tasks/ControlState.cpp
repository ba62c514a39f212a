#include "Parsleystair/Tasks/ControlState.h"

namespace parsleystair {

namespace {

/// Contents of crashing requests that are kept.
constexpr size_t kMaxCrashContents = 1'000;

member_notice NoticeOf(const router_settings& aSettings,
                       const vm_identity& aSelf)
{
  member_notice notice;
  notice.mVm = aSelf;
  notice.mHost = aSettings.mPeers.mHost;
  notice.mPeerPort = aSettings.mPeers.mPort;
  notice.mFailureDomain = aSettings.mFailureDomain;
  return notice;
}

live_router RouterOf(const router_settings& aSettings, const vm_identity& aSelf)
{
  return { aSelf, aSettings.mFailureDomain, false };
}

bool Lists(const group_record& aRecord, const vm_identity& aVm)
{
  for (const group_holder& holder : aRecord.mHolders) {
    if (holder.mVm == aVm.mName && holder.mIncarnation == aVm.mIncarnation) {
      return true;
    }
  }
  return false;
}

} // namespace

control_state::control_state(const router_settings& aSettings,
                             incarnation aIncarnation,
                             time_point aNow)
  : mSettings(aSettings)
  , mSelf{ aSettings.mVm, aIncarnation }
  , mStartedAt(aNow)
  , mMembership({}, NoticeOf(aSettings, mSelf), aNow)
  , mOwnership(RouterOf(aSettings, mSelf), {}, aNow)
  , mCrashes(kMaxCrashContents)
{
}

region_name control_state::Region() const
{
  const auto& current = mConfiguration.Current();
  return current == nullptr ? region_name()
                            : current->RegionOf(mSettings.mFailureDomain);
}

std::optional<peer_address> control_state::FindPeer(const vm_name& aVm,
                                                    time_point aNow) const
{
  if (const auto known = mMembership.Find(aVm, aNow)) {
    return known->mAddress;
  }
  for (const seed_peer& seed : mSettings.mSeedPeers) {
    if (seed.mVm == aVm) {
      return peer_address{ seed.mVm, seed.mAddress.mHost, seed.mAddress.mPort };
    }
  }
  return std::nullopt;
}

router_view control_state::Routers(time_point aNow) const
{
  router_view view;
  view.mListedVms = mListed;
  view.mLiveRouters.push_back({ mSelf, mSettings.mFailureDomain, mIsDraining });
  for (const member& known : mMembership.Members(aNow)) {
    const bool isLeaving = known.mState == member_state::kLeaving;
    if (isLeaving || known.mState == member_state::kLive) {
      view.mLiveRouters.push_back(
        { known.mVm, known.mFailureDomain, isLeaving });
    }
  }
  return view;
}

std::vector<const group_record*> control_state::KnownRecords() const
{
  std::vector<const group_record*> records;
  const auto& current = mConfiguration.Current();
  const uint32_t count = current == nullptr ? 0 : current->mGroupCount;
  for (uint32_t i = 0; i < count; ++i) {
    if (const auto* record = mOwnership.FindRecord(group_index(i))) {
      records.push_back(record);
    }
  }
  return records;
}

uint64_t control_state::GroupDigest() const
{
  uint64_t digest = 0;
  for (const group_record* record : KnownRecords()) {
    digest += record->mRevision.Value();
  }
  return digest;
}

size_t control_state::HeldGroups() const
{
  size_t held = 0;
  for (const group_record* record : KnownRecords()) {
    held += Lists(*record, mSelf) ? 1 : 0;
  }
  return held;
}

std::set<vm_name> control_state::CoHolders() const
{
  std::set<vm_name> names;
  for (const group_record* record : KnownRecords()) {
    if (!Lists(*record, mSelf)) {
      continue;
    }
    for (const group_holder& holder : record->mHolders) {
      names.insert(holder.mVm);
    }
  }
  names.erase(mSelf.mName);
  return names;
}

} // namespace parsleystair
