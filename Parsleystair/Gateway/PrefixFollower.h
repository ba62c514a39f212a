#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <random>

namespace parsleystair {

/// What a follower tells of its part of the store.
class prefix_listener
{
public:
  virtual ~prefix_listener() = default;

  /// All keys of the prefix, after a start or a gap in the history.
  virtual void HandleItems(const std::vector<stored_item>& aItems) = 0;
  virtual void HandleChange(const item_change& aChange) = 0;
  /// The store stopped answering, and answers again.
  virtual void HandleLost() = 0;
  virtual void HandleBack() = 0;
  /// The store dropped its history, or answers again after a call without an
  /// answer, so that other watches may be lost and miss changes.
  virtual void HandleGap() = 0;
};

/// Keeps a listener up to date with all keys of one prefix by waiting watches.
class prefix_follower
{
public:
  /// `aMaxWatchWait`: of one watch. Each is a paid call; one that the store
  /// took and lost is found this much later.
  prefix_follower(event_loop& aLoop,
                  coordination_store& aStore,
                  std::string aPrefix,
                  prefix_listener& aListener,
                  duration aMaxWatchWait,
                  uint64_t aSeed);
  prefix_follower(const prefix_follower&) = delete;
  prefix_follower& operator=(const prefix_follower&) = delete;

  void Start();

  /// Another watch met a gap at `aGapAt`. Reads everything again unless the
  /// store answers this follower's own watch soon.
  void CheckAfterGap(time_point aGapAt);

  /// True after the first whole read.
  [[nodiscard]] bool HasRead() const { return mHasRead; }

private:
  void Read();
  void Watch();
  void HandleRead(const prefix_reply& aReply);
  void HandleWatch(const watch_reply& aReply);
  void ReadUnlessAnswered(time_point aGapAt);
  void RecordReply();
  void ScheduleRetry(call_outcome aOutcome, bool aRetryRead);

  event_loop& mLoop;
  coordination_store& mStore;
  std::string mPrefix;
  prefix_listener& mListener;
  duration mMaxWatchWait;
  std::mt19937_64 mRandom;
  store_revision mRevision;
  bool mHasRead = false;
  uint32_t mFailures = 0;
  /// A call was not answered, and none has been since.
  bool mHadUnansweredCall = false;
  time_point mLastReplyAt = time_point::min();
  /// The last answer with changes.
  time_point mLastChangeAt = time_point::min();
  /// Watches of an earlier number have been given up.
  uint64_t mWatchGeneration = 0;
  timer mTimer;
  timer mGapTimer;
};

} // namespace parsleystair
