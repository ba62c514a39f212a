#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <map>
#include <stdexcept>

namespace parsleystair {

/// In-memory fake of the platform's store. Throws std::logic_error when a write
/// lowers a fence or reuses one for another owner.
struct fake_store
{
  std::map<std::string, store_entry> mEntries;
  uint64_t mRevision = 1;
  uint64_t mCalls = 0;
  uint64_t mBytes = 0;

  range_reply Range(const range_request& aRequest)
  {
    ++mCalls;
    mBytes += aRequest.mFrom.size() + aRequest.mTo.size();
    range_reply reply{ store_status::kReplied, store_revision(mRevision), {} };
    for (auto entry = mEntries.lower_bound(aRequest.mFrom);
         entry != mEntries.end() && entry->first < aRequest.mTo;
         ++entry) {
      if (entry->second.mModRevision >= aRequest.mMinModRevision) {
        reply.mEntries.push_back(entry->second);
        mBytes += entry->first.size() + entry->second.mValue.size();
      }
    }
    return reply;
  }

  transaction_reply Write(const write_group& aWrite)
  {
    const std::string key = GroupKey(aWrite.mRecord.mGroup);
    std::string value = EncodeGroupRecord(aWrite.mRecord);
    ++mCalls;
    mBytes += key.size() + value.size();
    store_entry& entry = mEntries[key];
    const bool isExpected = entry.mModRevision == aWrite.mExpected;
    if (isExpected) {
      CheckFences(entry, aWrite.mRecord);
      entry = { key, std::move(value), store_revision(++mRevision) };
    }
    return { store_status::kReplied, isExpected, store_revision(mRevision) };
  }

private:
  static void CheckFences(const store_entry& aOld, const group_record& aNew)
  {
    if (aOld.mValue.empty()) {
      return;
    }
    const group_record old = DecodeGroupRecord(aOld.mValue, aOld.mModRevision);
    for (const auto& [slot, ownership] : aNew.mSlots) {
      const auto before = old.mSlots.find(slot);
      if (before != old.mSlots.end() &&
          (ownership.mFence < before->second.mFence ||
           (ownership.mFence == before->second.mFence &&
            ownership.mOwner != before->second.mOwner))) {
        throw std::logic_error(
          "a fence decreased or was reused for another owner");
      }
    }
  }
};

} // namespace parsleystair
