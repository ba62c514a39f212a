#include "Parsleystair/Gateway/FenceConnections.h"

namespace parsleystair {

namespace {

/// Time for which a fence that the records don't name is kept. Longer than all
/// times for which a leader goes on granting fences after a restore of the
/// store.
constexpr duration kMaxUnusedTime = 60s;

} // namespace

std::optional<connection_bound> fence_connections::BoundOf(
  const target_name& aTarget,
  fence aFence) const
{
  const auto target = mFences.find(aTarget);
  if (target == mFences.end()) {
    return std::nullopt;
  }
  const auto found = target->second.find(aFence);
  return found == target->second.end() ? std::nullopt
                                       : std::optional(found->second.mBound);
}

void fence_connections::HandleSend(const target_name& aTarget,
                                   fence aFence,
                                   target_connection_id aConnection,
                                   time_point aNow)
{
  const auto [position, isFirst] = mFences[aTarget].try_emplace(aFence);
  sent_fence& sent = position->second;
  if (isFirst) {
    sent.mBound = { aConnection, aNow };
  }
  ++sent.mGrants;
  sent.mLastSentAt = aNow;
}

void fence_connections::HandleNotSent(const target_name& aTarget, fence aFence)
{
  const auto target = mFences.find(aTarget);
  if (target == mFences.end()) {
    return;
  }
  const auto found = target->second.find(aFence);
  if (found != target->second.end() && --found->second.mGrants == 0) {
    target->second.erase(found);
  }
}

void fence_connections::RemoveUnused(const std::set<fence>& aRecorded,
                                     time_point aNow)
{
  for (auto& [name, fences] : mFences) {
    std::erase_if(fences, [&](const auto& aFence) {
      return aNow - aFence.second.mLastSentAt > kMaxUnusedTime &&
             !aRecorded.contains(aFence.first);
    });
  }
  std::erase_if(mFences,
                [](const auto& aTarget) { return aTarget.second.empty(); });
}

} // namespace parsleystair
