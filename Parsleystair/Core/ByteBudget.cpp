#include "Parsleystair/Core/ByteBudget.h"

#include <algorithm>

namespace parsleystair {

byte_holder::byte_holder(byte_budget& aBudget)
  : mBudget(aBudget)
{
  mBudget.mHolders.insert(this);
}

byte_holder::~byte_holder()
{
  mBudget.mTotal -= mCounted;
  mBudget.mHolders.erase(this);
}

void byte_holder::UpdateHeldBytes()
{
  mBudget.Count(*this);
}

void byte_budget::Count(byte_holder& aHolder)
{
  const size_t bytes = aHolder.HeldBytes();
  mTotal += bytes;
  mTotal -= aHolder.mCounted;
  aHolder.mCounted = bytes;
}

void byte_budget::DropExcess()
{
  for (byte_holder* holder : mHolders) {
    Count(*holder);
  }
  while (IsExceeded()) {
    const auto largest =
      std::max_element(mHolders.begin(),
                       mHolders.end(),
                       [](const byte_holder* aLeft, const byte_holder* aRight) {
                         return aLeft->mCounted < aRight->mCounted;
                       });
    byte_holder* holder = *largest;
    const size_t before = mTotal;
    ++mDrops;
    holder->DropBytes();
    if (mHolders.contains(holder)) {
      Count(*holder);
    }
    if (mTotal >= before) {
      break;
    }
  }
}

} // namespace parsleystair
