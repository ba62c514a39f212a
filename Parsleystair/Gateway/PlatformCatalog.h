#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/Platform/CoordinationStore.h"
#include "Parsleystair/Routing/RouteConfiguration.h"

#include <optional>

namespace parsleystair {

/// How the platform's store spells the operators' configuration and the
/// targets' entries. Values that can't be read are logged and left out.
class platform_catalog
{
public:
  virtual ~platform_catalog() = default;

  [[nodiscard]] virtual std::string ConfigurationPrefix() const = 0;
  [[nodiscard]] virtual std::string TargetPrefix() const = 0;

  /// Nothing for a key that holds no configuration, or an unreadable one.
  [[nodiscard]] virtual std::optional<route_configuration> ReadConfiguration(
    const std::string& aKey,
    const std::string& aValue) const = 0;

  [[nodiscard]] virtual target_name TargetOf(const std::string& aKey) const = 0;

  /// Nothing for an entry that names no target to use.
  [[nodiscard]] virtual std::optional<discovered_target> ReadTarget(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

} // namespace parsleystair
