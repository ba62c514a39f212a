#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// A router as the leader lists it.
struct listed_router
{
  /// IP address.
  std::string mHost;
  failure_domain_name mFailureDomain;

  auto operator<=>(const listed_router&) const = default;
};

/// Chooses the router of the own failure domain that watches the store for the
/// others, so that a change costs one paid call a failure domain and not one a
/// router. All routers with the same list choose the same one.
class relay_choice
{
public:
  relay_choice(std::string aSelfHost, failure_domain_name aFailureDomain);

  /// Live routers of the deployment, this one included.
  void SetRouters(const std::vector<listed_router>& aRouters);

  /// A router did not answer; another one is chosen for a while.
  void HandleFailure(const std::string& aHost, time_point aNow);

  /// The router to ask; nothing while the store itself is to be asked.
  [[nodiscard]] std::optional<std::string> Current(time_point aNow) const;

  /// This router watches the store for others.
  [[nodiscard]] bool IsRelay(time_point aNow) const;

  /// The failure domain has enough routers for one of them to be a relay.
  [[nodiscard]] bool HasEnoughRouters() const;

private:
  [[nodiscard]] std::string FirstAvailable(time_point aNow) const;

  std::string mSelfHost;
  failure_domain_name mFailureDomain;
  /// Routers of the own failure domain in the order of choice.
  std::vector<std::string> mCandidates;
  std::map<std::string, time_point> mFailedAt;
};

} // namespace parsleystair
