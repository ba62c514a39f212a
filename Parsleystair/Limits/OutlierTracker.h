#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"

#include <map>
#include <vector>

namespace parsleystair {

/// Outlier detection for the targets of one service. An ejected target gets no
/// requests that another target may serve. At most a third of the targets is
/// ejected at a time, so that a fault common to all of them doesn't make the
/// service unavailable.
class outlier_tracker
{
public:
  /// Replaces the list of targets. Targets that remain keep their state.
  void SetTargets(const std::vector<target_name>& aTargets);

  /// Records the result of one request. Lost connections, timeouts and
  /// responses with status 500 or above are failures; a refusal because of load
  /// is not.
  void HandleResult(const target_name& aTarget, bool aFailed, time_point aNow);

  [[nodiscard]] bool IsEjected(const target_name& aTarget,
                               time_point aNow) const;
  [[nodiscard]] size_t EjectedCount(time_point aNow) const;

private:
  struct target_health
  {
    /// Failures since the last success.
    uint32_t mConsecutiveFailures = 0;
    /// Ejections since the last success outside an ejection.
    uint32_t mEjectionCount = 0;
    time_point mEjectedUntil = time_point::min();
  };

  std::map<target_name, target_health> mTargets;
};

} // namespace parsleystair
