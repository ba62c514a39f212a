#include "Parsleystair/Limits/CrashGuard.h"
#include "Parsleystair/Limits/CrashRegistry.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };

http_request Request(const std::string& aPath,
                     const std::string& aBody = "",
                     const std::string& aCaller = "10.0.0.1")
{
  http_request request;
  request.mMethod = "GET";
  request.mPath = aPath;
  request.mHeaders = { { "Host", "shop.example" } };
  request.mBody = aBody;
  request.mRemoteHost = aCaller;
  return request;
}

incarnation_hash Process(uint64_t aNumber)
{
  return incarnation_hash(aNumber);
}

void AddCrashes(crash_guard& aGuard,
                const http_request& aRequest,
                uint64_t aFirst,
                uint64_t aLast)
{
  for (uint64_t number = aFirst; number <= aLast; ++number) {
    aGuard.HandleCrash(ContentFingerprintOf(aRequest), Process(number), kStart);
  }
}

crash_decision Decision(crash_guard& aGuard,
                        const http_request& aRequest,
                        time_point aNow = kStart)
{
  return aGuard.Assess(aRequest, aNow).mDecision;
}

/// Leader and routers that exchange reports and records without faults.
class crash_exchange
{
public:
  explicit crash_exchange(size_t aRouters)
    : mRegistry(100)
  {
    for (size_t number = 0; number < aRouters; ++number) {
      mGuards.emplace_back(HostOf(number));
    }
  }

  static std::string HostOf(size_t aNumber)
  {
    return "10.1.0." + std::to_string(aNumber);
  }

  void Exchange(time_point aNow)
  {
    for (size_t number = 0; number < mGuards.size(); ++number) {
      mRegistry.HandleReport(
        HostOf(number), mGuards[number].TakeReport(aNow), aNow);
    }
    for (crash_guard& guard : mGuards) {
      guard.SetRecords(mRegistry.Records(aNow), aNow);
    }
  }

  crash_registry mRegistry;
  std::vector<crash_guard> mGuards;
};

} // namespace

// Guards against an attempt of a caller that isn't recognized as its last one,
// or a request of another caller, path or body that is taken for it.
TEST(ContentFingerprint, IdentifiesCallerTargetAndBody)
{
  http_request again = Request("/a", "body");
  again.mRemotePort = 1234;
  again.mHeaders.push_back({ "X-Request-Id", "second" });
  const content_fingerprint content =
    ContentFingerprintOf(Request("/a", "body"));
  EXPECT_EQ(ContentFingerprintOf(again), content);
  EXPECT_NE(ContentFingerprintOf(Request("/b", "body")), content);
  EXPECT_NE(ContentFingerprintOf(Request("/a", "other")), content);
  EXPECT_NE(ContentFingerprintOf(Request("/a", "body", "10.0.0.2")), content);
  http_request withQuery = Request("/a", "body");
  withQuery.mQuery = "page=2";
  EXPECT_NE(ContentFingerprintOf(withQuery), content);
  EXPECT_EQ(ParseFingerprint(FormatFingerprint(content)), content);
  EXPECT_EQ(ParseFingerprint("12"), std::nullopt);
  EXPECT_EQ(ParseFingerprint(std::string(32, 'x')), std::nullopt);
}

// Guards against a content that is refused too early or never, and against the
// same crash counted more than once.
TEST(CrashGuard, RefusesAfterThreeCrashesOfDifferentProcesses)
{
  crash_guard guard("self");
  const http_request request = Request("/a");
  AddCrashes(guard, request, 1, 1);
  AddCrashes(guard, request, 1, 1);
  EXPECT_EQ(Decision(guard, request), crash_decision::kAdmit);
  AddCrashes(guard, request, 2, 2);
  EXPECT_EQ(Decision(guard, request), crash_decision::kSendAlone);
  AddCrashes(guard, request, 3, 3);
  const crash_assessment refused = guard.Assess(request, kStart + 2s);
  EXPECT_EQ(refused.mDecision, crash_decision::kRefuse);
  EXPECT_EQ(refused.mCrashes, 3U);
  EXPECT_EQ(refused.mAge, 2s);
  EXPECT_EQ(refused.mRetryAfter, 8s);
  EXPECT_EQ(Decision(guard, Request("/b")), crash_decision::kAdmit);
  EXPECT_EQ(Decision(guard, Request("/a", "", "10.0.0.2")),
            crash_decision::kAdmit);
}

// Guards against crashes at different routers that no router adds up.
TEST(CrashGuard, CountsCrashesOfAllRouters)
{
  crash_exchange exchange(4);
  const http_request request = Request("/a");
  for (size_t number = 0; number < 3; ++number) {
    AddCrashes(exchange.mGuards[number], request, number, number);
  }
  exchange.Exchange(kStart);
  for (crash_guard& guard : exchange.mGuards) {
    EXPECT_EQ(Decision(guard, request), crash_decision::kRefuse);
  }
}

// Guards against a sound content that is suspected or refused because targets
// crashed beside it, although targets have answered it since.
TEST(CrashGuard, AnswerClearsTheContentOnAllRouters)
{
  crash_exchange exchange(3);
  const http_request request = Request("/a");
  AddCrashes(exchange.mGuards[0], request, 1, 1);
  AddCrashes(exchange.mGuards[1], request, 2, 2);
  exchange.Exchange(kStart);
  EXPECT_EQ(Decision(exchange.mGuards[2], request), crash_decision::kSendAlone);
  exchange.mGuards[2].HandleAnswered(request);
  exchange.Exchange(kStart);
  AddCrashes(exchange.mGuards[0], request, 3, 3);
  exchange.Exchange(kStart);
  for (crash_guard& guard : exchange.mGuards) {
    EXPECT_EQ(Decision(guard, request), crash_decision::kAdmit);
  }
}

// Guards against a content that stays refused although it is sound, and against
// one that more than one router tries, or that is tried without an end.
TEST(CrashGuard, RefusedContentIsTriedByOneRouterAtATime)
{
  crash_exchange exchange(5);
  const http_request request = Request("/a");
  AddCrashes(exchange.mGuards[0], request, 1, 3);
  uint64_t crashes = 3;
  time_point now = kStart;
  std::vector<duration> trials;
  for (; now < kStart + 3600s; now += 500ms) {
    for (crash_guard& guard : exchange.mGuards) {
      if (Decision(guard, request, now) != crash_decision::kTrial) {
        continue;
      }
      trials.push_back(now - kStart);
      guard.HandleCrash(ContentFingerprintOf(request), Process(++crashes), now);
    }
    exchange.Exchange(now);
  }
  ASSERT_EQ(trials.size(), 2U);
  EXPECT_GE(trials[0], 10s);
  EXPECT_LE(trials[0], 12s);
  EXPECT_GE(trials[1], trials[0] + 60s);
  EXPECT_LE(trials[1], trials[0] + 62s);
  const crash_assessment last = exchange.mGuards[1].Assess(request, now);
  EXPECT_EQ(last.mDecision, crash_decision::kRefuse);
  EXPECT_GE(last.mRetryAfter, 600s);
}

// Guards against a trial that is used up although no target got the request.
TEST(CrashGuard, TrialThatDidNotRunMayBeRepeated)
{
  crash_guard guard("self");
  const http_request request = Request("/a");
  crash_record record;
  record.mContent = ContentFingerprintOf(request);
  record.mIncarnations = { Process(1), Process(2), Process(3) };
  record.mTrials = 1;
  record.mTrialRouter = "self";
  guard.SetRecords({ record }, kStart);
  EXPECT_EQ(Decision(guard, request), crash_decision::kTrial);
  EXPECT_EQ(Decision(guard, request), crash_decision::kRefuse);
  guard.HandleTrialNotRun(record.mContent);
  EXPECT_EQ(Decision(guard, request), crash_decision::kTrial);
  EXPECT_EQ(guard.Assess(request, kStart).mRetryAfter, 1s);
}

// Guards against crashes that are forgotten with the leader, or because a
// report got lost.
TEST(CrashGuard, TellsTheNextLeaderAgain)
{
  crash_exchange exchange(3);
  const http_request request = Request("/a");
  AddCrashes(exchange.mGuards[0], request, 1, 1);
  AddCrashes(exchange.mGuards[1], request, 2, 2);
  const crash_report lost = exchange.mGuards[1].TakeReport(kStart);
  EXPECT_FALSE(exchange.mGuards[1].HasNews());
  exchange.mGuards[1].HandleReportLost(lost);
  EXPECT_TRUE(exchange.mGuards[1].HasNews());
  exchange.Exchange(kStart);

  crash_exchange next(0);
  next.mGuards = exchange.mGuards;
  next.mGuards.erase(next.mGuards.begin());
  next.mRegistry.Adopt(next.mGuards[1].Records(kStart), kStart);
  for (crash_guard& guard : next.mGuards) {
    guard.HandleNewLeader();
  }
  AddCrashes(next.mGuards[1], request, 3, 3);
  next.Exchange(kStart);
  for (crash_guard& guard : next.mGuards) {
    EXPECT_EQ(Decision(guard, request), crash_decision::kRefuse);
  }
}

// Guards against stored records that a router which can't reach the leader
// ignores, and against ones that outlive the leader's decision to clear them.
TEST(CrashGuard, UsesStoredRecordsUntilTheLeaderTellsItsOwn)
{
  crash_guard guard("self");
  const http_request request = Request("/a");
  crash_record record;
  record.mContent = ContentFingerprintOf(request);
  record.mIncarnations = { Process(1), Process(2), Process(3) };
  guard.AddRecords({ record }, kStart);
  EXPECT_EQ(Decision(guard, request), crash_decision::kRefuse);
  guard.SetRecords({}, kStart);
  EXPECT_EQ(Decision(guard, request), crash_decision::kAdmit);
}

// Guards against a caller that fills the tables with crashing contents, makes
// them grow without bounds, or pushes out contents that are refused.
TEST(CrashRegistry, KeepsRefusedContentsWhenFull)
{
  crash_registry registry(50);
  const auto crash = [&](const std::string& aPath, uint64_t aIncarnation) {
    registry.HandleReport(
      "router",
      { { { ContentFingerprintOf(Request(aPath)), Process(aIncarnation) } },
        {},
        {} },
      kStart);
  };
  for (uint64_t number = 1; number <= 3; ++number) {
    crash("/refused", number);
  }
  for (uint64_t number = 0; number < 1000; ++number) {
    crash("/" + std::to_string(number), number);
  }
  EXPECT_LE(registry.Size(), 50U);
  ASSERT_EQ(registry.Records(kStart).size(), 1U);
  EXPECT_EQ(registry.Records(kStart)[0].mContent,
            ContentFingerprintOf(Request("/refused")));

  crash_guard guard("self");
  for (uint64_t number = 0; number < 5000; ++number) {
    AddCrashes(guard, Request("/" + std::to_string(number)), number, number);
  }
  EXPECT_LE(guard.TakeReport(kStart).mCrashes.size(), 256U);
}

// Guards against records that stay for ever, and against a refused content that
// is forgotten while its caller keeps sending it.
TEST(CrashRegistry, ForgetsContentsThatAreNotSentAnyMore)
{
  crash_registry registry(50);
  const content_fingerprint refused = ContentFingerprintOf(Request("/a"));
  const content_fingerprint suspected = ContentFingerprintOf(Request("/b"));
  registry.HandleReport("router",
                        { { { refused, Process(1) },
                            { refused, Process(2) },
                            { refused, Process(3) },
                            { suspected, Process(1) },
                            { suspected, Process(2) } },
                          {},
                          {} },
                        kStart);
  for (time_point now = kStart; now <= kStart + 3600s; now += 300s) {
    registry.HandleReport("router", { {}, {}, { refused } }, now);
    registry.Expire(now);
    EXPECT_EQ(registry.Records(now).size(), now < kStart + 300s ? 2U : 1U);
  }
  registry.Expire(kStart + 3600s + 599s);
  EXPECT_EQ(registry.Size(), 1U);
  registry.Expire(kStart + 3600s + 601s);
  EXPECT_EQ(registry.Size(), 0U);
}

} // namespace parsleystair
