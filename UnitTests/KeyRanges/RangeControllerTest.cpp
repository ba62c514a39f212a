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
  { "partition router from store",
    2,
    &range_simulation::PartitionRouterFromStore },
  { "pause router", 2, &range_simulation::PauseRouter },
  { "refuse connections", 2, &range_simulation::RefuseConnections },
  { "lose responses", 2, &range_simulation::LoseResponses },
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
  for (const order_result result : { order_result::kRejected,
                                     order_result::kFenced,
                                     order_result::kNotSent,
                                     order_result::kNotAttempted,
                                     order_result::kNoResponse }) {
    SCOPED_TRACE(static_cast<int>(result));
    AssignKeysToBothTargets();
    const range_record before = mController.Record();
    const range_settings settings;
    const time_point expiry =
      mNow + settings.mMaxDeliveryDelay +
      std::chrono::duration_cast<duration>(settings.mGrantDuration *
                                           settings.mClockDriftFactor);
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
  const auto hold = std::chrono::duration_cast<duration>(
    settings.mGrantDuration * settings.mClockDriftFactor);
  const time_point safe = mNow + settings.mMaxConfirmationAgeToRenew +
                          settings.mMaxFormerDeliveryDelay + hold;
  while (mNow < safe) {
    next.HandleLeadershipConfirmed(mNow);
    for (const range_action& action : next.Step(mNow)) {
      EXPECT_FALSE(std::holds_alternative<write_record>(action));
    }
    mNow += 100ms;
  }
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
  }
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].mReason, ready_reason::kGrantExpired);
  EXPECT_EQ(moves[0].mOldOwner.mName, target_name("a"));
  EXPECT_EQ(moves[0].mFormerLeadersStoppedFor,
            mNow - (since + range_settings().mMaxConfirmationAgeToRenew));
  EXPECT_GT(moves[0].mFormerLeadersStoppedFor, range_settings().mGrantDuration);
}

} // namespace parsleystair
