#pragma once

#include "Parsleystair/KeyRanges/KeyLimits.h"

#include <map>

namespace parsleystair {

/// The limits of all keyed services.
using service_limits = std::map<service_name, key_limits>;

/// Answers the load of hot keys at one router: refuses at once, before anything
/// is sent, what the owner of a key can't serve according to the leader, which
/// knows the load of all routers.
class key_admission
{
public:
  /// Takes over the leader's limits as of `aNow`.
  void SetLimits(service_limits aLimits, time_point aNow);

  /// The leader has said at `aNow` that the limits are still the same.
  void Confirm(time_point aNow) { mConfirmedAt = aNow; }

  /// `aDraw`: a random number from 0 to below 1. Limits that were not confirmed
  /// for some seconds don't apply.
  [[nodiscard]] bool Admits(const service_name& aService,
                            uint32_t aKey,
                            double aDraw,
                            time_point aNow) const;

  /// Share of the requests for a key that are admitted; 1 if no limit applies.
  [[nodiscard]] double ShareFor(const service_name& aService,
                                uint32_t aKey,
                                time_point aNow) const;

  [[nodiscard]] const service_limits& Limits() const { return mLimits; }

private:
  service_limits mLimits;
  time_point mConfirmedAt = time_point::min();
};

} // namespace parsleystair
