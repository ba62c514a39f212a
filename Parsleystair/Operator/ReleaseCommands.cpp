#include "Parsleystair/Operator/ReleaseCommands.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Operator/BlockingCalls.h"
#include "Parsleystair/Operator/FileCommands.h"
#include "Parsleystair/Operator/Reports.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr const char* kNotesEnd = "configuration/notes0";

/// Pause between two looks at where a note is in force.
constexpr duration kStatusInterval = 200ms;

range_request OneKey(const std::string& aKey)
{
  range_request request;
  request.mFrom = aKey;
  request.mTo = aKey + '\0';
  return request;
}

range_request AllNotes()
{
  range_request request;
  request.mFrom = kNotePrefix;
  request.mTo = kNotesEnd;
  return request;
}

submission_result Submit(event_loop& aLoop,
                         blocking_store& aStore,
                         const release_note& aNote,
                         const submission_settings& aSettings)
{
  release_submission submission(aNote, WallNow(), aSettings, MonotonicNow());
  submission_action action = submission.Start();
  while (!std::holds_alternative<submission_result>(action)) {
    if (const auto* range = std::get_if<range_request>(&action)) {
      action = submission.Handle(aStore.Range(*range), MonotonicNow());
    } else if (const auto* write = std::get_if<transaction_request>(&action)) {
      action = submission.Handle(aStore.Transact(*write), MonotonicNow());
    } else {
      Pause(aLoop, std::get<submission_wait>(action).mDelay);
      action = submission.Handle(submission_wakeup{}, MonotonicNow());
    }
  }
  return std::get<submission_result>(action);
}

/// Looks at the routers until the revision is in force everywhere or the time
/// is over.
command_result WaitUntilInForce(event_loop& aLoop,
                                const socket_address& aRouter,
                                configuration_revision aRevision,
                                time_point aDeadline)
{
  while (true) {
    const duration left = aDeadline - MonotonicNow();
    blocking_router router(
      aLoop, aRouter, std::clamp(left, kStatusInterval, kRouterTimeout));
    const bool isLast = MonotonicNow() + kStatusInterval >= aDeadline;
    try {
      command_result report =
        ReportInForce(ParseStatus(router.Read("/status")), aRevision);
      if (report.mCode == exit_code::kOk || isLast) {
        return report;
      }
    } catch (const command_error& fault) {
      if (isLast) {
        throw command_error(fault.Code(),
                            std::string("it is not known where the note is in "
                                        "force: ") +
                              fault.what(),
                            "see release status with the address of another "
                            "router; the note stays accepted");
      }
    }
    Pause(aLoop, kStatusInterval);
  }
}

accepted_note FindNote(blocking_store& aStore, const std::string& aId)
{
  const range_reply reply = aStore.Read(OneKey(kNotePrefix + aId));
  if (reply.mEntries.empty()) {
    throw command_error(exit_code::kBadInput,
                        "no accepted note has the id " + aId,
                        "see release list; only the newest " +
                          std::to_string(kMaxRetainedNotes) +
                          " notes are kept");
  }
  return DecodeAcceptedNote(reply.mEntries.front().mValue);
}

json AcceptedNoteJson(const accepted_note& aNote)
{
  return { { "revision", aNote.mRevision.Value() },
           { "submittedAt", FormatTime(aNote.mSubmittedAt) },
           { "note", json::parse(EncodeReleaseNote(aNote.mNote)) } };
}

/// The newest notes, newest first.
std::vector<accepted_note> ReadNewestNotes(blocking_store& aStore,
                                           size_t aLimit)
{
  // Find the oldest of them without reading all values.
  range_request index = AllNotes();
  index.mKeysOnly = true;
  std::vector<uint64_t> revisions;
  for (const store_entry& entry : aStore.Read(index).mEntries) {
    revisions.push_back(entry.mModRevision.Value());
  }
  if (revisions.empty()) {
    return {};
  }
  std::sort(revisions.rbegin(), revisions.rend());
  range_request newest = AllNotes();
  newest.mMinModRevision =
    store_revision(revisions[std::min(aLimit, revisions.size()) - 1]);

  std::vector<accepted_note> notes;
  for (const store_entry& entry : aStore.Read(newest).mEntries) {
    notes.push_back(DecodeAcceptedNote(entry.mValue));
  }
  std::sort(notes.begin(),
            notes.end(),
            [](const accepted_note& aLeft, const accepted_note& aRight) {
              return aLeft.mRevision.Value() > aRight.mRevision.Value();
            });
  return notes;
}

} // namespace

configuration ReadConfiguration(const operator_arguments& aArguments)
{
  event_loop loop;
  blocking_store store(loop, aArguments.Platform(), aArguments.mTimeout);
  return ReadStoredConfiguration(store.Read(OneKey(kConfigurationKey)));
}

command_result RunSubmit(const operator_arguments& aArguments,
                         const std::string& aPath)
{
  const time_point deadline = MonotonicNow() + aArguments.mTimeout;
  const release_note note = ReadNote(aPath);
  const socket_address platform = aArguments.Platform();
  if (aArguments.mWait) {
    // Asked for before the note is accepted, not after.
    (void)aArguments.Router();
  }

  // Submit.
  event_loop loop;
  blocking_store store(loop, platform, aArguments.mTimeout);
  submission_settings settings;
  settings.mRebase = aArguments.mRebase;
  settings.mTimeout = aArguments.mTimeout;
  const submission_result result = Submit(loop, store, note, settings);
  command_result report = ReportSubmission(note.mId, result);
  if (result.mOutcome != submission_outcome::kAccepted || !aArguments.mWait) {
    return report;
  }

  // Wait.
  const command_result inForce =
    WaitUntilInForce(loop, aArguments.Router(), result.mRevision, deadline);
  json document = json::parse(report.mJson);
  document["status"] = json::parse(inForce.mJson);
  report.mCode = inForce.mCode;
  report.mText += inForce.mText;
  report.mJson = document.dump();
  report.mNext = inForce.mNext;
  return report;
}

command_result RunShow(const operator_arguments& aArguments,
                       const std::string& aId)
{
  event_loop loop;
  blocking_store store(loop, aArguments.Platform(), aArguments.mTimeout);
  const json document = AcceptedNoteJson(FindNote(store, aId));
  constexpr int kIndent = 2;
  return { exit_code::kOk, document.dump(kIndent) + "\n", document.dump(), "" };
}

command_result RunList(const operator_arguments& aArguments)
{
  event_loop loop;
  blocking_store store(loop, aArguments.Platform(), aArguments.mTimeout);
  command_result result;
  json list = json::array();
  for (const accepted_note& note : ReadNewestNotes(store, aArguments.mLimit)) {
    const std::string time = FormatTime(note.mSubmittedAt);
    result.mText += "revision " + std::to_string(note.mRevision.Value()) +
                    "  " + time + "  " + note.mNote.mId.Value() + "\n";
    list.push_back({ { "revision", note.mRevision.Value() },
                     { "submittedAt", time },
                     { "id", note.mNote.mId.Value() } });
  }
  if (list.empty()) {
    result.mText = "no note has been accepted\n";
  }
  result.mJson = json{ { "notes", std::move(list) } }.dump();
  return result;
}

command_result RunReleaseStatus(const operator_arguments& aArguments,
                                const std::string& aId)
{
  event_loop loop;
  configuration_revision revision;
  if (!aId.empty()) {
    blocking_store store(loop, aArguments.Platform(), aArguments.mTimeout);
    revision = FindNote(store, aId).mRevision;
  } else if (aArguments.mPlatform) {
    revision = ReadConfiguration(aArguments).mRevision;
  }
  blocking_router router(loop, aArguments.Router());
  const auto members = ParseStatus(router.Read("/status"));
  if (aId.empty() && !aArguments.mPlatform) {
    revision = HighestRevision(members);
  }
  return ReportInForce(members, revision);
}

} // namespace parsleystair
