#include "Parsleystair/Dump/RouterReport.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace parsleystair {

// Guards against an operator's question about a key whose bytes are not UTF-8:
// keys are paths of callers and may have any bytes. The exception of the JSON
// library ended the router.
TEST(RouterReport, OwnerOfAKeyThatIsNotUtf8IsTold)
{
  configuration settings;
  settings.mServices.emplace_back().mName = service_name("menus");
  router_report report;
  report.mConfiguration =
    std::make_shared<const configuration>(std::move(settings));
  std::string text;
  ASSERT_NO_THROW(text = OwnerJson(report, service_name("menus"), "a\xff"));
  const nlohmann::json owner = nlohmann::json::parse(text);
  EXPECT_EQ(owner["key"], "a\xef\xbf\xbd");
  EXPECT_EQ(owner["slot"],
            SlotOf(report.mConfiguration->mServices[0], "a\xff").Value());
}

// Guards against the same for the names in the whole state.
TEST(RouterReport, StateWithNamesThatAreNotUtf8IsTold)
{
  router_report report;
  report.mMembers.emplace_back().mVm.mName = vm_name("vm\xff");
  EXPECT_TRUE(nlohmann::json::accept(DumpJson(report)));
  EXPECT_TRUE(nlohmann::json::accept(StatusJson(report)));
}

} // namespace parsleystair
