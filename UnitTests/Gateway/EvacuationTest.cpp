#include "OwnershipFixture.h"

// Zones that operators evacuate by keys in the store, through whole routers.

namespace parsleystair {

namespace {

/// Each service has targets in the zones asti-a and verona-b, the keyed one
/// also in verona-c.
class evacuation_test : public ownership_test
{
protected:
  /// Time within which an evacuated zone gets no more requests.
  static constexpr duration kEvacuationTime = 5s;

  evacuation_test()
  {
    for (const std::string service : { "plain", "orders", "keyed" }) {
      SetZone(service + "-2", service, "verona-b");
    }
    SetZone("keyed-3", "keyed", "verona-c");
  }

  void SetZone(const std::string& aName,
               const std::string& aService,
               const std::string& aZone)
  {
    mTargets.at(aName)->SetZone(aZone);
    mKv.Put(TargetKey(aName), mTargets.at(aName)->Entry(aService, "ready"));
  }

  void Evacuate(const std::string& aZone)
  {
    mKv.Put("op/evacuate/" + aZone, "{}");
    Note(aZone + " is evacuated");
  }

  void TakeBack(const std::string& aZone)
  {
    mKv.Remove("op/evacuate/" + aZone);
    Note(aZone + " is taken back");
  }

  /// Waits until all gateways know that `aCount` zones are evacuated. Returns
  /// the time that it took.
  duration WaitForEvacuated(size_t aCount)
  {
    const time_point start = MonotonicNow();
    const std::string text =
      "parsleystair_evacuated_zones " + std::to_string(aCount) + ".0";
    EXPECT_TRUE(WaitFor("all know the zones", [&] {
      return std::all_of(
        mGateways.begin(), mGateways.end(), [&](const auto& aGateway) {
          return aGateway.second.mTask->MetricsText().find(text) !=
                 std::string::npos;
        });
    }));
    return MonotonicNow() - start;
  }

  /// Requests of callers that arrived in verona-b.
  [[nodiscard]] size_t Arrivals() const
  {
    return mTargets.at("plain-2")->Arrivals() +
           mTargets.at("orders-2")->Arrivals() +
           mTargets.at("keyed-2")->Arrivals();
  }

  http_result CallKey(const gateway_instance& aGateway, uint32_t aKey)
  {
    http_request request =
      Request("GET", "/history/a", "key-" + std::to_string(++mCalls));
    request.mHeaders.push_back({ "X-Shard-Key", std::to_string(aKey) });
    return Call(aGateway, request);
  }

  http_result CallRoute(const gateway_instance& aGateway,
                        const std::string& aMethod,
                        const std::string& aPath)
  {
    return Call(aGateway,
                Request(aMethod, aPath, "call-" + std::to_string(++mCalls)));
  }

  /// Puts the other targets as far from the routers as verona-b, so that the
  /// zone would get requests, and waits until it has got some.
  void CallUntilArrivals(const gateway_instance& aGateway)
  {
    SetZone("plain-1", "plain", "verona-c");
    SetZone("orders-1", "orders", "verona-c");
    RunFor(1s);
    constexpr int kMaxRounds = 10;
    const auto hasArrivals = [&] {
      return mTargets.at("plain-2")->Arrivals() > 0 &&
             mTargets.at("orders-2")->Arrivals() > 0;
    };
    for (int round = 0; round < kMaxRounds && !hasArrivals(); ++round) {
      CallAll(aGateway);
    }
    EXPECT_TRUE(hasArrivals());
  }

  /// Sends requests of all kinds to a gateway. Returns how many succeeded.
  size_t CallAll(const gateway_instance& aGateway)
  {
    size_t succeeded = 0;
    for (uint32_t key = 0; key <= kLastKey; key += kCallStep) {
      for (const http_result& result :
           { CallRoute(aGateway, "GET", "/read/x"),
             CallRoute(aGateway, "POST", "/order/1"),
             CallKey(aGateway, key) }) {
        succeeded += result.mResponse.mStatus == 200 ? 1 : 0;
      }
    }
    return succeeded;
  }

  void ExpectRefusedAtOnce(const std::function<http_result()>& aCall)
  {
    const time_point start = MonotonicNow();
    EXPECT_EQ(aCall().mResponse.mStatus, 503u);
    EXPECT_LT(MonotonicNow() - start, 150ms);
  }

  static constexpr uint32_t kCallStep = 4369;
  static constexpr size_t kCalls = 3 * (kLastKey / kCallStep + 1);
  size_t mCalls = 0;
};

} // namespace

// Guards against requests to an evacuated zone, keys that stay there, requests
// that fail meanwhile, and a zone that gets none after it was taken back.
TEST_F(evacuation_test, ZoneGetsNoRequestsUntilItIsTakenBack)
{
  const uint16_t port = StartGateway("first").mSettings.mPeers.mPort;
  StartGateway("second", "127.0.0.2", port);
  ASSERT_TRUE(WaitForOwners());
  CallUntilArrivals(mGateways.at("first"));
  const time_point start = MonotonicNow();
  Evacuate("verona-b");
  EXPECT_LT(WaitForEvacuated(1), 2s);
  const size_t before = Arrivals();
  EXPECT_TRUE(WaitForKeysToMove("keyed-2"));
  EXPECT_LT(MonotonicNow() - start, kEvacuationTime);
  for (const auto& [name, gateway] : mGateways) {
    EXPECT_EQ(CallAll(gateway), kCalls) << name;
  }
  EXPECT_EQ(Arrivals(), before);

  TakeBack("verona-b");
  EXPECT_LT(WaitForEvacuated(0), 2s);
  // Leaves only the targets in the zone.
  for (const std::string service : { "plain", "orders" }) {
    mKv.Put(TargetKey(service + "-1"),
            mTargets.at(service + "-1")->Entry(service, "draining"));
  }
  RunFor(1s);
  EXPECT_EQ(CallAll(mGateways.at("first")), kCalls);
  EXPECT_GT(Arrivals(), before);
}

// Guards against a router that sends requests to an evacuated zone because it
// has started since.
TEST_F(evacuation_test, RouterThatStartsKnowsTheZone)
{
  Evacuate("verona-b");
  const gateway_instance& gateway = StartGateway("first");
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(CallRoute(gateway, "GET", "/read/x").mResponse.mStatus, 200u);
  }
  StopGateway("first");
  StartGateway("later");
  for (int i = 0; i < 20; ++i) {
    CallRoute(mGateways.at("later"), "GET", "/read/x");
  }
  WaitForEvacuated(1);
  EXPECT_EQ(Arrivals(), 0u);
  EXPECT_FALSE(IsRecordedOwner("keyed-2"));
}

// Guards against keys that stay in the zone, or have two holders, because the
// leader ended while an owner was releasing them.
TEST_F(evacuation_test, KeysMoveAfterTheLeaderStoppedPartway)
{
  const uint16_t port = StartGateway("first").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  StartGateway("second", "127.0.0.2", port);
  mTargets.at("keyed-2")->SetOrdersHeld(true);
  Evacuate("verona-b");
  WaitForEvacuated(1);
  const size_t before = Arrivals();
  RunFor(200ms);
  EXPECT_TRUE(IsRecordedOwner("keyed-2"));
  StopGateway("first");
  mTargets.at("keyed-2")->SetOrdersHeld(false);
  EXPECT_TRUE(WaitForKeysToMove("keyed-2"));
  EXPECT_EQ(CallAll(mGateways.at("second")), kCalls);
  EXPECT_EQ(Arrivals(), before);
}

// Guards against requests to the zone, and against moves that don't end,
// because the store was silent after the routers had learned of the zone.
TEST_F(evacuation_test, KeysMoveAfterTheStoreWasSilentPartway)
{
  const gateway_instance& gateway = StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  mTargets.at("keyed-2")->SetOrdersHeld(true);
  Evacuate("verona-b");
  WaitForEvacuated(1);
  const size_t before = Arrivals();
  mKv.SetUnresponsive(true);
  mTargets.at("keyed-2")->SetOrdersHeld(false);
  RunFor(3s);
  CallAll(gateway);
  mKv.SetUnresponsive(false);
  EXPECT_TRUE(WaitForKeysToMove("keyed-2"));
  EXPECT_EQ(CallAll(gateway), kCalls);
  EXPECT_EQ(Arrivals(), before);
}

// Guards against a router that doesn't learn of a zone in time because the
// store was silent when the key was written or removed.
TEST_F(evacuation_test, ZonesAreKnownInTimeAfterTheStoreWasSilent)
{
  StartGateway("first");
  for (const size_t count : { 1u, 0u }) {
    RunFor(1s);
    mKv.SetUnresponsive(true);
    RunFor(2s);
    count == 1 ? Evacuate("verona-b") : TakeBack("verona-b");
    RunFor(500ms);
    mKv.SetUnresponsive(false);
    EXPECT_LT(WaitForEvacuated(count), kEvacuationTime);
  }
}

// Guards against a request that waits for an owner in the zone and is then sent
// there, or doesn't learn of the next owner.
TEST_F(evacuation_test, WaitingRequestsGoToTheNextOwner)
{
  const gateway_instance& gateway = StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  uint32_t key = 0;
  while (!mTargets.at("keyed-2")->Holds(key)) {
    key += kKeyStep;
  }
  // The owner rejects requests, so that they wait at the router.
  mTargets.at("keyed-2")->SetFull(true);
  const time_point start = MonotonicNow();
  Evacuate("verona-b");
  bool isServed = false;
  while (!isServed && MonotonicNow() < start + kEvacuationTime) {
    isServed = CallKey(gateway, key).mResponse.mStatus == 200;
  }
  EXPECT_TRUE(isServed);
  EXPECT_EQ(mTargets.at("keyed-2")->Ran().size(), 0u);
  const size_t before = Arrivals();
  EXPECT_EQ(CallAll(gateway), kCalls);
  EXPECT_EQ(Arrivals(), before);
}

// Guards against keys that move from one evacuated zone to the other, and
// against requests that wait when all zones are evacuated.
TEST_F(evacuation_test, SeveralZonesAtOnce)
{
  const gateway_instance& gateway = StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  Evacuate("verona-b");
  Evacuate("verona-c");
  EXPECT_TRUE(WaitForKeysToMove("keyed-2"));
  EXPECT_TRUE(WaitForKeysToMove("keyed-3"));
  EXPECT_EQ(CallAll(gateway), kCalls);

  Evacuate("asti-a");
  WaitForEvacuated(3);
  const size_t before = Arrivals();
  ExpectRefusedAtOnce([&] { return CallRoute(gateway, "GET", "/read/x"); });
  ExpectRefusedAtOnce([&] { return CallKey(gateway, 100); });
  EXPECT_EQ(Arrivals(), before);
  EXPECT_TRUE(mTargets.at("keyed-1")->Holds(100));
  TakeBack("asti-a");
  WaitForEvacuated(2);
  EXPECT_EQ(CallAll(gateway), kCalls);
}

// Guards against requests that wait, or leave the allowed region, when all its
// zones are evacuated.
TEST_F(evacuation_test, AllZonesOfTheAllowedRegionAreRefusedAtOnce)
{
  const std::vector<std::string> regions = { "veneto" };
  mKv.Put(kConfigurationKey,
          EncodeOperatorConfiguration(
            2,
            { { "read", true, "plain", 5s, 2, regions },
              { "history", true, "keyed", 5s, 2, regions } },
            { { "plain" }, { "keyed", true } }));
  const gateway_instance& gateway = StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  EXPECT_EQ(CallRoute(gateway, "GET", "/read/x").mResponse.mStatus, 200u);
  Evacuate("verona-b");
  Evacuate("verona-c");
  WaitForEvacuated(2);
  const size_t before = Arrivals() + mTargets.at("plain-1")->Arrivals();
  ExpectRefusedAtOnce([&] { return CallRoute(gateway, "GET", "/read/x"); });
  ExpectRefusedAtOnce([&] { return CallKey(gateway, 100); });
  EXPECT_EQ(Arrivals() + mTargets.at("plain-1")->Arrivals(), before);
}

// Guards against a zone that stays out of use, or in use, although the store
// has come back from a copy that says otherwise.
TEST_F(evacuation_test, RestoredStoreReplacesTheZones)
{
  StartGateway("first");
  mKv.Save();
  Evacuate("verona-b");
  WaitForEvacuated(1);
  mKv.Restore();
  WaitForEvacuated(0);
  Evacuate("verona-b");
  WaitForEvacuated(1);
  mKv.Save();
  TakeBack("verona-b");
  WaitForEvacuated(0);
  mKv.Restore();
  WaitForEvacuated(1);
}

// Guards against an unknown zone, or a key without one, that stops the router
// or hides the configuration.
TEST_F(evacuation_test, UnknownZonesChangeNothing)
{
  const gateway_instance& gateway = StartGateway("first");
  ASSERT_TRUE(WaitForOwners());
  Evacuate("nowhere");
  mKv.Put("op/evacuate/", "not JSON");
  mKv.Put("op/other", "");
  PutConfiguration(2);
  EXPECT_TRUE(RunUntil([&] {
    const std::string metrics = gateway.mTask->MetricsText();
    return metrics.find("unknown_evacuations_total 2.0") != std::string::npos &&
           metrics.find("configuration_version 2.0") != std::string::npos;
  }));
  EXPECT_EQ(CallAll(gateway), kCalls);
  EXPECT_TRUE(IsRecordedOwner("keyed-2"));
}

} // namespace parsleystair
