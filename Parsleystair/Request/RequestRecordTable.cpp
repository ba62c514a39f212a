#include "Parsleystair/Request/RequestRecordTable.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Request/IdempotencyKey.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Map nodes, ids and indexes of one record. 100,000 records with UUID keys and
/// ids of 41 characters took 592 bytes each, 139 of them text.
constexpr size_t kRecordOverheadBytes = 453;

size_t AnswerBytes(const http_response& aAnswer)
{
  size_t bytes = aAnswer.mBody.size();
  for (const http_header& header : aAnswer.mHeaders) {
    bytes += header.mName.size() + header.mValue.size() + sizeof(header);
  }
  return bytes;
}

} // namespace

request_record_table::request_record_table(vm_identity aSelf,
                                           request_record_limits aLimits)
  : mSelf(std::move(aSelf))
  , mLimits(aLimits)
{
  PARSLEYSTAIR_INVARIANT(mLimits.mRecordTime > kClockSkew);
}

void request_record_table::UpdateGroup(const group_record& aRecord,
                                       bool aComplete,
                                       time_point aNow)
{
  group_state& group = mGroups[aRecord.mGroup];
  if (aRecord.mRevision > group.mRevision) {
    TakeOver(group, aRecord);
  }
  // Keys from before a loss are refused, as their requests may have run.
  const wall_time lostUntil{ std::chrono::milliseconds(
    aRecord.mRecordsLostUntilMs) };
  if (aRecord.mRecordsLostUntilMs > 0 && lostUntil >= group.mForcedSince) {
    if (lostUntil > group.mForcedSince) {
      group.mForcedSince = lostUntil;
      group.mForcedUntil = aNow + Retention();
    }
    group.mIsForcedLocally = false;
  }
  // Readiness may come after a message that brought the same record.
  if (aComplete && aRecord.mRevision == group.mRevision &&
      group.mRole == group_role::kHolder) {
    group.mReady = true;
  }
}

void request_record_table::TakeOver(group_state& aGroup,
                                    const group_record& aRecord)
{
  aGroup.mRevision = aRecord.mRevision;
  aGroup.mHolders = aRecord.mHolders;
  const auto self = std::find_if(
    aRecord.mHolders.begin(), aRecord.mHolders.end(), [&](const auto& aHolder) {
      return aHolder.mVm == mSelf.mName;
    });
  const bool named = self != aRecord.mHolders.end();
  const bool listed = named && self->mIncarnation == mSelf.mIncarnation;

  if (!listed) {
    aGroup.mRole = named ? group_role::kEarlierProcess : group_role::kNone;
    aGroup.mReady = false;
    EraseRecords(aGroup);
    return;
  }

  // A holder that is listed as joining may have been removed and added again
  // without noticing, so its records may have gaps. It copies once more.
  aGroup.mRole = group_role::kHolder;
  if (self->mJoining) {
    aGroup.mReady = false;
  }
}

begin_reply request_record_table::HandleBegin(const begin_message& aMessage,
                                              const group_record& aKnown,
                                              time_point aNow,
                                              wall_time aWallNow)
{
  PARSLEYSTAIR_INVARIANT(aKnown.mGroup == aMessage.mGroup);
  ExpireRecords(aNow);
  UpdateGroup(aKnown, false, aNow);
  group_state& group = mGroups[aMessage.mGroup];

  // Is this router a holder for the revision that the entry router knows?
  if (group.mRole == group_role::kEarlierProcess) {
    return { begin_result::kNotReady, {}, {} };
  }
  if (group.mRole == group_role::kNone ||
      aMessage.mRevision < group.mRevision) {
    return { begin_result::kStaleRevision, {}, {} };
  }
  if (!group.mReady) {
    return { begin_result::kNotReady, {}, {} };
  }

  // Has an attempt of this request been accepted before?
  if (const stored_record* record = Find(aMessage.mGroup, aMessage.mKey)) {
    const bool sameContent = record->mFingerprint == 0 ||
                             record->mFingerprint == aMessage.mFingerprint;
    if (!sameContent) {
      return { begin_result::kFingerprintMismatch, {}, {} };
    }
    if (record->mFinished) {
      return { begin_result::kFinished, record->mAttempt, record->mAnswer };
    }
    if (record->mAttempt == aMessage.mExecution) {
      return { begin_result::kAccepted, record->mAttempt, {} };
    }
    return { begin_result::kDuplicate, record->mAttempt, {} };
  }

  // Could an earlier record of this request be gone already?
  if (IsKeyExpired(group, aMessage.mKeyTimeMs, aNow, aWallNow)) {
    return { begin_result::kExpired, {}, {} };
  }
  if (!Fits(BaseBytes(aMessage.mKey, aMessage.mExecution))) {
    return { begin_result::kFull, {}, {} };
  }

  request_record record;
  record.mKey = aMessage.mKey;
  record.mExecution = aMessage.mExecution;
  record.mFingerprint = aMessage.mFingerprint;
  AddRecord(group, aMessage.mGroup, record, aNow);
  return { begin_result::kAccepted, aMessage.mExecution, {} };
}

void request_record_table::HandleFinish(const finish_message& aMessage,
                                        time_point aNow)
{
  ExpireRecords(aNow);
  stored_record* record = Find(aMessage.mGroup, aMessage.mKey);
  if (record == nullptr || record->mFinished) {
    return;
  }
  // Only the attempt that ran sends its end, so a record with an unknown
  // attempt takes it from any.
  const bool unknownAttempt = record->mAttempt.Value().empty();
  if (!unknownAttempt && record->mAttempt != aMessage.mExecution) {
    return;
  }
  record->mFinished = true;
  StoreAnswer(*record, aMessage.mResponse);
}

void request_record_table::HandleWithdraw(const withdraw_message& aMessage,
                                          time_point aNow)
{
  ExpireRecords(aNow);
  const stored_record* record = Find(aMessage.mGroup, aMessage.mKey);
  if (record == nullptr || record->mFinished ||
      record->mAttempt != aMessage.mExecution ||
      aMessage.mExecution.Value().empty()) {
    return;
  }
  EraseRecord(mGroups[aMessage.mGroup], aMessage.mKey);
}

void request_record_table::MarkReadySince(group_index aGroup,
                                          wall_time aSince,
                                          time_point aNow)
{
  group_state& group = mGroups[aGroup];
  if (group.mRole != group_role::kHolder) {
    return;
  }
  group.mReady = true;
  group.mForcedSince = std::max(aSince, group.mForcedSince);
  group.mForcedUntil = aNow + Retention();
  group.mIsForcedLocally = true;
}

bool request_record_table::IsReady(group_index aGroup) const
{
  const auto found = mGroups.find(aGroup);
  return found != mGroups.end() && found->second.mReady;
}

/// A record is made when the key is at most `kClockSkew` ahead of this router's
/// clock, and may be copied to a router whose clock is behind by as much. It
/// therefore outlives the time at which `IsKeyExpired` refuses the key.
duration request_record_table::Retention() const
{
  return mLimits.mRecordTime + kClockSkew;
}

bool request_record_table::IsKeyExpired(const group_state& aGroup,
                                        uint64_t aKeyTimeMs,
                                        time_point aNow,
                                        wall_time aWallNow) const
{
  const bool forced = aNow < aGroup.mForcedUntil;
  if (aKeyTimeMs == 0) {
    return forced;
  }
  const wall_time keyTime{ std::chrono::milliseconds(aKeyTimeMs) };
  if (forced && keyTime < aGroup.mForcedSince + kClockSkew) {
    return true;
  }
  // A key from the future would still count as young after its record expired.
  // The entry router refuses it too, but by its own clock.
  return keyTime > aWallNow + kClockSkew ||
         keyTime < aWallNow - (mLimits.mRecordTime - kClockSkew);
}

/// The key is counted twice, because the expiry index has a copy.
size_t request_record_table::BaseBytes(const request_key& aKey,
                                       const execution_id& aAttempt)
{
  const size_t key =
    aKey.mService.Value().size() + aKey.mRule.Value().size() + aKey.mKey.size();
  return kRecordOverheadBytes + 2 * key + aAttempt.Value().size();
}

bool request_record_table::Fits(size_t aBytes) const
{
  return mCounts.mRecords < mLimits.mMaxRecords &&
         mCounts.mBytes + aBytes <= mLimits.mMaxBytes;
}

void request_record_table::AddRecord(group_state& aGroup,
                                     group_index aIndex,
                                     const request_record& aRecord,
                                     time_point aNow)
{
  stored_record stored;
  stored.mAttempt = aRecord.mExecution;
  stored.mFingerprint = aRecord.mFingerprint;
  stored.mBytes = BaseBytes(aRecord.mKey, aRecord.mExecution);
  const time_point made = aNow - std::chrono::milliseconds(aRecord.mAgeMs);
  stored.mExpiry = mExpiries.emplace(made, record_key(aIndex, aRecord.mKey));
  mCounts.mRecords += 1;
  mCounts.mBytes += stored.mBytes;
  const bool added =
    aGroup.mRecords.emplace(aRecord.mKey, std::move(stored)).second;
  PARSLEYSTAIR_INVARIANT(added);
}

/// An answer that is too large, or for which there is no space, is left out:
/// repeats are then told that the request may have run.
void request_record_table::StoreAnswer(
  stored_record& aRecord,
  const std::optional<http_response>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  const size_t bytes = AnswerBytes(*aAnswer);
  if (bytes > kMaxRecordedAnswerBytes ||
      mCounts.mBytes + bytes > mLimits.mMaxBytes) {
    return;
  }
  aRecord.mAnswer = aAnswer;
  aRecord.mBytes += bytes;
  mCounts.mBytes += bytes;
}

void request_record_table::ExpireRecords(time_point aNow)
{
  while (!mExpiries.empty() && mExpiries.begin()->first + Retention() <= aNow) {
    const record_key key = mExpiries.begin()->second;
    EraseRecord(mGroups[key.first], key.second);
  }
}

void request_record_table::EraseRecord(group_state& aGroup,
                                       const request_key& aKey)
{
  const auto found = aGroup.mRecords.find(aKey);
  PARSLEYSTAIR_INVARIANT(found != aGroup.mRecords.end());
  PARSLEYSTAIR_INVARIANT(mCounts.mRecords > 0);
  PARSLEYSTAIR_INVARIANT(mCounts.mBytes >= found->second.mBytes);
  mCounts.mRecords -= 1;
  mCounts.mBytes -= found->second.mBytes;
  mExpiries.erase(found->second.mExpiry);
  aGroup.mRecords.erase(found);
}

void request_record_table::EraseRecords(group_state& aGroup)
{
  while (!aGroup.mRecords.empty()) {
    const request_key key = aGroup.mRecords.begin()->first;
    EraseRecord(aGroup, key);
  }
}

request_record_table::stored_record* request_record_table::Find(
  group_index aGroup,
  const request_key& aKey)
{
  const auto group = mGroups.find(aGroup);
  if (group == mGroups.end()) {
    return nullptr;
  }
  const auto record = group->second.mRecords.find(aKey);
  return record == group->second.mRecords.end() ? nullptr : &record->second;
}

} // namespace parsleystair
