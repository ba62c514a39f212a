#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// An entry of the leader's list of routers.
struct router_entry
{
  /// IP address.
  std::string mHost;
  failure_domain_name mFailureDomain;
  /// The machine is large enough to be preferred as a relay.
  bool mIsLarge = false;

  auto operator<=>(const router_entry&) const = default;
};

/// Chooses the relay: the router that watches the store for all routers of its
/// failure domain, so that a change costs one billed call per failure domain
/// instead of one per router. All routers with the same list choose the same
/// relay.
class relay_choice
{
public:
  relay_choice(std::string aSelfHost, failure_domain_name aFailureDomain);

  /// Sets the live routers of the deployment, this router included.
  void SetRouters(const std::vector<router_entry>& aRouters);

  /// A router did not respond; another one is chosen until its cooldown ends.
  void HandleFailure(const std::string& aHost, time_point aNow);

  /// Host of the relay to use; nothing if this router is to watch the store
  /// itself.
  [[nodiscard]] std::optional<std::string> Current(time_point aNow) const;

  /// This router is the relay of its failure domain.
  [[nodiscard]] bool IsRelay(time_point aNow) const;

  /// The failure domain has enough routers for a relay.
  [[nodiscard]] bool HasEnoughRouters() const;

private:
  /// First candidate that is not in its cooldown; empty if there is none.
  [[nodiscard]] std::string FirstAvailable(time_point aNow) const;

  std::string mSelfHost;
  failure_domain_name mFailureDomain;
  /// Hosts of this router's failure domain in the order of preference, large
  /// machines first.
  std::vector<std::string> mCandidates;
  std::map<std::string, time_point> mFailedAt;
};

} // namespace parsleystair
