#pragma once

#include "Parsleystair/Settings/Configuration.h"

#include <map>
#include <optional>
#include <string>

namespace parsleystair {

/// Knows which part of a release note made which part of the new
/// configuration, so that a problem of the configuration can be reported at
/// its place in the note.
///
/// Parts of the configuration have keys made of names, not of positions, since
/// positions shift when other parts are withdrawn: `services/menus/targets/
/// menus-3/port`.
class note_origins
{
public:
  /// The first origin of a key counts.
  void Set(const std::string& aKey, const std::string& aNotePath);

  [[nodiscard]] bool Has(const std::string& aKey) const;

  /// Path in the note for a path in `aConfiguration`; none when the note has
  /// no part in it.
  [[nodiscard]] std::optional<std::string> Find(
    const configuration& aConfiguration,
    const std::string& aPath) const;

private:
  std::map<std::string, std::string> mPaths;
};

} // namespace parsleystair
