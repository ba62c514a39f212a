#include "Parsleystair/Settings/ReleaseSubmission.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Settings/ConfigurationCodec.h"
#include "Parsleystair/Settings/JsonShape.h"
#include "Parsleystair/Settings/NoteApplication.h"
#include "Parsleystair/Settings/NoteComparison.h"

#include <algorithm>

// One round reads the configuration, then the list of notes, and writes. A
// failed or unanswered write starts the next round, which finds the note in
// the list if the write took effect. The order of the two reads matters: when
// the list, read last, lacks the note, a write that compared with an older
// configuration than the one read first can no longer take effect.

namespace parsleystair {

namespace {

/// Newer notes that are read to explain a conflict. An operator who is further
/// behind has to look at the configuration again anyway.
constexpr uint64_t kMaxNewerNotes = 50;

/// Notes removed by one transaction. One is enough in the steady state, and
/// the store bounds the operations of a transaction (128 in etcd).
constexpr size_t kMaxRemovals = 16;

/// End of the range of all notes: the prefix with its last byte raised.
constexpr const char* kNotesEnd = "configuration/notes0";

range_request ReadKey(const std::string& aKey)
{
  range_request request;
  request.mFrom = aKey;
  // The next key after this one.
  request.mTo = aKey + '\0';
  return request;
}

store_status StatusOf(const submission_message& aMessage)
{
  if (const auto* range = std::get_if<range_reply>(&aMessage)) {
    return range->mStatus;
  }
  if (const auto* transaction = std::get_if<transaction_reply>(&aMessage)) {
    return transaction->mStatus;
  }
  return store_status::kReplied;
}

void CheckSize(const char* aWhat,
               const std::string& aValue,
               std::vector<value_problem>& aProblems)
{
  if (aValue.size() > kMaxStoredBytes) {
    aProblems.push_back(
      { kDocumentPath,
        std::string(aWhat) + " of " + std::to_string(aValue.size()) + " bytes",
        "at most " + std::to_string(kMaxStoredBytes) + " bytes" });
  }
}

bool SameChanges(const release_note& aLeft, const release_note& aRight)
{
  return Rebase(aLeft, aRight.mBase) == aRight;
}

} // namespace

configuration ReadStoredConfiguration(const range_reply& aReply)
{
  if (aReply.mEntries.empty()) {
    return {};
  }
  try {
    return ParseConfiguration(aReply.mEntries.front().mValue);
  } catch (const value_problems_error& fault) {
    throw parse_error(std::string(kConfigurationKey) + ": " + fault.what());
  }
}

release_submission::release_submission(release_note aNote,
                                       wall_time aSubmittedAt,
                                       const submission_settings& aSettings,
                                       time_point aNow)
  : mNote(std::move(aNote))
  , mSubmittedAt(aSubmittedAt)
  , mSettings(aSettings)
  , mDeadline(aNow + aSettings.mTimeout)
{
}

submission_action release_submission::Start()
{
  mStep = step::kReadCurrent;
  return ReadKey(kConfigurationKey);
}

submission_action release_submission::Handle(const submission_message& aMessage,
                                             time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(mStep != step::kDone);
  if (StatusOf(aMessage) == store_status::kUnknown &&
      mStep == step::kTransact) {
    mOpenAt = mCurrentAt;
  }
  if (StatusOf(aMessage) != store_status::kReplied) {
    return HandleFailure(aNow);
  }
  switch (mStep) {
    case step::kReadCurrent:
      return HandleCurrent(std::get<range_reply>(aMessage));
    case step::kReadIndex:
      return HandleIndex(std::get<range_reply>(aMessage));
    case step::kReadOwnNote:
      return HandleOwnNote(std::get<range_reply>(aMessage));
    case step::kReadNewerNotes:
      return HandleNewerNotes(std::get<range_reply>(aMessage));
    case step::kTransact:
      return HandleTransaction(std::get<transaction_reply>(aMessage), aNow);
    case step::kWait:
    case step::kDone:
      break;
  }
  return HandleWakeup(aNow);
}

submission_action release_submission::HandleFailure(time_point aNow)
{
  if (aNow >= mDeadline) {
    submission_result result;
    result.mOutcome =
      mOpenAt ? submission_outcome::kUnknown : submission_outcome::kUnreachable;
    return Finish(std::move(result));
  }
  mStep = step::kWait;
  return submission_wait{ mSettings.mRetryDelay };
}

submission_action release_submission::HandleWakeup(time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(mStep == step::kWait);
  if (aNow >= mDeadline) {
    return HandleFailure(aNow);
  }
  return Start();
}

submission_action release_submission::HandleCurrent(const range_reply& aReply)
{
  mCurrent = ReadStoredConfiguration(aReply);
  mCurrentAt = aReply.mEntries.empty() ? store_revision()
                                       : aReply.mEntries.front().mModRevision;
  mStep = step::kReadIndex;
  range_request request;
  request.mFrom = kNotePrefix;
  request.mTo = kNotesEnd;
  request.mKeysOnly = true;
  return request;
}

submission_action release_submission::HandleIndex(const range_reply& aReply)
{
  mIndex = aReply.mEntries;
  std::sort(mIndex.begin(),
            mIndex.end(),
            [](const store_entry& aLeft, const store_entry& aRight) {
              return aLeft.mModRevision < aRight.mModRevision;
            });
  const bool isThere =
    std::any_of(mIndex.begin(), mIndex.end(), [&](const store_entry& aEntry) {
      return aEntry.mKey == OwnKey();
    });
  if (isThere) {
    mStep = step::kReadOwnNote;
    return ReadKey(OwnKey());
  }

  // An unanswered write that compared with another revision has failed.
  if (mOpenAt && *mOpenAt != mCurrentAt) {
    mOpenAt.reset();
  }
  if (mNote.mBase < mCurrent.mRevision) {
    return ReadNewerNotes();
  }
  return Accept(mNote);
}

submission_action release_submission::HandleOwnNote(const range_reply& aReply)
{
  // The note was removed in between, after a thousand others.
  if (aReply.mEntries.empty()) {
    return Start();
  }
  const accepted_note accepted =
    DecodeAcceptedNote(aReply.mEntries.front().mValue);
  if (!SameChanges(accepted.mNote, mNote)) {
    return Refuse({ { "id",
                      "\"" + mNote.mId.Value() + "\"",
                      "an id that no other note has; a different note has it "
                      "since revision " +
                        std::to_string(accepted.mRevision.Value()) } });
  }
  submission_result result;
  result.mOutcome = submission_outcome::kAccepted;
  result.mRevision = accepted.mRevision;
  result.mWasAccepted = accepted.mSubmittedAt != mSubmittedAt;
  return Finish(std::move(result));
}

submission_action release_submission::ReadNewerNotes()
{
  // Notes that were accepted after the configuration was read don't count.
  std::vector<store_entry> known;
  for (const store_entry& entry : mIndex) {
    if (entry.mModRevision <= mCurrentAt) {
      known.push_back(entry);
    }
  }
  const uint64_t count = mCurrent.mRevision.Value() - mNote.mBase.Value();
  if (count > known.size() || count > kMaxNewerNotes) {
    return Refuse({ { "base",
                      std::to_string(mNote.mBase.Value()),
                      "a revision at most " + std::to_string(kMaxNewerNotes) +
                        " before that of the configuration, " +
                        std::to_string(mCurrent.mRevision.Value()) } });
  }
  mStep = step::kReadNewerNotes;
  range_request request;
  request.mFrom = kNotePrefix;
  request.mTo = kNotesEnd;
  request.mMinModRevision = known[known.size() - count].mModRevision;
  return request;
}

submission_action release_submission::HandleNewerNotes(
  const range_reply& aReply)
{
  mNewerNotes.clear();
  bool agrees = true;
  for (const store_entry& entry : aReply.mEntries) {
    if (entry.mModRevision > mCurrentAt) {
      continue;
    }
    const accepted_note newer = DecodeAcceptedNote(entry.mValue);
    mNewerNotes.push_back(
      { newer.mNote.mId, newer.mRevision, Conflicts(newer.mNote, mNote) });
    agrees = agrees && mNewerNotes.back().mConflicts.empty();
  }
  std::sort(mNewerNotes.begin(),
            mNewerNotes.end(),
            [](const newer_note& aLeft, const newer_note& aRight) {
              return aLeft.mRevision < aRight.mRevision;
            });
  if (!mSettings.mRebase || !agrees) {
    submission_result result;
    result.mOutcome = submission_outcome::kConflict;
    return Finish(std::move(result));
  }
  return Accept(Rebase(mNote, mCurrent.mRevision));
}

submission_action release_submission::Accept(const release_note& aNote)
{
  note_application applied = Apply(mCurrent, aNote);
  if (!applied.mConfiguration) {
    return Refuse(std::move(applied.mProblems));
  }
  const std::string current = EncodeConfiguration(*applied.mConfiguration);
  const std::string note = EncodeAcceptedNote(
    { aNote, applied.mConfiguration->mRevision, mSubmittedAt });
  std::vector<value_problem> problems;
  CheckSize("a note that makes a configuration", current, problems);
  CheckSize("a note", note, problems);
  if (!problems.empty()) {
    return Refuse(std::move(problems));
  }

  mStep = step::kTransact;
  transaction_request request;
  request.mCompares = { { kConfigurationKey, mCurrentAt },
                        { OwnKey(), store_revision() } };
  request.mPuts = { { kConfigurationKey, current }, { OwnKey(), note } };
  request.mDeletes = NotesToRemove();
  return request;
}

std::vector<std::string> release_submission::NotesToRemove() const
{
  // The oldest come first, and the new note is not in the list.
  std::vector<std::string> keys;
  const size_t count = mIndex.size() + 1;
  for (size_t i = 0; count - i > kMaxRetainedNotes && i < kMaxRemovals; ++i) {
    keys.push_back(mIndex[i].mKey);
  }
  return keys;
}

submission_action release_submission::HandleTransaction(
  const transaction_reply& aReply,
  time_point aNow)
{
  if (!aReply.mSucceeded) {
    // Another note came first, or an earlier try of this one took effect.
    if (aNow >= mDeadline) {
      return HandleFailure(aNow);
    }
    return Start();
  }
  submission_result result;
  result.mOutcome = submission_outcome::kAccepted;
  result.mRevision = configuration_revision(mCurrent.mRevision.Value() + 1);
  return Finish(std::move(result));
}

submission_action release_submission::Refuse(
  std::vector<value_problem> aProblems)
{
  submission_result result;
  result.mOutcome = submission_outcome::kRefused;
  result.mProblems = std::move(aProblems);
  return Finish(std::move(result));
}

submission_action release_submission::Finish(submission_result aResult)
{
  mStep = step::kDone;
  aResult.mNewerNotes = mNewerNotes;
  return aResult;
}

std::string release_submission::OwnKey() const
{
  return kNotePrefix + mNote.mId.Value();
}

} // namespace parsleystair
