#include "Parsleystair/Settings/ReleaseSubmission.h"

#include "UnitTests/Settings/NoteFixture.h"
#include "UnitTests/Settings/StoreModel.h"

namespace parsleystair {

namespace {

constexpr time_point kStart{};

/// Runs a submission against a store that always answers.
submission_result Submit(store_model& aStore,
                         const release_note& aNote,
                         bool aRebase = false,
                         int64_t aAtMs = 1)
{
  release_submission submission(aNote,
                                wall_time(std::chrono::milliseconds(aAtMs)),
                                { aRebase, 10s, 200ms },
                                kStart);
  submission_action action = submission.Start();
  while (!std::holds_alternative<submission_result>(action)) {
    if (const auto* range = std::get_if<range_request>(&action)) {
      action = submission.Handle(aStore.Range(*range), kStart);
    } else {
      action = submission.Handle(
        aStore.Transact(std::get<transaction_request>(action)), kStart);
    }
  }
  return std::get<submission_result>(action);
}

store_model StoreWithFirstNote()
{
  store_model store;
  const auto result = Submit(store, ParseReleaseNote(FirstNote().dump()));
  EXPECT_EQ(result.mOutcome, submission_outcome::kAccepted);
  EXPECT_EQ(result.mRevision, configuration_revision(1));
  return store;
}

release_note ChurnNote(const std::string& aId, uint64_t aBase, int aChurn)
{
  return Note(R"({"changed":{"weights":{"churn":)" + std::to_string(aChurn) +
                "}}}",
              aId,
              aBase);
}

release_note ImbalanceNote(const std::string& aId, uint64_t aBase)
{
  return Note(R"({"changed":{"weights":{"imbalance":3}}})", aId, aBase);
}

} // namespace

// Guards against an id that is applied twice, or taken for another note.
TEST(ReleaseSubmission, FindsAResubmittedNoteAccepted)
{
  store_model store = StoreWithFirstNote();
  const release_note note = ChurnNote("a", 1, 2);
  EXPECT_EQ(Submit(store, note).mRevision, configuration_revision(2));
  Submit(store, ImbalanceNote("b", 2));
  const submission_result again = Submit(store, note, false, 2);
  EXPECT_EQ(again.mOutcome, submission_outcome::kAccepted);
  EXPECT_EQ(again.mRevision, configuration_revision(2));
  EXPECT_TRUE(again.mWasAccepted);

  const submission_result other = Submit(store, ChurnNote("a", 3, 9));
  EXPECT_EQ(other.mOutcome, submission_outcome::kRefused);
  ASSERT_EQ(other.mProblems.size(), 1U);
  EXPECT_EQ(other.mProblems[0].mPath, "id");
}

// Guards against a conflict that isn't explained, or that --rebase overrides.
TEST(ReleaseSubmission, ReportsNewerNotesAndConflicts)
{
  store_model store = StoreWithFirstNote();
  Submit(store, ChurnNote("a", 1, 2));
  Submit(store, ImbalanceNote("b", 2));
  const std::vector<newer_note> expected = {
    { note_id("a"), configuration_revision(2), { "weights.churn" } },
    { note_id("b"), configuration_revision(3), {} },
  };
  for (const bool rebase : { false, true }) {
    const auto result = Submit(store, ChurnNote("c", 1, 4), rebase);
    EXPECT_EQ(result.mOutcome, submission_outcome::kConflict);
    EXPECT_EQ(result.mNewerNotes, expected);
  }
  const release_note agrees = ChurnNote("d", 2, 5);
  EXPECT_EQ(Submit(store, agrees).mOutcome, submission_outcome::kConflict);
  EXPECT_EQ(Submit(store, agrees, true).mRevision, configuration_revision(4));
  // The rebased note is the same one when its file is submitted again.
  EXPECT_EQ(Submit(store, agrees).mRevision, configuration_revision(4));
  EXPECT_EQ(Submit(store, ChurnNote("e", 9, 5)).mProblems.at(0).mPath, "base");
}

// Guards against a store that fills up, and against losing the newest note.
TEST(ReleaseSubmission, KeepsAThousandNotes)
{
  store_model store = StoreWithFirstNote();
  constexpr uint64_t kNotes = 1'010;
  for (uint64_t base = 1; base < kNotes; ++base) {
    const auto result =
      Submit(store, ChurnNote("n" + std::to_string(base), base, 1));
    ASSERT_EQ(result.mOutcome, submission_outcome::kAccepted);
  }
  EXPECT_EQ(store.Count(kNotePrefix), 1'000U);
  EXPECT_NE(store.Value(kNotePrefix + std::string("n1009")), "");
  EXPECT_NE(store.Value(kNotePrefix + std::string("n10")), "");
  EXPECT_EQ(store.Value(kNotePrefix + std::string("n9")), "");
  EXPECT_EQ(Submit(store, ChurnNote("late", 1, 1), true).mProblems.at(0).mPath,
            "base");
}

// Guards against values that the store refuses.
TEST(ReleaseSubmission, RefusesLargeValues)
{
  store_model store = StoreWithFirstNote();
  release_note note = Note(R"({"added":{"services":[{"name":"menus"}]}})");
  for (int i = 0; i < 8'000; ++i) {
    note.mAdded.mServices[0].mService.mTargets.push_back(
      { target_name("target-" + std::to_string(i)),
        "127.1.0." + std::to_string(i % 250),
        static_cast<uint16_t>(1'000 + i),
        failure_domain_name("oviedo"),
        4,
        55,
        false,
        false });
  }
  const auto result = Submit(store, note);
  EXPECT_EQ(result.mOutcome, submission_outcome::kRefused);
  EXPECT_NE(result.mProblems.at(0).mAllowed.find("1000000 bytes"),
            std::string::npos);
  EXPECT_EQ(store.Count(kNotePrefix), 1U);
}

// Guards against an outage that is reported as an outcome, and the reverse.
TEST(ReleaseSubmission, TellsUnreachableFromUnknown)
{
  store_model store = StoreWithFirstNote();
  for (const bool isSent : { false, true }) {
    release_submission submission(
      ChurnNote("a", 1, 2), wall_time(1ms), {}, kStart);
    submission_action action = submission.Start();
    while (const auto* range = std::get_if<range_request>(&action)) {
      action = submission.Handle(store.Range(*range), kStart);
    }
    ASSERT_TRUE(std::holds_alternative<transaction_request>(action));
    transaction_reply reply;
    reply.mStatus = isSent ? store_status::kUnknown : store_status::kNotSent;
    action = submission.Handle(reply, kStart);
    EXPECT_EQ(action, submission_action(submission_wait{ 200ms }));
    action = submission.Handle(submission_wakeup{}, kStart + 9s);
    EXPECT_TRUE(std::holds_alternative<range_request>(action));
    action = submission.Handle(range_reply{}, kStart + 10s);
    EXPECT_EQ(std::get<submission_result>(action).mOutcome,
              isSent ? submission_outcome::kUnknown
                     : submission_outcome::kUnreachable);
  }
}

} // namespace parsleystair
