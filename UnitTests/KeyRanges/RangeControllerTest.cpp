#include "Parsleystair/Core/StoreEra.h"
#include "Parsleystair/KeyRanges/Handover.h"
#include "RangeSimulation.h"
#include "UnitTests/Support/RandomActions.h"

namespace parsleystair {

namespace {

const std::vector<weighted_action<range_simulation>> kFaults = {
  { "wait", 6, &range_simulation::Wait },
  { "load", 4, &range_simulation::Load },
  { "crash target", 2, &range_simulation::CrashTarget },
  { "partition target", 2, &range_simulation::PartitionTarget },
  { "lose entry", 2, &range_simulation::LoseEntry },
  { "drain target", 1, &range_simulation::DrainTarget },
  { "evacuate target", 1, &range_simulation::EvacuateTarget },
  { "partition router from store",
    2,
    &range_simulation::PartitionRouterFromStore },
  { "pause router", 2, &range_simulation::PauseRouter },
  { "refuse connections", 2, &range_simulation::RefuseConnections },
  { "lose responses", 2, &range_simulation::LoseResponses },
  { "overload link", 3, &range_simulation::OverloadLink },
};

known_target MakeTarget(const std::string& aName, uint16_t aPort)
{
  known_target known;
  known.mTarget.mName = target_name(aName);
  known.mTarget.mHost = "10.0.0.1";
  known.mTarget.mPort = aPort;
  known.mTarget.mConcurrency = 4;
  known.mTarget.mStartedMs = 7;
  return known;
}

/// One leading controller and two targets; each test makes the calls itself.
class range_controller_test : public testing::Test
{
protected:
  range_controller_test()
  {
    mController.StartLeading({ term_number(1), mNow, mNow });
    UpdateTargets();
    mNow += 2s;
    mController.HandleLeadershipConfirmed(mNow);
  }

  void UpdateTargets()
  {
    std::vector<const known_target*> pointers;
    for (const known_target& each : mTargets) {
      pointers.push_back(&each);
    }
    mController.HandleTargets(pointers, mNow);
  }

  /// Runs a step, confirms its record write and returns the other actions.
  std::vector<range_action> Step()
  {
    mController.HandleLeadershipConfirmed(mNow);
    std::vector<range_action> orders;
    for (const range_action& action : mController.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        mController.HandleWriteResult(
          write->mId, true, store_revision(++mRevision), mNow);
      } else {
        orders.push_back(action);
      }
    }
    return orders;
  }

  template<typename Order>
  std::vector<Order> Orders()
  {
    std::vector<Order> found;
    for (const range_action& action : Step()) {
      if (const auto* order = std::get_if<Order>(&action)) {
        found.push_back(*order);
      }
    }
    return found;
  }

  /// Starts a controller that assigns the keys to both targets, which have
  /// accepted their grants at `mNow`.
  void AssignKeysToBothTargets()
  {
    mController = range_controller(range_settings());
    mController.StartLeading({ term_number(1), mNow, mNow });
    UpdateTargets();
    mNow += 2s;
    Step();
    for (const grant_order& grant : Orders<grant_order>()) {
      mController.HandleGrantResult(grant.mId, order_result::kAccepted, mNow);
    }
    ASSERT_EQ(mController.Record().mRanges.size(), 2u);
  }

  /// Runs some steps in which targets accept all orders.
  void AcceptOrders()
  {
    for (size_t step = 0; step < 4; ++step) {
      for (const range_action& action : Step()) {
        if (const auto* grant = std::get_if<grant_order>(&action)) {
          mController.HandleGrantResult(
            grant->mId, order_result::kAccepted, mNow);
        } else if (const auto* release = std::get_if<release_order>(&action)) {
          mController.HandleReleaseResult(
            release->mId, order_result::kAccepted, "", mNow);
        }
      }
    }
  }

  time_point mNow{ 1h };
  uint64_t mRevision = 10;
  std::vector<known_target> mTargets = { MakeTarget("a", 1),
                                         MakeTarget("b", 2) };
  range_controller mController{ range_settings() };
};

} // namespace

// Guards against two owners of one key, and against a change of owner without a
// higher fence, under random sequences of faults.
RC_GTEST_PROP(RangeState, HasOneOwnerPerKey, ())
{
  range_simulation world(*rc::gen::inRange<uint64_t>(0, 1'000'000));
  world.Run(3s);
  RunRandomActions(world, kFaults, 0.4);
  world.Run(4s);
  RC_ASSERT(!testing::Test::HasFailure());
}

// Guards against keys that remain without an owner after the faults end.
RC_GTEST_PROP(RangeState, ServesAllKeysAfterFaults, ())
{
  range_simulation world(*rc::gen::inRange<uint64_t>(0, 1'000'000));
  world.Run(3s);
  RunRandomActions(world, kFaults, 0.2);
  world.Settle();
  RC_ASSERT(!testing::Test::HasFailure());
  RC_ASSERT(world.UnownedSamples() == 0u);
}

// Guards against keys that are never assigned after startup.
TEST_F(range_controller_test, AssignsAllKeys)
{
  Step();
  const auto grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 2u);
  EXPECT_EQ(grants[0].mKeys.mFirst, 0u);
  EXPECT_EQ(grants[1].mKeys.mLast, kMaxKeyNumber);
  EXPECT_EQ(grants[0].mKeys.mLast + 1, grants[1].mKeys.mFirst);
}

// Guards against two owners of one key: a late fenced result of an old grant
// must not take away keys that have been assigned to another owner since.
TEST_F(range_controller_test, LateFencedGrantMovesOnlyItsOwnKeys)
{
  Step();
  const auto grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 2u);
  const grant_order& late = grants[0];
  // Another owner gets half of the keys before the grant's result arrives.
  range_record record = mController.Record();
  const uint32_t middle = (late.mKeys.mFirst + late.mKeys.mLast) / 2;
  AssignKeys(record,
             { { middle, late.mKeys.mLast },
               { target_name("b"), 7 },
               fence(record.mNextFence),
               "" });
  ++record.mNextFence;
  mController.HandleRecord(record, store_revision(++mRevision));
  mController.HandleGrantResult(late.mId, order_result::kFenced, mNow);
  for (const release_order& order : Orders<release_order>()) {
    EXPECT_EQ(order.mAddress.mTarget, target_name("a"));
    EXPECT_LT(order.mKeys.mLast, middle);
  }
}

// Guards against a router that takes keys away from their owner without a
// recent confirmation that it is the leader.
TEST_F(range_controller_test, UnconfirmedLeaderRenewsButMovesNothing)
{
  Step();
  for (const grant_order& grant : Orders<grant_order>()) {
    mController.HandleGrantResult(grant.mId, order_result::kAccepted, mNow);
  }
  mNow += 5s;
  mTargets[0].mTarget.mDraining = true;
  UpdateTargets();
  size_t grants = 0;
  for (const range_action& action : mController.Step(mNow)) {
    const auto* grant = std::get_if<grant_order>(&action);
    ASSERT_NE(grant, nullptr);
    mController.HandleGrantResult(grant->mId, order_result::kAccepted, mNow);
    ++grants;
  }
  EXPECT_GT(grants, 0u);
  mNow += 10s;
  EXPECT_TRUE(mController.Step(mNow).empty());
}

// Guards against two owners of one key: a target in trouble may respond to a
// release with an error, or may not respond, and still serve the keys. Only the
// expiry of its grant frees them then.
TEST_F(range_controller_test, OnlyAnAcceptedReleaseFreesKeysBeforeTheExpiry)
{
  for (const order_result result : { order_result::kUnverified,
                                     order_result::kRejected,
                                     order_result::kFenced,
                                     order_result::kNotSent,
                                     order_result::kNotAttempted,
                                     order_result::kNoResponse }) {
    SCOPED_TRACE(static_cast<int>(result));
    AssignKeysToBothTargets();
    const range_record before = mController.Record();
    const time_point expiry = mNow + range_settings().MaxHoldTime();
    const known_target leaving = mTargets.front();
    mTargets.erase(mTargets.begin());
    UpdateTargets();
    size_t releases = 0;
    for (; mNow < expiry; mNow += 100ms) {
      for (const range_action& action : Step()) {
        if (const auto* release = std::get_if<release_order>(&action)) {
          EXPECT_EQ(release->mAddress.mTarget, target_name("a"));
          ++releases;
          mController.HandleReleaseResult(release->mId, result, "", mNow);
        } else if (const auto* grant = std::get_if<grant_order>(&action)) {
          mController.HandleGrantResult(
            grant->mId, order_result::kAccepted, mNow);
        }
      }
      ASSERT_EQ(mController.Record(), before);
    }
    // It is repeated, as a later one may be accepted.
    EXPECT_GT(releases, 5u);
    Step();
    for (const owned_range& range : mController.Record().mRanges) {
      EXPECT_EQ(range.mOwner.mName, target_name("b"));
    }
    mTargets.insert(mTargets.begin(), leaving);
  }
}

// Guards against a needless wait for the expiry of a grant.
TEST_F(range_controller_test, AcceptedReleaseFreesKeysAtOnce)
{
  AssignKeysToBothTargets();
  mTargets.erase(mTargets.begin());
  UpdateTargets();
  const auto releases = Orders<release_order>();
  ASSERT_EQ(releases.size(), 1u);
  mController.HandleReleaseResult(
    releases[0].mId, order_result::kAccepted, "", mNow);
  Step();
  for (const owned_range& range : mController.Record().mRanges) {
    EXPECT_EQ(range.mOwner.mName, target_name("b"));
  }
}

// Guards against a record that the store refuses for its length because of the
// handovers of many ranges: no key of the service could move any more.
TEST_F(range_controller_test, HandoversOfManyRangesFitIntoTheRecord)
{
  AssignKeysToBothTargets();
  range_record record = mController.Record();
  const target_incarnation owner = record.mRanges[0].mOwner;
  record.mRanges.clear();
  constexpr uint32_t kRanges = 2'000;
  for (uint32_t index = 0; index < kRanges; ++index) {
    record.mRanges.push_back({ { index, index },
                               owner,
                               fence(record.mNextFence++),
                               std::string(kMaxHandoverBytes, 'a') });
  }
  mController.HandleRecord(record, store_revision(++mRevision));
  mTargets.erase(mTargets.begin());
  UpdateTargets();
  AcceptOrders();
  size_t bytes = 0;
  for (const owned_range& range : mController.Record().mRanges) {
    bytes += range.mHandover.size();
  }
  EXPECT_NE(mController.Record(), record);
  EXPECT_LE(bytes, kMaxRecordHandoverBytes);
}

// Guards against an owner that enters slow start and crashes under the load of
// its keys, and against one that gets no keys any more after its slow start.
TEST_F(range_controller_test, OwnerInSlowStartLosesItsKeysUntilItIsWarm)
{
  AssignKeysToBothTargets();
  const auto expectOwner = [this](const char* aOwner) {
    UpdateTargets();
    AcceptOrders();
    for (const owned_range& range : mController.Record().mRanges) {
      EXPECT_EQ(range.mOwner.mName, target_name(aOwner));
    }
  };
  mTargets[0].mLimitedUntil = mNow + 3s;
  expectOwner("b");
  // Neither has keys to spare while the other one is in slow start as well.
  mTargets[1].mLimitedUntil = mNow + 6s;
  expectOwner("b");
  mNow += 3s;
  expectOwner("a");
}

// Guards against keys that are moved to few warm targets, which can't serve
// them, and against an interruption of keys that nobody else can take.
TEST_F(range_controller_test, KeysStayIfMostOwnersAreInSlowStart)
{
  AssignKeysToBothTargets();
  const range_record before = mController.Record();
  for (known_target& each : mTargets) {
    each.mLimitedUntil = mNow + 3s;
  }
  UpdateTargets();
  EXPECT_TRUE(Orders<release_order>().empty());
  // The only warm target is leaving.
  mTargets[1].mLimitedUntil = time_point::min();
  mTargets[1].mReplacedUntil = mNow + 10s;
  UpdateTargets();
  EXPECT_TRUE(Orders<release_order>().empty());
  EXPECT_EQ(mController.Record(), before);
}

// Guards against a wave of releases that stops because there is no leader for
// it: an owner in slow start keeps the grants that can't be moved.
TEST_F(range_controller_test, UnconfirmedLeaderRenewsGrantsInSlowStart)
{
  AssignKeysToBothTargets();
  mTargets[0].mLimitedUntil = mNow + 30s;
  mNow += range_settings().mMaxConfirmationAgeToMove + 1ms;
  UpdateTargets();
  size_t renewed = 0;
  for (const range_action& action : mController.Step(mNow)) {
    const auto* grant = std::get_if<grant_order>(&action);
    renewed +=
      grant != nullptr && grant->mAddress.mTarget == target_name("a") ? 1 : 0;
  }
  EXPECT_EQ(renewed, 1u);
}

// Guards against taking the late result of an earlier write for the result of
// the last one, which led to two owners of key 52229 in
// RangeState.ServesAllKeysAfterFaults (seed 20261204, case 81).
TEST_F(range_controller_test, LateAnswerOfEarlierWriteIsIgnored)
{
  std::vector<write_record> writes;
  const auto collect = [&] {
    mController.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : mController.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        writes.push_back(*write);
      }
    }
  };
  collect();
  mController.StopLeading(mNow);
  mTargets.push_back(MakeTarget("c", 3));
  mController.StartLeading({ term_number(1), mNow, mNow });
  UpdateTargets();
  collect();
  ASSERT_EQ(writes.size(), 2u);
  ASSERT_NE(writes[0].mRecord, writes[1].mRecord);
  mController.HandleWriteResult(
    writes[0].mId, true, store_revision(++mRevision), mNow);
  EXPECT_TRUE(mController.Record().mRanges.empty());
  mController.HandleRecord(writes[0].mRecord, store_revision(mRevision));
  EXPECT_EQ(mController.Record(), writes[0].mRecord);
}

// Guards against keys that stay without an owner for the longest time of former
// leaders, although these abdicate after the move of the keys has started.
TEST_F(range_controller_test, LateAbdicationShortensTheWaitForALostOwner)
{
  Step();
  const range_record record = mController.Record();
  const range_settings settings;
  range_controller next{ settings };
  next.HandleRecord(record, store_revision(mRevision));
  next.StartLeading({ term_number(2), mNow, mNow });
  const std::vector<const known_target*> pointers{ &mTargets[1] };
  next.HandleTargets(pointers, mNow);
  const auto step = [&] {
    next.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : next.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        next.HandleWriteResult(
          write->mId, true, store_revision(++mRevision), mNow);
      } else if (const auto* release = std::get_if<release_order>(&action)) {
        EXPECT_EQ(release->mSendUntil,
                  mNow + settings.mMaxConfirmationAgeToMove);
        next.HandleReleaseResult(
          release->mId, order_result::kNoResponse, "", mNow);
      }
    }
    return FindRange(next.Record(), 0)->mOwner.mName;
  };
  EXPECT_EQ(step(), target_name("a"));
  mNow += 1s;
  next.HandleFormerLeadersGone(mNow);
  const time_point expiry = mNow + settings.MaxFormerGrantLifetime();
  for (; mNow < expiry; mNow += 20ms) {
    EXPECT_EQ(step(), target_name("a"));
  }
  mNow += 20ms;
  EXPECT_EQ(step(), target_name("b"));
}

// Guards against two owners of one key: an overloaded link may deliver a grant
// seconds after its call ended without an answer, or a process that stands
// still may take it so late, and it is valid from then on.
TEST_F(range_controller_test, UnansweredGrantMayBeTakenAfterItsCall)
{
  const range_settings settings;
  for (const order_result result : { order_result::kNoResponse,
                                     order_result::kUnacknowledged,
                                     order_result::kUnverified }) {
    SCOPED_TRACE(static_cast<int>(result));
    AssignKeysToBothTargets();
    mNow += settings.mRenewInterval;
    for (const grant_order& grant : Orders<grant_order>()) {
      mController.HandleGrantResult(grant.mId, result, mNow);
    }
    const time_point expiry =
      mNow + settings.mMaxNetworkDelay + settings.MaxHoldTime();
    mTargets.erase(mTargets.begin());
    UpdateTargets();
    const auto step = [&] {
      for (const range_action& action : Step()) {
        if (const auto* release = std::get_if<release_order>(&action)) {
          mController.HandleReleaseResult(
            release->mId, order_result::kNotSent, "", mNow);
        } else if (const auto* grant = std::get_if<grant_order>(&action)) {
          mController.HandleGrantResult(
            grant->mId, order_result::kAccepted, mNow);
        }
      }
      return FindRange(mController.Record(), 0)->mOwner.mName;
    };
    for (; mNow < expiry; mNow += 50ms) {
      ASSERT_EQ(step(), target_name("a"));
    }
    EXPECT_EQ(step(), target_name("b"));
    mTargets = { MakeTarget("a", 1), MakeTarget("b", 2) };
  }
}

// Guards against an old fence that reaches a restarted target: without an open
// connection, a grant without confirmation is held back, and the target may
// restart before the leadership is confirmed again.
TEST_F(range_controller_test, GrantWithoutAConnectionNeedsANewFence)
{
  Step();
  const std::vector<grant_order> first = Orders<grant_order>();
  ASSERT_EQ(first.size(), 2u);
  for (const grant_order& grant : first) {
    mController.HandleGrantResult(grant.mId, order_result::kAccepted, mNow);
  }
  mNow += 2s;
  for (const range_action& action : mController.Step(mNow)) {
    mController.HandleGrantResult(
      std::get<grant_order>(action).mId, order_result::kNoConnection, mNow);
  }
  std::vector<grant_order> later;
  for (int step = 0; step < 5 && later.empty(); ++step) {
    mNow += 300ms;
    later = Orders<grant_order>();
  }
  ASSERT_EQ(later.size(), 2u);
  for (size_t i = 0; i < later.size(); ++i) {
    EXPECT_EQ(later[i].mAddress, first[i].mAddress);
    EXPECT_GT(later[i].mFence, first[i].mFence);
  }
}

// Guards against former leaders that are forgotten because of a response that
// is read late: the target may have restarted since, and a former leader may
// have connected to its new process.
TEST_F(range_controller_test, GrantSentBeforeFormerLeadersStopReplacesNothing)
{
  Step();
  const range_settings settings;
  const time_point elected = mNow;
  range_controller next{ settings };
  next.HandleRecord(mController.Record(), store_revision(mRevision));
  next.StartLeading({ term_number(2), elected, elected });
  const std::vector<const known_target*> both{ &mTargets[0], &mTargets[1] };
  const std::vector<const known_target*> second{ &mTargets[1] };
  next.HandleTargets(both, mNow);
  std::vector<order_id> pending;
  const auto step = [&] {
    next.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : next.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        next.HandleWriteResult(
          write->mId, true, store_revision(++mRevision), mNow);
      } else if (const auto* grant = std::get_if<grant_order>(&action)) {
        pending.push_back(grant->mId);
      } else if (const auto* release = std::get_if<release_order>(&action)) {
        next.HandleReleaseResult(
          release->mId, order_result::kNoResponse, "", mNow);
      }
    }
  };
  step();
  step();
  ASSERT_EQ(pending.size(), 2u);
  mNow += 2s;
  for (const order_id& each : pending) {
    next.HandleGrantResult(each, order_result::kAccepted, mNow);
  }
  next.HandleTargets(second, mNow);
  const time_point expiry = elected + settings.mMaxConfirmationAgeToRenew +
                            settings.MaxFormerGrantLifetime();
  for (; mNow < expiry; mNow += 100ms) {
    step();
    EXPECT_EQ(FindRange(next.Record(), 0)->mOwner.mName, target_name("a"));
  }
}

// Guards against a leader that steps without a pause while a move, whose grant
// has expired, waits for the result of a pending grant.
TEST_F(range_controller_test, NextStepLiesAheadWhileAGrantIsPending)
{
  Step();
  ASSERT_EQ(Orders<grant_order>().size(), 2u);
  mNow += 12s;
  mTargets.erase(mTargets.begin());
  UpdateTargets();
  for (int step = 0; step < 5; ++step) {
    Step();
    EXPECT_GT(mController.NextStepTime(), mNow);
    mNow += 20ms;
  }
}

// Guards against a target that restarted and gets keys with a fence that its
// process before had, as the new leader doesn't know of the restart yet.
TEST_F(range_controller_test, NewLeaderGrantsItsOwnFencesOnly)
{
  Step();
  range_record record = mController.Record();
  for (owned_range& range : record.mRanges) {
    range.mHandover = "state";
  }
  range_controller next{ range_settings() };
  next.HandleRecord(record, store_revision(mRevision));
  next.StartLeading({ term_number(2), mNow, mNow });
  std::vector<const known_target*> pointers{ &mTargets[0], &mTargets[1] };
  next.HandleTargets(pointers, mNow);
  size_t grants = 0;
  for (int step = 0; step < 3; ++step) {
    next.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : next.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        next.HandleWriteResult(
          write->mId, true, store_revision(++mRevision), mNow);
      } else {
        const auto& grant = std::get<grant_order>(action);
        EXPECT_GE(grant.mFence.Value(), record.mNextFence);
        EXPECT_EQ(grant.mHandover, "state");
        ++grants;
      }
    }
  }
  EXPECT_EQ(grants, 2u);
  for (const owned_range& range : record.mRanges) {
    EXPECT_EQ(FindRange(next.Record(), range.mKeys.mFirst)->mOwner,
              range.mOwner);
  }
}

// Guards against keys that are released by a process that restarts and forgets
// the release, while a former leader may still connect to the new process.
TEST_F(range_controller_test, ReleasesNothingWhileFormerLeadersMayConnect)
{
  Step();
  range_controller next{ range_settings() };
  next.HandleRecord(mController.Record(), store_revision(mRevision));
  next.StartLeading({ term_number(2), mNow, mNow });
  mTargets[0].mTarget.mDraining = true;
  std::vector<const known_target*> pointers{ &mTargets[0], &mTargets[1] };
  next.HandleTargets(pointers, mNow);
  const auto countReleases = [&] {
    next.HandleLeadershipConfirmed(mNow);
    const auto actions = next.Step(mNow);
    return std::count_if(
      actions.begin(), actions.end(), [](const range_action& aAction) {
        return std::holds_alternative<release_order>(aAction);
      });
  };
  const time_point end = mNow + range_settings().mMaxConfirmationAgeToMove;
  for (; mNow < end; mNow += 100ms) {
    EXPECT_EQ(countReleases(), 0);
  }
  EXPECT_EQ(countReleases(), 1);
}

// Guards against a delay of all moves after a change of leader whose former
// leader has abdicated.
TEST_F(range_controller_test, ReleasesAtOnceWhenFormerLeadersAreGone)
{
  Step();
  range_controller next{ range_settings() };
  next.HandleRecord(mController.Record(), store_revision(mRevision));
  next.StartLeading({ term_number(2), mNow, mNow });
  next.HandleFormerLeadersGone(mNow);
  mTargets[0].mTarget.mDraining = true;
  std::vector<const known_target*> pointers{ &mTargets[0], &mTargets[1] };
  next.HandleTargets(pointers, mNow);
  size_t releases = 0;
  for (const range_action& action : next.Step(mNow)) {
    releases += std::holds_alternative<release_order>(action) ? 1 : 0;
  }
  EXPECT_EQ(releases, 1u);
}

// Guards against renewals that reach a restarted target through a new
// connection, sent by a router that no longer leads.
TEST_F(range_controller_test, GrantsOfAnUnconfirmedLeaderOpenNoConnections)
{
  Step();
  const time_point confirmedAt = mNow;
  for (const grant_order& grant : Orders<grant_order>()) {
    mController.HandleGrantResult(grant.mId, order_result::kAccepted, mNow);
  }
  mNow += 1s;
  const range_settings settings;
  size_t grants = 0;
  for (const range_action& action : mController.Step(mNow)) {
    const auto& grant = std::get<grant_order>(action);
    EXPECT_EQ(grant.mConnectUntil,
              confirmedAt + settings.mMaxConfirmationAgeToMove);
    EXPECT_EQ(grant.mSendUntil,
              confirmedAt + settings.mMaxConfirmationAgeToRenew);
    ++grants;
  }
  EXPECT_EQ(grants, 2u);
}

// Guards against a new leader that reassigns the keys of an unreachable owner
// while an earlier leader may still renew the owner's grant.
TEST_F(range_controller_test, NewLeaderWaitsForEarlierRenewals)
{
  Step();
  const range_record record = mController.Record();
  range_controller next{ range_settings() };
  next.HandleRecord(record, store_revision(mRevision));
  next.StartLeading({ term_number(2), mNow, mNow });
  mTargets.erase(mTargets.begin());
  std::vector<const known_target*> pointers{ &mTargets[0] };
  next.HandleTargets(pointers, mNow);
  const range_settings settings;
  const time_point safe = mNow + settings.mMaxConfirmationAgeToRenew +
                          settings.MaxFormerGrantLifetime();
  while (mNow < safe) {
    next.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : next.Step(mNow)) {
      if (const auto* write = std::get_if<write_record>(&action)) {
        next.HandleWriteResult(
          write->mId, true, store_revision(++mRevision), mNow);
      }
    }
    EXPECT_EQ(FindRange(next.Record(), 0)->mOwner.mName, target_name("a"));
    mNow += 100ms;
  }
  EXPECT_TRUE(std::all_of(
    record.mRanges.begin(),
    record.mRanges.end(),
    [&](const owned_range& aRange) {
      return FindRange(next.Record(), aRange.mKeys.mFirst)->mOwner ==
             aRange.mOwner;
    }));
  next.HandleLeadershipConfirmed(mNow);
  bool written = false;
  for (const range_action& action : next.Step(mNow)) {
    written = written || std::holds_alternative<write_record>(action);
  }
  EXPECT_TRUE(written);
}

// Guards against a move whose reason can't be found in the log after two
// targets held the same keys: each ready move is reported once, with the reason
// and with what the leader knew about the old owner's grants.
TEST_F(range_controller_test, ReportsWhyAMoveIsReadyAndTheAgeOfTheLastGrant)
{
  const auto grants = [&] {
    const std::vector<grant_order> orders = Orders<grant_order>();
    for (const grant_order& each : orders) {
      mController.HandleGrantResult(each.mId, order_result::kAccepted, mNow);
    }
    return orders;
  };
  Orders<grant_order>();
  const std::vector<ready_move> first = mController.TakeReadyMoves();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].mReason, ready_reason::kNoOwner);
  EXPECT_EQ(first[0].mKeys, (key_interval{ 0, kMaxKeyNumber }));
  EXPECT_FALSE(first[0].mLastGrantAge);
  EXPECT_FALSE(first[0].mFormerLeadersStoppedFor);
  EXPECT_TRUE(mController.TakeReadyMoves().empty());

  ASSERT_FALSE(grants().empty());
  mTargets[0].mTarget.mDraining = true;
  UpdateTargets();
  mNow += 200ms;
  const std::vector<release_order> releases = Orders<release_order>();
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_TRUE(mController.TakeReadyMoves().empty());
  mController.HandleReleaseResult(
    releases[0].mId, order_result::kAccepted, "", mNow);
  Step();
  const std::vector<ready_move> released = mController.TakeReadyMoves();
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].mReason, ready_reason::kReleased);
  EXPECT_EQ(released[0].mKeys, releases[0].mKeys);
  EXPECT_EQ(released[0].mOldOwner, (target_incarnation{ target_name("a"), 7 }));
  EXPECT_EQ(released[0].mLastGrantAge, 200ms);
}

// Guards against a report that hides which bound a leader took from former
// leaders: the keys of a lost owner move only after the last renewal that a
// former leader may have sent.
TEST_F(range_controller_test, ReportsTheBoundOfFormerLeaders)
{
  Step();
  mController.TakeReadyMoves();
  mController.StopLeading(mNow);
  mController.StartLeading({ term_number(2), mNow, mNow });
  const time_point since = mNow;
  mTargets.erase(mTargets.begin());
  UpdateTargets();
  std::vector<ready_move> moves;
  while (moves.empty() && mNow < since + 20s) {
    mNow += 50ms;
    Step();
    moves = mController.TakeReadyMoves();
    // The other target keeps its keys with a new fence.
    std::erase_if(moves, [](const ready_move& aMove) {
      return aMove.mReason == ready_reason::kFenceChange &&
             aMove.mOldOwner.mName == target_name("b");
    });
  }
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mReason, ready_reason::kGrantExpired);
  EXPECT_EQ(moves[0].mOldOwner.mName, target_name("a"));
  EXPECT_EQ(moves[0].mFormerLeadersStoppedFor,
            mNow - (since + range_settings().mMaxConfirmationAgeToRenew));
  EXPECT_GT(moves[0].mFormerLeadersStoppedFor, range_settings().mGrantDuration);
}

// Guards against a safety conclusion from a response that may belong to an
// earlier order: a new leader takes the grants of former leaders to be
// replaced only if the target has certainly accepted a newer one.
TEST_F(range_controller_test, UnverifiedGrantReplacesNoFormerGrant)
{
  for (const order_result result :
       { order_result::kUnverified, order_result::kAccepted }) {
    SCOPED_TRACE(static_cast<int>(result));
    AssignKeysToBothTargets();
    const range_record record = mController.Record();
    const range_settings settings;
    const time_point elected = mNow;
    range_controller next{ settings };
    next.HandleRecord(record, store_revision(mRevision));
    next.StartLeading({ term_number(2), elected, elected });
    const auto update = [&](size_t aFirst) {
      std::vector<const known_target*> pointers;
      for (size_t i = aFirst; i < mTargets.size(); ++i) {
        pointers.push_back(&mTargets[i]);
      }
      next.HandleTargets(pointers, mNow);
    };
    update(0);
    // Target `a` gets a new fence, which no former leader knows, by a
    // restart.
    ++mTargets[0].mTarget.mStartedMs;
    update(0);
    std::optional<time_point> freed;
    bool granted = false;
    const time_point latest = elected + settings.mMaxConfirmationAgeToRenew +
                              settings.MaxFormerGrantLifetime() + 1s;
    while (mNow < latest && !freed) {
      next.HandleLeadershipConfirmed(mNow);
      for (const range_action& action : next.Step(mNow)) {
        if (const auto* write = std::get_if<write_record>(&action)) {
          const bool withoutA =
            std::none_of(write->mRecord.mRanges.begin(),
                         write->mRecord.mRanges.end(),
                         [](const owned_range& aRange) {
                           return aRange.mOwner.mName == target_name("a");
                         });
          if (withoutA) {
            freed = mNow;
          }
          next.HandleWriteResult(
            write->mId, true, store_revision(++mRevision), mNow);
        } else if (const auto* grant = std::get_if<grant_order>(&action)) {
          // Former leaders may reach the target's next process before.
          granted =
            granted || (grant->mAddress.mTarget == target_name("a") &&
                        mNow >= elected + settings.mMaxConfirmationAgeToMove);
          next.HandleGrantResult(grant->mId, result, mNow);
        } else if (const auto* release = std::get_if<release_order>(&action)) {
          next.HandleReleaseResult(
            release->mId, order_result::kNoResponse, "", mNow);
        }
      }
      mNow += 100ms;
      if (granted) {
        update(1);
      }
    }
    ASSERT_TRUE(granted);
    ASSERT_TRUE(freed);
    const auto hold = std::chrono::duration_cast<duration>(
      settings.mGrantDuration * settings.mClockDriftFactor);
    const time_point formerExpiry =
      elected + settings.mMaxConfirmationAgeToRenew + hold;
    EXPECT_EQ(*freed >= formerExpiry, result == order_result::kUnverified);
  }
}

// Guards against two owners of one key, and against a fence that doesn't
// rise, when a target's entry is lost and comes back while grants are on
// their way: the state of a target without an entry and without keys in the
// record is dropped, with the time of its last grant and its fences.
TEST_F(range_controller_test, TargetWhoseStateWasDroppedGetsKeysAgain)
{
  struct event
  {
    time_point mAt;
    std::function<void()> mRun;
  };
  for (const bool releases : { true, false }) {
    for (const bool restarts : { true, false }) {
      for (duration away = 200ms; away <= 12s; away += 300ms) {
        SCOPED_TRACE(ToSeconds(away));
        mTargets = { MakeTarget("a", 1), MakeTarget("b", 2) };
        mController = range_controller(range_settings());
        mController.StartLeading({ term_number(1), mNow, mNow });
        std::map<target_name, range_target> held;
        std::vector<event> events;
        std::map<uint32_t, std::pair<target_name, fence>> last;
        uint64_t incarnationOfA = 0;
        const time_point lostAt = mNow + 4s;
        const time_point backAt = lostAt + away;
        const time_point end = backAt + 12s;
        bool isLost = false;
        for (; mNow < end; mNow += 20ms) {
          if (mNow >= lostAt && mNow < backAt && !isLost) {
            isLost = true;
            mTargets.erase(mTargets.begin());
          } else if (mNow >= backAt && isLost) {
            isLost = false;
            mTargets.insert(mTargets.begin(), MakeTarget("a", 1));
            if (restarts) {
              mTargets[0].mTarget.mStartedMs += 1000;
              held[target_name("a")] = {};
              ++incarnationOfA;
            }
            // The keys must go back to `a`.
            mTargets[1].mTarget.mDraining = true;
          }
          UpdateTargets();
          std::vector<event> later;
          const std::vector<event> due = std::exchange(events, {});
          for (const event& each : due) {
            if (each.mAt <= mNow) {
              each.mRun();
            } else {
              later.push_back(each);
            }
          }
          events.insert(events.end(), later.begin(), later.end());
          for (const range_action& action : Step()) {
            if (const auto* grant = std::get_if<grant_order>(&action)) {
              const target_name& to = grant->mAddress.mTarget;
              const grant_order order = *grant;
              if (to == target_name("a") && mNow >= lostAt - 1s &&
                  mNow < backAt) {
                // It isn't answered, and arrives as late as it can.
                events.push_back(
                  { mNow + 600ms, [this, order] {
                     mController.HandleGrantResult(
                       order.mId, order_result::kUnacknowledged, mNow);
                   } });
                events.push_back(
                  { mNow + 580ms + range_settings().mMaxNetworkDelay,
                    [&, order, life = incarnationOfA] {
                      if (life == incarnationOfA) {
                        held[order.mAddress.mTarget].HandleGrant(order, mNow);
                      }
                    } });
                continue;
              }
              mController.HandleGrantResult(
                order.mId, held[to].HandleGrant(order, mNow), mNow);
            } else if (const auto* release =
                         std::get_if<release_order>(&action)) {
              const release_order order = *release;
              if (order.mAddress.mTarget == target_name("a") && !releases) {
                events.push_back(
                  { mNow + 600ms, [this, order] {
                     mController.HandleReleaseResult(
                       order.mId, order_result::kNoResponse, "", mNow);
                   } });
                continue;
              }
              mController.HandleReleaseResult(
                order.mId,
                held[order.mAddress.mTarget].HandleRelease(order),
                "",
                mNow);
            }
          }
          for (uint32_t sample = 0; sample < kSampleCount; ++sample) {
            const auto a = held[target_name("a")].HeldFence(sample, mNow);
            const auto b = held[target_name("b")].HeldFence(sample, mNow);
            ASSERT_FALSE(a && b) << SampleKey(sample);
            if (!a && !b) {
              continue;
            }
            const target_name holder(a ? "a" : "b");
            const fence number = a ? *a : *b;
            const auto [found, isFirst] =
              last.try_emplace(sample, holder, number);
            if (!isFirst) {
              ASSERT_TRUE(found->second.first == holder
                            ? number >= found->second.second
                            : number > found->second.second);
              found->second = { holder, number };
            }
          }
        }
        // A new process gets keys at once. A target whose last grant failed
        // gets none before a grant succeeds.
        for (uint32_t sample = 0; sample < kSampleCount && restarts; ++sample) {
          EXPECT_TRUE(held[target_name("a")].HeldFence(sample, mNow));
        }
      }
    }
  }
}

// Guards against two owners of one key when a new leader gives an owner a new
// fence while a release of the former leader is pending at it. The owner
// keeps the keys, and the former leader can't record another one.
TEST_F(range_controller_test, FenceChangeIsSafeDuringAFormerLeadersRelease)
{
  Step();
  std::map<target_name, range_target> held;
  const auto execute = [&](range_controller& aLeader, const auto& aGrant) {
    aLeader.HandleGrantResult(
      aGrant.mId,
      held[aGrant.mAddress.mTarget].HandleGrant(aGrant, mNow),
      mNow);
  };
  for (const grant_order& grant : Orders<grant_order>()) {
    execute(mController, grant);
  }
  const range_record record = mController.Record();
  const store_revision revision(mRevision);
  mTargets[0].mTarget.mDraining = true;
  UpdateTargets();
  const auto releases = Orders<release_order>();
  ASSERT_EQ(releases.size(), 1u);
  uint32_t sample = 0;
  while (!releases[0].mKeys.Contains(SampleKey(sample))) {
    ++sample;
  }
  // The owner stops new work and will respond when the running work has
  // ended.
  held[target_name("a")].HandleRelease(releases[0]);

  range_controller next{ range_settings() };
  next.HandleRecord(record, revision);
  next.StartLeading({ term_number(2), mNow, mNow });
  next.HandleFormerLeadersGone(mNow);
  mTargets[0].mTarget.mDraining = false;
  next.HandleTargets({ &mTargets[0], &mTargets[1] }, mNow);
  const auto run = [&](duration aTime) {
    for (const time_point until = mNow + aTime; mNow < until; mNow += 20ms) {
      next.HandleLeadershipConfirmed(mNow);
      for (const range_action& action : next.Step(mNow)) {
        if (const auto* grant = std::get_if<grant_order>(&action)) {
          execute(next, *grant);
        } else if (const auto* write = std::get_if<write_record>(&action)) {
          next.HandleWriteResult(
            write->mId, true, store_revision(++mRevision), mNow);
        } else {
          ADD_FAILURE() << "the new leader moves keys";
        }
      }
    }
  };
  run(200ms);
  // The new leader has changed the fence, and the owner serves again.
  const auto heldByOwner = held[target_name("a")].HeldFence(sample, mNow);
  ASSERT_TRUE(heldByOwner);
  EXPECT_GE(*heldByOwner, releases[0].mFence);
  EXPECT_EQ(next.Record().mRanges.size(), 2u);

  // The response to the release reaches the former leader, which doesn't know
  // yet that it has a successor. Its write is conditional on its leadership
  // and on the old revision, so the store refuses it.
  mController.HandleReleaseResult(
    releases[0].mId, order_result::kAccepted, "", mNow);
  size_t writes = 0;
  for (const range_action& action : mController.Step(mNow)) {
    if (const auto* write = std::get_if<write_record>(&action)) {
      ++writes;
      EXPECT_LT(write->mExpectedRevision, store_revision(mRevision));
      mController.HandleWriteResult(write->mId, false, {}, mNow);
    } else if (const auto* grant = std::get_if<grant_order>(&action)) {
      EXPECT_EQ(grant->mAddress.mTarget, target_name("b"));
      EXPECT_EQ(FindRange(record, grant->mKeys.mFirst)->mOwner.mName,
                target_name("b"));
    }
  }
  EXPECT_EQ(writes, 1u);

  // A copy of the release that arrives late interrupts the keys at most until
  // the next renewal.
  held[target_name("a")].HandleRelease(releases[0]);
  run(1s);
  EXPECT_TRUE(held[target_name("a")].HeldFence(sample, mNow));
  EXPECT_FALSE(held[target_name("b")].HeldFence(sample, mNow));
}

// Guards against two owners of one key after a restore of the store: a record
// that the store has lost may name other owners.
TEST_F(range_controller_test, GrantsAndMovesNothingWhileRecordsAreRecovered)
{
  Step();
  mController.StopLeading(mNow);
  const term_number term(FirstNumberOf(store_era(2)));
  leadership recovering{ term, mNow, mNow };
  recovering.mRecovers = true;
  mController.StartLeading(recovering);
  EXPECT_TRUE(Step().empty());
  mController.HandleFormerLeadersGone(mNow);
  mController.HandleRecordsRecovered(mNow + 4s);
  mNow += 3900ms;
  EXPECT_TRUE(Step().empty());
  EXPECT_EQ(mController.NextStepTime(), mNow + 100ms);
  mNow += 100ms;
  EXPECT_TRUE(Step().empty());
  const auto grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 2u);
  EXPECT_GE(grants[0].mFence.Value(), FirstNumberOf(store_era(2)));
}

// Guards against keys that lose their owner at each restore, and against the
// renewal of a grant that the owner has refused or that another process may
// get.
TEST_F(range_controller_test, LeaderOfBothErasRenewsItsGrantsWhileItRecovers)
{
  AssignKeysToBothTargets();
  const std::vector<owned_range> ranges = mController.Record().mRanges;
  mController.StopLeading(mNow);
  leadership continued{ term_number(FirstNumberOf(store_era(2))), mNow, mNow };
  continued.mRecovers = true;
  continued.mContinues = true;
  mController.StartLeading(continued);
  auto grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 2u);
  for (const grant_order& each : grants) {
    EXPECT_EQ(each.mFence, ranges[0].mFence);
    EXPECT_EQ(each.mConnectUntil, time_point::min());
  }
  mController.HandleGrantResult(grants[0].mId, order_result::kAccepted, mNow);
  mController.HandleGrantResult(grants[1].mId, order_result::kFenced, mNow);
  mNow += 1s;
  grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 1u);
  EXPECT_EQ(grants[0].mKeys, ranges[0].mKeys);
}

// Guards against the renewal of grants that another leader may have waited for.
TEST_F(range_controller_test, LeaderThatWasUnconfirmedTooLongRenewsNothing)
{
  AssignKeysToBothTargets();
  mController.StopLeading(mNow);
  mNow += range_settings().mMaxConfirmationAgeToRenew + 1ms;
  leadership continued{ term_number(FirstNumberOf(store_era(2))), mNow, mNow };
  continued.mRecovers = true;
  continued.mContinues = true;
  mController.StartLeading(continued);
  EXPECT_TRUE(Step().empty());
}

// Guards against grants of the time before a restore that are renewed for
// longer than a later leader, which doesn't know of them, waits.
TEST_F(range_controller_test, KeptGrantsAreRenewedForLongOnlyIfRecorded)
{
  AssignKeysToBothTargets();
  const std::vector<owned_range> ranges = mController.Record().mRanges;
  mController.StopLeading(mNow);
  leadership continued{ term_number(FirstNumberOf(store_era(2))), mNow, mNow };
  continued.mRecovers = true;
  continued.mContinues = true;
  mController.StartLeading(continued);
  const time_point until = mNow + range_settings().mMaxConfirmationAgeToRenew;
  mNow = until - 100ms;
  mController.HandleLeadershipConfirmed(mNow);
  auto grants = Orders<grant_order>();
  ASSERT_EQ(grants.size(), 2u);
  for (const grant_order& each : grants) {
    EXPECT_EQ(each.mSendUntil, until);
    mController.HandleGrantResult(each.mId, order_result::kAccepted, mNow);
  }
  mNow += 1s;
  mController.HandleLeadershipConfirmed(mNow);
  EXPECT_TRUE(Orders<grant_order>().empty());
  mController.HandleRecordWritable();
  mRevision = MakeRevision(store_era(2), 1).Value();
  Step();
  grants = Orders<grant_order>();
  EXPECT_EQ(grants.size(), 2u);
  EXPECT_EQ(mController.Record().mRanges, ranges);
}

} // namespace parsleystair
