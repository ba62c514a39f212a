#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <random>

namespace parsleystair {

/// Receives the events of a `prefix_follower`.
class prefix_listener
{
public:
  virtual ~prefix_listener() = default;

  /// All keys of the prefix, after the start or a gap in the history.
  virtual void HandleItems(const std::vector<stored_item>& aItems) = 0;
  virtual void HandleChange(const item_change& aChange) = 0;
  /// The store has confirmed that the listener knows all keys and changes.
  virtual void HandleConfirmed() = 0;
  /// The store stopped replying.
  virtual void HandleLost() = 0;
  /// The store replies again after `HandleLost`.
  virtual void HandleBack() = 0;
  /// The store dropped its history, or replies again after a call without a
  /// reply. Other watches may be lost and miss changes.
  virtual void HandleGap() = 0;
};

/// Keeps a listener up to date with all keys of one prefix through long-polling
/// watches. Reads the whole prefix instead when the store no longer has the
/// changes, or when they are longer than one reply may be. A watch without a
/// reply at the end of its wait is repeated before it fails, so that a store
/// that was silent is found again within a second.
class prefix_follower
{
public:
  /// `aMaxWatchWait`: longest wait of one watch. Each watch is a billed call; a
  /// watch that the store accepted and lost is detected after this time.
  prefix_follower(event_loop& aLoop,
                  coordination_store& aStore,
                  std::string aPrefix,
                  prefix_listener& aListener,
                  duration aMaxWatchWait,
                  uint64_t aSeed);
  prefix_follower(const prefix_follower&) = delete;
  prefix_follower& operator=(const prefix_follower&) = delete;

  void Start();

  /// Call when another follower met a gap at `aGapAt`. Reads the whole prefix
  /// again unless the store replies to this follower at about that time.
  void CheckAfterGap(time_point aGapAt);

  /// Call when the store replies again after a silence that another router met.
  /// It may have forgotten the watch that waits, so it is asked beside it.
  void CheckAfterSilence();

  /// Call when another router knows a change of revision `aRevision`. Asks the
  /// store beside the waiting watch if the change doesn't come soon.
  void HandleKnownChange(store_revision aRevision);

  /// Call when the store has come back from an older copy. Reads the whole
  /// prefix again.
  void HandleEraChange();

  /// Asks the store for a reply soon, unless one is due anyway. Returns false
  /// if the store doesn't reply at present.
  bool Confirm(time_point aNow);

  /// The store had no change after those that the listener has got at this
  /// time; `time_point::min()` before the first reply.
  [[nodiscard]] time_point ConfirmedAt() const { return mConfirmedAt; }

  /// Revision of the latest change that the listener has got.
  [[nodiscard]] store_revision LastChange() const { return mLastChange; }

  /// Number of changes that the store had to be asked for as the waiting watch
  /// didn't report them.
  [[nodiscard]] uint64_t LateChanges() const { return mLateChanges; }

  /// True after the first complete read.
  [[nodiscard]] bool HasRead() const { return mHasRead; }

private:
  void Read();
  void Watch();
  /// Sends a watch beside those that have no reply yet.
  void SendWatch(duration aWait);
  void HandleOverdueWatch();
  void HandleRead(const prefix_reply& aReply);
  void HandleWatch(const watch_reply& aReply, bool aIsLatest);
  void HandleWatchFailure(call_outcome aOutcome, bool aIsLatest);
  void ReadUnlessAnswered(time_point aGapAt);
  /// Tells if a change that another router knows is missing here.
  [[nodiscard]] bool IsMissing(store_revision aKnownChange) const;
  void AskForChange(store_revision aKnownChange);
  void RecordReply(time_point aConfirmedAt);
  void CountFailure(call_outcome aOutcome);
  void ScheduleRetry(call_outcome aOutcome, bool aRetryRead);

  event_loop& mLoop;
  coordination_store& mStore;
  std::string mPrefix;
  prefix_listener& mListener;
  duration mMaxWatchWait;
  std::mt19937_64 mRandom;
  store_revision mRevision;
  store_revision mLastChange;
  /// The time within which a change should come that another router has told of
  /// is not over.
  bool mAwaitsKnownChange = false;
  uint64_t mLateChanges = 0;
  bool mHasRead = false;
  uint32_t mFailures = 0;
  /// A call got no reply, and no call has got one since.
  bool mHadUnansweredCall = false;
  time_point mLastReplyAt = time_point::min();
  /// Time of the last reply with changes.
  time_point mLastChangeAt = time_point::min();
  time_point mConfirmedAt = time_point::min();
  time_point mLastCallAt = time_point::min();
  time_point mLastConfirmAt = time_point::min();
  bool mIsReading = false;
  /// Grows with each read and each reply. Replies to calls of earlier
  /// generations are ignored.
  uint64_t mGeneration = 0;
  /// Number of the latest watch.
  uint64_t mLatestWatch = 0;
  /// A watch got no reply at the end of its wait and was repeated.
  bool mIsOverdue = false;
  timer mTimer;
  timer mGapTimer;
  timer mKnownChangeTimer;
};

} // namespace parsleystair
