#include "StandIns/standin_platform/PlatformServer.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Http/HttpConnection.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

listed_vm Vm(const std::string& aName, bool aLeaving)
{
  return {
    vm_name(aName), "127.0.0.1", 7000, failure_domain_name("d"), aLeaving
  };
}

/// The stand-in and a client of its own protocol on one loop.
class platform_server_test : public testing::Test
{
protected:
  http_result Call(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody)
  {
    http_connection connection(mLoop, "127.0.0.1", mServer.Port());
    http_request request;
    request.mMethod = aMethod;
    request.mPath = aPath;
    request.mBody = aBody;
    http_result result;
    connection.Call(request, 5s, [&](http_result aResult) {
      result = std::move(aResult);
      mLoop.Stop();
    });
    mLoop.Run();
    // Lets the loop free the closed connection.
    timer end;
    end.StartOnce(mLoop, 1ms, [this] { mLoop.Stop(); });
    mLoop.Run();
    return result;
  }

  json Post(const std::string& aPath, const std::string& aBody)
  {
    return json::parse(Call("POST", aPath, aBody).mResponse.mBody);
  }

  static platform_server_settings Settings()
  {
    platform_server_settings settings;
    settings.mPort = 0;
    return settings;
  }

  event_loop mLoop;
  platform_server mServer{ mLoop, Settings() };
};

} // namespace

// Guards against answers that differ from etcd's published JSON mapping.
TEST_F(platform_server_test, SpeaksEtcdsJsonMapping)
{
  const json header = { { "cluster_id", "1" },
                        { "member_id", "1" },
                        { "raft_term", "1" },
                        { "revision", "2" } };
  EXPECT_EQ(Post("/v3/kv/put", R"({"key":"Zm9v","value":"YmFy"})"),
            (json{ { "header", header } }));
  const json entry = { { "key", "Zm9v" },
                       { "value", "YmFy" },
                       { "create_revision", "2" },
                       { "mod_revision", "2" },
                       { "version", "1" } };
  EXPECT_EQ(Post("/v3/kv/range", R"({"key":"Zm9v","range_end":"Zm9w"})"),
            (json{ { "header", header },
                   { "kvs", json::array({ entry }) },
                   { "count", "1" } }));
  const json answer = Post(
    "/v3/kv/txn",
    R"({"compare":[{"createRevision":"2","target":"CREATE","key":"Zm9v"}],)"
    R"("success":[{"requestPut":{"key":"Zm9v","value":"YmF6"}}]})");
  EXPECT_EQ(answer.at("succeeded"), true);
  EXPECT_EQ(
    answer.at("responses")[0].at("response_put").at("header").at("revision"),
    "3");
  for (const char* wrong : { "", "5", "{\"key\":5}", "{\"key\":\"a\"}" }) {
    EXPECT_EQ(Call("POST", "/v3/kv/range", wrong).mResponse.mStatus, 400u);
  }
}

// Guards against a lease that lapses unseen by its holder.
TEST_F(platform_server_test, LapsedLeaseHasNoTimeLeft)
{
  const std::string id = Post("/v3/lease/grant", R"({"TTL":"5"})").at("ID");
  const std::string body = R"({"ID":")" + id + R"("})";
  EXPECT_EQ(Post("/v3/lease/keepalive", body)["result"]["TTL"], "5");
  Post("/v3/kv/put", R"({"key":"YQ==","value":"YQ==","lease":")" + id + "\"}");
  Post("/faults", R"({"lapseLeases":true})");
  EXPECT_FALSE(Post("/v3/lease/keepalive", body)["result"].contains("TTL"));
  EXPECT_FALSE(Post("/v3/kv/range", R"({"key":"YQ=="})").contains("kvs"));
}

// Guards against a watch that resumes after compaction and misses changes
// without being told.
TEST_F(platform_server_test, WatchOfCompactedRevisionIsCancelled)
{
  for (int i = 0; i < 3; ++i) {
    Post("/v3/kv/put", R"({"key":"YQ==","value":"YQ=="})");
  }
  Post("/v3/kv/compaction", R"({"revision":"3"})");
  const http_result result =
    Call("POST",
         "/v3/watch",
         R"({"create_request":{"key":"YQ==","start_revision":"2"}})");
  EXPECT_EQ(result.mStatus, http_status::kResponded);
  const std::string& body = result.mResponse.mBody;
  const json last = json::parse(body.substr(body.find('\n')));
  EXPECT_EQ(last["result"]["canceled"], true);
  EXPECT_EQ(last["result"]["compact_revision"], "3");
  EXPECT_EQ(mServer.WaitingWatches(), 0u);
}

// Guards against calls that the statistics miss, or control calls they count.
TEST_F(platform_server_test, CountsCallsOfThePlatformOnly)
{
  Post("/v3/kv/put", R"({"key":"YQ=="})");
  Call("GET", "/vms", "");
  Post("/faults", "{}");
  EXPECT_EQ(Call("PUT", "/vms/a", "{}").mResponse.mStatus, 400u);
  const json stats = json::parse(Call("GET", "/stats", "").mResponse.mBody);
  EXPECT_EQ(stats.at("calls"), (json{ { "/v3/kv/put", 1 }, { "/vms", 1 } }));
  EXPECT_EQ(stats.at("reads"), 1);
  EXPECT_EQ(stats.at("writes"), 1);
}

// Guards against a watch that loses, repeats or reorders changes.
TEST(WatchHub, SendsEachChangeOnceInOrder)
{
  key_value_core core;
  watch_hub hub(core);
  core.Transact({ {}, { kv_put{ "a", "1" } }, {} });
  hub.Add(exchange_id(1),
          R"({"create_request":{"key":"YQ==","start_revision":"2"}})");
  hub.Add(exchange_id(2), R"({"createRequest":{"key":"YQ=="}})");
  EXPECT_THROW(hub.Add(exchange_id(3), "{}"), parse_error);
  ASSERT_EQ(hub.TakeOutput().size(), 1u);
  core.Transact({ {}, { kv_put{ "a", "2" } }, {} });
  core.Transact({ {}, { kv_delete{ { "a", "" } } }, {} });
  core.Transact({ {}, { kv_put{ "b", "3" } }, {} });
  const auto output = hub.TakeOutput();
  ASSERT_EQ(output.size(), 2u);
  for (const watch_output& one : output) {
    const json events = json::parse(one.mLines)["result"]["events"];
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0]["kv"]["value"], "Mg==");
    EXPECT_EQ(events[1]["type"], "DELETE");
    EXPECT_FALSE(one.mEnds);
  }
  EXPECT_TRUE(hub.TakeOutput().empty());
}

// Guards against a list that shows a VM too early, too late or for ever.
TEST(VmList, ShowsThePastAndDropsSilentVms)
{
  vm_list list(2s);
  const time_point start = time_point{} + 1h;
  list.Put(Vm("a", false), 5s, start);
  list.Put(Vm("b", false), 0s, start);
  EXPECT_TRUE(list.Visible(start + 1999ms).empty());
  EXPECT_EQ(list.Visible(start + 2s).size(), 2u);
  list.Put(Vm("a", true), 5s, start + 3s);
  list.Remove(vm_name("b"), start + 3s);
  EXPECT_EQ(list.Visible(start + 4999ms),
            (std::vector<listed_vm>{ Vm("a", false), Vm("b", false) }));
  EXPECT_EQ(list.Visible(start + 5s), std::vector<listed_vm>{ Vm("a", true) });
  EXPECT_EQ(list.Visible(start + 9999ms).size(), 1u);
  EXPECT_TRUE(list.Visible(start + 10s).empty());
}

// Guards against faults that differ between runs of one seed.
TEST(FaultPlan, RepeatsWithItsSeedAndCountsWrites)
{
  std::vector<call_fate> fates;
  for (int run = 0; run < 2; ++run) {
    fault_plan plan;
    plan.Change(ParseFaultChange(R"({"loseAnswers":0.5,"seed":9})"));
    int lost = 0;
    for (size_t i = 0; i < 100; ++i) {
      const call_fate fate = plan.Decide(false);
      lost += fate == call_fate::kAnswerLost ? 1 : 0;
      if (run == 0) {
        fates.push_back(fate);
      }
      EXPECT_EQ(fate, fates.at(i));
    }
    EXPECT_GT(lost, 20);
    EXPECT_LT(lost, 80);
  }
  fault_plan plan;
  plan.Change(ParseFaultChange(R"({"loseAnswers":1})"));
  EXPECT_EQ(plan.Decide(false), call_fate::kAnswered);
  EXPECT_EQ(plan.Decide(true), call_fate::kAnswerLost);
  EXPECT_EQ(plan.Decide(true), call_fate::kAnswered);
  for (const char* wrong : { "", R"({"outage":1})", R"({"delayMs":-1})" }) {
    EXPECT_THROW(ParseFaultChange(wrong), value_error);
  }
}

} // namespace parsleystair
