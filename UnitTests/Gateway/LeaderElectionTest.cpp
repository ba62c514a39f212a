#include "Parsleystair/Gateway/LeaderElection.h"

#include "GatewayFixture.h"

namespace parsleystair {

namespace {

election_settings Settings(const std::string& aName,
                           uint16_t aPort,
                           duration aCampaignDelay)
{
  election_settings settings;
  settings.mLeaderKey = "leader";
  settings.mTermsKey = "terms";
  settings.mSelf.mVm = vm_name(aName);
  settings.mSelf.mIncarnation = incarnation(aPort);
  settings.mSelf.mHost = "127.0.0.1";
  settings.mSelf.mPort = aPort;
  settings.mCampaignDelay = aCampaignDelay;
  return settings;
}

} // namespace

// Guards against the election of a small machine while larger ones are
// available: a small machine can't renew all grants in time.
TEST_F(gateway_test, RouterWithoutCampaignDelayLeads)
{
  platform::kv_store store(mLoop, "127.0.0.1", mKv.Port());
  leader_election small(mLoop, store, Settings("small", 1, 200ms), 1);
  leader_election large(mLoop, store, Settings("large", 2, 0ms), 2);
  const auto ignoreChange = [] {};
  for (leader_election* election : { &small, &large }) {
    election->OnChange(ignoreChange);
    election->OnLeadershipConfirmed(ignoreChange);
    election->OnFormerLeadersGone(ignoreChange);
    election->HandleKey(std::nullopt);
  }
  RunFor(500ms);
  EXPECT_TRUE(large.IsLeading());
  EXPECT_FALSE(small.IsLeading());
}

} // namespace parsleystair
