#pragma once

#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ReleaseNote.h"

#include <string>
#include <vector>

namespace parsleystair {

enum class difference_kind
{
  kAdded,
  kChanged,
  kWithdrawn,
};

/// One thing that a note adds, changes or withdraws.
struct note_difference
{
  difference_kind mKind = difference_kind::kChanged;
  /// Names from the root: `services`, `menus`, `targets`, `menus-3`, `port`.
  std::vector<std::string> mPath;
  /// JSON texts; empty when there is none or it isn't known.
  std::string mFrom;
  std::string mTo;

  bool operator==(const note_difference&) const = default;
};

/// What a note changes, in the order of the note. Old values come from
/// `aBase`, which may be null.
std::vector<note_difference> Diff(const release_note& aNote,
                                  const configuration* aBase);

/// Like `~ services.menus.targets.menus-3.concurrency 4 -> 6`.
std::string RenderLine(const note_difference& aDifference);

/// JSON text: an array of objects with kind, path, from and to.
std::string EncodeDifferences(const std::vector<note_difference>& aList);

/// Paths that one note changes and the other changes, withdraws or uses, so
/// that the result would depend on their order. Empty when they agree.
std::vector<std::string> Conflicts(const release_note& aLeft,
                                   const release_note& aRight);

/// The same note against the present configuration.
release_note Rebase(release_note aNote, configuration_revision aRevision);

} // namespace parsleystair
