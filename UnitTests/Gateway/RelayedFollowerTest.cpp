#include "GatewayFixture.h"
#include "Parsleystair/Gateway/PrefixFollower.h"
#include "Parsleystair/Gateway/RelayedStore.h"

namespace parsleystair {

namespace {

constexpr const char* kPrefix = "t/";
constexpr const char* kItem = "t/x";
constexpr uint32_t kUnavailable = 503;

/// Keeps the items of a prefix, as the tasks of a gateway do.
class item_listener : public prefix_listener
{
public:
  std::map<std::string, std::string> mItems;

  void HandleItems(const std::vector<stored_item>& aItems) override
  {
    mItems.clear();
    for (const stored_item& item : aItems) {
      mItems[item.mKey] = item.mValue;
    }
  }
  void HandleChange(const item_change& aChange) override
  {
    if (aChange.mValue) {
      mItems[aChange.mKey] = *aChange.mValue;
    } else {
      mItems.erase(aChange.mKey);
    }
  }
  void HandleConfirmed() override {}
  void HandleLost() override {}
  void HandleBack() override {}
  void HandleGap() override {}
};

/// A follower whose relays have no recent reply of the store. `mFirst` is the
/// preferred relay.
class relayed_follower_test : public gateway_test
{
protected:
  static constexpr const char* kFirstHost = "127.0.0.77";
  static constexpr const char* kSecondHost = "127.0.0.78";

  relayed_follower_test()
    : mFirst(mLoop,
             {},
             [this](exchange_id aExchange, const http_request& aRequest) {
               HandleRequest(aExchange, aRequest);
             })
    , mSecond(mLoop,
              {},
              [this](exchange_id aExchange, const http_request&) {
                mSecond.Respond(aExchange, { kUnavailable, {}, "" });
              })
    , mPeers(mLoop, {}, [](exchange_id, const http_request&) {})
    , mRelays("127.0.0.88", mDomain)
    , mDirect(mLoop, "127.0.0.1", mKv.Port())
    , mStore(mLoop, mDirect)
  {
    mFirst.Listen(kFirstHost, 0);
    mSecond.Listen(kSecondHost, mFirst.Port());
    mRelayed = std::make_unique<relayed_store>(
      mLoop, mStore, mRelays, mPeers, mFirst.Port());
    mFollower = std::make_unique<prefix_follower>(
      mLoop, *mRelayed, kPrefix, mListener, 300ms, 7);
    mKv.Put(kItem, "first");
    mFollower->Start();
    EXPECT_TRUE(RunUntil([&] { return mListener.mItems.contains(kItem); }));
  }

  /// Makes the follower use relays from now on.
  void AddRelays()
  {
    router_list routers{ { kFirstHost, mDomain, true },
                         { kSecondHost, mDomain, false } };
    for (int index = 1; index <= 5; ++index) {
      const std::string host = "10.0.0." + std::to_string(index);
      routers.push_back({ host, mDomain, false });
      mRelays.HandleFailure(host, MonotonicNow() + 1h);
    }
    mRelays.SetRouters(routers);
    ASSERT_EQ(mRelays.Current(MonotonicNow()), kFirstHost);
    RunFor(350ms);
  }

  void HandleRequest(exchange_id aExchange, const http_request& aRequest)
  {
    if (aRequest.mPath == "/watch") {
      mFirst.Respond(aExchange, mResponse);
      return;
    }
    ++mReads;
    if (!mSnapshot.empty()) {
      mFirst.Respond(aExchange, { 200, {}, mSnapshot });
    }
  }

  [[nodiscard]] std::string Value() { return mListener.mItems[kItem]; }

  const failure_domain_name mDomain{ "asti-a" };
  http_server mFirst;
  http_server mSecond;
  http_server mPeers;
  relay_choice mRelays;
  platform::kv_store mDirect;
  unreliable_store mStore;
  std::unique_ptr<relayed_store> mRelayed;
  item_listener mListener;
  std::unique_ptr<prefix_follower> mFollower;
  /// What the first relay responds to a watch.
  http_response mResponse{ kUnavailable, {}, "" };
  /// What the first relay responds to a read; it doesn't respond if empty.
  std::string mSnapshot;
  size_t mReads = 0;
};

} // namespace

// Guards against a follower that waits for ever for a read at a relay that was
// passed over meanwhile.
TEST_F(relayed_follower_test, ReadSurvivesAChangeOfTheRelay)
{
  AddRelays();
  mStore.SetFaults([](store_call aCall, const std::string&) {
    return aCall == store_call::kWatch ? store_fault::kHeld
                                       : store_fault::kNone;
  });
  ASSERT_TRUE(RunUntil([&] { return mStore.HeldCount() > 0; }));
  mFollower->HandleEraChange();
  ASSERT_TRUE(RunUntil([&] { return mReads > 0; }));
  // As the follower of another prefix does.
  mRelays.HandleFailure(kFirstHost, MonotonicNow());
  RunFor(1s);
  mStore.SetFaults(nullptr);
  mStore.ReleaseAll();
  mKv.Put(kItem, "second");
  EXPECT_TRUE(RunUntil([&] { return Value() == "second"; }));
}

// Guards against a target that left and comes back with a reply that was on its
// way when the follower read the present state.
TEST_F(relayed_follower_test, LateReplyChangesNothing)
{
  AddRelays();
  size_t watches = 0;
  mStore.SetFaults([&](store_call aCall, const std::string&) {
    watches += aCall == store_call::kWatch ? 1 : 0;
    return aCall == store_call::kWatch && watches > 1 ? store_fault::kReplyHeld
                                                      : store_fault::kNone;
  });
  ASSERT_TRUE(RunUntil([&] { return watches > 1; }));
  RunFor(20ms);
  mKv.Put(kItem, "older");
  ASSERT_TRUE(RunUntil([&] { return mStore.HeldCount() > 0; }));
  mKv.Put(kItem, "newest");
  std::optional<prefix_reply> newest;
  mDirect.ReadPrefix(kPrefix,
                     [&](const prefix_reply& aReply) { newest = aReply; });
  ASSERT_TRUE(RunUntil([&] { return newest.has_value(); }));
  mSnapshot = EncodePrefixReply(*newest);
  mFollower->HandleEraChange();
  ASSERT_TRUE(RunUntil([&] { return Value() == "newest"; }));
  RunFor(50ms);
  mStore.SetFaults(nullptr);
  mStore.ReleaseAll();
  RunFor(2s);
  EXPECT_EQ(Value(), "newest");
}

// Guards against a watch that is lost because an earlier watch of the same
// revision, which its follower has given up, gets the reply.
TEST_F(relayed_follower_test, ReadWithoutChangesKeepsTheNextWatch)
{
  item_listener listener;
  prefix_follower follower(mLoop, *mRelayed, "u/", listener, 20s, 8);
  mKv.Put("u/x", "first");
  follower.Start();
  ASSERT_TRUE(RunUntil([&] { return listener.mItems["u/x"] == "first"; }));
  RunFor(100ms);
  follower.HandleEraChange();
  RunFor(100ms);
  mKv.Put("u/x", "second");
  RunFor(1s);
  EXPECT_EQ(listener.mItems["u/x"], "second");
}

// Guards against routers that pass over their relay, and ask one that doesn't
// ask the store, because the store became silent for all after one reply.
TEST_F(relayed_follower_test, SilentStoreIsNoFailureOfTheRelay)
{
  AddRelays();
  const uint64_t before = mDirect.Counters().mDone;
  ASSERT_TRUE(RunUntil([&] { return mDirect.Counters().mDone > before; }));
  mKv.SetUnresponsive(true);
  RunFor(3s);
  EXPECT_EQ(mRelays.Current(MonotonicNow()), kFirstHost);

  mKv.SetUnresponsive(false);
  EXPECT_TRUE(
    RunUntil([&] { return mRelays.Current(MonotonicNow()) == kSecondHost; }));
}

// Guards against routers that pass over their relay because the store has
// replied to them before and after a silence.
TEST_F(relayed_follower_test, SilenceBetweenRepliesIsNoFailureOfTheRelay)
{
  AddRelays();
  const uint64_t before = mDirect.Counters().mDone;
  ASSERT_TRUE(RunUntil([&] { return mDirect.Counters().mDone > before; }));
  mKv.SetUnresponsive(true);
  RunFor(3s);
  mKv.SetUnresponsive(false);
  const uint64_t silent = mDirect.Counters().mDone;
  ASSERT_TRUE(RunUntil([&] { return mDirect.Counters().mDone > silent; }));
  RunFor(400ms);
  EXPECT_EQ(mRelays.Current(MonotonicNow()), kFirstHost);
}

// Guards against calls to the store for changes that arrive in time, in a burst
// of changes that another router hears of first.
TEST_F(relayed_follower_test, ChangesInABurstAreNotLate)
{
  constexpr int kChanges = 30;
  for (int index = 0; index < kChanges; ++index) {
    mKv.Put(kItem, "change-" + std::to_string(index));
    std::optional<prefix_reply> known;
    mDirect.ReadPrefix(kPrefix,
                       [&](const prefix_reply& aReply) { known = aReply; });
    ASSERT_TRUE(RunUntil([&] { return known.has_value(); }));
    mFollower->HandleKnownChange(known->mRevision);
    RunFor(100ms);
  }
  EXPECT_EQ(mFollower->LateChanges(), 0U);
}

// Guards against routers that wait for a relay which waits for another one,
// after a call to the store got no reply.
TEST_F(relayed_follower_test, RouterWithARelayIsNoRelay)
{
  mResponse.mHeaders = { { "Not-A-Relay", "1" } };
  AddRelays();
  mKv.SetUnresponsive(true);
  RunFor(1500ms);
  // Some calls of this time get no reply.
  for (int index = 0; index < 5; ++index) {
    const std::string value = "change-" + std::to_string(index);
    mKv.SetUnresponsive(false);
    mKv.Put(kItem, value);
    const time_point start = MonotonicNow();
    EXPECT_TRUE(RunUntil([&] { return Value() == value; }));
    EXPECT_LT(MonotonicNow() - start, 2s);
    RunFor(150ms * index);
    mKv.SetUnresponsive(true);
    RunFor(1500ms);
  }
}

} // namespace parsleystair
