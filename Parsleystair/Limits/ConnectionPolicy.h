#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <cstddef>
#include <map>

namespace parsleystair {

/// Answers the load of a target with a long queue, which accepts few
/// connections and resets the others: tells which targets have failed to take a
/// new connection a short time ago.
class connection_backoff
{
public:
  /// A new connection was not made, or ended before its first response.
  void HandleFailure(const target_name& aTarget, time_point aNow);

  /// A new connection has carried a response.
  void HandleSuccess(const target_name& aTarget);

  /// Whether no further connection to the target is to be opened as long as own
  /// ones are in use.
  [[nodiscard]] bool IsActive(const target_name& aTarget,
                              time_point aNow) const;

  /// Removes what no longer matters.
  void Expire(time_point aNow);

private:
  std::map<target_name, time_point> mFailedAt;
};

/// Idle connections that a router keeps open to one target.
///
/// Answers the load of bursts, after which all connections but a few were
/// closed and opened again with the next burst. `aConnectionLimit`: connections
/// to one target that are in use at most, `aTargets`: number of all known
/// targets, which share the memory and descriptors of the router.
size_t MaxIdleConnections(size_t aConnectionLimit, size_t aTargets);

} // namespace parsleystair
