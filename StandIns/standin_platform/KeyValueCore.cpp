#include "StandIns/standin_platform/KeyValueCore.h"

#include "Parsleystair/Core/Invariant.h"
#include "StandIns/standin_platform/KeyValueError.h"

#include <algorithm>

namespace parsleystair {

namespace {

template<typename Value>
bool Compares(kv_compare_result aResult,
              const Value& aLeft,
              const Value& aRight)
{
  switch (aResult) {
    case kv_compare_result::kEqual:
      return aLeft == aRight;
    case kv_compare_result::kGreater:
      return aLeft > aRight;
    case kv_compare_result::kLess:
      return aLeft < aRight;
    case kv_compare_result::kNotEqual:
      return aLeft != aRight;
  }
  return false;
}

/// Keys that the operations put; throws when one is written twice.
std::set<std::string> PutKeys(const std::vector<kv_operation>& aOperations)
{
  std::set<std::string> keys;
  for (const kv_operation& operation : aOperations) {
    const auto* put = std::get_if<kv_put>(&operation);
    if (put != nullptr && !keys.insert(put->mKey).second) {
      throw key_value_error(key_value_error::kInvalidArgument,
                            "etcdserver: duplicate key given in txn request");
    }
  }
  return keys;
}

} // namespace

key_value_core::key_value_core(uint64_t aHistory)
  : mHistory(aHistory)
{
}

const kv_entry* key_value_core::FindAt(const versions& aVersions,
                                       uint64_t aRevision) const
{
  const auto after =
    std::upper_bound(aVersions.begin(),
                     aVersions.end(),
                     aRevision,
                     [](uint64_t aLimit, const kv_entry& aEntry) {
                       return aLimit < aEntry.mModRevision;
                     });
  if (after == aVersions.begin() || std::prev(after)->IsDeleted()) {
    return nullptr;
  }
  return &*std::prev(after);
}

const kv_entry* key_value_core::FindNewest(const std::string& aKey) const
{
  const auto found = mKeys.find(aKey);
  // Within a transaction the newest version is at `mHead + 1`.
  return found == mKeys.end() ? nullptr : FindAt(found->second, mHead + 1);
}

void key_value_core::CheckRevision(uint64_t aRevision) const
{
  if (aRevision > mHead) {
    throw key_value_error(
      key_value_error::kOutOfRange,
      "etcdserver: mvcc: required revision is a future revision");
  }
  if (aRevision < mCompactRevision) {
    throw key_value_error(
      key_value_error::kOutOfRange,
      "etcdserver: mvcc: required revision has been compacted");
  }
}

kv_range_result key_value_core::Range(const kv_range& aRange) const
{
  uint64_t revision = mHead + 1;
  if (aRange.mRevision != 0) {
    CheckRevision(aRange.mRevision);
    revision = aRange.mRevision;
  }
  kv_range_result result;
  for (auto key = mKeys.lower_bound(aRange.mKeys.mFrom);
       key != mKeys.end() && aRange.mKeys.Contains(key->first);
       ++key) {
    const kv_entry* entry = FindAt(key->second, revision);
    if (entry == nullptr) {
      continue;
    }
    ++result.mCount;
    if (aRange.mCountOnly || entry->mModRevision < aRange.mMinModRevision) {
      continue;
    }
    if (aRange.mLimit != 0 && result.mEntries.size() == aRange.mLimit) {
      result.mMore = true;
      continue;
    }
    result.mEntries.push_back(*entry);
    if (aRange.mKeysOnly) {
      result.mEntries.back().mValue.clear();
    }
  }
  return result;
}

bool key_value_core::Holds(const kv_compare& aCompare) const
{
  // A key that doesn't exist has version and revisions 0 and no value.
  const kv_entry* found = FindNewest(aCompare.mKey);
  const kv_entry entry = found != nullptr ? *found : kv_entry();
  switch (aCompare.mTarget) {
    case kv_compare_target::kVersion:
      return Compares(aCompare.mResult, entry.mVersion, aCompare.mNumber);
    case kv_compare_target::kCreate:
      return Compares(
        aCompare.mResult, entry.mCreateRevision, aCompare.mNumber);
    case kv_compare_target::kMod:
      return Compares(aCompare.mResult, entry.mModRevision, aCompare.mNumber);
    case kv_compare_target::kValue:
      return found != nullptr &&
             Compares(aCompare.mResult, entry.mValue, aCompare.mValue);
  }
  return false;
}

void key_value_core::CheckOperations(
  const std::vector<kv_operation>& aOperations) const
{
  const std::set<std::string> putKeys = PutKeys(aOperations);
  for (const kv_operation& operation : aOperations) {
    if (const auto* range = std::get_if<kv_range>(&operation)) {
      if (range->mRevision != 0) {
        CheckRevision(range->mRevision);
      }
      continue;
    }
    if (const auto* put = std::get_if<kv_put>(&operation)) {
      if (put->mKey.empty()) {
        throw key_value_error(key_value_error::kInvalidArgument,
                              "etcdserver: key is not provided");
      }
      if (put->mValue.size() > kMaxValueBytes) {
        throw key_value_error(key_value_error::kInvalidArgument,
                              "etcdserver: request is too large");
      }
      if (put->mLease != 0 && !mLeases.contains(put->mLease)) {
        throw key_value_error(key_value_error::kNotFound,
                              "etcdserver: requested lease not found");
      }
      continue;
    }
    const kv_interval& deleted = std::get<kv_delete>(operation).mKeys;
    if (std::any_of(
          putKeys.begin(), putKeys.end(), [&](const std::string& aKey) {
            return deleted.Contains(aKey);
          })) {
      throw key_value_error(key_value_error::kInvalidArgument,
                            "etcdserver: duplicate key given in txn request");
    }
  }
}

kv_transaction_result key_value_core::Transact(
  const kv_transaction& aTransaction)
{
  // Both branches are checked first, so that a refused call changes nothing.
  CheckOperations(aTransaction.mSuccess);
  CheckOperations(aTransaction.mFailure);
  kv_transaction_result result;
  result.mSucceeded =
    std::all_of(aTransaction.mCompares.begin(),
                aTransaction.mCompares.end(),
                [this](const kv_compare& aCompare) { return Holds(aCompare); });
  const auto& operations =
    result.mSucceeded ? aTransaction.mSuccess : aTransaction.mFailure;
  for (const kv_operation& operation : operations) {
    result.mResults.push_back(Apply(operation));
  }
  FinishWrite();
  return result;
}

kv_operation_result key_value_core::Apply(const kv_operation& aOperation)
{
  if (const auto* range = std::get_if<kv_range>(&aOperation)) {
    return Range(*range);
  }
  if (const auto* put = std::get_if<kv_put>(&aOperation)) {
    Put(*put);
    return kv_put_result();
  }
  return kv_delete_result{ Delete(std::get<kv_delete>(aOperation).mKeys) };
}

void key_value_core::Put(const kv_put& aPut)
{
  kv_entry entry{
    aPut.mKey, aPut.mValue, mHead + 1, mHead + 1, 1, aPut.mLease
  };
  if (const kv_entry* earlier = FindNewest(aPut.mKey)) {
    entry.mCreateRevision = earlier->mCreateRevision;
    entry.mVersion = earlier->mVersion + 1;
    if (earlier->mLease != 0) {
      mLeases.at(earlier->mLease).mKeys.erase(aPut.mKey);
    }
  }
  if (aPut.mLease != 0) {
    mLeases.at(aPut.mLease).mKeys.insert(aPut.mKey);
  }
  Store(std::move(entry));
}

std::vector<std::string> key_value_core::LiveKeys(
  const kv_interval& aKeys) const
{
  std::vector<std::string> keys;
  for (auto key = mKeys.lower_bound(aKeys.mFrom);
       key != mKeys.end() && aKeys.Contains(key->first);
       ++key) {
    if (!key->second.back().IsDeleted()) {
      keys.push_back(key->first);
    }
  }
  return keys;
}

uint64_t key_value_core::Delete(const kv_interval& aKeys)
{
  const std::vector<std::string> keys = LiveKeys(aKeys);
  for (const std::string& key : keys) {
    const uint64_t lease = mKeys.at(key).back().mLease;
    if (lease != 0) {
      mLeases.at(lease).mKeys.erase(key);
    }
    Store({ key, "", 0, mHead + 1, 0, 0 });
  }
  return keys.size();
}

void key_value_core::Store(kv_entry aEntry)
{
  PARSLEYSTAIR_INVARIANT(aEntry.mModRevision == mHead + 1);
  mChanges.push_back({ aEntry.mModRevision, aEntry.mKey });
  versions& all = mKeys[aEntry.mKey];
  PARSLEYSTAIR_INVARIANT(all.empty() ||
                         all.back().mModRevision <= aEntry.mModRevision);
  all.push_back(std::move(aEntry));
  mChanged = true;
}

void key_value_core::FinishWrite()
{
  if (!mChanged) {
    return;
  }
  mChanged = false;
  ++mHead;
  if (mHead - mCompactRevision > mHistory) {
    Compact(mHead - mHistory);
  }
}

void key_value_core::Compact(uint64_t aRevision)
{
  CheckRevision(aRevision);
  mCompactRevision = aRevision;
  while (!mChanges.empty() && mChanges.front().mRevision < aRevision) {
    DropVersionsBefore(mChanges.front().mKey, aRevision);
    mChanges.pop_front();
  }
}

void key_value_core::DropVersionsBefore(const std::string& aKey,
                                        uint64_t aRevision)
{
  const auto found = mKeys.find(aKey);
  if (found == mKeys.end()) {
    return;
  }
  // The newest version at or before the revision can still be read there.
  versions& all = found->second;
  while (all.size() > 1 && all[1].mModRevision <= aRevision) {
    all.erase(all.begin());
  }
  if (all.size() == 1 && all[0].IsDeleted() &&
      all[0].mModRevision < aRevision) {
    mKeys.erase(found);
  }
}

std::vector<kv_entry> key_value_core::EventsSince(
  uint64_t aRevision,
  const kv_interval& aKeys) const
{
  if (aRevision < mCompactRevision) {
    CheckRevision(aRevision);
  }
  const auto first =
    std::lower_bound(mChanges.begin(),
                     mChanges.end(),
                     aRevision,
                     [](const key_change& aChange, uint64_t aLimit) {
                       return aChange.mRevision < aLimit;
                     });
  std::vector<kv_entry> events;
  for (auto change = first; change != mChanges.end(); ++change) {
    if (!aKeys.Contains(change->mKey)) {
      continue;
    }
    const versions& all = mKeys.at(change->mKey);
    const auto version =
      std::find_if(all.begin(), all.end(), [&](const kv_entry& aEntry) {
        return aEntry.mModRevision == change->mRevision;
      });
    PARSLEYSTAIR_INVARIANT(version != all.end());
    events.push_back(*version);
  }
  return events;
}

uint64_t key_value_core::GrantLease(uint64_t aId,
                                    duration aTtl,
                                    time_point aNow)
{
  if (aId != 0 && mLeases.contains(aId)) {
    throw key_value_error(key_value_error::kFailedPrecondition,
                          "etcdserver: lease already exists");
  }
  while (aId == 0 || mLeases.contains(aId)) {
    aId = mNextLease++;
  }
  mLeases[aId] = { aTtl, aNow + aTtl, {} };
  return aId;
}

duration key_value_core::KeepLeaseAlive(uint64_t aId, time_point aNow)
{
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    return duration::zero();
  }
  found->second.mEnd = aNow + found->second.mTtl;
  return found->second.mTtl;
}

void key_value_core::RevokeLease(uint64_t aId)
{
  const auto found = mLeases.find(aId);
  if (found == mLeases.end()) {
    throw key_value_error(key_value_error::kNotFound,
                          "etcdserver: requested lease not found");
  }
  const std::set<std::string> keys = found->second.mKeys;
  for (const std::string& key : keys) {
    Delete({ key, "" });
  }
  mLeases.erase(aId);
  FinishWrite();
}

void key_value_core::ExpireLeases(time_point aNow)
{
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mEnd <= aNow) {
      ended.push_back(id);
    }
  }
  for (const uint64_t id : ended) {
    RevokeLease(id);
  }
}

void key_value_core::LapseLeases()
{
  while (!mLeases.empty()) {
    RevokeLease(mLeases.begin()->first);
  }
}

} // namespace parsleystair
