#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <optional>
#include <set>

namespace parsleystair {

/// Identifies a connection to a target.
using target_connection_id = strong_id<struct target_connection_tag, uint64_t>;

/// Connections that may carry an order.
struct connection_bound
{
  /// The connection that carried the first such order.
  target_connection_id mFirst;
  /// Connections on which the target had responded until this time.
  time_point mRespondedUntil;

  [[nodiscard]] bool Allows(target_connection_id aConnection,
                            time_point aFirstResponse) const
  {
    return aConnection == mFirst || aFirstResponse <= mRespondedUntil;
  }

  bool operator==(const connection_bound&) const = default;
};

/// Decides which connections to a target may carry the grants with a fence, so
/// that no two incarnations of the target accept the same fence. A connection
/// that was set up before the first grant with the fence was sent leads to the
/// incarnation that got this grant, or to an earlier one, which is gone. A
/// later connection may lead to a later incarnation, however the connections
/// before it ended.
class fence_connections
{
public:
  /// Nothing if no grant with the fence may have been sent: then each
  /// connection may carry it, also a new one.
  [[nodiscard]] std::optional<connection_bound> BoundOf(
    const target_name& aTarget,
    fence aFence) const;

  /// A grant is being sent over a connection that `BoundOf` allows.
  void HandleSend(const target_name& aTarget,
                  fence aFence,
                  target_connection_id aConnection,
                  time_point aNow);

  /// Nothing of a grant for which `HandleSend` was called has left this router,
  /// and nothing of it will.
  void HandleNotSent(const target_name& aTarget, fence aFence);

  /// Removes the fences that were not granted for long, except those in
  /// `aRecorded`.
  void RemoveUnused(const std::set<fence>& aRecorded, time_point aNow);

private:
  struct sent_fence
  {
    connection_bound mBound;
    /// Number of grants that may have been sent.
    size_t mGrants = 0;
    time_point mLastSentAt;
  };

  std::map<target_name, std::map<fence, sent_fence>> mFences;
};

} // namespace parsleystair
