#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Platform/BackoffGate.h"
#include "Parsleystair/Platform/Base64.h"
#include "Parsleystair/Platform/EtcdMessages.h"
#include "Parsleystair/Platform/EtcdStore.h"
#include "Parsleystair/Platform/TokenBucket.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleystair {

namespace {

struct outage_result
{
  int mCalls = 0;
  duration mFoundAfter{};
};

/// Polls every 100 ms through an outage of an hour, in which calls end
/// `aFailureTime` after their start, and until the store is found again.
outage_result PollThroughOutage(duration aFailureTime, uint64_t aSeed)
{
  const etcd_store_settings settings;
  backoff_gate gate(settings.mFirstBackoff, settings.mMaxBackoff, aSeed);
  const time_point outageEnd = time_point{} + 1h;
  std::deque<time_point> open;
  outage_result result;
  for (time_point now{};; now += 100ms) {
    while (!open.empty() && open.front() + aFailureTime <= now) {
      gate.OnFailure(open.front(), open.front() + aFailureTime);
      open.pop_front();
    }
    if (!gate.TryStart(now)) {
      continue;
    }
    if (now >= outageEnd) {
      result.mFoundAfter = now - outageEnd;
      return result;
    }
    ++result.mCalls;
    open.push_back(now);
  }
}

} // namespace

// Guards against an outage of an hour that ends with a call storm, that costs
// as many calls as normal polling, or whose end is found late.
TEST(BackoffGate, HourOfOutageCostsFewCallsAndItsEndIsFoundWithinASecond)
{
  constexpr int kNormalCalls = 36'000;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (const duration failureTime : { duration(1ms), duration(1s) }) {
      const outage_result result = PollThroughOutage(failureTime, seed);
      EXPECT_LT(result.mCalls, kNormalCalls / 4);
      EXPECT_LE(result.mFoundAfter, duration(900ms));
    }
  }
}

// Guards against VMs that call in step after a common failure.
TEST(BackoffGate, DelaysOfDifferentSeedsDiffer)
{
  backoff_gate one(50ms, 800ms, 1);
  backoff_gate other(50ms, 800ms, 2);
  int different = 0;
  for (time_point now{}; now < time_point{} + 10s; now += 10ms) {
    one.OnFailure(now, now);
    other.OnFailure(now, now);
    different += one.TryStart(now) != other.TryStart(now) ? 1 : 0;
  }
  EXPECT_GT(different, 10);
}

// Guards against a bucket that lets more pass than its rate and burst.
RC_GTEST_PROP(TokenBucket, NeverPassesMoreThanRateAndBurst, ())
{
  const int perSecond = *rc::gen::inRange(1, 1000);
  const int burst = *rc::gen::inRange(1, 100);
  const auto steps =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50'000));
  token_bucket bucket(perSecond, burst);
  time_point now{};
  int passed = 0;
  for (const int step : steps) {
    now += duration(step);
    passed += bucket.TryTake(now) ? 1 : 0;
    const std::chrono::duration<double> elapsed = now - time_point{};
    RC_ASSERT(passed <= burst + elapsed.count() * perSecond + 0.001);
  }
}

// Guards against encodings that differ from RFC 4648 section 10.
TEST(Base64, MatchesTheStandardsExamples)
{
  const std::vector<std::pair<std::string, std::string>> examples = {
    { "", "" },
    { "f", "Zg==" },
    { "fo", "Zm8=" },
    { "foo", "Zm9v" },
    { "foob", "Zm9vYg==" },
    { "fooba", "Zm9vYmE=" },
    { "\xff\xef", "/+8=" },
  };
  for (const auto& [bytes, text] : examples) {
    EXPECT_EQ(EncodeBase64(bytes), text);
    EXPECT_EQ(DecodeBase64(text), bytes);
  }
  for (const char* wrong :
       { "Z", "Zg=", "Zg", "====", "Z===", "Zm9v\n", "Zm-_" }) {
    EXPECT_THROW(DecodeBase64(wrong), parse_error) << wrong;
  }
}

// Guards against an answer cut or changed on its way that ends in anything but
// a parse error or a whole result.
RC_GTEST_PROP(EtcdMessages, DamagedAnswersThrowOnlyParseErrors, ())
{
  std::string text =
    R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","mod_revision":"5",)"
    R"("value":"Yg=="}],"more":false,"count":"1","vms":[{"name":"a","host":)"
    R"("::1","peerPort":7,"failureDomain":"d","leaving":true}]})";
  const auto cut = *rc::gen::inRange<size_t>(0, text.size());
  const auto changes =
    *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(
      rc::gen::inRange<size_t>(0, text.size()), rc::gen::arbitrary<char>()));
  for (const auto& [position, character] : changes) {
    text[position] = character;
  }
  text.resize(text.size() - (changes.empty() ? cut : 0));
  const auto attempt = [&](auto aDecoder) {
    try {
      aDecoder(text);
    } catch (const parse_error&) {
      // The one allowed error.
      return;
    }
  };
  attempt(DecodeRangeReply);
  attempt(DecodeTransactionReply);
  attempt(DecodeVmList);
}

} // namespace parsleystair
