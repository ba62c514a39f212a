#include "Parsleystair/Gateway/LeaderElection.h"

#include "GatewayFixture.h"

namespace parsleystair {

namespace {

leader_entry Entry(const std::string& aName, uint64_t aIncarnation)
{
  return { vm_name(aName), incarnation(aIncarnation), "127.0.0.1", 1 };
}

} // namespace

// Guards against the election of a small machine while larger ones are
// available: a small machine can't renew all grants in time.
TEST_F(gateway_test, RouterWithoutCampaignDelayLeads)
{
  platform::kv_store store(mLoop, "127.0.0.1", mKv.Port());
  leader_election small(mLoop, store, "leader", Entry("small", 1), 200ms, 1);
  leader_election large(mLoop, store, "leader", Entry("large", 2), 0ms, 2);
  const auto ignoreChange = [] {};
  for (leader_election* election : { &small, &large }) {
    election->OnChange(ignoreChange);
    election->OnLeadershipConfirmed([](time_point) {});
    election->HandleKey(std::nullopt);
  }
  RunFor(500ms);
  EXPECT_TRUE(large.IsLeading());
  EXPECT_FALSE(small.IsLeading());
}

} // namespace parsleystair
