#include "Parsleystair/Gateway/RelayChoice.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace parsleystair {

namespace {

/// Smallest number of routers of a failure domain for which a relay is
/// worthwhile: a relay calls the store twice as often as five routers that wait
/// for changes.
constexpr size_t kMinRoutersForRelay = 6;
/// Time for which a router that did not respond is not chosen. A network
/// partition or a restart takes seconds.
constexpr duration kFailureCooldown = 5s;

} // namespace

relay_choice::relay_choice(std::string aSelfHost,
                           failure_domain_name aFailureDomain)
  : mSelfHost(std::move(aSelfHost))
  , mFailureDomain(std::move(aFailureDomain))
{
}

void relay_choice::SetRouters(const std::vector<router_entry>& aRouters)
{
  // Hashing makes the order independent of the order in which machines are
  // replaced. A relay sends each change to all routers of its failure domain,
  // for which the link of a small machine takes seconds.
  std::vector<std::tuple<bool, uint64_t, std::string>> order;
  for (const router_entry& router : aRouters) {
    if (router.mFailureDomain == mFailureDomain) {
      order.emplace_back(!router.mIsLarge, Hash64(router.mHost), router.mHost);
    }
  }
  std::sort(order.begin(), order.end());
  mCandidates.clear();
  for (const auto& [isSmall, hash, host] : order) {
    mCandidates.push_back(host);
  }
}

void relay_choice::HandleFailure(const std::string& aHost, time_point aNow)
{
  mFailedAt[aHost] = aNow;
}

std::string relay_choice::FirstAvailable(time_point aNow) const
{
  const auto first = std::find_if(
    mCandidates.begin(), mCandidates.end(), [&](const std::string& aHost) {
      const auto failed = mFailedAt.find(aHost);
      return failed == mFailedAt.end() ||
             aNow - failed->second > kFailureCooldown;
    });
  return first == mCandidates.end() ? "" : *first;
}

std::optional<std::string> relay_choice::Current(time_point aNow) const
{
  if (!HasEnoughRouters()) {
    return std::nullopt;
  }
  const std::string chosen = FirstAvailable(aNow);
  if (chosen.empty() || chosen == mSelfHost) {
    return std::nullopt;
  }
  return chosen;
}

bool relay_choice::IsRelay(time_point aNow) const
{
  return HasEnoughRouters() && FirstAvailable(aNow) == mSelfHost;
}

bool relay_choice::HasEnoughRouters() const
{
  return mCandidates.size() >= kMinRoutersForRelay;
}

} // namespace parsleystair
