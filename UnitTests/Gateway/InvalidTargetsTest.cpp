#include "GatewayFixture.h"

namespace parsleystair {

namespace {

std::string Nested(size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/// Entry of the service "plain" whose member `aName` has another JSON text.
std::string EntryWith(const std::string& aName, const std::string& aText)
{
  nlohmann::json entry = { { "service", "plain" }, { "address", "127.0.0.1:9" },
                           { "zone", "asti-a" },   { "version", "v1" },
                           { "slots", 4 },         { "state", "ready" },
                           { "seq", 1 },           { "slow_start_s_time", 0 },
                           { "born", 1 } };
  entry.erase(aName);
  std::string text = entry.dump();
  text.pop_back();
  return text + ",\"" + aName + "\":" + aText + "}";
}

std::vector<std::string> InvalidEntries()
{
  return {
    "",
    "null",
    "[]",
    std::string("\0\xff\xfe", 3),
    Nested(100'000),
    Nested(500'000),
    std::string(1'000'000, '['),
    std::string(1'000'000, 'x'),
    EntryWith("service", Nested(100'000)),
    EntryWith("service", "\"pl\xff\""),
    EntryWith("zone", "\"a\\u0000b\""),
    EntryWith("address", "\"127.0.0.1:99999\""),
    EntryWith("address", "\"127.0.0.1:0\""),
    EntryWith("address", "\"" + std::string(900'000, '9') + "\""),
    EntryWith("slots", "1e400"),
    EntryWith("slots", "1e300"),
    EntryWith("slots", "-1"),
    EntryWith("slots", "18446744073709551616"),
    EntryWith("born", "-1"),
    EntryWith("born", "1e300"),
    EntryWith("seq", "1e300"),
    EntryWith("slow_start_s_time", "1e300"),
    EntryWith("slow_start_s_time", "-1e300"),
    EntryWith("state", "\"odd\""),
  };
}

class invalid_targets_test : public gateway_test
{
protected:
  void PutInvalidEntries()
  {
    size_t number = 0;
    for (const std::string& entry : InvalidEntries()) {
      mKv.Put(TargetKey("odd-" + std::to_string(++number)), entry);
    }
    // Such a name would end the header field that names the target.
    mKv.Put(std::string("servers/odd\r\nX-Injected: 1"),
            EntryWith("born", "1"));
    mKv.Put(std::string("servers/odd\0zero", 16), EntryWith("born", "1"));
  }

  void RemoveInvalidEntries()
  {
    for (size_t number = 1; number <= InvalidEntries().size(); ++number) {
      mKv.Remove(TargetKey("odd-" + std::to_string(number)));
    }
    mKv.Remove("servers/odd\r\nX-Injected: 1");
    mKv.Remove(std::string("servers/odd\0zero", 16));
  }

  bool Knows(const gateway_instance& aGateway, const std::string& aName)
  {
    return aGateway.mTask->DumpText().find("\"" + aName + "\"") !=
           std::string::npos;
  }

  /// Adds a target and waits until the gateway knows it: the gateway follows
  /// the store.
  void ExpectFollows(const gateway_instance& aGateway, const std::string& aName)
  {
    AddTarget(aName, "plain", false);
    EXPECT_TRUE(RunUntil([&] { return Knows(aGateway, aName); })) << aName;
    EXPECT_EQ(aGateway.mTask->DumpText().find("odd"), std::string::npos);
    EXPECT_FALSE(aGateway.mTask->MetricsText().empty());
    const std::string id = "r-" + aName;
    EXPECT_EQ(Call(aGateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200U);
  }
};

} // namespace

// Guards against invalid entries that end the process or the following of the
// store when they are there at the start.
TEST_F(invalid_targets_test, EntriesAtTheStartLeaveOthersUsable)
{
  PutInvalidEntries();
  const gateway_instance& gateway = StartGateway("a");
  ExpectFollows(gateway, "plain-3");
  RemoveInvalidEntries();
  ExpectFollows(gateway, "plain-4");
}

// Guards against invalid entries that end the process or the following of the
// store when they arrive by a watch, or are removed.
TEST_F(invalid_targets_test, EntriesOfAWatchLeaveOthersUsable)
{
  const gateway_instance& gateway = StartGateway("a");
  PutInvalidEntries();
  ExpectFollows(gateway, "plain-3");
  RemoveInvalidEntries();
  ExpectFollows(gateway, "plain-4");
}

// Guards against a target that is still used after its entry was overwritten
// with an invalid one.
TEST_F(invalid_targets_test, OverwrittenEntryNamesNoTarget)
{
  const gateway_instance& gateway = StartGateway("a");
  ASSERT_TRUE(Knows(gateway, "plain-1"));
  const std::string entry = mTargets.at("plain-1")->Entry("plain", "ready");
  mKv.Put(TargetKey("plain-1"), EntryWith("slots", "-1"));
  EXPECT_TRUE(RunUntil([&] { return !Knows(gateway, "plain-1"); }));
  for (int number = 0; number < 10; ++number) {
    const std::string id = "r-" + std::to_string(number);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200U);
  }
  EXPECT_TRUE(mTargets.at("plain-1")->Ran().empty());
  mKv.Put(TargetKey("plain-1"), entry);
  EXPECT_TRUE(RunUntil([&] { return Knows(gateway, "plain-1"); }));
}

// Guards against an invalid configuration that ends the process, replaces the
// valid one or keeps later versions from taking effect.
TEST_F(invalid_targets_test, InvalidConfigurationLeavesTheCurrentOne)
{
  const gateway_instance& gateway = StartGateway("a");
  size_t number = 0;
  for (const std::string& value :
       { std::string(), std::string("\xff"), Nested(500'000) }) {
    mKv.Put(kConfigurationKey, value);
    RunFor(200ms);
    const std::string id = "r-" + std::to_string(++number);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200U);
  }
  PutConfiguration(5);
  EXPECT_TRUE(RunUntil([&] {
    return gateway.mTask->DumpText().find("\"configurationVersion\": 5") !=
           std::string::npos;
  }));
}

} // namespace parsleystair
