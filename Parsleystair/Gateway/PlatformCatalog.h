#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/Platform/CoordinationStore.h"
#include "Parsleystair/Routing/RouteConfiguration.h"

#include <optional>

namespace parsleystair {

/// Keys and formats in which the platform's store holds the operators'
/// configuration, the failure domains that they evacuate, and the entries of
/// targets. Values that can't be decoded are
/// logged and skipped.
class platform_catalog
{
public:
  virtual ~platform_catalog() = default;

  /// Prefix of the configuration's key and of those that name evacuated failure
  /// domains.
  [[nodiscard]] virtual std::string OperatorPrefix() const = 0;
  [[nodiscard]] virtual std::string ConfigurationKey() const = 0;
  [[nodiscard]] virtual std::string TargetPrefix() const = 0;

  /// Returns `std::nullopt` if the key holds no configuration or the value
  /// can't be decoded.
  [[nodiscard]] virtual std::optional<route_configuration> ReadConfiguration(
    const std::string& aKey,
    const std::string& aValue) const = 0;

  /// Failure domain that is evacuated while the key exists, whatever its value;
  /// `std::nullopt` for other keys.
  [[nodiscard]] virtual std::optional<failure_domain_name> EvacuatedDomainOf(
    const std::string& aKey) const = 0;

  [[nodiscard]] virtual target_name TargetOf(const std::string& aKey) const = 0;

  /// Returns `std::nullopt` if the entry describes no usable target.
  [[nodiscard]] virtual std::optional<discovered_target> ReadTarget(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

} // namespace parsleystair
