#include "Parsleystair/Gateway/RelayChoice.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Routers of a failure domain from which on a relay pays: it asks the store
/// twice as often as five routers that wait for changes.
constexpr size_t kMinRouters = 6;
/// Time for which a router that did not answer is passed over. A cut or a
/// restart takes seconds.
constexpr duration kFailurePause = 5s;

} // namespace

relay_choice::relay_choice(std::string aSelf,
                           failure_domain_name aFailureDomain)
  : mSelf(std::move(aSelf))
  , mFailureDomain(std::move(aFailureDomain))
{
}

void relay_choice::SetRouters(const std::vector<listed_router>& aRouters)
{
  mHosts.clear();
  for (const listed_router& router : aRouters) {
    if (router.mFailureDomain == mFailureDomain) {
      mHosts.push_back(router.mHost);
    }
  }
  // The order by hash differs from the order in which machines are replaced.
  std::sort(mHosts.begin(),
            mHosts.end(),
            [](const std::string& aLeft, const std::string& aRight) {
              return std::pair(Hash64(aLeft), aLeft) <
                     std::pair(Hash64(aRight), aRight);
            });
}

void relay_choice::HandleFailure(const std::string& aHost, time_point aNow)
{
  mFailedAt[aHost] = aNow;
}

std::string relay_choice::Chosen(time_point aNow) const
{
  const auto chosen =
    std::find_if(mHosts.begin(), mHosts.end(), [&](const std::string& aHost) {
      const auto failed = mFailedAt.find(aHost);
      return failed == mFailedAt.end() || aNow - failed->second > kFailurePause;
    });
  return chosen == mHosts.end() ? "" : *chosen;
}

std::optional<std::string> relay_choice::Current(time_point aNow) const
{
  if (!IsUsed()) {
    return std::nullopt;
  }
  const std::string chosen = Chosen(aNow);
  if (chosen.empty() || chosen == mSelf) {
    return std::nullopt;
  }
  return chosen;
}

bool relay_choice::IsRelay(time_point aNow) const
{
  return IsUsed() && Chosen(aNow) == mSelf;
}

bool relay_choice::IsUsed() const
{
  return mHosts.size() >= kMinRouters;
}

} // namespace parsleystair
