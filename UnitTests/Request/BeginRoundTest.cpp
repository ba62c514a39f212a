#include "Parsleystair/Request/BeginRound.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };

class begin_attempt_test : public testing::Test
{
protected:
  explicit begin_attempt_test(bool aJoining = false)
  {
    for (const char* name : { "a", "b", "c" }) {
      mRecord.mHolders.push_back({ vm_name(name), incarnation(1), false });
    }
    mRecord.mHolders[2].mJoining = aJoining;
  }

  /// Verdict after these results of holders a, b and c.
  std::optional<begin_verdict> Verdict(
    const std::vector<std::optional<begin_result>>& aResults,
    duration aLater = 0s)
  {
    begin_message message;
    message.mExecution = execution_id("1");
    mAttempt.emplace(mRecord, message, 0, kStart + 1s);
    std::optional<begin_verdict> verdict;
    for (size_t i = 0; i < aResults.size(); ++i) {
      peer_result<begin_reply> result;
      if (aResults[i]) {
        result = { peer_status::kReplied, { *aResults[i], {}, mAnswer } };
      }
      const auto next = mAttempt->HandleResult(
        mAttempt->Holders()[i], result, kStart + aLater, mRandom);
      EXPECT_FALSE(verdict && next);
      verdict = next ? next : verdict;
    }
    return verdict;
  }

  template<typename Verdict>
  static refusal_reason Reason(const std::optional<begin_verdict>& aVerdict)
  {
    return std::get<Verdict>(*aVerdict).mReason;
  }

  group_record mRecord;
  std::optional<http_response> mAnswer;
  std::optional<begin_round> mAttempt;
  std::mt19937_64 mRandom{ 1 };
};

class begin_attempt_joining_test : public begin_attempt_test
{
protected:
  begin_attempt_joining_test()
    : begin_attempt_test(true)
  {
  }
};

constexpr auto kAccepted = begin_result::kAccepted;
constexpr auto kUnknown = std::nullopt;

} // namespace

// Guards against runs without a majority and withdrawals that miss a holder.
TEST_F(begin_attempt_test, RunsOnlyWithTwoOfThree)
{
  EXPECT_EQ(Verdict({ kAccepted }), std::nullopt);
  EXPECT_EQ(Verdict({ kAccepted, kUnknown, kAccepted }),
            begin_verdict(begin_accepted{}));
  const auto refused =
    Verdict({ kAccepted, kUnknown, begin_result::kNotReady });
  EXPECT_EQ(Reason<refused_not_run>(refused),
            refusal_reason::kRecordsUnavailable);
  EXPECT_EQ(mAttempt->PossibleAcceptors().size(), 2u);
  const auto late = Verdict({ kAccepted, kAccepted }, 1s);
  EXPECT_EQ(Reason<refused_not_run>(late), refusal_reason::kDeadlineExceeded);
  EXPECT_EQ(mAttempt->PossibleAcceptors().size(), 3u);
}

// Guards against "not run" when another attempt of the request may have run.
TEST_F(begin_attempt_test, ReportsOtherAttempts)
{
  const auto wait = Verdict({ kAccepted, begin_result::kDuplicate, kUnknown });
  EXPECT_EQ(std::get<begin_retry>(*wait).mReason,
            begin_retry::reason::kExecutionInProgress);
  const auto late =
    Verdict({ begin_result::kDuplicate, kUnknown, kUnknown }, 999ms);
  EXPECT_EQ(Reason<refused_may_have_run>(late),
            refusal_reason::kDuplicateInProgress);
  const auto expired =
    Verdict({ begin_result::kExpired, begin_result::kStaleRevision, kUnknown });
  EXPECT_EQ(Reason<refused_may_have_run>(expired),
            refusal_reason::kIdempotencyKeyExpired);
  const auto unknown =
    Verdict({ begin_result::kFinished, begin_result::kDuplicate, kUnknown });
  EXPECT_EQ(Reason<refused_may_have_run>(unknown),
            refusal_reason::kIncompleteResponse);
  begin_round next(mRecord, mAttempt->Message(), 1, kStart, true);
  std::optional<begin_verdict> lost;
  for (const vm_identity& holder : next.Holders()) {
    lost = next.HandleResult(holder, {}, kStart, mRandom);
  }
  EXPECT_EQ(Reason<refused_may_have_run>(lost),
            refusal_reason::kDuplicateInProgress);
  mAnswer = http_response{ 201, {}, "x" };
  EXPECT_EQ(Verdict({ begin_result::kFinished }),
            begin_verdict(begin_finished{ *mAnswer }));
}

// Guards against a refusal where a newer record would let the request run.
TEST_F(begin_attempt_test, RefreshesAfterStaleRevision)
{
  const auto stale =
    Verdict({ kAccepted, begin_result::kStaleRevision, kUnknown });
  EXPECT_EQ(std::get<begin_retry>(*stale).mReason,
            begin_retry::reason::kStaleRecord);
  const auto full = Verdict({ kAccepted, begin_result::kFull, kUnknown });
  EXPECT_EQ(Reason<refused_not_run>(full), refusal_reason::kRecordsFull);
}

// Guards against a joining holder, which may lack records, that decides.
TEST_F(begin_attempt_joining_test, JoiningHolderDoesNotDecide)
{
  const auto refused = Verdict({ kAccepted, kUnknown, kAccepted });
  EXPECT_TRUE(std::holds_alternative<refused_not_run>(*refused));
  EXPECT_EQ(Verdict({ kAccepted, kAccepted }), begin_verdict(begin_accepted{}));
  mRecord.mHolders[1].mJoining = true;
  begin_round attempt(mRecord, mAttempt->Message(), 0, kStart + 1s);
  EXPECT_TRUE(attempt.CheckHolders().has_value());
}

} // namespace parsleystair
