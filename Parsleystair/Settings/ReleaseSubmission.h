#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Platform/PlatformStore.h"
#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ReleaseNoteCodec.h"
#include "Parsleystair/Settings/ValueProblem.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleystair {

/// Longest value that is written to the store, in bytes.
inline constexpr size_t kMaxStoredBytes = 1'000'000;

/// Notes that the store keeps.
inline constexpr size_t kMaxRetainedNotes = 1'000;

struct submission_settings
{
  /// Put the note on top of notes that were accepted since its base, unless
  /// they conflict.
  bool mRebase = false;
  /// Time after which the submission ends without a certain outcome.
  duration mTimeout = 10s;
  /// Pause after a call that failed.
  duration mRetryDelay = 200ms;
};

enum class submission_outcome
{
  /// The note is in force from its revision on.
  kAccepted,
  /// The note is wrong; it has no effect.
  kRefused,
  /// Other notes were accepted since its base; it has no effect.
  kConflict,
  /// The store didn't answer; the note has no effect.
  kUnreachable,
  /// The store didn't answer; the note may be accepted.
  kUnknown,
};

/// A note that was accepted since the base of the submitted one.
struct newer_note
{
  note_id mId;
  configuration_revision mRevision;
  /// What both notes are about; empty when they agree.
  std::vector<std::string> mConflicts;

  bool operator==(const newer_note&) const = default;
};

struct submission_result
{
  submission_outcome mOutcome = submission_outcome::kUnknown;
  /// Revision that the note made, if it is accepted.
  configuration_revision mRevision;
  /// The note had been accepted before this submission.
  bool mWasAccepted = false;
  std::vector<value_problem> mProblems;
  std::vector<newer_note> mNewerNotes;

  bool operator==(const submission_result&) const = default;
};

/// The configuration in the answer to a read of `kConfigurationKey`; an empty
/// one with revision 0 when there is none. Throws `parse_error`.
configuration ReadStoredConfiguration(const range_reply& aReply);

/// The submission waits before its next call.
struct submission_wait
{
  duration mDelay;

  bool operator==(const submission_wait&) const = default;
};

/// What the edge does next; it answers with the reply, or with
/// `submission_wakeup` after a wait. After a result there is nothing to do.
using submission_action = std::variant<range_request,
                                       transaction_request,
                                       submission_wait,
                                       submission_result>;

struct submission_wakeup
{};

using submission_message =
  std::variant<range_reply, transaction_reply, submission_wakeup>;

/// Decides how one release note gets into the store. One call is open at a
/// time.
class release_submission
{
public:
  /// `aSubmittedAt` is kept with the note.
  release_submission(release_note aNote,
                     wall_time aSubmittedAt,
                     const submission_settings& aSettings,
                     time_point aNow);

  /// First action.
  submission_action Start();

  /// Throws `parse_error` when the store holds what this program can't read.
  submission_action Handle(const submission_message& aMessage, time_point aNow);

private:
  enum class step
  {
    kReadCurrent,
    kReadIndex,
    kReadOwnNote,
    kReadNewerNotes,
    kTransact,
    kWait,
    kDone,
  };

  submission_action HandleFailure(time_point aNow);
  submission_action HandleCurrent(const range_reply& aReply);
  submission_action HandleIndex(const range_reply& aReply);
  submission_action HandleOwnNote(const range_reply& aReply);
  submission_action HandleNewerNotes(const range_reply& aReply);
  submission_action HandleTransaction(const transaction_reply& aReply,
                                      time_point aNow);
  submission_action HandleWakeup(time_point aNow);
  submission_action ReadNewerNotes();
  submission_action Accept(const release_note& aNote);
  submission_action Finish(submission_result aResult);
  submission_action Refuse(std::vector<value_problem> aProblems);
  [[nodiscard]] std::string OwnKey() const;
  [[nodiscard]] std::vector<std::string> NotesToRemove() const;

  release_note mNote;
  wall_time mSubmittedAt;
  submission_settings mSettings;
  time_point mDeadline;
  step mStep = step::kReadCurrent;

  configuration mCurrent;
  store_revision mCurrentAt;
  /// Notes in the store as of the last read, oldest first, without values.
  std::vector<store_entry> mIndex;
  std::vector<newer_note> mNewerNotes;
  /// Revision that a transaction without an answer compared with; it may
  /// still take effect while the configuration is at that revision.
  std::optional<store_revision> mOpenAt;
};

} // namespace parsleystair
