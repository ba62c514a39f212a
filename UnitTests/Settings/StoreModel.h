#pragma once

#include "Parsleystair/Platform/PlatformStore.h"

#include <algorithm>
#include <map>

namespace parsleystair {

/// The platform's store in its simplest form.
class store_model
{
public:
  [[nodiscard]] range_reply Range(const range_request& aRequest) const
  {
    range_reply reply{ store_status::kReplied, store_revision(mHead), {} };
    for (auto entry = mEntries.lower_bound(aRequest.mFrom);
         entry != mEntries.end() && entry->first < aRequest.mTo;
         ++entry) {
      if (entry->second.mModRevision.Value() >=
          aRequest.mMinModRevision.Value()) {
        reply.mEntries.push_back(entry->second);
        if (aRequest.mKeysOnly) {
          reply.mEntries.back().mValue.clear();
        }
      }
    }
    return reply;
  }

  transaction_reply Transact(const transaction_request& aRequest)
  {
    const bool holds =
      std::all_of(aRequest.mCompares.begin(),
                  aRequest.mCompares.end(),
                  [&](const store_compare& aCompare) {
                    return ModRevision(aCompare.mKey) == aCompare.mModRevision;
                  });
    if (holds) {
      ++mHead;
      for (const store_put& put : aRequest.mPuts) {
        mEntries[put.mKey] = { put.mKey, put.mValue, store_revision(mHead) };
      }
      for (const std::string& key : aRequest.mDeletes) {
        mEntries.erase(key);
      }
    }
    return { store_status::kReplied, holds, store_revision(mHead) };
  }

  [[nodiscard]] store_revision ModRevision(const std::string& aKey) const
  {
    const auto entry = mEntries.find(aKey);
    return entry == mEntries.end() ? store_revision()
                                   : entry->second.mModRevision;
  }

  /// Empty when there is no such key.
  [[nodiscard]] std::string Value(const std::string& aKey) const
  {
    const auto entry = mEntries.find(aKey);
    return entry == mEntries.end() ? "" : entry->second.mValue;
  }

  [[nodiscard]] size_t Count(const std::string& aPrefix) const
  {
    return static_cast<size_t>(
      std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aEntry) {
        return aEntry.first.starts_with(aPrefix);
      }));
  }

private:
  uint64_t mHead = 0;
  std::map<std::string, store_entry> mEntries;
};

} // namespace parsleystair
