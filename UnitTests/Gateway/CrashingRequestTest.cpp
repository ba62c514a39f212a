#include "GatewayFixture.h"
#include "UnitTests/Support/ScriptedTarget.h"

#include <list>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Time within which all routers know of a crash.
constexpr duration kStability = 3s;
/// Crashes from which `kStability` counts, and attempts that may reach targets
/// later.
constexpr size_t kCrashes = 3;
constexpr size_t kAllowedLateAttempts = 3;
/// Interval at which the caller sends the crashing request again.
constexpr duration kAgainInterval = 150ms;
/// Time from the crash of a target to its next start.
constexpr duration kDownTime = 500ms;
/// Time after which the entry of a crashed target is removed.
constexpr duration kEntryLifetime = 1s;
const std::string kCrashId = "crash-";

/// How a target that crashed starts again.
enum class restart_kind
{
  kNewName,
  kSameName,
  kSameNameAndPort,
};

/// Runs gateways whose targets crash when they begin to run a request whose id
/// begins with `kCrashId`, and start again after some time.
class crashing_request_test : public gateway_test
{
protected:
  struct arrival
  {
    std::string mId;
    time_point mAt;
  };

  struct crash_answer
  {
    time_point mSentAt;
    http_response mResponse;
  };

  struct crash_request
  {
    std::string mMethod = "GET";
    std::string mPath = "/read/crash";
    std::string mBody;
  };

  crashing_request_test()
  {
    for (int number = 3; number <= 6; ++number) {
      AddTarget("plain-" + std::to_string(number), "plain", false);
      AddTarget("orders-" + std::to_string(number), "orders", false);
      AddTarget("keyed-" + std::to_string(number), "keyed", true);
    }
    for (const auto& [name, target] : mTargets) {
      MakeCrashable(name, name.substr(0, name.find('-')));
    }
  }

  void MakeCrashable(const std::string& aName, const std::string& aService)
  {
    keyed_target& target = *mTargets.at(aName);
    target.SetWork(20ms);
    target.OnRun([this, aName, aService](const std::string& aId) {
      if (!aId.starts_with(kCrashId)) {
        return;
      }
      mArrivals.push_back({ aId, MonotonicNow() });
      After(duration::zero(),
            [this, aName, aService] { CrashTarget(aName, aService); });
    });
  }

  void CrashTarget(const std::string& aName, const std::string& aService)
  {
    const auto found = mTargets.find(aName);
    if (found == mTargets.end()) {
      return;
    }
    const uint16_t port = found->second->Port();
    mTargets.erase(found);
    After(kDownTime, [this, aName, aService, port] {
      RestartTarget(aName, aService, port);
    });
    if (mRestart == restart_kind::kNewName) {
      After(kEntryLifetime, [this, aName] { mKv.Remove(TargetKey(aName)); });
    }
  }

  void RestartTarget(const std::string& aName,
                     const std::string& aService,
                     uint16_t aPort)
  {
    const bool hasNewName = mRestart == restart_kind::kNewName;
    const std::string name = hasNewName ? aName + "x" : aName;
    auto target =
      std::make_unique<keyed_target>(mLoop, name, aService == "keyed");
    target->Listen("127.0.0.1",
                   mRestart == restart_kind::kSameNameAndPort ? aPort : 0);
    target->SetStarted(++mStartedMs);
    mKv.Put(TargetKey(name), target->Entry(aService, "ready"));
    mTargets[name] = std::move(target);
    MakeCrashable(name, aService);
  }

  void After(duration aDelay, std::function<void()> aAction)
  {
    mTimers.emplace_back();
    mTimers.back().StartOnce(mLoop, aDelay, std::move(aAction));
  }

  /// Sends a request without waiting for its answer.
  void Send(const gateway_instance& aGateway,
            const http_request& aRequest,
            std::function<void(const http_result&)> aHandler)
  {
    mConnections.emplace_back(mLoop,
                              aGateway.mSettings.mCallers.mHost,
                              aGateway.mSettings.mCallers.mPort);
    mConnections.back().Call(aRequest, kTimeout, std::move(aHandler));
  }

  void SendCrashing(const gateway_instance& aGateway,
                    const crash_request& aCrash)
  {
    http_request request = Request(aCrash.mMethod,
                                   aCrash.mPath,
                                   kCrashId + std::to_string(++mCrashRequests));
    request.mHeaders.push_back({ "X-Shard-Key", "100" });
    request.mBody = aCrash.mBody;
    Send(aGateway,
         request,
         [this, sentAt = MonotonicNow()](const http_result& aResult) {
           mAnswers.push_back({ sentAt, aResult.mResponse });
         });
  }

  /// Sends the request again and again, to the gateways in turn.
  void KeepSending(const crash_request& aCrash, duration aTime)
  {
    const time_point end = MonotonicNow() + aTime;
    while (MonotonicNow() < end) {
      const auto gateway = std::next(
        mGateways.begin(),
        static_cast<std::ptrdiff_t>(mCrashRequests % mGateways.size()));
      SendCrashing(gateway->second, aCrash);
      RunFor(kAgainInterval);
    }
  }

  /// Attempts that reached targets later than the rule allows.
  [[nodiscard]] size_t LateAttempts() const
  {
    if (mArrivals.size() < kCrashes) {
      return 0;
    }
    const time_point from = mArrivals[kCrashes - 1].mAt + kStability;
    std::set<std::string> late;
    for (const arrival& each : mArrivals) {
      if (each.mAt > from) {
        late.insert(each.mId);
      }
    }
    return late.size();
  }

  void ExpectRefused() const
  {
    EXPECT_LE(LateAttempts(), kAllowedLateAttempts);
    EXPECT_GE(mArrivals.size(), kCrashes);
    // Apart from trials, all requests after the third crash are refused.
    size_t refused = 0;
    size_t others = 0;
    for (const crash_answer& answer : mAnswers) {
      if (answer.mSentAt > mArrivals.at(kCrashes - 1).mAt + kStability) {
        ++(IsContentRefusal(answer.mResponse) ? refused : others);
      }
    }
    EXPECT_GE(refused, 1U);
    EXPECT_LE(others, kAllowedLateAttempts);
  }

  /// Refusals for other reasons let callers come back sooner.
  static bool IsContentRefusal(const http_response& aAnswer)
  {
    const auto retryAfter = FindHeader(aAnswer.mHeaders, "retry-after");
    return aAnswer.mStatus == 503 &&
           std::strtod(retryAfter.value_or("").c_str(), nullptr) >= 1.0;
  }

  restart_kind mRestart = restart_kind::kNewName;
  uint64_t mStartedMs = 5000;
  size_t mCrashRequests = 0;
  std::vector<crash_answer> mAnswers;
  std::vector<arrival> mArrivals;
  std::list<timer> mTimers;
  std::list<http_connection> mConnections;
};

} // namespace

// Guards against a request that crashes targets and reaches them with each
// attempt of its caller (BUDGET), while other requests lose their targets.
TEST_F(crashing_request_test, StopsReachingTargetsAfterThreeCrashes)
{
  for (const std::string name : { "a", "b", "c" }) {
    StartGateway(name);
  }
  size_t sent = 0;
  size_t served = 0;
  timer others;
  others.StartRepeating(mLoop, 20ms, [&] {
    const std::string id = "other-" + std::to_string(++sent);
    const auto gateway =
      std::next(mGateways.begin(), static_cast<std::ptrdiff_t>(sent % 3));
    Send(gateway->second,
         Request("GET", "/read/" + std::to_string(sent % 4), id),
         [&](const http_result& aResult) {
           served += aResult.mResponse.mStatus == 200 ? 1 : 0;
         });
  });
  KeepSending({}, 7s);
  others.Cancel();
  RunFor(500ms);
  ExpectRefused();
  EXPECT_GE(served * 100, sent * 98) << served << " of " << sent;
}

// Guards against the same with a target that starts again under its name, whose
// next process is taken for the one that crashed.
TEST_F(crashing_request_test, CountsTargetsThatStartAgainUnderTheirName)
{
  mRestart = restart_kind::kSameName;
  StartGateway("a");
  StartGateway("b");
  KeepSending({}, 6s);
  ExpectRefused();
}

TEST_F(crashing_request_test, CountsTargetsThatStartAgainAtTheirAddress)
{
  mRestart = restart_kind::kSameNameAndPort;
  StartGateway("a");
  StartGateway("b");
  KeepSending({}, 6s);
  ExpectRefused();
}

// Guards against the same with a request that is sent to one target only.
TEST_F(crashing_request_test, StopsRequestsThatAreNotIdempotent)
{
  StartGateway("a");
  StartGateway("b");
  KeepSending({ "POST", "/order/crash", "body" }, 6s);
  ExpectRefused();
}

// Guards against the same with a request for a key, whose owners crash one
// after the other.
TEST_F(crashing_request_test, StopsRequestsForAKey)
{
  const gateway_instance& gateway = StartGateway("a");
  StartGateway("b");
  WaitForKeyOwner(gateway);
  KeepSending({ "GET", "/history/crash", "" }, 20s);
  ExpectRefused();
}

// Guards against a crash of the leader that makes all routers forget the
// contents, and against a new router that doesn't know them.
TEST_F(crashing_request_test, KnownToNewRoutersAfterAllOthersHaveEnded)
{
  StartGateway("a");
  StartGateway("b");
  KeepSending({}, 3s);
  RunFor(2500ms);
  StopGateway("a");
  StopGateway("b");
  const size_t before = mArrivals.size();
  StartGateway("c");
  KeepSending({}, 1s);
  EXPECT_EQ(mArrivals.size(), before);
  ExpectRefused();
}

// Guards against crashes that are too few for a refusal and are forgotten when
// all routers end, so that the content crashes more targets than are allowed
// before it is refused.
TEST_F(crashing_request_test, CountsCrashesBeforeAndAfterALossOfAllRouters)
{
  StartGateway("a");
  StartGateway("b");
  KeepSending({ "POST", "/order/crash", "" }, 2 * kAgainInterval);
  EXPECT_EQ(mArrivals.size(), 2U);
  RunFor(1s);
  StopGateway("a");
  StopGateway("b");
  StartGateway("c");
  KeepSending({ "POST", "/order/crash", "" }, 6s);
  EXPECT_EQ(mArrivals.size(), kCrashes);
  ExpectRefused();
}

// Guards against crashes that are forgotten with the leader, which alone knew
// those of all routers.
TEST_F(crashing_request_test, CountsCrashesBeforeAndAfterALossOfTheLeader)
{
  for (const std::string name : { "a", "b", "c" }) {
    StartGateway(name);
  }
  KeepSending({ "POST", "/order/crash", "" }, 2 * kAgainInterval);
  EXPECT_EQ(mArrivals.size(), 2U);
  RunFor(700ms);
  for (const std::string name : { "a", "b", "c" }) {
    const std::string metrics = mGateways.at(name).mTask->MetricsText();
    if (metrics.find("parsleystair_leading 1") != std::string::npos) {
      StopGateway(name);
      break;
    }
  }
  ASSERT_EQ(mGateways.size(), 2U);
  KeepSending({ "POST", "/order/crash", "" }, 6s);
  ExpectRefused();
}

// Guards against a refusal that an operator can't lift, or that is lifted at
// one router only.
TEST_F(crashing_request_test, OperatorClearsAContentForAllRouters)
{
  const gateway_instance& first = StartGateway("a", "127.0.0.2");
  const gateway_instance& second = StartGateway("b", "127.0.0.3");
  KeepSending({}, 5s);
  ExpectRefused();
  const auto dump = nlohmann::json::parse(first.mTask->DumpText());
  ASSERT_EQ(dump.at("crashingContents").size(), 1U);
  const std::string content = dump.at("crashingContents").begin().key();
  const auto clear = [&](const std::string& aContent) {
    http_connection operators(mLoop,
                              first.mSettings.mOperators.mHost,
                              first.mSettings.mOperators.mPort);
    http_request request;
    request.mMethod = "POST";
    request.mPath = "/crashes/clear";
    request.mQuery = "content=" + aContent;
    std::optional<uint32_t> status;
    operators.Call(request, kTimeout, [&](const http_result& aResult) {
      status = aResult.mResponse.mStatus;
    });
    RunUntil([&] { return status.has_value(); });
    return status.value_or(0);
  };
  EXPECT_EQ(clear("x"), 400U);
  EXPECT_EQ(clear(content), 200U);
  EXPECT_EQ(clear(content), 404U);
  RunFor(1s);
  for (const gateway_instance* gateway : { &first, &second }) {
    const auto after = nlohmann::json::parse(gateway->mTask->DumpText());
    EXPECT_EQ(after.at("crashingContents").size(), 0U);
  }
}

// Guards against sound requests that are refused because targets crash while
// they run, when the same few requests are sent again and again.
TEST_F(crashing_request_test, SoundRequestsAreServedWhileTargetsCrash)
{
  StartGateway("a");
  StartGateway("b");
  size_t sent = 0;
  size_t served = 0;
  timer requests;
  requests.StartRepeating(mLoop, 10ms, [&] {
    const std::string id = "sound-" + std::to_string(++sent);
    const auto gateway =
      std::next(mGateways.begin(), static_cast<std::ptrdiff_t>(sent % 2));
    Send(gateway->second,
         Request("GET", "/read/" + std::to_string(sent % 2), id),
         [&](const http_result& aResult) {
           served += aResult.mResponse.mStatus == 200 ? 1 : 0;
         });
  });
  std::vector<std::string> names;
  for (int crash = 0; crash < 12; ++crash) {
    RunFor(350ms);
    names.clear();
    for (const auto& [name, target] : mTargets) {
      if (name.starts_with("plain")) {
        names.push_back(name);
      }
    }
    CrashTarget(names[static_cast<size_t>(crash) % names.size()], "plain");
  }
  requests.Cancel();
  RunFor(500ms);
  EXPECT_GE(served * 100, sent * 98) << served << " of " << sent;
}

// Guards against a sound request that is refused because targets cut their
// answers or close connections, although they live.
TEST_F(crashing_request_test, TargetsThatCutAnswersHaveNotCrashed)
{
  std::map<std::string, std::unique_ptr<scripted_target>> scripted;
  for (int number = 1; number <= 6; ++number) {
    const std::string name = "plain-" + std::to_string(number);
    scripted[name] = std::make_unique<scripted_target>(
      mLoop,
      [&](scripted_target::connection& aConnection, const http_request&) {
        ++mCrashRequests;
        aConnection.Send(mCrashRequests % 2 == 0 ? "HTTP/1.1 200 OK\r\nX-"
                                                 : "");
        aConnection.Finish();
      });
    mTargets.at(name)->SetPublicPort(scripted[name]->Port());
    mKv.Put(TargetKey(name), mTargets.at(name)->Entry("plain", "ready"));
  }
  const gateway_instance& gateway = StartGateway("a");
  for (int number = 0; number < 12; ++number) {
    const http_result result =
      Call(gateway, Request("GET", "/read/a", "r" + std::to_string(number)));
    EXPECT_EQ(result.mResponse.mStatus, 502U);
    RunFor(150ms);
  }
}

} // namespace parsleystair
