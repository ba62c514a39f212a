#include "Parsleystair/Limits/KeyAdmission.h"

#include <utility>

namespace parsleystair {

namespace {

/// Time for which limits apply without news of the leader, which is asked twice
/// a second. Loads change within seconds.
constexpr duration kMaxAge = 3s;

} // namespace

void key_admission::SetLimits(service_limits aLimits, time_point aNow)
{
  mLimits = std::move(aLimits);
  mConfirmedAt = aNow;
}

bool key_admission::Admits(const service_name& aService,
                           uint32_t aKey,
                           double aDraw,
                           time_point aNow) const
{
  return aDraw < ShareFor(aService, aKey, aNow);
}

double key_admission::ShareFor(const service_name& aService,
                               uint32_t aKey,
                               time_point aNow) const
{
  const auto found = mLimits.find(aService);
  if (found == mLimits.end() || aNow - mConfirmedAt > kMaxAge) {
    return 1;
  }
  return ShareOf(found->second, aKey);
}

} // namespace parsleystair
