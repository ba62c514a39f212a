#include "Parsleystair/Ownership/GroupState.h"
#include "Parsleystair/Core/Error.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const slot_id kSlot{ service_name("orders"), slot_index(3) };
const target_id kOwner{ kSlot.mService, target_name("old") };
constexpr time_point kStart{ 100s };

live_router Router(const char* aName)
{
  return { { vm_name(aName), incarnation(1) },
           failure_domain_name(aName),
           false };
}

/// Record of a group with holders a, b and c whose only slot is being moved.
group_record MovingRecord(uint64_t aRevision)
{
  group_record record{ group_index(0), store_revision(aRevision), {}, {} };
  for (const char* name : { "a", "b", "c" }) {
    record.mHolders.push_back({ vm_name(name), incarnation(1), false });
  }
  record.mSlots[kSlot] = { kOwner.mTarget,
                           fence(1),
                           slot_move{ target_name("new"),
                                      move_reason::kBalance },
                           0 };
  return record;
}

/// State of holder a, which has just received the record of the move at
/// revision 10.
class group_state_test : public testing::Test
{
protected:
  group_state_test()
  {
    mRouters.SetView({ { Router("a"), Router("b"), Router("c") }, {} }, kStart);
    mState.ApplyRecord(MovingRecord(10), kStart);
  }

  void Ack(const char* aHolder, time_point aSentAt, time_point aNow)
  {
    mState.HandleAck(vm_name(aHolder), store_revision(10), aSentAt);
    mState.Update(mRouters, aNow);
  }

  [[nodiscard]] bool CanFinishMove(time_point aNow) const
  {
    return mState.CanFinishMove(kSlot, 0ms, aNow);
  }

  ownership_settings mSettings;
  router_table mRouters{ Router("a") };
  group_state mState{ group_index(0), mSettings };
};

} // namespace

// Guards against an exclusion wait that starts before two holders know of the
// move.
TEST_F(group_state_test, StartsWaitAtQuorumAcknowledgement)
{
  EXPECT_FALSE(CanFinishMove(kStart + 10s));
  Ack("b", kStart + 1s, kStart + 1s);
  EXPECT_FALSE(CanFinishMove(kStart + 1s + mSettings.ExclusionWait() - 1us));
  EXPECT_TRUE(CanFinishMove(kStart + 1s + mSettings.ExclusionWait()));
  EXPECT_FALSE(mState.CanFinishMove(
    kSlot, 500ms, kStart + 1s + mSettings.ExclusionWait() + 499ms));
}

// Guards against counting a release too early: while an older record can still
// be confirmed, the slot could be granted again to the target's next process,
// which does not know of the release.
TEST_F(group_state_test, AcceptsReleaseOnlyAfterQuorumAck)
{
  const store_revision revision(10);
  mState.HandleAcceptedGrant(kOwner, revision, {}, kStart);
  Ack("b", kStart + 5ms, kStart + 10ms);
  mState.HandleAcceptedGrant(kOwner, revision, {}, kStart + 9ms);
  EXPECT_FALSE(CanFinishMove(kStart + 20ms));
  // A target that still runs a request of the slot has not released it.
  mState.HandleAcceptedGrant(kOwner, revision, { kSlot }, kStart + 11ms);
  EXPECT_FALSE(CanFinishMove(kStart + 20ms));
  mState.HandleAcceptedGrant(kOwner, store_revision(9), {}, kStart + 11ms);
  EXPECT_FALSE(CanFinishMove(kStart + 20ms));
  mState.HandleAcceptedGrant(kOwner, revision, {}, kStart + 11ms);
  EXPECT_TRUE(CanFinishMove(kStart + 20ms));
}

// Guards against a quorum of two acknowledgements when the first holder
// restarted, and so forgot the record, before the second acknowledged.
TEST_F(group_state_test, IgnoresExpiredAcknowledgements)
{
  group_record other = MovingRecord(11);
  other.mHolders[0].mVm = vm_name("d");
  mState.ApplyRecord(other, kStart);
  mState.HandleAck(vm_name("b"), store_revision(11), kStart);
  mState.HandleAck(vm_name("c"), store_revision(11), kStart + 1100ms);
  mState.Update(mRouters, kStart + 1110ms);
  EXPECT_FALSE(mState.Progress().at(kSlot).mQuorumAckedAt);
  mState.HandleAck(vm_name("b"), store_revision(11), kStart + 1200ms);
  mState.Update(mRouters, kStart + 1210ms);
  EXPECT_TRUE(mState.Progress().at(kSlot).mQuorumAckedAt);
}

// Guards against authority that rests on one holder or on an older record.
TEST_F(group_state_test, NeedsTwoHoldersThatConfirmTheNewestRecord)
{
  mState.HandleHolderConfirmation(vm_name("b"), store_revision(10), kStart);
  mState.Update(mRouters, kStart);
  // This router is not ready yet, so its own confirmation does not count.
  EXPECT_EQ(mState.AuthorityUntil(), time_point::min());
  mState.HandleFetchedRecord(vm_name("b"));
  mState.HandleFetchedRecord(vm_name("c"));
  mState.Update(mRouters, kStart + 5ms);
  EXPECT_EQ(mState.AuthorityUntil(), kStart + mSettings.mAuthorityDuration);
  mState.HandleUnreadableRecord(store_revision(12));
  EXPECT_EQ(mState.AuthorityUntil(), time_point::min());
}

// Guards against quorums that do not overlap while a holder is joining.
TEST_F(group_state_test, NeedsBothReadyHoldersWhileOneJoins)
{
  group_record joining = MovingRecord(11);
  joining.mHolders[2].mJoining = true;
  EXPECT_EQ(Quorum(joining), 2U);
  mState.ApplyRecord(joining, kStart);
  mState.HandleAck(vm_name("c"), store_revision(11), kStart);
  EXPECT_FALSE(mState.IsQuorumAcked(store_revision(11), mRouters, kStart));
  mState.HandleAck(vm_name("b"), store_revision(11), kStart);
  EXPECT_TRUE(mState.IsQuorumAcked(store_revision(11), mRouters, kStart));
}

// Guards against a change of owner without a release or a completed wait, and
// against a decreasing fence.
TEST_F(group_state_test, RejectsUnsafeOwnerChange)
{
  group_record next = MovingRecord(10);
  next.mSlots[kSlot] = { target_name("new"), fence(10), std::nullopt, 0 };
  EXPECT_THROW(mState.CheckNextRecord(next, kStart), invariant_error);
  Ack("b", kStart, kStart);
  EXPECT_NO_THROW(
    mState.CheckNextRecord(next, kStart + mSettings.ExclusionWait()));
  next.mSlots[kSlot].mFence = fence(0);
  next.mRevision = store_revision(11);
  EXPECT_THROW(mState.ApplyRecord(next, kStart), invariant_error);
}

} // namespace parsleystair
