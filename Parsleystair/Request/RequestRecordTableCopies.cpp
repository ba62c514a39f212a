#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Request/RequestRecordTable.h"

#include <algorithm>

// The part of the table that copies records from one holder to another.

namespace parsleystair {

namespace {

uint32_t AgeMs(time_point aMade, time_point aNow)
{
  const duration age = std::max(duration::zero(), aNow - aMade);
  return static_cast<uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

} // namespace

copy_records_reply request_record_table::HandleCopyRecords(
  const copy_records_message& aMessage,
  const group_record& aKnown,
  time_point aNow)
{
  PARSLEYSTAIR_INVARIANT(aKnown.mGroup == aMessage.mRecord.mGroup);
  ExpireRecords(aNow);
  // The newer revision comes first: from here on no attempt of the older one is
  // accepted, so the copy misses none.
  UpdateGroup(aKnown, false, aNow);
  UpdateGroup(aMessage.mRecord, false, aNow);
  const group_state& group = mGroups[aKnown.mGroup];

  copy_records_reply reply;
  // A loss that the record tells of is known to the receiver of the copies too.
  const bool hasUnknownLoss =
    group.mIsForcedLocally && aNow < group.mForcedUntil;
  reply.mReady = group.mReady && !hasUnknownLoss;
  reply.mLost = group.mRole == group_role::kEarlierProcess;
  for (const auto& [key, stored] : group.mRecords) {
    request_record record;
    record.mKey = key;
    record.mExecution = stored.mAttempt;
    record.mFingerprint = stored.mFingerprint;
    record.mFinished = stored.mFinished;
    record.mResponse = stored.mAnswer;
    record.mAgeMs = AgeMs(stored.mExpiry->first, aNow);
    reply.mRecords.push_back(std::move(record));
  }
  return reply;
}

bool request_record_table::InstallCopies(
  const group_record& aRequested,
  const std::vector<copy_records_reply>& aCopies,
  time_point aNow)
{
  ExpireRecords(aNow);
  UpdateGroup(aRequested, false, aNow);
  group_state& group = mGroups[aRequested.mGroup];
  // Copies of an older revision may miss attempts of the holders in between.
  if (group.mRole != group_role::kHolder ||
      aRequested.mRevision != group.mRevision) {
    return false;
  }

  bool complete = aCopies.size() >= OtherReadyHolders(group);
  for (const copy_records_reply& copy : aCopies) {
    complete = complete && copy.mReady;
    for (const request_record& record : copy.mRecords) {
      const bool installed =
        InstallRecord(group, aRequested.mGroup, record, aNow);
      complete = complete && installed;
    }
  }
  group.mReady = group.mReady || complete;
  return group.mReady;
}

/// Adds one copied record. Returns false when there is no space for it.
bool request_record_table::InstallRecord(group_state& aGroup,
                                         group_index aIndex,
                                         const request_record& aRecord,
                                         time_point aNow)
{
  stored_record* stored = Find(aIndex, aRecord.mKey);
  if (stored == nullptr) {
    if (std::chrono::milliseconds(aRecord.mAgeMs) >= Retention()) {
      return true;
    }
    if (!Fits(BaseBytes(aRecord.mKey, aRecord.mExecution))) {
      return false;
    }
    AddRecord(aGroup, aIndex, aRecord, aNow);
    stored = Find(aIndex, aRecord.mKey);
  }
  // The youngest copy decides how long the record lives.
  const time_point made = aNow - std::chrono::milliseconds(aRecord.mAgeMs);
  if (made > stored->mExpiry->first) {
    mExpiries.erase(stored->mExpiry);
    stored->mExpiry = mExpiries.emplace(made, record_key(aIndex, aRecord.mKey));
  }
  MergeRecord(*stored, aRecord);
  return true;
}

void request_record_table::MergeRecord(stored_record& aStored,
                                       const request_record& aCopy)
{
  // A finished record is of the attempt that ran and replaces all others.
  if (aStored.mFinished) {
    if (!aStored.mAnswer && aCopy.mFinished) {
      StoreAnswer(aStored, aCopy.mResponse);
    }
    return;
  }
  if (aCopy.mFinished) {
    aStored.mAttempt = aCopy.mExecution;
    aStored.mFingerprint = aCopy.mFingerprint;
    aStored.mFinished = true;
    StoreAnswer(aStored, aCopy.mResponse);
    return;
  }
  // Two holders accepted different attempts, and a lost holder decided which of
  // them ran. Without an attempt id no withdrawal removes the record.
  if (aStored.mAttempt != aCopy.mExecution) {
    aStored.mAttempt = execution_id();
    mCounts.mConflicts += 1;
  }
  if (aStored.mFingerprint != aCopy.mFingerprint) {
    aStored.mFingerprint = 0;
  }
}

size_t request_record_table::OtherReadyHolders(const group_state& aGroup) const
{
  return static_cast<size_t>(std::count_if(
    aGroup.mHolders.begin(), aGroup.mHolders.end(), [&](const auto& aHolder) {
      return aHolder.mVm != mSelf.mName && !aHolder.mJoining;
    }));
}

} // namespace parsleystair
