#include "Parsleystair/KeyRanges/RangeController.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>

// Moves of keys out of evacuated failure domains.

namespace parsleystair {

namespace {

/// One leading controller, the targets of four failure domains, and a network
/// and a store with delays.
class evacuation_moves_test : public testing::Test
{
protected:
  static constexpr size_t kTargets = 80;
  static constexpr size_t kDomains = 4;
  static constexpr uint32_t kRanges = 270;
  static constexpr duration kStepTime = 20ms;
  /// Time until a target has ended its work on keys that it releases.
  static constexpr duration kReleaseTime = 600ms;
  static constexpr duration kGrantTime = 30ms;
  static constexpr duration kWriteTime = 40ms;

  evacuation_moves_test()
  {
    for (size_t index = 0; index < kTargets; ++index) {
      known_target& each = mTargets.emplace_back();
      each.mTarget.mName = target_name("t" + std::to_string(index));
      each.mTarget.mFailureDomain = DomainOf(index);
      each.mTarget.mHost = "10.0.0.1";
      each.mTarget.mPort = static_cast<uint16_t>(index + 1);
      each.mTarget.mConcurrency = 3;
      each.mTarget.mStartedMs = 7;
    }
    range_record record;
    record.mTerm = term_number(1);
    constexpr uint32_t kKeys = (kMaxKeyNumber + 1) / kRanges;
    for (uint32_t range = 0; range < kRanges; ++range) {
      const bool isLast = range + 1 == kRanges;
      record.mRanges.push_back(
        { { range * kKeys, isLast ? kMaxKeyNumber : (range + 1) * kKeys - 1 },
          { mTargets[range % kTargets].mTarget.mName, 7 },
          fence(1),
          "" });
    }
    record.mNextFence = 2;
    mRecord = record;
    Lead(1);
    Run(5s);
  }

  static failure_domain_name DomainOf(size_t aTarget)
  {
    return failure_domain_name("zone-" + std::to_string(aTarget % kDomains));
  }

  /// Replaces the leader by one that knows only what is in the store.
  void Lead(uint64_t aTerm)
  {
    mEvents.clear();
    mController = std::make_unique<range_controller>(range_settings());
    mController->HandleRecord(mRecord, store_revision(++mRevision));
    mController->StartLeading({ term_number(aTerm), mNow, mNow });
    UpdateTargets();
  }

  void SetEvacuated(const std::set<failure_domain_name>& aDomains)
  {
    for (known_target& each : mTargets) {
      each.mEvacuated = aDomains.contains(each.mTarget.mFailureDomain);
    }
    UpdateTargets();
  }

  void UpdateTargets()
  {
    std::vector<const known_target*> pointers;
    for (const known_target& each : mTargets) {
      pointers.push_back(&each);
    }
    mController->HandleTargets(pointers, mNow);
  }

  void Run(duration aTime)
  {
    for (const time_point end = mNow + aTime; mNow < end;) {
      mNow += kStepTime;
      for (auto event = mEvents.begin();
           event != mEvents.end() && event->first <= mNow;
           event = mEvents.erase(event)) {
        event->second();
      }
      if (!mIsStoreSilent) {
        mController->HandleLeadershipConfirmed(mNow);
      }
      for (const range_action& action : mController->Step(mNow)) {
        std::visit([&](const auto& aAction) { Execute(aAction); }, action);
      }
    }
  }

  void Execute(const grant_order& aOrder)
  {
    const target_name& target = aOrder.mAddress.mTarget;
    ++mGrants[target];
    mEvents.emplace(mNow + kGrantTime, [this, aOrder] {
      mController->HandleGrantResult(aOrder.mId, order_result::kAccepted, mNow);
    });
  }

  void Execute(const release_order& aOrder)
  {
    ++mReleases;
    mEvents.emplace(mNow + kReleaseTime, [this, aOrder] {
      mController->HandleReleaseResult(
        aOrder.mId, order_result::kAccepted, "h", mNow);
    });
  }

  void Execute(const write_record& aWrite)
  {
    if (mIsStoreSilent) {
      mEvents.emplace(mNow + 1s, [this, aWrite] {
        mController->HandleWriteResult(
          aWrite.mId, false, store_revision(0), mNow);
      });
      return;
    }
    mEvents.emplace(mNow + kWriteTime, [this, aWrite] {
      for (const owned_range& range : aWrite.mRecord.mRanges) {
        const owned_range* old = FindRange(mRecord, range.mKeys.mFirst);
        if (old->mOwner != range.mOwner && IsEvacuated(range.mOwner.mName)) {
          ++mMovesIntoEvacuated;
        }
      }
      mRecord = aWrite.mRecord;
      mController->HandleWriteResult(
        aWrite.mId, true, store_revision(++mRevision), mNow);
    });
  }

  [[nodiscard]] bool IsEvacuated(const target_name& aTarget) const
  {
    return std::any_of(
      mTargets.begin(), mTargets.end(), [&](const known_target& aKnown) {
        return aKnown.mTarget.mName == aTarget && aKnown.mEvacuated;
      });
  }

  /// Ranges that are recorded for evacuated owners.
  [[nodiscard]] size_t EvacuatedRanges() const
  {
    return static_cast<size_t>(std::count_if(mRecord.mRanges.begin(),
                                             mRecord.mRanges.end(),
                                             [&](const owned_range& aRange) {
                                               return IsEvacuated(
                                                 aRange.mOwner.mName);
                                             }));
  }

  [[nodiscard]] size_t GrantsOfEvacuated() const
  {
    size_t count = 0;
    for (const auto& [target, grants] : mGrants) {
      count += IsEvacuated(target) ? grants : 0;
    }
    return count;
  }

  /// Runs until no range is recorded for an evacuated owner. Returns the time
  /// that it took.
  duration RunUntilMoved()
  {
    const time_point start = mNow;
    while (EvacuatedRanges() > 0 && mNow < start + 30s) {
      Run(kStepTime);
    }
    return mNow - start;
  }

  const failure_domain_name mZone = DomainOf(0);
  time_point mNow{ 1h };
  std::vector<known_target> mTargets;
  range_record mRecord;
  uint64_t mRevision = 10;
  std::unique_ptr<range_controller> mController;
  std::multimap<time_point, std::function<void()>> mEvents;
  bool mIsStoreSilent = false;
  std::map<target_name, size_t> mGrants;
  size_t mReleases = 0;
  size_t mMovesIntoEvacuated = 0;
};

} // namespace

// Guards against keys that stay in an evacuated zone for longer than the 5 s
// within which its targets must be out of use.
TEST_F(evacuation_moves_test, QuarterOfTheOwnersIsMovedInTime)
{
  SetEvacuated({ mZone });
  const size_t ranges = EvacuatedRanges();
  EXPECT_GE(ranges, 60u);
  const duration took = RunUntilMoved();
  std::cout << ranges << " ranges of " << kTargets / kDomains << " owners in "
            << ToSeconds(took) << " s\n";
  EXPECT_LT(took, 2s);
  EXPECT_EQ(mMovesIntoEvacuated, 0u);
}

// Guards against keys that return to the zone while its key exists, and against
// a zone that gets none after it was taken back.
TEST_F(evacuation_moves_test, KeysReturnOnlyAfterTheZoneIsTakenBack)
{
  const auto runWithLoad = [&] {
    for (int second = 0; second < 20; ++second) {
      key_counts counts;
      for (uint32_t key = 0; key <= kMaxKeyNumber; key += 64) {
        counts[key_load::BucketOf(key)] = 1;
      }
      mController->HandleLoad({ counts, {} }, mNow);
      Run(1s);
    }
  };
  SetEvacuated({ mZone });
  runWithLoad();
  EXPECT_EQ(EvacuatedRanges(), 0u);
  EXPECT_EQ(mMovesIntoEvacuated, 0u);
  SetEvacuated({});
  runWithLoad();
  std::set<target_name> owners;
  for (const owned_range& range : mRecord.mRanges) {
    owners.insert(range.mOwner.mName);
  }
  EXPECT_GT(owners.size(), kTargets * 9 / 10);
}

// Guards against keys that stay in one of two zones that are evacuated at once,
// or move from one into the other.
TEST_F(evacuation_moves_test, TwoZonesAreMovedAtOnce)
{
  SetEvacuated({ mZone, DomainOf(1) });
  EXPECT_LT(RunUntilMoved(), 2s);
  EXPECT_EQ(mMovesIntoEvacuated, 0u);
}

// Guards against keys that lose their owner although nobody can take them: they
// would have none when the zone is taken back.
TEST_F(evacuation_moves_test, OwnersKeepTheirKeysWhileAllZonesAreEvacuated)
{
  const std::set<failure_domain_name> all = {
    DomainOf(0), DomainOf(1), DomainOf(2), DomainOf(3)
  };
  const size_t releases = mReleases;
  const size_t grants = GrantsOfEvacuated();
  const range_record before = mRecord;
  SetEvacuated(all);
  Run(5s);
  EXPECT_EQ(mReleases, releases);
  EXPECT_GT(GrantsOfEvacuated(), grants + 5 * kRanges);
  EXPECT_EQ(mRecord, before);
  SetEvacuated({ mZone });
  EXPECT_LT(RunUntilMoved(), 2s);
}

// Guards against keys that stay in the zone because the leader ended when it
// had moved some.
TEST_F(evacuation_moves_test, NextLeaderMovesTheRest)
{
  SetEvacuated({ mZone });
  Run(200ms);
  EXPECT_GT(EvacuatedRanges(), 0u);
  Lead(2);
  Run(200ms);
  mController->HandleFormerLeadersGone(mNow);
  EXPECT_LT(RunUntilMoved(), 3s);
  EXPECT_EQ(mMovesIntoEvacuated, 0u);
}

// Guards against evacuated owners that lose their grants, and against keys that
// stay in the zone, because the store was silent when the zone was evacuated.
TEST_F(evacuation_moves_test, OwnersKeepTheirGrantsWhileTheStoreIsSilent)
{
  mIsStoreSilent = true;
  Run(2s);
  SetEvacuated({ mZone });
  const size_t grants = GrantsOfEvacuated();
  Run(4s);
  EXPECT_GT(GrantsOfEvacuated(), grants + EvacuatedRanges());
  mIsStoreSilent = false;
  EXPECT_LT(RunUntilMoved(), 2s);
}

// Guards against moves that never end because the store was silent after the
// keys had been released.
TEST_F(evacuation_moves_test, MovesEndAfterTheStoreWasSilentPartway)
{
  SetEvacuated({ mZone });
  Run(200ms);
  mIsStoreSilent = true;
  Run(4s);
  EXPECT_GT(EvacuatedRanges(), 0u);
  mIsStoreSilent = false;
  EXPECT_LT(RunUntilMoved(), 2s);
  EXPECT_EQ(mMovesIntoEvacuated, 0u);
}

// Guards against moves that never end, or keys without grants, because the zone
// was taken back partway.
TEST_F(evacuation_moves_test, ZoneIsTakenBackPartway)
{
  SetEvacuated({ mZone });
  Run(200ms);
  SetEvacuated({});
  Run(3s);
  EXPECT_EQ(mController->PendingMoves(), 0u);
  for (const owned_range& range : mRecord.mRanges) {
    EXPECT_GT(mGrants[range.mOwner.mName], 0u);
  }
}

} // namespace parsleystair
