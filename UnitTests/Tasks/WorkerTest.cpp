#include "Parsleystair/Tasks/Worker.h"
#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Request/Problem.h"
#include "StandIns/standin_target/TargetServer.h"
#include "UnitTests/Support/SlowReader.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Keeps the messages of a worker; lets every attempt run at once.
class recording_inbox : public control_inbox
{
public:
  void Send(control_message aMessage) override
  {
    if (const auto* query = std::get_if<begin_query>(&aMessage)) {
      mWorker->Handle(execution_verdict{ query->mFlow, std::nullopt });
    }
    mMessages.push_back(std::move(aMessage));
  }

  template<typename Message>
  size_t Count() const
  {
    size_t count = 0;
    for (const auto& message : mMessages) {
      count += std::holds_alternative<Message>(message) ? 1 : 0;
    }
    return count;
  }

  worker* mWorker = nullptr;
  std::vector<control_message> mMessages;
};

/// A worker, a target that owns every slot, and a caller, on one loop.
class worker_test : public testing::Test
{
protected:
  worker_test()
    : mTarget(mLoop, TargetSettings())
    , mWorker(mLoop, worker_index(0), RouterSettings(), 1, mControl)
  {
    mControl.mWorker = &mWorker;
    mWorker.Handle(snapshot_update{ Snapshot(mTarget.Port()) });
  }

  static target_server_settings TargetSettings()
  {
    target_server_settings settings;
    settings.mChecksGrants = false;
    return settings;
  }

  static router_settings RouterSettings()
  {
    router_settings settings;
    settings.mCallers.mHost = "127.0.0.1";
    return settings;
  }

  static std::shared_ptr<const routing_snapshot> Snapshot(uint16_t aPort)
  {
    request_rule read{ rule_name("read"), "GET", "/orders/{school}" };
    read.mKeyName = "school";
    request_rule confirm{ rule_name("confirm"), "POST", "/orders/{school}" };
    confirm.mKeyName = "school";
    confirm.mIdempotent = false;
    confirm.mKeyFormat = key_format::kAny;
    target_configuration target{ target_name("orders-1"), "127.0.0.1", aPort };
    service_configuration service;
    service.mName = service_name("orders");
    service.mTargets = { target };
    service.mRules = { read, confirm };
    auto all = std::make_shared<configuration>();
    all->mRevision = configuration_revision(1);
    all->mServices = { service };
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->mConfiguration = all;
    const std::vector<slot_route> routes(TotalSlots(service),
                                         slot_route{ 0, fence(7) });
    snapshot->mRoutes = std::make_shared<route_table>(1, routes);
    snapshot->mAuthorityUntil.assign(all->mGroupCount, time_point::max());
    return snapshot;
  }

  http_response Call(const std::string& aMethod,
                     const std::string& aPath,
                     std::vector<http_header> aHeaders = {})
  {
    http_connection caller(mLoop, "127.0.0.1", mWorker.Port());
    http_request request;
    request.mMethod = aMethod;
    request.mPath = aPath;
    request.mHeaders = std::move(aHeaders);
    http_result result;
    caller.Call(request, 10s, [&](http_result aResult) {
      result = std::move(aResult);
      mLoop.Stop();
    });
    mLoop.Run();
    EXPECT_EQ(result.mStatus, http_status::kResponded);
    return result.mResponse;
  }

  static std::string Member(const http_response& aAnswer, const char* aName)
  {
    return nlohmann::json::parse(aAnswer.mBody).value(aName, "");
  }

  event_loop mLoop;
  recording_inbox mControl;
  target_server mTarget;
  worker mWorker;
};

} // namespace

// Guards against an answer that is not the caller's own or not whole.
TEST_F(worker_test, ReturnsTheOwnersAnswer)
{
  const http_response answer =
    Call("GET", "/orders/elm%20street", { { "Request-Id", "r-17" } });
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(Member(answer, "path"), "/orders/elm%20street");
  EXPECT_EQ(FindHeader(answer.mHeaders, "request-id"), "r-17");
}

// Guards against bad input that reaches a target or ends without a reason.
TEST_F(worker_test, RefusesBadInputAsNotRun)
{
  const http_response unknown = Call("GET", "/nothing/here");
  EXPECT_EQ(unknown.mStatus, 404U);
  EXPECT_EQ(Call("DELETE", "/orders/elm").mStatus, 405U);
  EXPECT_EQ(Call("GET", "/orders/%00").mStatus, 400U);
  EXPECT_EQ(
    Call("GET", "/orders/elm", { { "Request-Deadline-Ms", "soon" } }).mStatus,
    400U);
  EXPECT_EQ(Call("POST", "/orders/elm").mStatus, 400U);
  EXPECT_EQ(Member(unknown, "outcome"), "not-run");
  EXPECT_EQ(mTarget.TotalExecutions(), 0U);
}

// Guards against a request that is run again after it may have run.
TEST_F(worker_test, TellsTheTruthWhenTheAnswerIsCut)
{
  target_faults faults;
  faults.mIgnoreFences = true;
  faults.mCutAnswers = true;
  mTarget.SetFaults(faults);
  const http_response answer =
    Call("POST", "/orders/elm", { { "Idempotency-Key", "k-1" } });
  EXPECT_EQ(answer.mStatus, 502U);
  EXPECT_EQ(Member(answer, "outcome"), "may-have-run");
  EXPECT_EQ(mTarget.Executions("k-1"), 1U);
  EXPECT_EQ(mControl.Count<execution_finished>(), 1U);
  EXPECT_EQ(mControl.Count<execution_withdrawn>(), 0U);
}

// Guards against a target that is drained but still gets the request run, and
// against a refusal that does not say that nothing ran.
TEST_F(worker_test, RefusalOfTheTargetIsNotRun)
{
  target_faults faults;
  faults.mDrain = true;
  mTarget.SetFaults(faults);
  const http_response answer =
    Call("POST", "/orders/elm", { { "Idempotency-Key", "k-2" } });
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_EQ(Member(answer, "outcome"), "not-run");
  EXPECT_EQ(FindHeader(answer.mHeaders, "retry-after"), "1");
  EXPECT_EQ(mTarget.Executions("k-2"), 0U);
  EXPECT_EQ(mControl.Count<execution_withdrawn>(), 1U);
}

// Guards against requests that hang until their deadline on a connection that
// has lost its path while new ones work.
TEST_F(worker_test, FindsSilentConnections)
{
  EXPECT_EQ(Call("GET", "/orders/elm").mStatus, 200U);
  target_faults faults;
  faults.mIgnoreFences = true;
  faults.mSilenceOpenConnections = true;
  mTarget.SetFaults(faults);
  const http_response answer =
    Call("POST", "/orders/elm", { { "Idempotency-Key", "k-3" } });
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(mTarget.Executions("k-3"), 1U);
}

// Guards against a target without grant checks that gets requests from a router
// whose table may be out of date. The first request waits for authority until
// the longest wait for an owner is over, well before its deadline. With a short
// deadline, a delay of the event loop decides which of two reasons is given.
TEST_F(worker_test, RefusesWithoutAuthority)
{
  auto snapshot = std::make_shared<routing_snapshot>(*Snapshot(mTarget.Port()));
  auto all = std::make_shared<configuration>(*snapshot->mConfiguration);
  all->mServices[0].mRules[0].mDeadline = 8s;
  snapshot->mConfiguration = all;
  snapshot->mAuthorityUntil.assign(all->mGroupCount, MonotonicNow());
  mWorker.Handle(snapshot_update{ snapshot });
  EXPECT_EQ(Member(Call("GET", "/orders/elm"), "reason"), "no-authority");

  const auto refused =
    Call("GET", "/orders/elm", { { "Request-Deadline-Ms", "100" } });
  EXPECT_EQ(Member(refused, "outcome"), "not-run");
  const std::string reason = Member(refused, "reason");
  EXPECT_TRUE(reason == "no-authority" || reason == "deadline-exceeded");
  EXPECT_EQ(mTarget.TotalExecutions(), 0U);
}

// Guards against a shutdown that ends while the system still delivers an answer
// to a client that reads slowly.
TEST_F(worker_test, IsNotDrainedBeforeSlowClientsHaveTheirAnswers)
{
  http_server target(mLoop, {}, [&](exchange_id aExchange, const auto&) {
    target.Respond(aExchange, { 200, {}, std::string(1'000'000, 'b') });
  });
  target.Listen("127.0.0.1", 0);
  mWorker.Handle(snapshot_update{ Snapshot(target.Port()) });
  slow_reader client(mWorker.Port(),
                     "GET /orders/elm HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto run = [&](duration aTime) {
    timer end;
    end.StartOnce(mLoop, aTime, [&] { mLoop.Stop(); });
    mLoop.Run();
  };
  run(300ms);
  const auto isDrained = [&] {
    mWorker.Handle(report_order{});
    return std::get<worker_report>(mControl.mMessages.back()).mDrained;
  };
  mWorker.Handle(drain_order{});
  EXPECT_FALSE(isDrained());
  run(300ms);
  EXPECT_FALSE(isDrained());
  client.ReadAll(mLoop);
  run(300ms);
  EXPECT_GT(client.Bytes(), 1'000'000U);
  EXPECT_FALSE(isDrained()) << "the client may still read what its system has";
  client.EndSending();
  run(100ms);
  EXPECT_TRUE(isDrained());
}

} // namespace parsleystair
