#include "Parsleystair/Settings/ConfigurationCodec.h"
#include "Parsleystair/Settings/ReleaseSubmission.h"
#include "UnitTests/Settings/NoteFixture.h"
#include "UnitTests/Settings/StoreModel.h"

#include <rapidcheck.h>

namespace parsleystair {

namespace {

constexpr int kOperators = 3;

/// What happens to one call to the store.
enum class call_fate
{
  kAnswered,
  kNotSent,
  kLostRequest,
  kLostAnswer,
  /// No answer in time; the effect comes when `mSettleLate` says so.
  kLate,
};

/// One step of a run: an operator makes its next call.
struct run_step
{
  int mOperator = 0;
  call_fate mFate = call_fate::kAnswered;
  bool mSettleLate = false;
  /// What the operator's next note says, if it needs one.
  int mChoice = 0;

  friend std::ostream& operator<<(std::ostream& aStream, const run_step& aStep)
  {
    return aStream << aStep.mOperator << "/" << static_cast<int>(aStep.mFate)
                   << "/" << aStep.mSettleLate << "/" << aStep.mChoice;
  }
};

rc::Gen<run_step> StepGenerator()
{
  return rc::gen::build<run_step>(
    rc::gen::set(&run_step::mOperator, rc::gen::inRange(0, kOperators)),
    rc::gen::set(
      &run_step::mFate,
      rc::gen::weightedElement<call_fate>({ { 12, call_fate::kAnswered },
                                            { 1, call_fate::kNotSent },
                                            { 1, call_fate::kLostRequest },
                                            { 2, call_fate::kLostAnswer },
                                            { 2, call_fate::kLate } })),
    rc::gen::set(&run_step::mSettleLate,
                 rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } })),
    rc::gen::set(&run_step::mChoice, rc::gen::inRange(0, 200)));
}

/// A note that stands on the present revision or the one before. Few ids and
/// few subjects make collisions common.
release_note MakeNote(int aChoice, uint64_t aRevision)
{
  static const std::vector<std::string> kParts = {
    R"({"changed":{"weights":{"churn":2}}})",
    R"({"changed":{"weights":{"imbalance":2}}})",
    R"({"changed":{"services":[{"name":"menus","targets":[
        {"name":"menus-2","concurrency":5}]}]}})",
    R"({"withdrawn":{"services":[{"name":"menus","targets":["menus-1"]}]}})",
    R"({"added":{"services":[{"name":"menus","targets":[{"name":"menus-1",
        "host":"127.0.0.1","port":9001,"failureDomain":"gijon"}]}]}})",
  };
  const auto choice = static_cast<size_t>(aChoice);
  const uint64_t age = choice % 4 == 0 && aRevision > 1 ? 1 : 0;
  return Note(kParts[choice % kParts.size()],
              "n" + std::to_string(choice % 40),
              aRevision - age);
}

/// The store, its late calls, several operators and the oracle: the list of
/// accepted notes as the store took them.
class submission_run
{
public:
  submission_run()
  {
    Begin(0, ParseReleaseNote(FirstNote().dump()), false);
    Finish(0);
    RC_ASSERT(mAccepted.size() == 1U);
  }

  void Step(const run_step& aStep)
  {
    mNow += 50ms;
    if (aStep.mSettleLate) {
      SettleLate();
    }
    if (!mOperators[aStep.mOperator].mSubmission) {
      Begin(aStep.mOperator,
            MakeNote(aStep.mChoice, mAccepted.size()),
            aStep.mChoice % 3 == 0);
      return;
    }
    Answer(aStep.mOperator, aStep.mFate);
  }

  void End()
  {
    for (int i = 0; i < kOperators; ++i) {
      Finish(i);
    }
    SettleLate();
    CheckResults();
    CheckReplay();
  }

private:
  struct operator_state
  {
    std::unique_ptr<release_submission> mSubmission;
    submission_action mAction;
    note_id mNote;
    wall_time mSubmittedAt;
  };

  struct ended_submission
  {
    note_id mNote;
    wall_time mSubmittedAt;
    submission_result mResult;
  };

  void Begin(int aOperator, const release_note& aNote, bool aRebase)
  {
    operator_state& state = mOperators[aOperator];
    // The time tells submissions of one id apart.
    state.mSubmittedAt = wall_time(std::chrono::milliseconds(++mSubmissions));
    state.mNote = aNote.mId;
    state.mSubmission = std::make_unique<release_submission>(
      aNote,
      state.mSubmittedAt,
      submission_settings{ aRebase, 1s, 50ms },
      mNow);
    state.mAction = state.mSubmission->Start();
  }

  void Finish(int aOperator)
  {
    while (mOperators[aOperator].mSubmission) {
      Answer(aOperator, call_fate::kAnswered);
    }
  }

  void Answer(int aOperator, call_fate aFate)
  {
    operator_state& state = mOperators[aOperator];
    state.mAction =
      state.mSubmission->Handle(Reply(state.mAction, aFate), mNow);
    if (const auto* result = std::get_if<submission_result>(&state.mAction)) {
      mEnded.push_back({ state.mNote, state.mSubmittedAt, *result });
      state.mSubmission.reset();
    }
  }

  submission_message Reply(const submission_action& aAction, call_fate aFate)
  {
    if (std::holds_alternative<submission_wait>(aAction)) {
      return submission_wakeup{};
    }
    const store_status failure = aFate == call_fate::kNotSent
                                   ? store_status::kNotSent
                                   : store_status::kUnknown;
    if (const auto* range = std::get_if<range_request>(&aAction)) {
      range_reply reply = mStore.Range(*range);
      if (aFate != call_fate::kAnswered) {
        reply = { failure, {}, {} };
      }
      return reply;
    }
    const auto& request = std::get<transaction_request>(aAction);
    if (aFate == call_fate::kLate) {
      mLate.push_back(request);
    }
    if (aFate == call_fate::kAnswered) {
      return Transact(request);
    }
    if (aFate == call_fate::kLostAnswer) {
      Transact(request);
    }
    return transaction_reply{ failure, false, {} };
  }

  void SettleLate()
  {
    for (const transaction_request& request : mLate) {
      Transact(request);
    }
    mLate.clear();
  }

  transaction_reply Transact(const transaction_request& aRequest)
  {
    const transaction_reply reply = mStore.Transact(aRequest);
    if (reply.mSucceeded) {
      RC_ASSERT(aRequest.mPuts.size() == 2U);
      mAccepted.push_back(DecodeAcceptedNote(aRequest.mPuts[1].mValue));
      // Each accepted note makes exactly the next revision.
      const auto revision =
        ParseConfiguration(aRequest.mPuts[0].mValue).mRevision;
      RC_ASSERT(revision == configuration_revision(mAccepted.size()));
      RC_ASSERT(revision == mAccepted.back().mRevision);
    }
    return reply;
  }

  /// Notes in the accepted list for which the condition holds.
  template<typename Condition>
  std::vector<accepted_note> Find(const Condition& aCondition) const
  {
    std::vector<accepted_note> found;
    std::copy_if(mAccepted.begin(),
                 mAccepted.end(),
                 std::back_inserter(found),
                 aCondition);
    return found;
  }

  void CheckResults() const
  {
    for (const ended_submission& ended : mEnded) {
      const auto sameId = Find([&](const accepted_note& aNote) {
        return aNote.mNote.mId == ended.mNote;
      });
      const auto own = Find([&](const accepted_note& aNote) {
        return aNote.mSubmittedAt == ended.mSubmittedAt;
      });
      RC_ASSERT(sameId.size() <= 1U);
      RC_ASSERT(own.size() <= 1U);
      const submission_result& result = ended.mResult;
      if (result.mOutcome == submission_outcome::kAccepted) {
        RC_ASSERT(sameId.size() == 1U);
        RC_ASSERT(sameId[0].mRevision == result.mRevision);
        RC_ASSERT(own.empty() == result.mWasAccepted);
      } else if (result.mOutcome != submission_outcome::kUnknown) {
        RC_ASSERT(own.empty());
      }
    }
  }

  /// The accepted notes, applied one after another, make the configuration.
  void CheckReplay() const
  {
    configuration replayed;
    for (const accepted_note& accepted : mAccepted) {
      const note_application result = Apply(replayed, accepted.mNote);
      RC_ASSERT(result.mConfiguration.has_value());
      replayed = *result.mConfiguration;
    }
    RC_ASSERT(EncodeConfiguration(replayed) == mStore.Value(kConfigurationKey));
  }

  time_point mNow{};
  int mSubmissions = 0;
  store_model mStore;
  std::vector<transaction_request> mLate;
  std::vector<accepted_note> mAccepted;
  std::vector<ended_submission> mEnded;
  std::array<operator_state, kOperators> mOperators;
};

} // namespace

// Guards against notes that are lost, applied twice or reported wrongly when
// operators compete and the store loses answers or applies writes late.
TEST(ReleaseSubmissionState, EachAcceptedNoteMakesOneRevision)
{
  const bool holds = rc::check([] {
    const auto steps = *rc::gen::resize(
      300, rc::gen::container<std::vector<run_step>>(StepGenerator()));
    submission_run run;
    for (const run_step& step : steps) {
      run.Step(step);
    }
    run.End();
  });
  EXPECT_TRUE(holds);
}

} // namespace parsleystair
