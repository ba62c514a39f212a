#include "GatewayFixture.h"

// A store that is silent for a moment forgets the watches that wait, and keeps
// their connections.

namespace parsleystair {

namespace {

class silent_store_test : public gateway_test
{
protected:
  [[nodiscard]] bool KnowTarget(const std::string& aName) const
  {
    return std::all_of(
      mGateways.begin(), mGateways.end(), [&](const auto& aGateway) {
        return aGateway.second.mTask->DumpText().find(aName) !=
               std::string::npos;
      });
  }
};

} // namespace

// Guards against requests to a target that has left, by a router that made no
// call while the store was silent and so never learns that its watch is lost.
TEST_F(silent_store_test, RouterThatMadeNoCallLearnsOfTargetsInTime)
{
  // The smallest time within which the users' platform asks for a change.
  constexpr duration kMaxDelay = 2s;
  constexpr int kSilences = 6;
  const uint16_t peerPort = StartGateway("first").mSettings.mPeers.mPort;
  StartGateway("second", "127.0.0.2", peerPort);
  RunFor(4s);
  for (int i = 0; i < kSilences; ++i) {
    SCOPED_TRACE(i);
    mKv.SetUnresponsive(true);
    RunFor(600ms + 200ms * i);
    mKv.SetUnresponsive(false);
    const time_point start = MonotonicNow();
    const std::string name = "added-" + std::to_string(i);
    AddTarget(name, "orders", false);
    EXPECT_TRUE(RunUntil([&] { return KnowTarget(name); }));
    EXPECT_LT(MonotonicNow() - start, kMaxDelay);
    RunFor(2s);
  }
}

// Guards against requests to a target that has left, by the one router whose
// watch the store has lost while it replies to all others.
TEST_F(silent_store_test, RouterThatLostItsWatchLearnsOfTargetsInTime)
{
  constexpr duration kMaxDelay = 2s;
  const uint16_t peerPort = StartGateway("first").mSettings.mPeers.mPort;
  StartGateway("second", "127.0.0.2", peerPort);
  RunFor(4s);
  for (const std::string router : { "first", "second" }) {
    SCOPED_TRACE(router);
    unreliable_store& store = *mGateways.at(router).mStore;
    // The reply to the waiting watch is delivered, and the next watch is lost.
    size_t decisions = 0;
    store.SetFaults([&](store_call aCall, const std::string& aPrefix) {
      const bool isWatch = aCall == store_call::kWatch && aPrefix == "servers/";
      return isWatch && ++decisions == 2 ? store_fault::kHeld
                                         : store_fault::kNone;
    });
    AddTarget("before-" + router, "orders", false);
    EXPECT_TRUE(RunUntil([&] { return store.HeldCount() > 0; }));
    RunFor(1s);
    const std::string name = "added-" + router;
    const time_point start = MonotonicNow();
    AddTarget(name, "orders", false);
    EXPECT_TRUE(RunUntil([&] { return KnowTarget(name); }));
    EXPECT_LT(MonotonicNow() - start, kMaxDelay);
    store.SetFaults(nullptr);
  }
}

} // namespace parsleystair
