#include "Parsleystair/Gateway/GatewaySettings.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Gateway/OwnerFeed.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

nlohmann::json Valid()
{
  return { { "vm", "front-1" },
           { "failureDomain", "asti-a" },
           { "failureDomains", { { "asti-a", "piemonte" } } },
           { "callers", "10.0.0.1:80" },
           { "readiness", "10.0.0.1:81" },
           { "operators", "10.0.0.1:82" },
           { "peers", "10.0.0.1:83" },
           { "store", "10.0.0.9:90" } };
}

} // namespace

// Guards against settings that are parsed incorrectly, and against unknown
// settings that prevent a process from starting.
TEST(GatewaySettings, ReadsSettingsAndIgnoresUnknownOnes)
{
  nlohmann::json json = Valid();
  json["retrySlack"] = 218;
  json["shutdownGraceSeconds"] = 6.5;
  json["processorShare"] = 0.1;
  json["firstStart"] = true;
  json["maxNetworkDelaySeconds"] = 1.5;
  json["configurationApplySeconds"] = 3;
  json["memoryMegabytes"] = 160;
  json["fromTheFuture"] = { 1, 2 };
  const gateway_settings settings = ParseGatewaySettings(json.dump());
  EXPECT_EQ(settings.mVm, vm_name("front-1"));
  EXPECT_EQ(settings.mCallers, (socket_address{ "10.0.0.1", 80 }));
  EXPECT_EQ(settings.mRetrySlack, 218u);
  EXPECT_EQ(settings.mShutdownGrace, 6500ms);
  EXPECT_TRUE(settings.mFirstStart);
  EXPECT_EQ(settings.mMemoryBytes, 160u * 1024 * 1024);
  EXPECT_EQ(settings.mMaxNetworkDelay, 1500ms);
  EXPECT_EQ(settings.mConfigurationApplyTime, 3s);
  EXPECT_FALSE(ParseGatewaySettings(Valid().dump()).mFirstStart);
}

// Guards against an error that does not name the invalid setting.
TEST(GatewaySettings, NamesTheWrongSetting)
{
  const std::vector<std::pair<std::string, nlohmann::json>> cases = {
    { "vm", nullptr },
    { "callers", "10.0.0.1" },
    { "store", "10.0.0.1:x" },
    { "failureDomains", { 1 } },
    { "retryRatio", 3 },
    { "peers", 7 },
    { "shutdownGraceSeconds", -1 },
    { "firstStart", "true" },
  };
  for (const auto& [name, value] : cases) {
    nlohmann::json json = Valid();
    json[name] = value;
    try {
      ParseGatewaySettings(json.dump());
      ADD_FAILURE() << name;
    } catch (const value_error& exception) {
      EXPECT_EQ(exception.Path(), name);
    }
  }
  EXPECT_THROW(ParseGatewaySettings("{"), value_error);
}

// Guards against messages between routers that change when they are encoded and
// decoded.
TEST(GatewayMessages, SurviveTheirEncoding)
{
  const leader_entry leader{ vm_name("a"), incarnation(7), "10.0.0.1", 83 };
  EXPECT_EQ(DecodeLeaderEntry(EncodeLeaderEntry(leader)), leader);
  EXPECT_THROW(DecodeLeaderEntry("{}"), parse_error);

  owner_records records;
  range_record record;
  record.mNextFence = 2;
  AssignKeys(record, { { 0, 9 }, { target_name("t"), 1 }, fence(1), "h" });
  records[service_name("s")] = { store_revision(12), record };
  EXPECT_EQ(DecodeOwnerRecords(EncodeOwnerRecords(records)), records);
  EXPECT_THROW(DecodeOwnerRecords("{\"s\":1}"), parse_error);

  const owner_revisions revisions{ { service_name("s"), store_revision(5) } };
  EXPECT_EQ(DecodeOwnerRevisions(EncodeOwnerRevisions(revisions)), revisions);
  EXPECT_THROW(DecodeOwnerRevisions("[]x"), parse_error);
}

} // namespace parsleystair
