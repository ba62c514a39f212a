#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace parsleystair {

/// Largest answer that is kept for repeats, headers included.
inline constexpr size_t kMaxRecordedAnswerBytes = 16 * 1024;

/// Bounds of a `request_record_table`.
struct request_record_limits
{
  size_t mMaxRecords = 100'000;
  /// Keys, answers and a fixed overhead of each record.
  size_t mMaxBytes = size_t{ 64 } * 1024 * 1024;
  /// Time for which a repeat of a request is recognised.
  std::chrono::milliseconds mRecordTime = 600s;
};

/// Numbers for metrics and tests.
struct request_record_counts
{
  size_t mRecords = 0;
  size_t mBytes = 0;
  /// Copies of one request key that named different attempts.
  uint64_t mConflicts = 0;
};

/// The holder's side of at-most-once: records of requests of all groups that
/// this router holds. A holder accepts at most one attempt of a request key for
/// as long as the key's record lives.
class request_record_table
{
public:
  request_record_table(vm_identity aSelf, request_record_limits aLimits);

  /// Takes over a group record that is newer than the known one. The holder is
  /// ready at once when `aComplete` says that this process has seen all
  /// requests since the group's holders were chosen, or since the time up to
  /// which the record says that records were lost.
  void UpdateGroup(const group_record& aRecord,
                   bool aComplete,
                   time_point aNow);

  /// Each handler first takes over `aKnown`, the caller's newest record of the
  /// group, as `UpdateGroup` does.
  begin_reply HandleBegin(const begin_message& aMessage,
                          const group_record& aKnown,
                          time_point aNow,
                          wall_time aWallNow);
  void HandleFinish(const finish_message& aMessage, time_point aNow);
  void HandleWithdraw(const withdraw_message& aMessage, time_point aNow);
  copy_records_reply HandleCopyRecords(const copy_records_message& aMessage,
                                       const group_record& aKnown,
                                       time_point aNow);

  /// Adds copies that were asked for with `aRequested`. Returns true when the
  /// holder is ready, which needs a complete copy from each other holder that
  /// isn't joining, `aRequested` being the newest known record, and enough
  /// space for all copies.
  bool InstallCopies(const group_record& aRequested,
                     const std::vector<copy_records_reply>& aCopies,
                     time_point aNow);

  /// Makes the holder ready without complete copies, after the loss of all
  /// other ready holders. Keys that may have run before `aSince` are answered
  /// kExpired.
  void MarkReadySince(group_index aGroup, wall_time aSince, time_point aNow);

  [[nodiscard]] bool IsReady(group_index aGroup) const;
  [[nodiscard]] const request_record_counts& Counts() const { return mCounts; }

private:
  using record_key = std::pair<group_index, request_key>;
  using expiry_index = std::multimap<time_point, record_key>;

  struct stored_record
  {
    /// Empty when copies named different attempts.
    execution_id mAttempt;
    /// 0 when copies had different contents.
    uint64_t mFingerprint = 0;
    bool mFinished = false;
    std::optional<http_response> mAnswer;
    size_t mBytes = 0;
    expiry_index::iterator mExpiry;
  };

  enum class group_role
  {
    kNone,
    /// The record lists an earlier process on this VM.
    kEarlierProcess,
    kHolder,
  };

  struct group_state
  {
    store_revision mRevision;
    std::vector<group_holder> mHolders;
    group_role mRole = group_role::kNone;
    bool mReady = false;
    /// Set by `MarkReadySince` or the group's record; in force until
    /// `mForcedUntil`, when records of requests from before would have expired.
    wall_time mForcedSince{};
    time_point mForcedUntil = time_point::min();
    /// The group's record doesn't tell of this loss yet.
    bool mIsForcedLocally = false;
    std::map<request_key, stored_record> mRecords;
  };

  void TakeOver(group_state& aGroup, const group_record& aRecord);
  void EraseRecords(group_state& aGroup);
  void EraseRecord(group_state& aGroup, const request_key& aKey);
  void ExpireRecords(time_point aNow);
  [[nodiscard]] duration Retention() const;
  [[nodiscard]] bool IsKeyExpired(const group_state& aGroup,
                                  uint64_t aKeyTimeMs,
                                  time_point aNow,
                                  wall_time aWallNow) const;
  /// Bytes of a record without its answer.
  [[nodiscard]] static size_t BaseBytes(const request_key& aKey,
                                        const execution_id& aAttempt);
  [[nodiscard]] bool Fits(size_t aBytes) const;
  void AddRecord(group_state& aGroup,
                 group_index aIndex,
                 const request_record& aRecord,
                 time_point aNow);
  void MergeRecord(stored_record& aStored, const request_record& aCopy);
  void StoreAnswer(stored_record& aRecord,
                   const std::optional<http_response>& aAnswer);
  bool InstallRecord(group_state& aGroup,
                     group_index aIndex,
                     const request_record& aRecord,
                     time_point aNow);
  [[nodiscard]] stored_record* Find(group_index aGroup,
                                    const request_key& aKey);
  [[nodiscard]] size_t OtherReadyHolders(const group_state& aGroup) const;

  vm_identity mSelf;
  request_record_limits mLimits;
  request_record_counts mCounts;
  std::unordered_map<group_index, group_state> mGroups;
  /// Records by the time at which they were made.
  expiry_index mExpiries;
};

} // namespace parsleystair
