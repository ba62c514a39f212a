#include "Parsleystair/Tasks/PlacementDriver.h"

namespace parsleystair {

namespace {

/// Weight of the newest interval in the average; with an interval of 5 s a
/// change of load counts by half after 15 s.
constexpr double kNewestWeight = 0.2;
/// Averages below this many requests a second are forgotten.
constexpr double kSmallestLoad = 0.001;
constexpr uint64_t kBalanceWindowMs = 60'000;
constexpr uint64_t kMinutesPerDay = 1440;
constexpr uint64_t kMillisecondsPerMinute = 60'000;

uint64_t Milliseconds(wall_time aTime)
{
  return static_cast<uint64_t>(aTime.time_since_epoch().count());
}

slot_status StatusOf(const slot_ownership& aOwnership,
                     time_point aNow,
                     uint64_t aWallMs)
{
  slot_status status;
  status.mOwner = aOwnership.mOwner;
  if (aOwnership.mMove) {
    status.mMovingTo = aOwnership.mMove->mDestination;
  }
  const uint64_t age =
    aWallMs > aOwnership.mSinceMs ? aWallMs - aOwnership.mSinceMs : 0;
  status.mSince = aNow - std::chrono::milliseconds(age);
  return status;
}

} // namespace

placement_driver::placement_driver(const control_state& aState)
  : mState(aState)
  , mPlannedAt(aState.mStartedAt)
{
}

void placement_driver::Handle(const traffic_report& aReport)
{
  for (const slot_traffic& traffic : aReport.mTraffic) {
    mCounts[traffic.mSlot] += traffic.mResponded;
  }
}

void placement_driver::UpdateLoads(time_point aNow)
{
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double seconds =
    static_cast<double>((aNow - mPlannedAt).count()) / kMicrosecondsPerSecond;
  mPlannedAt = aNow;
  if (seconds <= 0) {
    return;
  }
  for (auto& [slot, load] : mLoads) {
    load *= 1 - kNewestWeight;
  }
  for (const auto& [slot, count] : mCounts) {
    mLoads[slot] += kNewestWeight * static_cast<double>(count) / seconds;
  }
  mCounts.clear();
  std::erase_if(
    mLoads, [](const auto& aEntry) { return aEntry.second < kSmallestLoad; });
}

placement_input placement_driver::MakeInput(time_point aNow,
                                            wall_time aWall) const
{
  const uint64_t wallMs = Milliseconds(aWall);
  placement_input input;
  input.mConfiguration = mState.mConfiguration.Current();
  input.mRegion = mState.Region();
  input.mNow = aNow;
  input.mMinuteOfDay =
    static_cast<uint32_t>(wallMs / kMillisecondsPerMinute % kMinutesPerDay);
  const ownership_dump ownership = mState.mOwnership.Dump(aNow);
  for (const group_dump& group : ownership.mGroups) {
    for (const auto& [slot, owned] : group.mRecord.mSlots) {
      service_status& service = input.mServices[slot.mService];
      slot_status status = StatusOf(owned, aNow, wallMs);
      const auto load = mLoads.find(slot);
      status.mLoad =
        measured_load{ load == mLoads.end() ? 0 : load->second, aNow };
      const bool isRecent = owned.mSinceMs + kBalanceWindowMs > wallMs;
      service.mRecentMoves += isRecent ? 1 : 0;
      service.mSlots.emplace(slot.mSlot, std::move(status));
    }
  }
  for (const target_dump& target : ownership.mTargets) {
    if (target.mIsLost) {
      service_status& service = input.mServices[target.mTarget.mService];
      service.mTargets[target.mTarget.mTarget] = {
        target_state::kLost, target.mLastReplyAt.value_or(aNow), std::nullopt
      };
    }
  }
  return input;
}

std::vector<planned_move> placement_driver::Plan(time_point aNow,
                                                 wall_time aWall)
{
  UpdateLoads(aNow);
  const auto& current = mState.mConfiguration.Current();
  if (current == nullptr || mLoads.empty()) {
    return {};
  }
  // Lost and leaving targets are the ownership controller's own business.
  std::vector<planned_move> moves;
  for (const planned_move& move : mPlanner.Plan(MakeInput(aNow, aWall))) {
    const group_index group =
      GroupOf(move.mSlot.mService, move.mSlot.mSlot, current->mGroupCount);
    if (move.mReason == move_reason::kBalance &&
        mState.mOwnership.Rank(group) == 0) {
      moves.push_back(move);
    }
  }
  return moves;
}

} // namespace parsleystair
