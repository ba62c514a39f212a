#include "platform/Catalog.h"
#include "platform/Protocols.h"

#include <gtest/gtest.h>

// Guards against routing by terms that were read wrongly: a request that must
// not be repeated taken for one that may, a region or a rate left out, and a
// load that a target did not state.

namespace parsleystair {

namespace {

route_configuration ReadConfigurationWith(const std::string& aKind,
                                          const std::string& aAction,
                                          const std::string& aCluster)
{
  const std::string text =
    R"({"version":"0000000c","listeners":[{"host":"h","rules":[{"name":"r",)"
    R"("kind":")" +
    aKind + R"(","match":{"prefix":"/p/"},"action":{"service":"s")" + aAction +
    R"(}}]}],"clusters":[{"name":"s")" + aCluster + "}]}";
  return platform::catalog().ReadConfiguration("op/config", text).value();
}

response_metadata ReadResponseWith(const std::string& aName,
                                   const std::string& aValue)
{
  http_response response;
  response.mHeaders = { { aName, aValue } };
  return platform::wire_requests().ReadResponse(response, target_name("t"));
}

std::optional<target_load> ReadLoad(const std::string& aValue)
{
  return ReadResponseWith("X-Server-Load", aValue).mLoad;
}

std::optional<duration> ReadSlowStart(const std::string& aValue)
{
  return ReadResponseWith("X-Slow-Start-Ms", aValue).mSlowStart;
}

} // namespace

TEST(RoutingTerms, KindsTellWhichRequestsMayBeRepeated)
{
  const auto isIdempotent = [](const std::string& aKind) {
    return ReadConfigurationWith(aKind, "", "").mRoutes.front().mIdempotent;
  };
  EXPECT_TRUE(isIdempotent("safe"));
  EXPECT_TRUE(isIdempotent("download"));
  EXPECT_FALSE(isIdempotent("unsafe"));
  EXPECT_FALSE(isIdempotent("upload"));
  EXPECT_FALSE(isIdempotent("some kind to come"));
}

TEST(RoutingTerms, KeysThatEvacuateAZone)
{
  const platform::catalog catalog;
  EXPECT_EQ(catalog.EvacuatedDomainOf("op/evacuate/asti-a"),
            failure_domain_name("asti-a"));
  for (const std::string key :
       { "op/config", "op/evacuate", "op/evacuated/a", "servers/a" }) {
    EXPECT_FALSE(catalog.EvacuatedDomainOf(key)) << key;
  }
  EXPECT_FALSE(catalog.ReadConfiguration("op/evacuate/asti-a", "{}"));
}

TEST(RoutingTerms, AllowedRegionsOfRoutes)
{
  const auto regions = [](const std::string& aAction) {
    return ReadConfigurationWith("safe", aAction, "")
      .mRoutes.front()
      .mAllowedRegions;
  };
  EXPECT_TRUE(regions("").empty());
  EXPECT_TRUE(regions(R"(,"allowed_regions":[])").empty());
  EXPECT_EQ(regions(R"(,"allowed_regions":["north","south"])"),
            (std::set{ region_name("north"), region_name("south") }));
}

TEST(RoutingTerms, InvalidAllowedRegionsAreNotTakenForAllRegions)
{
  const std::string text =
    R"({"version":"0000000c","listeners":[{"host":"h","rules":[{"name":"r",)"
    R"("kind":"safe","match":{"prefix":"/p/"},"action":{"service":"s",)"
    R"("allowed_regions":"north"}}]}],"clusters":[{"name":"s"}]})";
  EXPECT_FALSE(
    platform::catalog().ReadConfiguration("op/config", text).has_value());
}

TEST(RoutingTerms, SlowStartOfServices)
{
  const auto service = [](const std::string& aCluster) {
    return ReadConfigurationWith("safe", "", aCluster)
      .mServices.at(service_name("s"));
  };
  EXPECT_EQ(service("").mSlowStartRate, 0);
  const auto limited = service(R"(,"slow_start_s":3.0,"warmup_per_s":3.1)");
  EXPECT_EQ(limited.mSlowStart, 3s);
  EXPECT_EQ(limited.mSlowStartRate, 3.1);
}

TEST(RoutingTerms, LoadOfTargets)
{
  EXPECT_EQ(ReadLoad("3,0,8"), (target_load{ 3, 0, 8, 1.0 }));
  EXPECT_EQ(ReadLoad("3,12,3,250"), (target_load{ 3, 12, 3, 2.5 }));
  for (const char* invalid : { "",
                               "3",
                               "3,0",
                               "3,0,0",
                               "3,0,8,0",
                               "3,0,8,100,1",
                               "3,0,8,",
                               "-1,0,8",
                               "3,0,8.5",
                               "3,x,8",
                               "3,0,99999999999999999999" }) {
    EXPECT_FALSE(ReadLoad(invalid).has_value()) << invalid;
  }
}

TEST(RoutingTerms, RestOfSlowStart)
{
  EXPECT_EQ(ReadSlowStart("1500"), 1500ms);
  EXPECT_EQ(ReadSlowStart("0"), 0ms);
  for (const char* invalid : { "", "-1", "1.5", "99999999999" }) {
    EXPECT_FALSE(ReadSlowStart(invalid).has_value()) << invalid;
  }
}

} // namespace parsleystair
