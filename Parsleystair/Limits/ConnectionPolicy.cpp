#include "Parsleystair/Limits/ConnectionPolicy.h"

#include <algorithm>
#include <limits>

namespace parsleystair {

namespace {

/// Time in which a target with a full queue runs a few requests and has room
/// for connections again.
constexpr duration kBackoff = 250ms;
/// Idle connections to one target that are kept in any case, also if its
/// service has no limit of connections.
constexpr size_t kMinIdleConnections = 2;
/// Idle connections to all targets together: a quarter of the 4,100 descriptors
/// of a small router, and 10 MB of its 160 MB at 10 KB for each.
constexpr size_t kMaxAllIdleConnections = 1000;

} // namespace

void connection_backoff::HandleFailure(const target_name& aTarget,
                                       time_point aNow)
{
  mFailedAt[aTarget] = aNow;
}

void connection_backoff::HandleSuccess(const target_name& aTarget)
{
  mFailedAt.erase(aTarget);
}

bool connection_backoff::IsActive(const target_name& aTarget,
                                  time_point aNow) const
{
  const auto found = mFailedAt.find(aTarget);
  return found != mFailedAt.end() && aNow - found->second < kBackoff;
}

void connection_backoff::Expire(time_point aNow)
{
  std::erase_if(mFailedAt, [&](const auto& aEntry) {
    return aNow - aEntry.second >= kBackoff;
  });
}

size_t MaxIdleConnections(size_t aConnectionLimit, size_t aTargets)
{
  if (aConnectionLimit == std::numeric_limits<size_t>::max()) {
    return kMinIdleConnections;
  }
  const size_t share = kMaxAllIdleConnections / std::max<size_t>(1, aTargets);
  return std::max(kMinIdleConnections, std::min(aConnectionLimit, share));
}

} // namespace parsleystair
