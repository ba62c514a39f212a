#include "Parsleystair/Tasks/RecordDriver.h"
#include "Parsleystair/Core/Clock.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const group_index kGroup(0);

struct router;

/// Passes calls to the routers of the test at once; others are not reached.
class direct_peers : public peer_client
{
public:
  explicit direct_peers(std::map<vm_name, router*>& aRouters)
    : mRouters(aRouters)
  {
  }

  void Heartbeat(const peer_address&,
                 const heartbeat_message&,
                 callback<heartbeat_message>) override
  {
  }
  void Confirm(const peer_address&,
               const confirm_message&,
               callback<confirm_result>) override
  {
  }
  void Announce(const peer_address&,
                const announce_message&,
                callback<acknowledgement>) override
  {
  }
  void FetchConfiguration(const peer_address&,
                          callback<configuration_reply>) override
  {
  }
  void FetchGroups(const peer_address&, callback<groups_reply>) override {}
  void Begin(const peer_address& aPeer,
             const begin_message& aMessage,
             callback<begin_reply> aCallback) override;
  void Finish(const peer_address& aPeer,
              const finish_message& aMessage,
              callback<acknowledgement> aCallback) override;
  void Withdraw(const peer_address& aPeer,
                const withdraw_message& aMessage,
                callback<acknowledgement> aCallback) override;
  void CopyRecords(const peer_address& aPeer,
                   const copy_records_message& aMessage,
                   callback<copy_records_reply> aCallback) override;

private:
  std::map<vm_name, router*>& mRouters;
};

/// The parts of one router that keep at-most-once records.
struct router
{
  router(event_loop& aLoop,
         const vm_identity& aVm,
         std::map<vm_name, router*>& aRouters)
    : mController({ aVm, failure_domain_name("d"), false }, {}, MonotonicNow())
    , mPeers(aRouters)
    , mDriver(
        aLoop,
        aVm,
        aVm.mIncarnation.Value(),
        mController,
        mPeers,
        [](const vm_name& aName) {
          return peer_address{ aName, "", 0 };
        },
        [this](worker_index, execution_verdict aVerdict) {
          mVerdicts.push_back(std::move(aVerdict));
        })
  {
    aRouters[aVm.mName] = this;
  }

  void Learn(const group_record& aRecord)
  {
    mController.HandleAnnouncement(aRecord, MonotonicNow());
    mDriver.UpdateGroup(aRecord);
  }

  /// Asks to run a request; the verdict is there at once when nobody has to be
  /// waited for.
  execution_verdict Ask(const char* aKey, uint64_t aKeyTimeMs)
  {
    begin_query query;
    query.mFlow = flow_id(++mFlows);
    query.mBegin.mGroup = kGroup;
    query.mBegin.mKey = { service_name("s"), rule_name("r"), aKey };
    query.mBegin.mKeyTimeMs = aKeyTimeMs;
    query.mDeadline = MonotonicNow() + 5s;
    mDriver.Handle(query);
    EXPECT_FALSE(mVerdicts.empty());
    return mVerdicts.back();
  }

  ownership_controller mController;
  direct_peers mPeers;
  record_driver mDriver;
  std::vector<execution_verdict> mVerdicts;
  uint64_t mFlows = 0;
};

void direct_peers::Begin(const peer_address& aPeer,
                         const begin_message& aMessage,
                         callback<begin_reply> aCallback)
{
  aCallback({ peer_status::kReplied,
              mRouters.at(aPeer.mVm)->mDriver.HandleBegin(aMessage) });
}

void direct_peers::Finish(const peer_address& aPeer,
                          const finish_message& aMessage,
                          callback<acknowledgement>)
{
  mRouters.at(aPeer.mVm)->mDriver.HandleFinish(aMessage);
}

void direct_peers::Withdraw(const peer_address& aPeer,
                            const withdraw_message& aMessage,
                            callback<acknowledgement>)
{
  mRouters.at(aPeer.mVm)->mDriver.HandleWithdraw(aMessage);
}

void direct_peers::CopyRecords(const peer_address& aPeer,
                               const copy_records_message& aMessage,
                               callback<copy_records_reply> aCallback)
{
  router& peer = *mRouters.at(aPeer.mVm);
  peer.mController.HandleAnnouncement(aMessage.mRecord, MonotonicNow());
  aCallback(
    { peer_status::kReplied, peer.mDriver.HandleCopyRecords(aMessage) });
}

/// Three routers that hold one group.
class record_driver_test : public testing::Test
{
protected:
  record_driver_test()
  {
    mRecord.mGroup = kGroup;
    mRecord.mRevision = store_revision(1);
    for (const char* name : { "a", "b", "c" }) {
      mRecord.mHolders.push_back({ vm_name(name), incarnation(1), false });
    }
    StartAll(1);
  }

  void StartAll(uint64_t aIncarnation)
  {
    mOwned.clear();
    for (const char* name : { "a", "b", "c" }) {
      mOwned.push_back(std::make_unique<router>(
        mLoop,
        vm_identity{ vm_name(name), incarnation(aIncarnation) },
        mRouters));
    }
    LearnAll();
  }

  void LearnAll()
  {
    for (const auto& owned : mOwned) {
      owned->Learn(mRecord);
    }
  }

  router& At(size_t aIndex) { return *mOwned[aIndex]; }

  static uint64_t NowMs()
  {
    return static_cast<uint64_t>(WallNow().time_since_epoch().count());
  }

  event_loop mLoop;
  std::map<vm_name, router*> mRouters;
  std::vector<std::unique_ptr<router>> mOwned;
  group_record mRecord;
};

} // namespace

// Guards against a repeat at another router that runs again or gets another
// answer.
TEST_F(record_driver_test, RepeatGetsTheRecordedAnswer)
{
  EXPECT_FALSE(At(0).Ask("k", NowMs()).mOutcome);
  const http_response answer{ 200, {}, "first" };
  At(0).mDriver.Handle(
    execution_finished{ worker_index(0), flow_id(1), answer });
  const auto outcome = At(1).Ask("k", NowMs()).mOutcome;
  ASSERT_TRUE(outcome);
  EXPECT_EQ(std::get<responded>(*outcome), (responded{ answer, true }));
}

// Guards against a group whose holders have all restarted and that refuses
// requests for ever, and against a request from before that runs again.
TEST_F(record_driver_test, RecoversFromTheLossOfAllHolders)
{
  const uint64_t before = NowMs();
  EXPECT_FALSE(At(0).Ask("old", before).mOutcome);
  StartAll(2);

  // One after the other takes its place again, as the controller would let it.
  for (size_t i = 0; i < mRecord.mHolders.size(); ++i) {
    group_holder& holder = mRecord.mHolders[i];
    holder.mIncarnation = incarnation(2);
    holder.mJoining = true;
    mRecord.mRevision = store_revision(mRecord.mRevision.Value() + 1);
    LearnAll();
    copy_group_records request{ mRecord, {} };
    for (const group_holder& other : mRecord.mHolders) {
      if (!other.mJoining) {
        request.mHolders.push_back(other.mVm);
      }
    }
    int calls = 0;
    std::optional<wall_time> lostUntil;
    At(i).mDriver.CopyRecords(request,
                              [&](std::optional<wall_time> aLostUntil) {
                                ++calls;
                                lostUntil = aLostUntil;
                              });
    ASSERT_EQ(calls, 1) << i;
    // The last one has two complete holders to copy from.
    EXPECT_EQ(lostUntil.has_value(), i < 2);
    holder.mJoining = false;
    if (lostUntil) {
      mRecord.mRecordsLostUntilMs =
        static_cast<uint64_t>(lostUntil->time_since_epoch().count());
    }
    mRecord.mRevision = store_revision(mRecord.mRevision.Value() + 1);
    LearnAll();
  }

  const auto old = At(1).Ask("old", before).mOutcome;
  ASSERT_TRUE(old);
  EXPECT_TRUE(std::holds_alternative<refused_may_have_run>(*old));
  // Younger by more than the clock skew that is allowed for, but not in the
  // future by more than that.
  constexpr uint64_t kSkewMs = 60'000;
  EXPECT_FALSE(
    At(2).Ask("new", mRecord.mRecordsLostUntilMs + kSkewMs).mOutcome);
}

} // namespace parsleystair
