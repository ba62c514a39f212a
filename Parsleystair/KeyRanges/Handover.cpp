#include "Parsleystair/KeyRanges/Handover.h"

#include <algorithm>

namespace parsleystair {

bool IsUsableHandover(std::string_view aHandover)
{
  return !aHandover.empty() && aHandover.size() <= kMaxHandoverBytes &&
         std::all_of(aHandover.begin(), aHandover.end(), [](char aCharacter) {
           return aCharacter > ' ' && aCharacter <= '~';
         });
}

void LimitHandovers(range_record& aRecord, size_t aMaxBytes)
{
  size_t bytes = 0;
  for (const owned_range& range : aRecord.mRanges) {
    bytes += range.mHandover.size();
  }
  if (bytes <= aMaxBytes) {
    return;
  }
  std::vector<owned_range*> oldestFirst;
  for (owned_range& range : aRecord.mRanges) {
    oldestFirst.push_back(&range);
  }
  std::stable_sort(oldestFirst.begin(),
                   oldestFirst.end(),
                   [](const owned_range* aLeft, const owned_range* aRight) {
                     return aLeft->mFence < aRight->mFence;
                   });
  for (owned_range* range : oldestFirst) {
    if (bytes <= aMaxBytes) {
      return;
    }
    bytes -= range->mHandover.size();
    range->mHandover.clear();
  }
}

} // namespace parsleystair
