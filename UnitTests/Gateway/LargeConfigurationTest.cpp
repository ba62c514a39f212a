#include "GatewayFixture.h"

// An answer to a watch holds each change since the revision that the watch
// names, with its value, so that a burst of changes of a large value exceeds
// what a router takes. A router that asks for the same changes again gets an
// answer that is as long or longer, and never the present value.

namespace parsleystair {

namespace {

/// Bytes of one value: 24 of them exceed 8 MiB in base64.
constexpr size_t kValueBytes = 400'000;
constexpr uint32_t kBurst = 24;

class large_configuration_test : public gateway_test
{
protected:
  /// Stores a configuration that is long because of its routes.
  void PutLargeConfiguration(uint32_t aVersion)
  {
    if (mRoutes.empty()) {
      constexpr size_t kRouteBytes = 200;
      for (size_t index = 0; index < kValueBytes / kRouteBytes; ++index) {
        mRoutes.push_back({ "route-" + std::to_string(index), true, "plain" });
      }
    }
    mRoutes[0] = { "moved", true, aVersion % 2 == 0 ? "plain" : "orders" };
    mKv.Put(kConfigurationKey,
            EncodeOperatorConfiguration(
              aVersion, mRoutes, { { "plain" }, { "orders" } }));
  }

  [[nodiscard]] static bool HasVersion(const gateway_instance& aGateway,
                                       uint32_t aVersion)
  {
    return aGateway.mTask->DumpText().find(
             "\"configurationVersion\": " + std::to_string(aVersion) + ",") !=
           std::string::npos;
  }

  std::vector<operator_route> mRoutes;
};

} // namespace

// Guards against routers that keep an old configuration after a burst of
// changes whose watch has an answer longer than 8 MiB.
TEST_F(large_configuration_test, BurstLongerThanAnAnswerIsReadAnew)
{
  const gateway_instance& gateway = StartGateway("a");
  PutLargeConfiguration(2);
  ASSERT_TRUE(RunUntil([&] { return HasVersion(gateway, 2); }));
  const uint64_t calls = mKv.Calls();
  for (uint32_t version = 3; version < 3 + kBurst; ++version) {
    PutLargeConfiguration(version);
  }
  const time_point start = MonotonicNow();
  ASSERT_TRUE(RunUntil([&] { return HasVersion(gateway, 2 + kBurst); }));
  EXPECT_LT(MonotonicNow() - start, 10s);
  // The watch, the read, and the calls of the other prefixes meanwhile.
  EXPECT_LT(mKv.Calls() - calls, 30U);
  // The watch goes on from the read.
  PutLargeConfiguration(100);
  EXPECT_TRUE(RunUntil([&] { return HasVersion(gateway, 100); }));
}

// Guards against an answer that is too long and looks like one that was lost,
// after which the same call is made again.
TEST_F(large_configuration_test, StoreTellsAnswersThatAreTooLong)
{
  platform::kv_store store(mLoop, "127.0.0.1", mKv.Port());
  std::optional<prefix_reply> read;
  store.ReadPrefix("big", [&](const prefix_reply& aReply) { read = aReply; });
  ASSERT_TRUE(RunUntil([&] { return read.has_value(); }));
  for (uint32_t index = 0; index < kBurst; ++index) {
    mKv.Put("big", std::string(kValueBytes, 'x'));
  }
  std::optional<watch_reply> watched;
  store.Watch("big", read->mRevision, 1s, [&](const watch_reply& aReply) {
    watched = aReply;
  });
  ASSERT_TRUE(RunUntil([&] { return watched.has_value(); }));
  EXPECT_EQ(watched->mOutcome, call_outcome::kTooLong);
}

} // namespace parsleystair
