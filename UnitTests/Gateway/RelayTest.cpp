#include "GatewayFixture.h"
#include "Parsleystair/Core/Error.h"

#include <gmock/gmock.h>

namespace parsleystair {

namespace {

const failure_domain_name kDomain("asti-a");

router_list Routers(size_t aCount, const std::string& aDomain = "asti-a")
{
  router_list routers;
  for (size_t index = 1; index <= aCount; ++index) {
    routers.push_back({ "10.0.0." + std::to_string(index),
                        failure_domain_name(aDomain),
                        false });
  }
  return routers;
}

item_change Change(const std::string& aKey, uint64_t aRevision)
{
  return { aKey, "v", store_revision(aRevision) };
}

watch_reply Reply(std::vector<item_change> aChanges, uint64_t aRevision)
{
  return { call_outcome::kDone,
           std::move(aChanges),
           store_revision(aRevision) };
}

} // namespace

// Guards against routers of one failure domain that choose different relays, or
// a relay in another failure domain.
TEST(RelayChoice, RoutersOfAFailureDomainChooseTheSameRelay)
{
  router_list routers = Routers(8);
  const router_list others = Routers(20, "verona-b");
  routers.insert(routers.end(), others.begin(), others.end());
  std::set<std::string> chosen;
  size_t relays = 0;
  for (const router_entry& self : Routers(8)) {
    relay_choice choice(self.mHost, kDomain);
    choice.SetRouters(routers);
    const auto current = choice.Current(time_point());
    chosen.insert(current.value_or(self.mHost));
    relays += choice.IsRelay(time_point()) ? 1 : 0;
  }
  EXPECT_EQ(chosen.size(), 1U);
  EXPECT_EQ(relays, 1U);
}

// Guards against a relay in a failure domain where it costs more store calls
// than it saves.
TEST(RelayChoice, SmallFailureDomainsUseNoRelay)
{
  relay_choice choice("10.0.0.1", kDomain);
  choice.SetRouters(Routers(5));
  EXPECT_FALSE(choice.Current(time_point()));
  EXPECT_FALSE(choice.IsRelay(time_point()));
}

// Guards against a relay whose link is too small to send a large configuration
// to its failure domain in time, although there are larger machines.
TEST(RelayChoice, PrefersLargeMachines)
{
  for (size_t large = 0; large < 8; ++large) {
    router_list routers = Routers(8);
    routers[large].mIsLarge = true;
    relay_choice choice("10.0.0.99", kDomain);
    choice.SetRouters(routers);
    EXPECT_EQ(choice.Current(time_point()), routers[large].mHost);
    choice.HandleFailure(routers[large].mHost, time_point());
    EXPECT_NE(choice.Current(time_point()), routers[large].mHost);
  }
}

// Guards against a lost relay that is chosen again at once, or never again.
TEST(RelayChoice, SkipsAFailedRouterDuringItsCooldown)
{
  relay_choice choice("10.0.0.99", kDomain);
  choice.SetRouters(Routers(8));
  const time_point start = time_point(100s);
  const std::string first = *choice.Current(start);
  choice.HandleFailure(first, start);
  EXPECT_NE(choice.Current(start), first);
  EXPECT_NE(choice.Current(start + 5s), first);
  EXPECT_EQ(choice.Current(start + 6s), first);
}

// Guards against a reply that omits changes after a gap in the relay's own
// watches, or after the relay has dropped its oldest changes.
TEST(WatchHistory, CoversOnlyContiguousChanges)
{
  watch_history history;
  const time_point now = time_point(100s);
  EXPECT_FALSE(history.Covers(store_revision(5), now));
  history.HandleReply(store_revision(5), Reply({ Change("a", 7) }, 8), now);
  EXPECT_TRUE(history.Covers(store_revision(5), now));
  EXPECT_FALSE(history.Covers(store_revision(4), now));
  EXPECT_EQ(history.ChangesAfter(store_revision(5)).mChanges.size(), 1U);
  EXPECT_TRUE(history.ChangesAfter(store_revision(7)).mChanges.empty());
  EXPECT_EQ(history.ChangesAfter(store_revision(5)).mRevision,
            store_revision(8));

  history.HandleReply(store_revision(20), Reply({ Change("a", 21) }, 21), now);
  EXPECT_FALSE(history.Covers(store_revision(8), now));

  std::vector<item_change> many;
  for (uint64_t revision = 22; revision < 3022; ++revision) {
    many.push_back(Change("a" + std::to_string(revision), revision));
  }
  history.HandleReply(store_revision(21), Reply(many, 3021), now);
  EXPECT_FALSE(history.Covers(store_revision(21), now));
  EXPECT_TRUE(history.Covers(store_revision(3000), now));
  EXPECT_EQ(history.ChangesAfter(store_revision(3000)).mChanges.size(), 21U);
}

// Guards against a relay that is cut off from the store and still responds as
// if nothing had changed.
TEST(WatchHistory, CoversNothingWithoutARecentReply)
{
  watch_history history;
  const time_point now = time_point(100s);
  history.HandleReply(store_revision(5), Reply({}, 8), now);
  EXPECT_TRUE(history.Covers(store_revision(8), now + 1500ms));
  EXPECT_FALSE(history.Covers(store_revision(8), now + 1501ms));
  history.HandleReply(store_revision(8), Reply({}, 8), now + 2s);
  history.HandleFailure();
  EXPECT_FALSE(history.Covers(store_revision(8), now + 2s));
}

// Guards against a relay that alters the values that it passes on.
TEST(WatchHistory, EncodedReplyRoundTrips)
{
  watch_reply reply = Reply({ { "k", std::string("\xff\0\"x", 4), {} } }, 9);
  reply.mChanges[0].mRevision = store_revision(9);
  reply.mChanges.push_back({ "gone", std::nullopt, store_revision(8) });
  const aged_watch_reply decoded =
    DecodeWatchReply(EncodeWatchReply({ reply, 20ms }));
  EXPECT_EQ(decoded.mAge, 20ms);
  const watch_reply& read = decoded.mReply;
  EXPECT_EQ(read.mChanges, reply.mChanges);
  EXPECT_EQ(read.mRevision, reply.mRevision);
  EXPECT_THROW(DecodeWatchReply("{}"), parse_error);
}

namespace {

/// Seven gateways of one failure domain, each at its own loopback address.
class relay_test : public gateway_test
{
protected:
  static constexpr size_t kGateways = 7;

  relay_test()
  {
    const uint16_t port = FreePort();
    for (size_t index = 1; index <= kGateways; ++index) {
      const std::string number = std::to_string(index);
      StartGateway("g" + number, "127.0.0.1" + number, port);
    }
    RunUntil([&] {
      return CountGatewaysWith("\"relay\": \"127") == kGateways - 1 &&
             !RelayName().empty();
    });
  }

  /// Number of gateways whose state dump contains `aText`.
  size_t CountGatewaysWith(const std::string& aText)
  {
    return static_cast<size_t>(
      std::count_if(mGateways.begin(), mGateways.end(), [&](auto& aGateway) {
        return aGateway.second.mTask->DumpText().find(aText) !=
               std::string::npos;
      }));
  }

  /// Name of the gateway that is the relay; empty if there is none.
  std::string RelayName()
  {
    for (const auto& [name, gateway] : mGateways) {
      if (gateway.mTask->DumpText().find("\"isRelay\": true") !=
          std::string::npos) {
        return name;
      }
    }
    return "";
  }
};

} // namespace

// Guards against a number of store calls that grows with the product of routers
// and changes.
TEST_F(relay_test, RelayReducesStoreCallsPerChange)
{
  ASSERT_FALSE(RelayName().empty());
  RunFor(4s);
  const uint64_t before = mKv.Calls();
  constexpr uint32_t kChanges = 10;
  for (uint32_t change = 1; change <= kChanges; ++change) {
    PutConfiguration(1 + change);
    RunFor(200ms);
  }
  RunUntil([&] {
    return CountGatewaysWith("\"configurationVersion\": 11") == kGateways;
  });
  EXPECT_EQ(CountGatewaysWith("\"configurationVersion\": 11"), kGateways);
  EXPECT_LT(mKv.Calls() - before, kChanges * kGateways / 2);
}

// Guards against routers behind a relay that don't learn in time which zones
// are evacuated, also those that start meanwhile.
TEST_F(relay_test, EvacuatedZonesArriveThroughTheRelay)
{
  ASSERT_FALSE(RelayName().empty());
  EXPECT_TRUE(RunUntil([&] { return !mKv.Get(kRoutersKey).empty(); }));
  const std::string zone = "\"verona-b\"";
  const auto waitFor = [&](size_t aCount) {
    const time_point start = MonotonicNow();
    EXPECT_TRUE(RunUntil([&] { return CountGatewaysWith(zone) == aCount; }));
    EXPECT_LT(MonotonicNow() - start, 2s);
  };
  mKv.Put("op/evacuate/verona-b", "{}");
  waitFor(kGateways);
  const uint16_t port = mGateways.at("g1").mSettings.mPeers.mPort;
  StartGateway("new", "127.0.0.90", port);
  EXPECT_EQ(CountGatewaysWith(zone), kGateways + 1);
  mKv.Remove("op/evacuate/verona-b");
  waitFor(0);
}

// Guards against a store, and a link to it, that all routers load with the
// whole configuration and all targets when they start together.
TEST_F(relay_test, StartingRoutersReadFromTheirRelay)
{
  ASSERT_FALSE(RelayName().empty());
  EXPECT_TRUE(RunUntil([&] { return !mKv.Get(kRoutersKey).empty(); }));
  const uint16_t port = mGateways.at("g1").mSettings.mPeers.mPort;
  constexpr uint64_t kStarts = 5;
  uint64_t calls = 0;
  for (uint64_t start = 1; start <= kStarts; ++start) {
    gateway_instance& added = StartGateway("new-" + std::to_string(start),
                                           "127.0.0.9" + std::to_string(start),
                                           port);
    calls += added.mStoreClient->Counters().mReads;
    EXPECT_NE(added.mTask->DumpText().find("\"configurationVersion\": 1,"),
              std::string::npos);
  }
  // Each reads the leader and the list of routers itself.
  EXPECT_EQ(calls, kStarts);
}

// Guards against a router that starts with a target that has left, or with a
// route that was withdrawn, because its relay is behind the store.
TEST_F(relay_test, StartingRouterGetsNothingThatWasRemoved)
{
  const std::string relay = RelayName();
  ASSERT_FALSE(relay.empty());
  EXPECT_TRUE(RunUntil([&] { return !mKv.Get(kRoutersKey).empty(); }));
  // The relay's watches get no reply any more.
  mGateways.at(relay).mStore->SetFaults(
    [](store_call aCall, const std::string&) {
      return aCall == store_call::kWatch ? store_fault::kHeld
                                         : store_fault::kNone;
    });
  RunFor(1200ms);
  mKv.Remove(TargetKey("plain-1"));
  PutConfiguration(2);
  const uint16_t port = mGateways.at(relay).mSettings.mPeers.mPort;
  RunFor(1600ms);
  gateway_instance& added = StartGateway("new", "127.0.0.90", port);
  const std::string dump = added.mTask->DumpText();
  EXPECT_NE(dump.find("\"configurationVersion\": 2,"), std::string::npos);
  EXPECT_EQ(dump.find("\"plain-1\""), std::string::npos);
  EXPECT_NE(dump.find("\"plain-2\""), std::string::npos);
}

// Guards against a store that all routers call again and again while it is
// away, and against routers that take their relay for lost with the store.
TEST_F(relay_test, StoreThatIsAwayGetsFewCalls)
{
  const std::string relay = RelayName();
  ASSERT_FALSE(relay.empty());
  RunFor(4s);
  constexpr uint64_t kSeconds = 6;
  constexpr uint64_t kPrefixes = 3;
  uint32_t version = 1;
  for (const bool refuses : { true, false }) {
    SCOPED_TRACE(refuses);
    const auto setAway = [&](bool aAway) {
      refuses ? mKv.SetUnavailable(aAway) : mKv.SetUnresponsive(aAway);
    };
    setAway(true);
    RunFor(3s);
    const uint64_t before = mKv.Calls();
    RunFor(duration(1s) * kSeconds);
    // One call of each router and prefix in two seconds, and the relay's.
    const uint64_t relayCalls = kPrefixes * kSeconds * 4;
    EXPECT_LT(mKv.Calls() - before,
              kPrefixes * kGateways * kSeconds / 2 + relayCalls);
    EXPECT_EQ(RelayName(), relay);
    setAway(false);
    PutConfiguration(++version);
    const time_point start = MonotonicNow();
    const std::string text =
      "\"configurationVersion\": " + std::to_string(version) + ",";
    EXPECT_TRUE(RunUntil([&] { return CountGatewaysWith(text) == kGateways; }));
    EXPECT_LT(MonotonicNow() - start, 5s);
  }
}

// Guards against routers that go on with an old configuration although the
// store, which was silent, and their relay have the new one.
TEST_F(relay_test, ChangesArriveInTimeAfterTheStoreWasSilent)
{
  ASSERT_FALSE(RelayName().empty());
  RunFor(4s);
  // The smallest time within which the users' platform asks for a change.
  constexpr duration kMaxDelay = 2s;
  uint32_t version = 1;
  for (const duration silence : { 700ms, 1000ms, 1700ms, 3100ms, 6000ms }) {
    SCOPED_TRACE(ToSeconds(silence));
    mKv.SetUnresponsive(true);
    RunFor(silence);
    mKv.SetUnresponsive(false);
    PutConfiguration(++version);
    const time_point start = MonotonicNow();
    const std::string text =
      "\"configurationVersion\": " + std::to_string(version) + ",";
    EXPECT_TRUE(RunUntil([&] { return CountGatewaysWith(text) == kGateways; }));
    EXPECT_LT(MonotonicNow() - start, kMaxDelay);
    RunFor(1200ms);
  }
}

// Guards against routers that miss changes because the store turns away their
// relay alone.
TEST_F(relay_test, ChangesArriveInTimeWhileTheStoreTurnsTheRelayAway)
{
  const std::string relay = RelayName();
  ASSERT_FALSE(relay.empty());
  constexpr duration kMaxDelay = 2s;
  uint32_t version = 1;
  for (const store_fault fault :
       { store_fault::kRefused, store_fault::kReplyLost }) {
    SCOPED_TRACE(static_cast<int>(fault));
    mGateways.at(relay).mStore->SetFaults(
      [fault](store_call, const std::string&) { return fault; });
    for (const duration pause : { 100ms, 700ms, 900ms }) {
      RunFor(pause);
      PutConfiguration(++version);
      const time_point start = MonotonicNow();
      const std::string text =
        "\"configurationVersion\": " + std::to_string(version) + ",";
      EXPECT_TRUE(
        RunUntil([&] { return CountGatewaysWith(text) >= kGateways - 1; }));
      EXPECT_LT(MonotonicNow() - start, kMaxDelay);
    }
    mGateways.at(relay).mStore->SetFaults(
      [](store_call, const std::string&) { return store_fault::kNone; });
    mGateways.at(relay).mStore->ReleaseAll();
    RunFor(6s);
  }
}

// Guards against routers that miss changes after their relay has stopped.
TEST_F(relay_test, ChangesArriveInTimeAfterTheRelayStops)
{
  const std::string relay = RelayName();
  ASSERT_FALSE(relay.empty());
  StopGateway(relay);
  PutConfiguration(2);
  const time_point start = MonotonicNow();
  RunUntil([&] {
    return CountGatewaysWith("\"configurationVersion\": 2,") == kGateways - 1;
  });
  EXPECT_LT(MonotonicNow() - start, 2s);
  EXPECT_TRUE(RunUntil([&] { return !RelayName().empty(); }));
}

// Guards against a relay that is frozen, or cut off from the store, and delays
// changes for longer than they may take to come into effect.
TEST_F(gateway_test, ChangesArriveInTimeWithASilentRelay)
{
  http_server silent(mLoop, {}, [](exchange_id, const http_request&) {});
  silent.Listen("127.0.0.77", 0);
  http_server peers(mLoop, {}, [](exchange_id, const http_request&) {});
  relay_choice relays("127.0.0.88", kDomain);
  router_list routers = Routers(5);
  for (router_entry& router : routers) {
    relays.HandleFailure(router.mHost, MonotonicNow());
  }
  routers.push_back({ "127.0.0.77", kDomain, false });
  relays.SetRouters(routers);
  ASSERT_EQ(relays.Current(MonotonicNow()), "127.0.0.77");

  platform::kv_store direct(mLoop, "127.0.0.1", mKv.Port());
  relayed_store store(mLoop, direct, relays, peers, silent.Port());
  std::optional<prefix_reply> read;
  store.ReadPrefix("op/", [&](const prefix_reply& aReply) { read = aReply; });
  RunUntil([&] { return read.has_value(); });
  PutConfiguration(2);
  std::optional<watch_reply> changes;
  const time_point start = MonotonicNow();
  store.Watch("op/", read->mRevision, 20s, [&](const watch_reply& aReply) {
    changes = aReply;
  });
  RunUntil([&] { return changes.has_value(); });
  EXPECT_LT(MonotonicNow() - start, 2s);
  ASSERT_EQ(changes->mChanges.size(), 1U);
  EXPECT_FALSE(relays.Current(MonotonicNow()));
}

// Guards against a router that never starts because its relay accepts the read
// and sends nothing.
TEST_F(gateway_test, ReadsTheStoreWithASilentRelay)
{
  http_server silent(mLoop, {}, [](exchange_id, const http_request&) {});
  silent.Listen("127.0.0.77", 0);
  http_server peers(mLoop, {}, [](exchange_id, const http_request&) {});
  relay_choice relays("127.0.0.88", kDomain);
  router_list routers = Routers(5);
  routers.push_back({ "127.0.0.77", kDomain, true });
  relays.SetRouters(routers);
  platform::kv_store direct(mLoop, "127.0.0.1", mKv.Port());
  relayed_store store(mLoop, direct, relays, peers, silent.Port());
  std::optional<prefix_reply> read;
  const time_point start = MonotonicNow();
  store.ReadPrefix("op/", [&](const prefix_reply& aReply) { read = aReply; });
  EXPECT_TRUE(RunUntil([&] { return read.has_value(); }));
  EXPECT_LT(MonotonicNow() - start, 4s);
  EXPECT_EQ(read->mOutcome, call_outcome::kDone);
  EXPECT_EQ(read->mItems.size(), 1u);
}

// Guards against reports that lose the load or the router's failure domain.
TEST(PeerReport, EncodedReportRoundTrips)
{
  peer_report report;
  report.mRouter = { "10.0.0.7", kDomain, true };
  report.mKnownRouters = UINT64_MAX;
  report.mLoad[service_name("s")].mCounts[key_bucket(7)] = 3;
  EXPECT_EQ(DecodePeerReport(EncodePeerReport(report)), report);
  EXPECT_THROW(DecodePeerReport("[]"), parse_error);
  router_list sorted = Routers(8);
  sorted[3].mIsLarge = true;
  std::sort(sorted.begin(), sorted.end());
  EXPECT_EQ(DecodeRouterList(EncodeRouterList(sorted)), sorted);
}

} // namespace parsleystair
