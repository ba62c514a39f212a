#include "Parsleystair/Operator/FileCommands.h"

#include "Parsleystair/Operator/ReleaseCommands.h"
#include "Parsleystair/Operator/Reports.h"
#include "Parsleystair/Settings/ConfigurationCodec.h"
#include "Parsleystair/Settings/NoteApplication.h"
#include "Parsleystair/Settings/NoteComparison.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// Twice what the store takes, so that a large file gets a precise refusal.
constexpr size_t kMaxInputBytes = 2 * kMaxStoredBytes;

enum class document_kind
{
  kRouterSettings,
  kConfiguration,
  kReleaseNote,
};

/// Tells documents apart by members that only one kind has.
document_kind KindOf(const std::string& aText)
{
  const json document = json::parse(aText, nullptr, false);
  for (const char* member : { "vm", "callers", "operators", "peers" }) {
    if (document.is_object() && document.contains(member)) {
      return document_kind::kRouterSettings;
    }
  }
  for (const char* member : { "revision", "services", "failureDomains" }) {
    if (document.is_object() && document.contains(member)) {
      return document_kind::kConfiguration;
    }
  }
  return document_kind::kReleaseNote;
}

const char* KindName(document_kind aKind)
{
  switch (aKind) {
    case document_kind::kRouterSettings:
      return "router settings";
    case document_kind::kConfiguration:
      return "configuration";
    case document_kind::kReleaseNote:
      break;
  }
  return "release note";
}

std::vector<value_problem> CheckSettings(const std::string& aText)
{
  try {
    ParseRouterSettings(aText);
    return {};
  } catch (const value_error& fault) {
    return { { fault.Path(), fault.Value(), fault.Allowed() } };
  }
}

/// A configuration stands for itself, a note for what it makes of the base.
configuration Extend(const configuration& aBase, const std::string& aText)
{
  if (KindOf(aText) == document_kind::kConfiguration) {
    return ParseConfiguration(aText);
  }
  note_application applied = Apply(aBase, ParseReleaseNote(aText));
  if (!applied.mConfiguration) {
    throw value_problems_error(std::move(applied.mProblems));
  }
  return std::move(*applied.mConfiguration);
}

/// The configuration that the files of `--against` make, one on another.
configuration MakeBase(const std::vector<std::string>& aPaths)
{
  configuration base;
  for (const std::string& path : aPaths) {
    try {
      base = Extend(base, ReadInput(path));
    } catch (const value_problems_error& fault) {
      throw command_error(exit_code::kBadInput,
                          path + ": " + fault.what(),
                          "correct the file given with --against");
    }
  }
  return base;
}

/// The configuration that a note stands on, if the arguments tell it.
std::optional<configuration> BaseOf(const operator_arguments& aArguments,
                                    const release_note& aNote)
{
  if (!aArguments.mAgainst.empty()) {
    return MakeBase(aArguments.mAgainst);
  }
  if (aArguments.mPlatform) {
    return ReadConfiguration(aArguments);
  }
  if (aNote.mBase == configuration_revision()) {
    return configuration{};
  }
  return std::nullopt;
}

std::vector<value_problem> CheckNote(const operator_arguments& aArguments,
                                     const std::string& aText)
{
  std::vector<value_problem> problems = CheckReleaseNoteText(aText);
  if (!problems.empty()) {
    return problems;
  }
  const release_note note = ParseReleaseNote(aText);
  const auto base = BaseOf(aArguments, note);
  return base ? Apply(*base, note).mProblems : problems;
}

std::vector<value_problem> Check(const operator_arguments& aArguments,
                                 document_kind aKind,
                                 const std::string& aText)
{
  switch (aKind) {
    case document_kind::kRouterSettings:
      return CheckSettings(aText);
    case document_kind::kConfiguration:
      return CheckConfigurationText(aText);
    case document_kind::kReleaseNote:
      break;
  }
  return CheckNote(aArguments, aText);
}

} // namespace

std::string ReadInput(const std::string& aPath)
{
  try {
    return ReadTextFile(aPath, kMaxInputBytes);
  } catch (const system_error& fault) {
    throw command_error(exit_code::kBadInput,
                        fault.what(),
                        "give the path of a file that can be read");
  }
}

release_note ReadNote(const std::string& aPath)
{
  return ParseReleaseNote(ReadInput(aPath));
}

command_result RunCheck(const operator_arguments& aArguments,
                        const std::string& aPath)
{
  const std::string text = ReadInput(aPath);
  const document_kind kind = KindOf(text);
  const auto problems = Check(aArguments, kind, text);
  if (!problems.empty()) {
    return ReportProblems(aPath + " (" + KindName(kind) + ")", problems);
  }
  command_result result;
  result.mText = aPath + ": valid " + KindName(kind) + "\n";
  result.mJson = json{
    { "valid", true }, { "kind", KindName(kind) }, { "problems", json::array() }
  }.dump();
  return result;
}

command_result RunDiff(const operator_arguments& aArguments,
                       const std::string& aPath)
{
  const release_note note = ReadNote(aPath);
  const auto base = BaseOf(aArguments, note);
  const auto differences = Diff(note, base ? &*base : nullptr);
  command_result result;
  for (const note_difference& difference : differences) {
    result.mText += RenderLine(difference) + "\n";
  }
  json document = { { "id", note.mId.Value() },
                    { "base", note.mBase.Value() } };
  document["differences"] = json::parse(EncodeDifferences(differences));
  result.mJson = document.dump();
  return result;
}

} // namespace parsleystair
