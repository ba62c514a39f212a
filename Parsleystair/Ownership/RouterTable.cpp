#include "Parsleystair/Ownership/RouterTable.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace parsleystair {

namespace {

constexpr size_t kHoldersPerGroup = 3;

uint64_t Weight(group_index aGroup, const std::string& aName)
{
  std::string bytes = std::to_string(aGroup.Value());
  bytes += '\0';
  bytes += aName;
  return Hash64(bytes);
}

bool HasElapsed(const std::map<vm_name, time_point>& aSince,
                const vm_name& aVm,
                const std::optional<time_point>& aDefault,
                duration aTime,
                time_point aNow)
{
  const auto found = aSince.find(aVm);
  if (found != aSince.end()) {
    return aNow - found->second >= aTime;
  }
  return aDefault && aNow - *aDefault >= aTime;
}

} // namespace

router_table::router_table(live_router aSelf)
  : mSelf(std::move(aSelf))
{
  mLive.emplace(mSelf.mVm.mName, mSelf);
  mFailureDomainOfVm[mSelf.mVm.mName] = mSelf.mFailureDomain;
}

void router_table::SetView(const router_view& aView, time_point aNow)
{
  std::map<vm_name, live_router> live;
  for (const live_router& router : aView.mLiveRouters) {
    live[router.mVm.mName] = router;
    mFailureDomainOfVm[router.mVm.mName] = router.mFailureDomain;
  }
  // Take over whether this process is leaving, but keep it live even if the
  // view does not list it.
  const auto self = live.find(mSelf.mVm.mName);
  if (self != live.end() && self->second.mVm == mSelf.mVm) {
    mSelf.mLeaving = self->second.mLeaving;
  }
  live[mSelf.mVm.mName] = mSelf;
  mLive.swap(live);
  for (const auto& [name, router] : live) {
    if (mLive.count(name) == 0) {
      mAbsentSince.emplace(name, aNow);
    }
  }
  UpdateAbsent(aNow);
  UpdateListed(aView.mListedVms, aNow);
}

void router_table::UpdateAbsent(time_point aNow)
{
  if (!mFirstViewAt) {
    mFirstViewAt = aNow;
  }
  std::erase_if(mAbsentSince, [&](const auto& aEntry) {
    return mLive.count(aEntry.first) != 0;
  });
}

void router_table::UpdateListed(const std::set<vm_name>& aListed,
                                time_point aNow)
{
  if (aListed.empty()) {
    return;
  }
  if (!mFirstListAt) {
    mFirstListAt = aNow;
  }
  for (const vm_name& name : mListed) {
    if (aListed.count(name) == 0) {
      mUnlistedSince.emplace(name, aNow);
    }
  }
  mListed = aListed;
  std::erase_if(mUnlistedSince, [&](const auto& aEntry) {
    return mListed.count(aEntry.first) != 0;
  });
}

const live_router* router_table::FindLive(const vm_name& aVm) const
{
  const auto found = mLive.find(aVm);
  return found == mLive.end() ? nullptr : &found->second;
}

bool router_table::IsAbsentFor(const vm_name& aVm,
                               duration aTime,
                               time_point aNow) const
{
  return mLive.count(aVm) == 0 &&
         HasElapsed(mAbsentSince, aVm, mFirstViewAt, aTime, aNow);
}

bool router_table::IsTerminated(const vm_name& aVm,
                                duration aTime,
                                time_point aNow) const
{
  return !mListed.empty() && mListed.count(aVm) == 0 && mLive.count(aVm) == 0 &&
         HasElapsed(mUnlistedSince, aVm, mFirstListAt, aTime, aNow);
}

size_t router_table::RankOfSelf(const group_record& aRecord,
                                const configuration* aConfiguration) const
{
  enum tier
  {
    kHomeHolder,
    kOtherHolder,
    kLeavingHolder,
    kNonHolder,
  };
  const auto isHolder = [&](const vm_name& aVm) {
    return std::any_of(aRecord.mHolders.begin(),
                       aRecord.mHolders.end(),
                       [&](const auto& aHolder) { return aHolder.mVm == aVm; });
  };
  const region_name home = aConfiguration == nullptr
                             ? region_name()
                             : HomeRegion(aRecord.mGroup, *aConfiguration);
  const auto tierOf = [&](const live_router& aRouter) {
    if (!isHolder(aRouter.mVm.mName)) {
      return kNonHolder;
    }
    if (aRouter.mLeaving) {
      return kLeavingHolder;
    }
    // A router in the home region that writes a move receives its second
    // acknowledgement within 2 ms.
    const bool isHome =
      aConfiguration != nullptr &&
      aConfiguration->RegionOf(aRouter.mFailureDomain) == home;
    return isHome ? kHomeHolder : kOtherHolder;
  };
  // The rendezvous hash spreads the groups' duties evenly over the routers.
  const auto orderOf = [&](const live_router& aRouter) {
    return std::make_tuple(tierOf(aRouter),
                           ~Weight(aRecord.mGroup, aRouter.mVm.mName.Value()));
  };
  const auto self = orderOf(mSelf);
  return static_cast<size_t>(
    std::count_if(mLive.begin(), mLive.end(), [&](const auto& aEntry) {
      const bool counts = !aEntry.second.mLeaving || isHolder(aEntry.first);
      return counts && orderOf(aEntry.second) < self;
    }));
}

std::vector<live_router> router_table::RoutersByRendezvous(
  group_index aGroup) const
{
  std::vector<std::pair<uint64_t, const live_router*>> weighted;
  for (const auto& [name, router] : mLive) {
    if (!router.mLeaving) {
      weighted.emplace_back(Weight(aGroup, name.Value()), &router);
    }
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<live_router> routers;
  routers.reserve(weighted.size());
  for (const auto& [weight, router] : weighted) {
    routers.push_back(*router);
  }
  return routers;
}

failure_domain_name router_table::FailureDomainOf(const vm_name& aVm) const
{
  const auto found = mFailureDomainOfVm.find(aVm);
  return found == mFailureDomainOfVm.end() ? failure_domain_name()
                                           : found->second;
}

std::vector<group_holder> router_table::ChooseHolders(
  group_index aGroup,
  const configuration& aConfiguration) const
{
  std::vector<group_holder> holders;
  while (holders.size() < kHoldersPerGroup) {
    const auto holder = ChooseHolder(aGroup, holders, aConfiguration);
    if (!holder) {
      break;
    }
    holders.push_back(*holder);
    holders.back().mJoining = false;
  }
  return holders;
}

std::optional<group_holder> router_table::ChooseHolder(
  group_index aGroup,
  const std::vector<group_holder>& aOthers,
  const configuration& aConfiguration) const
{
  // Collect the failure domains of the other holders and count those in the
  // home region.
  const region_name home = HomeRegion(aGroup, aConfiguration);
  std::set<failure_domain_name> domains;
  size_t homeHolders = 0;
  for (const group_holder& other : aOthers) {
    const failure_domain_name domain = FailureDomainOf(other.mVm);
    domains.insert(domain);
    homeHolders += aConfiguration.RegionOf(domain) == home ? 1 : 0;
  }
  // Prefer the region that still lacks a holder; otherwise take the first
  // router in any other unused failure domain.
  constexpr size_t kHoldersInHomeRegion = 2;
  const bool needsHomeHolder = homeHolders < kHoldersInHomeRegion;
  const live_router* fallback = nullptr;
  const std::vector<live_router> candidates = RoutersByRendezvous(aGroup);
  for (const live_router& router : candidates) {
    if (domains.count(router.mFailureDomain) != 0) {
      continue;
    }
    const bool isHome = aConfiguration.RegionOf(router.mFailureDomain) == home;
    if (isHome == needsHomeHolder) {
      return group_holder{ router.mVm.mName, router.mVm.mIncarnation, true };
    }
    fallback = fallback == nullptr ? &router : fallback;
  }
  if (fallback == nullptr) {
    return std::nullopt;
  }
  return group_holder{ fallback->mVm.mName, fallback->mVm.mIncarnation, true };
}

region_name HomeRegion(group_index aGroup, const configuration& aConfiguration)
{
  region_name home;
  uint64_t best = 0;
  for (const auto& domain : aConfiguration.mFailureDomains) {
    const uint64_t weight = Weight(aGroup, domain.mRegion.Value());
    if (home == region_name() || weight > best) {
      home = domain.mRegion;
      best = weight;
    }
  }
  return home;
}

} // namespace parsleystair
