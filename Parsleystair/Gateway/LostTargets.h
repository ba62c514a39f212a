#pragma once

#include "Parsleystair/Gateway/TargetConnections.h"
#include "Parsleystair/Limits/CrashRecord.h"

#include <functional>
#include <map>
#include <vector>

namespace parsleystair {

/// Finds out which of the targets that closed connections during requests have
/// crashed. A target that still responds hasn't: it closed an idle connection,
/// cut a response short, or the network reset the connection.
class lost_targets
{
public:
  /// Called with a crashed target and the contents that it was running.
  using crash_handler =
    std::function<void(const discovered_target&,
                       const std::vector<content_fingerprint>&,
                       time_point)>;
  /// Sends a health check to a target and tells whether the target reacted.
  using health_checker =
    std::function<void(const discovered_target&, std::function<void(bool)>)>;

  lost_targets(event_loop& aLoop,
               const target_connections& aConnections,
               const target_directory& aDirectory,
               health_checker aChecker,
               crash_handler aHandler);
  lost_targets(const lost_targets&) = delete;
  lost_targets& operator=(const lost_targets&) = delete;

  /// A target ended the connection of a request without a whole answer.
  /// `aTarget`: address and start time of the process that had the request.
  void HandleLostConnection(const discovered_target& aTarget,
                            const content_fingerprint& aContent,
                            time_point aNow);

  /// A target has responded to a request that was sent at `aSentAt`.
  void HandleResponse(const target_name& aTarget,
                      uint64_t aStartedMs,
                      time_point aSentAt);

  /// Periodic work: compares targets that respond again with their entries,
  /// which show whether they were restarted.
  void Tick(time_point aNow);

private:
  enum class check_state
  {
    kDue,
    kChecking,
    /// The target responds.
    kResponds,
  };

  struct lost_target
  {
    discovered_target mTarget;
    std::vector<content_fingerprint> mContents;
    time_point mLostAt;
    check_state mState = check_state::kDue;
  };

  void CheckDue(time_point aNow);
  void Check(const incarnation_hash& aIncarnation, time_point aNow);
  void HandleCheck(const incarnation_hash& aIncarnation, bool aResponded);
  /// Whether another process has registered under the name of the target.
  [[nodiscard]] bool IsRestarted(const discovered_target& aTarget) const;
  void ConfirmCrash(const incarnation_hash& aIncarnation, time_point aNow);

  event_loop& mLoop;
  const target_connections& mConnections;
  const target_directory& mDirectory;
  health_checker mChecker;
  crash_handler mHandler;
  std::map<incarnation_hash, lost_target> mLost;
  bool mTimerRuns = false;
  timer mTimer;
};

} // namespace parsleystair
