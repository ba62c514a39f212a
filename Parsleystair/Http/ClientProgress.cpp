#include "Parsleystair/Http/ClientProgress.h"

namespace parsleystair {

void client_progress::HandleOutput()
{
  // A client that has taken everything starts anew. One that is behind stays
  // slow: further output doesn't make it faster.
  mIsSlow = mIsSlow && !IsTaken();
  mUnacknowledged.reset();
}

void client_progress::Sample(size_t aUnacknowledged, time_point aNow)
{
  if (!mUnacknowledged || aUnacknowledged < *mUnacknowledged) {
    mChangedAt = aNow;
  }
  mIsSlow = mIsSlow || (aUnacknowledged > 0 && mUnacknowledged.has_value());
  mUnacknowledged = aUnacknowledged;
}

bool client_progress::IsTaken() const
{
  return mUnacknowledged == size_t{ 0 };
}

duration client_progress::Unchanged(time_point aNow) const
{
  return mUnacknowledged ? aNow - mChangedAt : duration::zero();
}

} // namespace parsleystair
