#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Ownership/GroupRecord.h"
#include "Parsleystair/Settings/Configuration.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace parsleystair {

/// Owner of one slot, as far as this router knows.
struct slot_route
{
  /// Index in the service's targets; none while the slot has no owner.
  std::optional<uint32_t> mTarget;
  fence mFence;

  bool operator==(const slot_route&) const = default;
};

/// Routes by service, in the configuration's order, and slot; empty for shared
/// services.
using route_table = std::vector<std::vector<slot_route>>;

/// All that a worker needs to route, as one immutable value.
struct routing_snapshot
{
  std::shared_ptr<const configuration> mConfiguration;
  std::shared_ptr<const route_table> mRoutes;
  /// Time until which this router's table of a group is proven to be current.
  std::vector<time_point> mAuthorityUntil;
  region_name mRegion;
};

/// Where to send a request.
struct route
{
  const target_configuration* mTarget = nullptr;
  fence mFence;
};

/// Why there is nowhere to send a request now.
enum class route_failure
{
  kNoOwner,
  kNoAuthority,
};

/// Owner of an exclusive slot. A target that doesn't check grants is only named
/// while the table is proven to be current.
std::variant<route, route_failure> FindOwner(const routing_snapshot& aSnapshot,
                                             size_t aServiceIndex,
                                             slot_index aSlot,
                                             group_index aGroup,
                                             time_point aNow);

/// Targets of a shared service that may be used: those of this region, or all
/// if there are none.
std::vector<const target_configuration*> UsableTargets(
  const routing_snapshot& aSnapshot,
  size_t aServiceIndex);

/// Routes that follow from the configuration and group records.
route_table BuildRoutes(const configuration& aConfiguration,
                        const std::vector<const group_record*>& aRecords);

} // namespace parsleystair
