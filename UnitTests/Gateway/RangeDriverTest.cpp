#include "Parsleystair/Gateway/RangeDriver.h"

#include "Parsleystair/Core/Clock.h"
#include "ScriptedTarget.h"
#include "StandIns/standin_users_platform/KvServer.h"
#include "platform/KvStore.h"
#include "platform/Protocols.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const service_name kService("keyed");

election_settings ElectionSettings()
{
  election_settings settings;
  settings.mLeaderKey = kLeaderKey;
  settings.mTermsKey = kTermsKey;
  settings.mSelf.mVm = vm_name("router");
  settings.mSelf.mIncarnation = incarnation(1);
  settings.mSelf.mHost = "127.0.0.1";
  settings.mSelf.mPort = 1;
  return settings;
}

/// A leading router and two targets. Target `a` owns all keys, in ranges with
/// different fences; the test responds to its orders. Target `b` accepts all
/// orders.
class range_driver_test : public testing::Test
{
protected:
  range_driver_test()
  {
    mKv.Listen("127.0.0.1", 0);
    mStore.emplace(mLoop, "127.0.0.1", mKv.Port());
    mElection.emplace(mLoop, *mStore, ElectionSettings(), 1);
    mElection->OnChange([] {});
    mElection->OnLeadershipConfirmed([this] {
      if (mDriver) {
        mDriver->HandleLeadershipConfirmed();
      }
    });
    mElection->OnFormerLeadersGone([] {});
    mElection->HandleKey(std::nullopt);
    EXPECT_TRUE(RunUntil([this] { return mElection->IsLeading(); }));
    mOther.OnOrder([this](const scripted_target::received_order& aOrder) {
      mOther.Send(aOrder.mConnection,
                  scripted_target::Response(200, aOrder.Id()));
    });
  }

  /// Starts to lead with `aRanges` ranges of the first target.
  void StartDriver(size_t aRanges,
                   const range_settings& aSettings,
                   const order_protocol& aProtocol)
  {
    mDriver.emplace(mLoop, aSettings, *mStore, aProtocol, *mElection);
    mDriver->OnRecord([](const service_name&, const versioned_record&) {});
    mDriver->OnWriteFailed([] {});
    mDriver->SetServices({ kService });
    range_record record;
    const auto size = static_cast<uint32_t>((kMaxKeyNumber + 1) / aRanges);
    for (uint32_t first = 0; first <= kMaxKeyNumber; first += size) {
      const uint64_t fenceNumber = record.mNextFence++;
      record.mRanges.push_back({ { first, first + size - 1 },
                                 { target_name("a"), 7 },
                                 fence(fenceNumber),
                                 "" });
    }
    mDriver->HandleRecord(kService, record, store_revision(1));
    UpdateTargets(false);
    mDriver->StartLeading(MonotonicNow());
  }

  void StartDriver(size_t aRanges)
  {
    StartDriver(aRanges, range_settings(), mOrders);
  }

  /// `aDraining`: the first target is draining, so its keys are to be moved.
  void UpdateTargets(bool aDraining)
  {
    target_directory directory;
    directory.Update(Target("a", mTarget.Port(), aDraining), MonotonicNow());
    directory.Update(Target("b", mOther.Port(), false), MonotonicNow());
    mDriver->HandleTargets(directory, MonotonicNow());
  }

  static discovered_target Target(const std::string& aName,
                                  uint16_t aPort,
                                  bool aDraining)
  {
    discovered_target target;
    target.mName = target_name(aName);
    target.mService = kService;
    target.mHost = "127.0.0.1";
    target.mPort = aPort;
    target.mConcurrency = 4;
    target.mDraining = aDraining;
    target.mStartedMs = 7;
    return target;
  }

  /// Runs the loop until a condition holds or `aTimeout` has passed. Returns
  /// whether the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition, duration aTimeout = 5s)
  {
    const time_point deadline = MonotonicNow() + aTimeout;
    timer poll;
    poll.StartRepeating(mLoop, 2ms, [&] {
      if (aCondition() || MonotonicNow() > deadline) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    return aCondition();
  }

  void RunFor(duration aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  event_loop mLoop;
  kv_server mKv{ mLoop };
  std::optional<platform::kv_store> mStore;
  std::optional<leader_election> mElection;
  platform::wire_orders mOrders;
  scripted_target mTarget{ mLoop };
  scripted_target mOther{ mLoop };
  std::optional<range_driver> mDriver;
};

} // namespace

// Guards against two owners of one key: a target in trouble responds to a
// release with an error and goes on serving the keys.
TEST_F(range_driver_test, ErrorResponseToAReleaseFreesNoKeys)
{
  const std::vector<uint32_t> statuses{ 500, 503, 429, 421, 404, 400, 409 };
  size_t releases = 0;
  mTarget.OnOrder([&](const scripted_target::received_order& aOrder) {
    uint32_t status = 200;
    if (aOrder.IsRelease()) {
      EXPECT_EQ(mDriver->Counters().mRecordWrites, 0u);
      if (releases < statuses.size()) {
        status = statuses[releases];
      }
      ++releases;
    }
    mTarget.Send(aOrder.mConnection,
                 scripted_target::Response(status, aOrder.Id()));
  });
  StartDriver(1);
  ASSERT_TRUE(RunUntil([&] { return mTarget.Orders().size() == 1; }));
  UpdateTargets(true);
  // The retries take less time than the grant is valid.
  EXPECT_TRUE(RunUntil([&] { return releases > statuses.size(); }, 3s));
  EXPECT_TRUE(
    RunUntil([&] { return mDriver->Counters().mRecordWrites > 0; }, 200ms));
}

} // namespace parsleystair
