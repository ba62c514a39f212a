#include "Parsleystair/Routing/AllowedRegions.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const region_map kRegions = {
  { failure_domain_name("a1"), region_name("a") },
  { failure_domain_name("a2"), region_name("a") },
  { failure_domain_name("b1"), region_name("b") },
};

bool Allows(const std::set<region_name>& aRegions, const std::string& aDomain)
{
  return allowed_domains(aRegions, kRegions)
    .Allows(failure_domain_name(aDomain));
}

route MakeRoute(const std::string& aName, const std::string& aRegion)
{
  route made;
  made.mName = route_name(aName);
  made.mServices = { { service_name("s"), 1 } };
  if (!aRegion.empty()) {
    made.mAllowedRegions = { region_name(aRegion) };
  }
  return made;
}

} // namespace

// Guards against a request outside the regions of its route, also in a zone of
// which the router doesn't know the region.
TEST(AllowedRegions, OnlyDomainsOfTheRegionsAreAllowed)
{
  EXPECT_TRUE(Allows({ region_name("a") }, "a1"));
  EXPECT_TRUE(Allows({ region_name("a") }, "a2"));
  EXPECT_FALSE(Allows({ region_name("a") }, "b1"));
  EXPECT_FALSE(Allows({ region_name("a") }, "unlisted"));
  EXPECT_FALSE(Allows({ region_name("nowhere") }, "a1"));
  EXPECT_TRUE(Allows({ region_name("a"), region_name("b") }, "b1"));
}

// Guards against refusals of routes that allow all regions.
TEST(AllowedRegions, NoRegionsAllowAllDomains)
{
  EXPECT_TRUE(allowed_domains({}, kRegions).AllowsAll());
  EXPECT_TRUE(Allows({}, "b1"));
  EXPECT_TRUE(Allows({}, "unlisted"));
}

// Guards against a route without targets that operators aren't told of, and
// against warnings for routes that have some or need none.
TEST(AllowedRegions, FindsRoutesWithoutTargets)
{
  route_configuration configuration;
  configuration.mRoutes = { MakeRoute("all", "") };
  EXPECT_FALSE(HasAllowedRegions(configuration));
  configuration.mRoutes.push_back(MakeRoute("in-a", "a"));
  configuration.mRoutes.push_back(MakeRoute("in-b", "b"));
  configuration.mRoutes.push_back(MakeRoute("nowhere", "x"));
  EXPECT_TRUE(HasAllowedRegions(configuration));
  const service_domains inService = {
    { service_name("s"), failure_domain_name("a2") },
    { service_name("other"), failure_domain_name("b1") },
  };
  const std::set<route_name> expected = { route_name("in-b"),
                                          route_name("nowhere") };
  EXPECT_EQ(RoutesWithoutAllowedTarget(configuration, kRegions, inService),
            expected);
}

} // namespace parsleystair
