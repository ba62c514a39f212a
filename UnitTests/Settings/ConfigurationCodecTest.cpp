#include "Parsleystair/Settings/ConfigurationCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json Example()
{
  return json::parse(R"({
    "revision": 7, "groupCount": 16,
    "weights": { "churn": 0.25 },
    "failureDomains": [ { "name": "oviedo", "region": "Asturias" } ],
    "services": [ {
      "name": "orders", "ownership": "exclusive", "slotCount": 512,
      "namedKeys": [ "school-1", "", "school-2" ],
      "retryBudgetPercent": 5,
      "orderWindows": [ { "fromMinute": 540, "toMinute": 600 } ],
      "targets": [ {
        "name": "orders-1", "host": "127.0.0.1", "port": 9001,
        "failureDomain": "oviedo", "concurrency": 6, "connections": 60,
        "checksGrants": true } ],
      "rules": [ {
        "name": "confirm", "method": "POST", "path": "/orders/{school}",
        "keySource": "path", "keyName": "school", "idempotent": false,
        "withoutKey": "send-once", "keyFormat": "any", "priority": 0,
        "deadlineMs": 1500, "maxQueueTimeMs": 200, "maxAttempts": 2 } ]
    } ] })");
}

std::set<std::string> ProblemPaths(const json& aDocument)
{
  std::set<std::string> paths;
  for (const value_problem& problem :
       CheckConfigurationText(aDocument.dump())) {
    EXPECT_FALSE(problem.mValue.empty());
    EXPECT_FALSE(problem.mAllowed.empty());
    paths.insert(problem.mPath);
  }
  return paths;
}

std::set<std::string> ProblemPaths(const char* aPointer, const json& aValue)
{
  json document = Example();
  document[json::json_pointer(aPointer)] = aValue;
  return ProblemPaths(document);
}

using paths = std::set<std::string>;

} // namespace

// Guards against a member that is read into the wrong place or not at all.
TEST(ConfigurationCodec, ReadsEveryMember)
{
  const configuration read = ParseConfiguration(Example().dump());
  EXPECT_EQ(read.mRevision, configuration_revision(7));
  EXPECT_EQ(read.mGroupCount, 16U);
  EXPECT_EQ(read.mWeights, (measure_weights{ 1, 0.25, 1 }));
  EXPECT_EQ(read.RegionOf(failure_domain_name("oviedo")),
            region_name("Asturias"));
  const service_configuration& service = read.mServices.at(0);
  EXPECT_EQ(service.mSlotCount, 512U);
  EXPECT_EQ(service.mNamedKeys.size(), 3U);
  EXPECT_EQ(service.mRetryBudgetPercent, 5U);
  EXPECT_EQ(service.mNoMoveWindows.at(0), (no_move_window{ 540, 600 }));
  EXPECT_EQ(service.mTargets.at(0),
            (target_configuration{ target_name("orders-1"),
                                   "127.0.0.1",
                                   9001,
                                   failure_domain_name("oviedo"),
                                   6,
                                   60,
                                   true,
                                   false }));
  const request_rule expected{ rule_name("confirm"),
                               "POST",
                               "/orders/{school}",
                               key_source::kPath,
                               "school",
                               false,
                               missing_key_policy::kSendOnce,
                               key_format::kAny,
                               0,
                               1500ms,
                               200ms,
                               2 };
  EXPECT_EQ(service.mRules.at(0), expected);
}

// Guards against a configuration that changes on its way through the store.
TEST(ConfigurationCodec, ReadsWhatItWrites)
{
  const configuration read = ParseConfiguration(Example().dump());
  EXPECT_EQ(ParseConfiguration(EncodeConfiguration(read)), read);
}

// Guards against a check that stops at the first problem.
TEST(ConfigurationCodec, ReportsAllProblemsAtOnce)
{
  json document = Example();
  document["colour"] = 1;
  document["size"] = 1;
  document.erase("groupCount");
  document["services"][0]["targets"][0]["port"] = 70000;
  document["services"][0]["rules"][0]["keySource"] = "cookie";
  EXPECT_EQ(ProblemPaths(document),
            (paths{ "colour",
                    "size",
                    "groupCount",
                    "services[0].targets[0].port",
                    "services[0].rules[0].keySource" }));
  try {
    ParseConfiguration(document.dump());
    FAIL() << "the document was accepted";
  } catch (const value_problems_error& fault) {
    EXPECT_EQ(fault.Problems().size(), 5U);
    EXPECT_NE(std::string(fault.what()).find("targets[0].port: 70000"),
              std::string::npos);
  }
}

// Guards against values that the schema passes but routers can't use.
TEST(ConfigurationCodec, ChecksReferencesAndLimits)
{
  const std::string target = "services[0].targets[0].";
  const std::string rule = "services[0].rules[0].";
  const auto at = [](const char* aPointer, const json& aValue) {
    return ProblemPaths((std::string("/services/0/") + aPointer).c_str(),
                        aValue);
  };
  EXPECT_EQ(at("targets/0/failureDomain", "gijon"),
            paths{ target + "failureDomain" });
  EXPECT_EQ(at("targets/0/host", "localhost"), paths{ target + "host" });
  EXPECT_EQ(at("targets/0/connections", 5), paths{ target + "connections" });
  EXPECT_EQ(at("targets/0/leaving", true), paths{ "services[0].targets" });
  EXPECT_EQ(at("rules/0/keyName", "city"), paths{ rule + "keyName" });
  EXPECT_EQ(at("rules/0/path", "/a//b"), paths{ rule + "path" });
  EXPECT_EQ(at("rules/0/maxQueueTimeMs", 1477),
            paths{ rule + "maxQueueTimeMs" });
  EXPECT_EQ(at("rules", json::array()), paths{ "services[0].rules" });
  EXPECT_EQ(at("namedKeys/2", "school-1"), paths{ "services[0].namedKeys[2]" });
  EXPECT_EQ(at("orderWindows/0/toMinute", 540),
            paths{ "services[0].orderWindows[0].toMinute" });
  EXPECT_EQ(ProblemPaths(
              "/weights",
              { { "imbalance", 0 }, { "churn", 0 }, { "unavailableTime", 0 } }),
            paths{ "weights" });
}

// Guards against an empty key that takes the slot of a withdrawn named key.
TEST(ConfigurationCodec, KeepsFreedNamedSlotsEmpty)
{
  const configuration read = ParseConfiguration(Example().dump());
  const service_configuration& service = read.mServices.at(0);
  EXPECT_EQ(SlotOf(service, "school-2"), slot_index(514));
  EXPECT_LT(SlotOf(service, "").Value(), 512U);
}

// Guards against two services that claim the same name, server or request.
// Names of targets are unique within a service only.
TEST(ConfigurationCodec, RefusesPartsThatCollide)
{
  json document = Example();
  json second = document["services"][0];
  document["services"].push_back(second);
  EXPECT_EQ(ProblemPaths(document),
            (paths{ "services[0].name",
                    "services[0].targets[0].port",
                    "services[0].rules[0].path",
                    "services[1].name",
                    "services[1].targets[0].port",
                    "services[1].rules[0].path" }));
  second["name"] = "menus";
  second["targets"][0]["port"] = 9002;
  second["rules"][0]["path"] = "/menus/{school}";
  document["services"][1] = second;
  EXPECT_EQ(ProblemPaths(document), paths{});
  document["services"][1]["targets"].push_back(second["targets"][0]);
  document["services"][1]["targets"][1]["port"] = 9003;
  EXPECT_EQ(
    ProblemPaths(document),
    (paths{ "services[1].targets[0].name", "services[1].targets[1].name" }));
  document["services"][1] = second;
  document["services"][1]["rules"][0]["path"] = "/{school}/today";
  EXPECT_EQ(
    ProblemPaths(document),
    (paths{ "services[0].rules[0].path", "services[1].rules[0].path" }));
}

} // namespace parsleystair
