#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ReleaseNote.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <optional>
#include <vector>

namespace parsleystair {

/// Either the new configuration or all that is wrong with the note.
struct note_application
{
  std::optional<configuration> mConfiguration;
  /// Paths are those of the note's JSON.
  std::vector<value_problem> mProblems;
};

/// Applies a note to the configuration that it names as its base. The new
/// configuration has the next revision.
note_application Apply(const configuration& aConfiguration,
                       const release_note& aNote);

} // namespace parsleystair
