#include "Parsleystair/Settings/RouterSettings.h"

#include "Parsleystair/Core/Error.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

json Minimal()
{
  return json::parse(R"({
    "vm": "vm-1", "failureDomain": "santander",
    "callers": { "host": "127.0.0.1", "port": 8080 },
    "operators": { "port": 8081 },
    "peers": { "host": "::1", "port": 8082 },
    "platform": { "host": "127.0.0.1", "port": 2379 }
  })");
}

/// Path of the error that a settings text gets; empty when it is accepted.
std::string RefusedPath(const json& aSettings)
{
  try {
    ParseRouterSettings(aSettings.dump());
  } catch (const value_error& fault) {
    EXPECT_FALSE(fault.Value().empty());
    EXPECT_FALSE(fault.Allowed().empty());
    return fault.Path();
  }
  return "";
}

std::string RefusedPath(const char* aPointer, const json& aValue)
{
  json settings = Minimal();
  settings[json::json_pointer(aPointer)] = aValue;
  return RefusedPath(settings);
}

} // namespace

// Guards against defaults that differ from those on the settings page.
TEST(RouterSettings, HaveDefaults)
{
  const router_settings settings = ParseRouterSettings(Minimal().dump());
  EXPECT_EQ(settings.mVm, vm_name("vm-1"));
  EXPECT_EQ(settings.mOperators, (socket_address{ "127.0.0.1", 8081 }));
  EXPECT_EQ(settings.mPeers, (socket_address{ "::1", 8082 }));
  EXPECT_EQ(settings.mWorkers, 2U);
  EXPECT_EQ(settings.mLimits, caller_limits{});
  EXPECT_EQ(settings.mShutdownLimit, 30s);
}

// Guards against a setting that is read into the wrong member or not at all.
TEST(RouterSettings, ReadEveryMember)
{
  json text = Minimal();
  text["operators"]["host"] = "127.0.0.2";
  text["seedPeers"] = {
    { { "vm", "vm-2" }, { "host", "127.0.0.3" }, { "port", 9 } }
  };
  text["workers"] = 64;
  text["limits"] = { { "maxHeaderBytes", 1024 }, { "maxBodyBytes", 0 } };
  text["shutdownLimitMs"] = 1500;
  const router_settings settings = ParseRouterSettings(text.dump());
  EXPECT_EQ(settings.mOperators.mHost, "127.0.0.2");
  ASSERT_EQ(settings.mSeedPeers.size(), 1U);
  EXPECT_EQ(settings.mSeedPeers[0],
            (seed_peer{ vm_name("vm-2"), { "127.0.0.3", 9 } }));
  EXPECT_EQ(settings.mWorkers, 64U);
  EXPECT_EQ(settings.mLimits, (caller_limits{ 1024, 0 }));
  EXPECT_EQ(settings.mShutdownLimit, 1500ms);
}

// Guards against a wrong setting that is accepted or reported under another
// path.
TEST(RouterSettings, RefuseWrongValuesByPath)
{
  EXPECT_EQ(RefusedPath("/vm", ""), "vm");
  EXPECT_EQ(RefusedPath("/vm", "vm/1"), "vm");
  EXPECT_EQ(RefusedPath("/vmName", "vm-1"), "vmName");
  EXPECT_EQ(RefusedPath("/callers/port", 0), "callers.port");
  EXPECT_EQ(RefusedPath("/callers/port", 65536), "callers.port");
  EXPECT_EQ(RefusedPath("/callers/port", 80.5), "callers.port");
  EXPECT_EQ(RefusedPath("/callers/port", "80"), "callers.port");
  EXPECT_EQ(RefusedPath("/callers/host", "localhost"), "callers.host");
  EXPECT_EQ(RefusedPath("/operators/port", 8080), "operators.port");
  EXPECT_EQ(RefusedPath("/peers/port", 8081), "peers.port");
  EXPECT_EQ(RefusedPath("/workers", 65), "workers");
  EXPECT_EQ(RefusedPath("/limits", { { "maxBodyBytes", -1 } }),
            "limits.maxBodyBytes");
  EXPECT_EQ(RefusedPath("/limits", { { "maxBody", 1 } }), "limits.maxBody");
  EXPECT_EQ(RefusedPath("/shutdownLimitMs", nullptr), "shutdownLimitMs");
  const json peer = { { "vm", "a" }, { "host", "127.0.0.1" }, { "port", 1 } };
  json badPeer = peer;
  badPeer.erase("port");
  EXPECT_EQ(RefusedPath("/seedPeers", { peer, badPeer }), "seedPeers[1].port");
  json missing = Minimal();
  missing.erase("platform");
  EXPECT_EQ(RefusedPath(missing), "platform");
}

// Guards against texts that crash the parser or are read in part.
TEST(RouterSettings, RefuseTextsThatAreNoSettings)
{
  const std::string deep(500'000, '[');
  std::string deepObjects;
  for (int i = 0; i < 100'000; ++i) {
    deepObjects += R"({"a":)";
  }
  deepObjects += "1" + std::string(100'000, '}');
  for (const std::string& text : std::vector<std::string>{
         "", "{", "[]", "null", R"({"vm":"a","vm":"b"})", deep, deepObjects }) {
    EXPECT_THROW(ParseRouterSettings(text), value_error);
  }
  EXPECT_THROW(LoadRouterSettings("/nonexistent/settings.json"), system_error);
}

// Guards against an address that is read wrongly, or taken though it is none.
TEST(RouterSettings, ReadsAddressTexts)
{
  EXPECT_EQ(FindSocketAddress("10.0.0.1:80"),
            (socket_address{ "10.0.0.1", 80 }));
  EXPECT_EQ(FindSocketAddress("[::1]:65535"), (socket_address{ "::1", 65535 }));
  for (const char* text : { "",
                            "10.0.0.1",
                            "10.0.0.1:",
                            "10.0.0.1:x",
                            "10.0.0.1:80x",
                            "10.0.0.1:65536",
                            "10.0.0.1:-1",
                            ":80",
                            "host:80" }) {
    EXPECT_FALSE(FindSocketAddress(text)) << text;
  }
}

} // namespace parsleystair
