#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <vector>

namespace parsleystair {

/// Finds targets of one service that fail while the others work. An ejected
/// target gets no requests that another target may serve. At most a third of
/// the targets is ejected at a time, so that a fault common to all of them
/// doesn't take away the service.
class outlier_tracker
{
public:
  /// Replaces the list of targets; what is known of remaining ones is kept.
  void SetTargets(const std::vector<target_name>& aTargets);

  /// Counts the end of one request. Failures are lost connections, timeouts
  /// and answers with status 500 or above; a refusal because of load is none.
  void HandleResult(const target_name& aTarget, bool aFailed, time_point aNow);

  [[nodiscard]] bool IsEjected(const target_name& aTarget,
                               time_point aNow) const;
  [[nodiscard]] size_t EjectedCount(time_point aNow) const;

private:
  struct target_health
  {
    /// Failures since the last success.
    uint32_t mConsecutiveFailures = 0;
    /// Ejections since the target last worked for a while.
    uint32_t mEjectionCount = 0;
    time_point mEjectedUntil = time_point::min();
  };

  std::map<target_name, target_health> mTargets;
};

} // namespace parsleystair
