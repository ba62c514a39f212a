#include "GatewayFixture.h"

#include <gmock/gmock.h>

namespace parsleystair {

namespace {

/// A gateway without a relay, whose watch of the configuration waits for
/// longer than a configuration may take to be in force.
class route_confirmation_test : public gateway_test
{
protected:
  static constexpr duration kApplyTime = 2s;

  route_confirmation_test()
    : mGateway(StartGateway("a"))
  {
  }

  /// Stores a configuration with one more route, `/added/`.
  void AddRoute()
  {
    mKv.Put(kConfigurationKey,
            EncodeOperatorConfiguration(
              2,
              { { "read", true, "plain" },
                { "order", false, "orders" },
                { "history", true, "keyed" },
                { "added", true, "plain" } },
              { { "plain" }, { "orders" }, { "keyed", true } }));
  }

  http_result Get(const std::string& aPath)
  {
    return Call(mGateway,
                Request("GET", aPath, "r-" + std::to_string(++mRequestCount)));
  }

  gateway_instance& mGateway;

private:
  uint64_t mRequestCount = 0;
};

} // namespace

// Guards against a 404 for a route that has been in force for long, by a router
// that knows old routes because the store is away.
TEST_F(route_confirmation_test, OldRoutesRefuseNothingForGood)
{
  mKv.SetUnresponsive(true);
  RunFor(kApplyTime + 100ms);
  AddRoute();
  for (uint32_t attempt = 0; attempt < 5; ++attempt) {
    const time_point start = MonotonicNow();
    const http_result refused = Get("/added/x");
    EXPECT_EQ(refused.mResponse.mStatus, 503u);
    EXPECT_TRUE(FindHeader(refused.mResponse.mHeaders, "Retry-After"));
    EXPECT_LT(MonotonicNow() - start, 1s);
    EXPECT_EQ(Get("/read/x").mResponse.mStatus, 200u);
    RunFor(300ms);
  }
  mKv.SetUnresponsive(false);
  RunFor(kApplyTime);
  EXPECT_EQ(Get("/added/x").mResponse.mStatus, 200u);
  EXPECT_EQ(Get("/nothing/x").mResponse.mStatus, 404u);
}

// Guards against a 404 for a new route while the store has lost the watch that
// would have shown it.
TEST_F(route_confirmation_test, LostWatchDoesNotHideARoute)
{
  RunFor(200ms);
  mKv.SetUnresponsive(true);
  mKv.SetUnresponsive(false);
  AddRoute();
  RunFor(kApplyTime + 50ms);
  EXPECT_EQ(Get("/added/x").mResponse.mStatus, 200u);
}

// Guards against unknown routes that get no 404 although nothing is wrong, and
// against a call to the store for each of them.
TEST_F(route_confirmation_test, UnknownRoutesAreRefusedWithFewStoreCalls)
{
  const auto watches = [this] {
    return mGateway.mStoreClient->Counters().mWatches;
  };
  RunFor(300ms);
  const uint64_t before = watches();
  const time_point start = MonotonicNow();
  constexpr duration kSpan = 4s;
  uint64_t requests = 0;
  while (MonotonicNow() - start < kSpan) {
    const time_point sentAt = MonotonicNow();
    EXPECT_EQ(Get("/nothing/x").mResponse.mStatus, 404u);
    EXPECT_LT(MonotonicNow() - sentAt, 500ms);
    ++requests;
    RunFor(10ms);
  }
  EXPECT_GT(requests, 100u);
  // Without requests, three prefixes are watched twice in that time.
  EXPECT_LE(watches() - before, 8u);
}

// Guards against a caller that leaves, and a shutdown that begins, while its
// request waits for a confirmation of the routes.
TEST_F(route_confirmation_test, CallerMayLeaveWhileItsRequestWaits)
{
  RunFor(200ms);
  mKv.SetUnresponsive(true);
  RunFor(kApplyTime + 50ms);
  {
    http_connection leaving(mLoop,
                            mGateway.mSettings.mCallers.mHost,
                            mGateway.mSettings.mCallers.mPort);
    leaving.Call(
      Request("GET", "/added/x", "left"), kTimeout, [](const http_result&) {});
    RunFor(100ms);
  }
  std::optional<http_result> last;
  http_connection connection(mLoop,
                             mGateway.mSettings.mCallers.mHost,
                             mGateway.mSettings.mCallers.mPort);
  connection.Call(Request("GET", "/added/x", "last"),
                  kTimeout,
                  [&](const http_result& aResult) { last = aResult; });
  RunFor(50ms);
  mGateway.mTask->Shutdown();
  EXPECT_TRUE(RunUntil([&] { return last.has_value(); }));
  EXPECT_EQ(last->mResponse.mStatus, 503u);
}

} // namespace parsleystair
