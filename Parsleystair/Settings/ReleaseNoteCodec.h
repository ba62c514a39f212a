#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/ReleaseNote.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <string>
#include <vector>

namespace parsleystair {

/// All that is wrong with a JSON text as a release note, whatever the
/// configuration is; empty when `ParseReleaseNote` takes it.
std::vector<value_problem> CheckReleaseNoteText(const std::string& aText);

/// Throws `value_problems_error` with all problems.
release_note ParseReleaseNote(const std::string& aText);

/// JSON text in one line. Parts that change nothing are left out.
std::string EncodeReleaseNote(const release_note& aNote);

/// A note as the store keeps it once it is accepted.
struct accepted_note
{
  release_note mNote;
  /// Revision of the configuration that the note made.
  configuration_revision mRevision;
  /// When its operator submitted it.
  wall_time mSubmittedAt;

  bool operator==(const accepted_note&) const = default;
};

/// Value of `configuration/notes/<id>`.
std::string EncodeAcceptedNote(const accepted_note& aNote);

/// Throws `parse_error` when the text is no accepted note.
accepted_note DecodeAcceptedNote(const std::string& aText);

} // namespace parsleystair
