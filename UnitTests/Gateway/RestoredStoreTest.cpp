#include "OwnershipFixture.h"

#include <nlohmann/json.hpp>

// A store that comes back from an older copy: what the routers wrote since is
// gone, and revisions are assigned again.

namespace parsleystair {

namespace {

class restored_store_test : public ownership_test
{
protected:
  /// Age at which a router remembers every grant that may still be held.
  const duration mRememberingAge = range_settings().mMaxConfirmationAgeToRenew +
                                   range_settings().MaxFormerGrantLifetime() +
                                   500ms;
  static constexpr size_t kKeys = kLastKey / kKeyStep + 1;

  /// `aBeforeReturn`: called when the store has the copy's content and serves
  /// no router yet.
  void RestoreStore(
    duration aOutage,
    const std::function<void()>& aBeforeReturn = [] {})
  {
    mKv.SetUnavailable(true);
    Note("the store is away");
    RunFor(aOutage);
    mKv.Restore();
    aBeforeReturn();
    mKv.SetUnavailable(false);
    Note("the store is back from the copy");
  }

  /// Writes the entry of a target, as the target does some time after a
  /// restore.
  void Register(const std::string& aTarget, const std::string& aState)
  {
    mKv.Put("servers/" + aTarget, mTargets.at(aTarget)->Entry("keyed", aState));
  }

  [[nodiscard]] size_t UnheldKeys() const
  {
    size_t count = 0;
    for (uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
      count += Holders(key).empty() ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] bool HoldsNoKey(const std::string& aTarget) const
  {
    for (uint32_t key = 0; key <= kLastKey; key += kKeyStep) {
      if (mTargets.at(aTarget)->Holds(key)) {
        return false;
      }
    }
    return true;
  }

  /// Moves the keys of a target to others after the store was copied.
  bool MoveKeysAfterCopy(const std::string& aFrom)
  {
    mKv.Save();
    SetDraining(aFrom);
    return WaitFor("the keys of " + aFrom + " have other owners", [&] {
      return !IsRecordedOwner(aFrom) && HoldsNoKey(aFrom) && UnheldKeys() == 0;
    });
  }

  [[nodiscard]] uint64_t VersionOf(const std::string& aGateway) const
  {
    const std::string dump = mGateways.at(aGateway).mTask->DumpText();
    return nlohmann::json::parse(dump).at("configurationVersion");
  }
};

} // namespace

// Guards against a new leader that takes an old record for the present one and
// grants keys to the owner that has handed them over since.
TEST_F(restored_store_test, RouterThatRemembersNothingWaitsForLostGrants)
{
  StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  ASSERT_TRUE(MoveKeysAfterCopy("keyed-1"));
  StopGateway("first");
  Note("the leader was killed");
  RestoreStore(200ms);
  StartGateway("later");
  ASSERT_TRUE(WaitFor("the new router leads", [&] { return Leads("later"); }));
  ASSERT_TRUE(WaitFor("the lost grants have expired",
                      [&] { return UnheldKeys() == kKeys; }));
  ASSERT_TRUE(WaitFor("each key is held", [&] { return UnheldKeys() == 0; }));
}

// Guards against a leader whose writes fail for good after a restore, and
// against keys that lose their owner during it.
TEST_F(restored_store_test, LeaderKeepsKeysHeldAndMovesThemAfterARestore)
{
  const uint16_t firstPort = StartGateway("first").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  StartGateway("second", "127.0.0.2", firstPort);
  RunFor(mRememberingAge);
  ASSERT_TRUE(MoveKeysAfterCopy("keyed-1"));
  size_t unheld = 0;
  timer check;
  check.StartRepeating(mLoop, 20ms, [&] { unheld += UnheldKeys(); });
  RestoreStore(500ms);
  RunFor(5s);
  EXPECT_EQ(unheld, 0u);
  check.Cancel();
  Register("keyed-1", "ready");
  SetDraining("keyed-2");
  EXPECT_TRUE(WaitFor("keyed-2 has handed its keys over", [&] {
    return HoldsNoKey("keyed-2") && UnheldKeys() == 0;
  }));
}

// Guards against a router that follows a leader, remembers what the store has
// lost, and grants keys by the old record when it is elected.
TEST_F(restored_store_test, SuccessorContinuesFromTheLostRecord)
{
  const uint16_t firstPort = StartGateway("first").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  StartGateway("second", "127.0.0.2", firstPort);
  RunFor(mRememberingAge);
  ASSERT_TRUE(MoveKeysAfterCopy("keyed-1"));
  RunFor(500ms);
  StopGateway("first");
  Note("the leader was killed");
  RestoreStore(200ms);
  ASSERT_TRUE(WaitFor("the second leads", [&] { return Leads("second"); }));
  ASSERT_TRUE(WaitFor("each key is held", [&] { return UnheldKeys() == 0; }));
  EXPECT_TRUE(HoldsNoKey("keyed-1"));
}

// Guards against a write that was decided before a restore, is executed after
// it and so has a higher revision than the records that routers remember.
TEST_F(restored_store_test, LateWriteOfTheLostEraReplacesNoRememberedRecord)
{
  const uint16_t firstPort = StartGateway("first").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  StartGateway("second", "127.0.0.2", firstPort);
  RunFor(mRememberingAge);
  const std::string late = mKv.Get(kRecordItem);
  ASSERT_TRUE(MoveKeysAfterCopy("keyed-1"));
  RestoreStore(200ms, [&] {
    constexpr int kOtherChanges = 20;
    for (int i = 0; i < kOtherChanges; ++i) {
      Register("keyed-1", "ready");
    }
    mKv.Put(kRecordItem, late);
  });
  RunFor(2s);
  EXPECT_TRUE(HoldsNoKey("keyed-1"));
  EXPECT_EQ(UnheldKeys(), 0u);
}

// Guards against a router that starts before the operator has written the lost
// configuration again, and serves an older one.
TEST_F(restored_store_test, RouterThatStartsAfterARestoreGetsLostConfiguration)
{
  const uint16_t firstPort = StartGateway("first").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  mKv.Save();
  PutConfiguration(3);
  ASSERT_TRUE(
    WaitFor("the change is in force", [&] { return VersionOf("first") == 3; }));
  RestoreStore(200ms);
  StartGateway("later", "127.0.0.2", firstPort);
  EXPECT_TRUE(WaitFor("the new router has the lost configuration",
                      [&] { return VersionOf("later") == 3; }));
  EXPECT_EQ(VersionOf("first"), 3u);
}

// Guards against requests to a target that said that it is draining, because
// the copy of the store is from the time before.
TEST_F(restored_store_test, DrainingTargetGetsNoRequestsAfterARestore)
{
  gateway_instance& gateway = StartGateway("first");
  mKv.Save();
  mKv.Put("servers/plain-1",
          mTargets.at("plain-1")->Entry("plain", "draining"));
  mKv.Remove("servers/plain-2");
  AddTarget("plain-3", "plain", false);
  RunFor(1s);
  RestoreStore(200ms);
  RunFor(500ms);
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/a", id)).mResponse.mStatus,
              200u);
  }
  EXPECT_EQ(mTargets.at("plain-1")->Ran().size(), 0u);
  EXPECT_EQ(mTargets.at("plain-2")->Ran().size(), 0u);
}

} // namespace parsleystair
