#include "Parsleystair/Routing/RouteTable.h"
#include "Parsleystair/Routing/WeightedChoice.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

route MakeRoute(const std::string& aName,
                const std::string& aHost,
                const std::string& aPrefix)
{
  route result;
  result.mName = route_name(aName);
  result.mHost = aHost;
  result.mPrefix = aPrefix;
  result.mServices = { { service_name("s"), 1 } };
  return result;
}

std::string FindRouteName(const route_table& aTable,
                          const std::string& aHost,
                          const std::string& aPath)
{
  const auto found = aTable.Find(aHost, aPath);
  return found == nullptr ? "" : found->mName.Value();
}

} // namespace

// Guards against a request that is routed to a shorter prefix, another host or
// a prefix that ends within a path segment.
TEST(RouteTable, FindsLongestPrefixOfHost)
{
  route_configuration configuration;
  configuration.mRoutes = { MakeRoute("root", "A.example", "/"),
                            MakeRoute("menus", "a.example", "/menus/"),
                            MakeRoute("today", "a.example", "/menus/today/"),
                            MakeRoute("other", "b.example", "/x/") };
  const route_table table(configuration);
  EXPECT_EQ(FindRouteName(table, "a.example", "/menus/today/soup"), "today");
  EXPECT_EQ(FindRouteName(table, "a.example", "/menus/today"), "menus");
  EXPECT_EQ(FindRouteName(table, "a.example", "/menusx/"), "root");
  EXPECT_EQ(FindRouteName(table, "a.EXAMPLE:80", "/menus/"), "menus");
  EXPECT_EQ(FindRouteName(table, "b.example", "/y"), "");
  EXPECT_EQ(FindRouteName(table, "c.example", "/"), "");
  EXPECT_EQ(FindRouteName(table, "b.example", "x"), "");
}

// Guards against a distribution of requests that differs from the weights over
// any sequence of requests.
TEST(WeightedChoice, SelectsServicesByWeight)
{
  route splitRoute = MakeRoute("r", "a", "/");
  splitRoute.mServices = { { service_name("big"), 9 },
                           { service_name("small"), 1 } };
  weighted_choice choice;
  int smallCount = 0;
  for (int i = 1; i <= 1000; ++i) {
    smallCount += choice.Next(splitRoute) == service_name("small") ? 1 : 0;
    EXPECT_NEAR(smallCount, i / 10.0, 1.0);
  }
}

// Guards against credits of removed services that affect new ones.
TEST(WeightedChoice, ResetsCreditsWhenServicesChange)
{
  route splitRoute = MakeRoute("r", "a", "/");
  splitRoute.mServices = { { service_name("x"), 1 }, { service_name("y"), 1 } };
  weighted_choice choice;
  choice.Next(splitRoute);
  splitRoute.mServices = { { service_name("z"), 1 }, { service_name("y"), 0 } };
  EXPECT_EQ(choice.Next(splitRoute), service_name("z"));
  EXPECT_EQ(choice.Next(splitRoute), service_name("z"));
}

} // namespace parsleystair
