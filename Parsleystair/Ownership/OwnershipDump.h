#pragma once

#include "Parsleystair/Ownership/GroupState.h"

namespace parsleystair {

/// Counters of stale messages, which were ignored because newer state was
/// known, and of failures, writes and owner changes.
struct ownership_counters
{
  uint64_t mStaleAnnouncements = 0;
  uint64_t mStaleStoreEntries = 0;
  uint64_t mStaleGrantReplies = 0;
  uint64_t mStaleConfirms = 0;
  uint64_t mStaleAcks = 0;
  uint64_t mStaleWriteReplies = 0;
  uint64_t mUnreadableRecords = 0;
  uint64_t mRejectedByTargets = 0;
  uint64_t mFailedGrants = 0;
  /// Writes that failed because another router wrote the record first.
  uint64_t mConflictingWrites = 0;
  /// Writes whose outcome was unknown, for example after a timeout.
  uint64_t mUnknownWrites = 0;
  /// Changes of a slot's owner that this router wrote.
  uint64_t mOwnerChanges = 0;

  bool operator==(const ownership_counters&) const = default;
};

struct group_dump
{
  group_record mRecord;
  size_t mRank = 0;
  bool mIsReady = false;
  bool mHasAuthority = false;
  bool mIsWriting = false;
  std::map<slot_id, move_progress> mMoves;

  bool operator==(const group_dump&) const = default;
};

struct target_dump
{
  target_id mTarget;
  bool mIsLost = false;
  uint64_t mBootId = 0;
  std::optional<time_point> mLastReplyAt;

  bool operator==(const target_dump&) const = default;
};

/// Snapshot of a router's ownership state for diagnostics.
struct ownership_dump
{
  vm_identity mSelf;
  bool mIsStoreAnswering = false;
  bool mIsCutOff = false;
  std::vector<group_dump> mGroups;
  std::vector<target_dump> mTargets;
  ownership_counters mCounters;

  bool operator==(const ownership_dump&) const = default;
};

} // namespace parsleystair
