#include "Parsleystair/Gateway/PrefixFollower.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <utility>

namespace parsleystair {

namespace {

/// Wait of the first watch after a failure. It is short to show soon whether
/// the store still replies to watches on this network path.
constexpr duration kWatchWaitAfterFailure = 300ms;
/// Interval of watches while none gets a reply. A store that was silent has
/// forgotten them, so this is the time until its return is found.
constexpr duration kProbeInterval = 1s;
/// Shortest interval of calls that only confirm the present state.
constexpr duration kMinConfirmInterval = 500ms;
/// Wait of a watch that only confirms the present state.
constexpr duration kConfirmationWait = 1ms;
/// Delays of the next watch after changes, for single changes and during a
/// burst, so that changes in quick succession cost one call. Both are small
/// parts of the seconds within which a change must take effect.
constexpr duration kBatchDelay = 100ms;
constexpr duration kBurstBatchDelay = 400ms;
/// Changes within this time after the previous ones are likely to be followed
/// by more.
constexpr duration kBurstWindow = 1s;
/// Time within which the store also ends the other watches when it drops its
/// history.
constexpr duration kGapCheckDelay = 300ms;
/// Time within which a watch reports a change that another router knows, with
/// the longest delay before the watch.
constexpr duration kKnownChangeDelay = 500ms;
/// Longest retry delay after the first failure; doubles with each further
/// failure up to `kMaxRetryDelay`. Failed calls are billed, too.
constexpr duration kInitialRetryDelay = 100ms;
constexpr duration kMaxRetryDelay = 600ms;
/// Consecutive failures after which the store counts as lost.
constexpr uint32_t kFailuresUntilLost = 2;

const char* OutcomeName(call_outcome aOutcome)
{
  switch (aOutcome) {
    case call_outcome::kDone:
      return "done";
    case call_outcome::kConflict:
      return "conflict";
    case call_outcome::kGone:
      return "gone";
    case call_outcome::kTooLong:
      return "too-long";
    case call_outcome::kRefused:
      return "refused";
    case call_outcome::kUnknown:
      return "unanswered";
  }
  return "unanswered";
}

} // namespace

prefix_follower::prefix_follower(event_loop& aLoop,
                                 coordination_store& aStore,
                                 std::string aPrefix,
                                 prefix_listener& aListener,
                                 duration aMaxWatchWait,
                                 uint64_t aSeed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mListener(aListener)
  , mMaxWatchWait(aMaxWatchWait)
  , mRandom(aSeed)
{
}

void prefix_follower::Start()
{
  Read();
}

void prefix_follower::Read()
{
  const uint64_t generation = ++mGeneration;
  mTimer.Cancel();
  mIsReading = true;
  mLastCallAt = MonotonicNow();
  mStore.ReadPrefix(mPrefix, [this, generation](const prefix_reply& aReply) {
    if (generation == mGeneration) {
      mIsReading = false;
      HandleRead(aReply);
    }
  });
}

void prefix_follower::Watch()
{
  SendWatch(mFailures > 0 ? kWatchWaitAfterFailure : mMaxWatchWait);
}

void prefix_follower::SendWatch(duration aWait)
{
  const uint64_t number = ++mLatestWatch;
  mLastCallAt = MonotonicNow();
  mTimer.StartOnce(mLoop,
                   std::max(mStore.ReplyTime(aWait), kProbeInterval),
                   [this] { HandleOverdueWatch(); });
  mStore.Watch(
    mPrefix,
    mRevision,
    aWait,
    [this, generation = mGeneration, number](const watch_reply& aReply) {
      if (generation != mGeneration) {
        return;
      }
      const bool isLatest = number == mLatestWatch;
      if (aReply.mOutcome == call_outcome::kDone ||
          aReply.mOutcome == call_outcome::kGone ||
          aReply.mOutcome == call_outcome::kTooLong) {
        HandleWatch(aReply, isLatest);
      } else {
        HandleWatchFailure(aReply.mOutcome, isLatest);
      }
    });
}

void prefix_follower::HandleOverdueWatch()
{
  if (!std::exchange(mIsOverdue, true)) {
    log_line(log_severity::kInfo, "watch_overdue")
      .Add("prefix", mPrefix)
      .Add("revision", mRevision.Value())
      .Add("sent_us_ago", int64_t{ (MonotonicNow() - mLastCallAt).count() });
  }
  SendWatch(kWatchWaitAfterFailure);
}

bool prefix_follower::Confirm(time_point aNow)
{
  if (!mHasRead || mFailures > 0) {
    return false;
  }
  const bool isDue = mLastConfirmAt == time_point::min() ||
                     aNow - mLastConfirmAt >= kMinConfirmInterval;
  if (isDue && !mIsReading) {
    mLastConfirmAt = aNow;
    SendWatch(kConfirmationWait);
  }
  return true;
}

void prefix_follower::CheckAfterGap(time_point aGapAt)
{
  mGapTimer.StartOnce(
    mLoop, kGapCheckDelay, [this, aGapAt] { ReadUnlessAnswered(aGapAt); });
}

void prefix_follower::ReadUnlessAnswered(time_point aGapAt)
{
  const bool retries = mFailures > 0;
  if (!mHasRead || retries || mLastReplyAt >= aGapAt - kGapCheckDelay) {
    return;
  }
  log_line(log_severity::kInfo, "watch_given_up")
    .Add("prefix", mPrefix)
    .Add("revision", mRevision.Value());
  mTimer.Cancel();
  Read();
}

void prefix_follower::CheckAfterSilence()
{
  // A retry follows anyway after a failure.
  if (mHasRead && mFailures == 0 && !mIsReading) {
    SendWatch(kWatchWaitAfterFailure);
  }
}

void prefix_follower::HandleKnownChange(store_revision aRevision)
{
  if (!IsMissing(aRevision) || std::exchange(mAwaitsKnownChange, true)) {
    return;
  }
  // Later changes have as long to come.
  mKnownChangeTimer.StartOnce(
    mLoop, kKnownChangeDelay, [this, aRevision] { AskForChange(aRevision); });
}

bool prefix_follower::IsMissing(store_revision aKnownChange) const
{
  return mHasRead && EraOf(aKnownChange) == EraOf(mRevision) &&
         mRevision < aKnownChange;
}

void prefix_follower::AskForChange(store_revision aKnownChange)
{
  mAwaitsKnownChange = false;
  if (!IsMissing(aKnownChange)) {
    return;
  }
  ++mLateChanges;
  log_line(log_severity::kInfo, "watch_behind")
    .Add("prefix", mPrefix)
    .Add("revision", mRevision.Value())
    .Add("known", aKnownChange.Value())
    .Add("replied_us_ago", int64_t{ (MonotonicNow() - mLastReplyAt).count() });
  CheckAfterSilence();
}

void prefix_follower::HandleEraChange()
{
  if (mHasRead) {
    mTimer.Cancel();
    Read();
  }
}

void prefix_follower::HandleRead(const prefix_reply& aReply)
{
  if (aReply.mOutcome != call_outcome::kDone) {
    ScheduleRetry(aReply.mOutcome, true);
    return;
  }
  if (EraOf(aReply.mRevision) < EraOf(mRevision)) {
    // A relay or a delayed reply may still show the lost history.
    ScheduleRetry(call_outcome::kRefused, true);
    return;
  }
  RecordReply(aReply.mConfirmedAt);
  mRevision = aReply.mRevision;
  // Changes of the former era say nothing about this one.
  mLastChange = MakeRevision(EraOf(mRevision), 0);
  for (const stored_item& item : aReply.mItems) {
    mLastChange = std::max(mLastChange, item.mRevision);
  }
  mHasRead = true;
  mListener.HandleItems(aReply.mItems);
  mListener.HandleConfirmed();
  Watch();
}

void prefix_follower::HandleWatch(const watch_reply& aReply, bool aIsLatest)
{
  // The watch that was repeated may be lost, and those of other prefixes too.
  mHadUnansweredCall |= mIsOverdue && aIsLatest;
  if (aReply.mOutcome == call_outcome::kGone) {
    log_line(log_severity::kInfo, "history_gone")
      .Add("prefix", mPrefix)
      .Add("revision", mRevision.Value());
    RecordReply(time_point::min());
    mListener.HandleGap();
    Read();
    return;
  }
  if (aReply.mOutcome == call_outcome::kTooLong) {
    log_line(log_severity::kInfo, "watch_too_long")
      .Add("prefix", mPrefix)
      .Add("revision", mRevision.Value());
    RecordReply(time_point::min());
    Read();
    return;
  }
  if (EraOf(aReply.mRevision) != EraOf(mRevision)) {
    // The changes up to the restore are missing from the reply.
    ScheduleRetry(call_outcome::kRefused, true);
    return;
  }
  RecordReply(aReply.mConfirmedAt);
  const store_revision known = mRevision;
  mRevision = std::max(mRevision, aReply.mRevision);
  for (const item_change& change : aReply.mChanges) {
    if (change.mRevision > known) {
      mLastChange = std::max(mLastChange, change.mRevision);
      mListener.HandleChange(change);
    }
  }
  mListener.HandleConfirmed();
  if (aReply.mChanges.empty()) {
    Watch();
    return;
  }
  const time_point now = MonotonicNow();
  const bool inBurst =
    mLastChangeAt != time_point::min() && now - mLastChangeAt < kBurstWindow;
  mLastChangeAt = now;
  mTimer.StartOnce(
    mLoop, inBurst ? kBurstBatchDelay : kBatchDelay, [this] { Watch(); });
}

void prefix_follower::HandleWatchFailure(call_outcome aOutcome, bool aIsLatest)
{
  if (aIsLatest) {
    ScheduleRetry(aOutcome, false);
  } else {
    CountFailure(aOutcome);
  }
}

void prefix_follower::RecordReply(time_point aConfirmedAt)
{
  ++mGeneration;
  mTimer.Cancel();
  mLastReplyAt = MonotonicNow();
  mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
  mIsOverdue = false;
  if (mFailures >= kFailuresUntilLost) {
    log_line(log_severity::kInfo, "store_back").Add("prefix", mPrefix);
    mListener.HandleBack();
  }
  mFailures = 0;
  if (std::exchange(mHadUnansweredCall, false)) {
    mListener.HandleGap();
  }
}

void prefix_follower::CountFailure(call_outcome aOutcome)
{
  ++mFailures;
  mHadUnansweredCall |= aOutcome == call_outcome::kUnknown;
  if (mFailures == kFailuresUntilLost) {
    log_line(log_severity::kWarning, "store_lost")
      .Add("prefix", mPrefix)
      .Add("outcome", OutcomeName(aOutcome))
      .Add("revision", mRevision.Value());
    mListener.HandleLost();
  }
}

void prefix_follower::ScheduleRetry(call_outcome aOutcome, bool aRetryRead)
{
  constexpr uint32_t kMaxDoublings = 3;
  const duration maxDelay =
    std::min(kMaxRetryDelay,
             kInitialRetryDelay * (1 << std::min(mFailures, kMaxDoublings)));
  CountFailure(aOutcome);
  std::uniform_int_distribution<int64_t> delay(maxDelay.count() / 2,
                                               maxDelay.count());
  mTimer.StartOnce(mLoop, duration(delay(mRandom)), [this, aRetryRead] {
    if (aRetryRead || !mHasRead) {
      Read();
    } else {
      Watch();
    }
  });
}

} // namespace parsleystair
