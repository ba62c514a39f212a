#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Request/IdempotencyKey.h"
#include "Parsleystair/Request/RetryPolicy.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };
/// Example of RFC 9562, appendix A.6, and its time.
constexpr const char* kExample = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
constexpr uint64_t kExampleMs = 1'645'557'742'000;

class retry_policy_test : public testing::Test
{
protected:
  retry_decision Fail(retry_policy& aPolicy, attempt_failure aEnd)
  {
    failed_attempt failure;
    failure.mFailure = aEnd;
    return aPolicy.HandleFailure(failure, mBudget, kStart, mRandom);
  }

  request_rule mRule;
  retry_budget mBudget{ 10 };
  std::mt19937_64 mRandom{ 1 };
};

} // namespace

// Guards against a key time read wrongly, which would let expired keys run.
TEST(IdempotencyKey, ReadsTheTimeOfUuidV7)
{
  const wall_time now{ std::chrono::milliseconds(kExampleMs) };
  const auto parse = [&](const std::string& aText, key_format aFormat) {
    return ParseIdempotencyKey(aText, aFormat, now);
  };
  const idempotency_key key{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
                             kExampleMs };
  EXPECT_EQ(parse(kExample, key_format::kUuidV7), key);
  EXPECT_EQ(parse("\"" + std::string(kExample) + "\"", key_format::kAny), key);
  EXPECT_EQ(parse("order-7", key_format::kAny),
            (idempotency_key{ "order-7", 0 }));

  const std::string wrongVersion = "017f22e2-79b0-4cc3-98c4-dc0c0c07398f";
  const std::string wrongVariant = "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f";
  const std::string future = "017f22e4-0000-7cc3-98c4-dc0c0c07398f";
  for (const auto& text :
       { std::string(), wrongVersion, wrongVariant, future }) {
    EXPECT_THROW(parse(text, key_format::kUuidV7), value_error) << text;
  }
  for (const auto& text :
       { std::string(129, 'k'), std::string("a b"), std::string("\xc3\xa9") }) {
    EXPECT_THROW(parse(text, key_format::kAny), value_error) << text;
  }
}

// Guards against a non-idempotent request that is sent twice.
TEST_F(retry_policy_test, RetriesOnlyWhatDidNotRun)
{
  mRule.mIdempotent = false;
  retry_policy policy(mRule, kStart + 10s);
  EXPECT_TRUE(std::holds_alternative<retry_later>(
    Fail(policy, attempt_failure::kNotSent)));
  EXPECT_TRUE(std::holds_alternative<refused_may_have_run>(
    Fail(policy, attempt_failure::kUnknown)));
}

// Guards against "not run" after an earlier attempt that may have run.
TEST_F(retry_policy_test, RemembersAnUnknownEnd)
{
  mRule.mMaxAttempts = 2;
  retry_policy policy(mRule, kStart + 10s);
  EXPECT_TRUE(
    std::holds_alternative<retry_later>(Fail(policy, attempt_failure::kUnknown)));
  EXPECT_TRUE(std::holds_alternative<refused_may_have_run>(
    Fail(policy, attempt_failure::kRejectedNotRun)));
}

// Guards against retries past the deadline and beyond the budget.
TEST_F(retry_policy_test, KeepsDeadlineAndBudget)
{
  retry_policy late(mRule, kStart);
  EXPECT_TRUE(std::holds_alternative<refused_not_run>(
    Fail(late, attempt_failure::kNotSent)));

  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    mBudget.AddFirstAttempt();
    retry_policy policy(mRule, kStart + 10s);
    const auto decision = Fail(policy, attempt_failure::kNotSent);
    retries += std::holds_alternative<retry_later>(decision);
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 102);
}

// Guards against a service with few requests that never gets a retry.
TEST(RetryBudget, HasAFloor)
{
  retry_budget budget(10);
  EXPECT_TRUE(budget.TryTake(kStart));
  EXPECT_TRUE(budget.TryTake(kStart));
  EXPECT_FALSE(budget.TryTake(kStart));
  EXPECT_TRUE(budget.TryTake(kStart + 1s));
  EXPECT_FALSE(budget.TryTake(kStart + 1s));
  EXPECT_FALSE(retry_budget(0).TryTake(kStart));
}

} // namespace parsleystair
