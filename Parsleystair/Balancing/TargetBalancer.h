#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"

#include <map>
#include <random>
#include <unordered_map>

namespace parsleystair {

/// Location of a router and the cost of traffic to other locations.
struct router_location
{
  failure_domain_name mFailureDomain;
  std::map<failure_domain_name, region_name> mRegions;
  /// Cost of a kilobyte between failure domains of one region and between
  /// regions. The unit is the value of one request answered in time.
  double mDomainCostPerKilobyte = 0.023;
  double mRegionCostPerKilobyte = 0.13;

  bool operator==(const router_location&) const = default;
};

/// Outcome of a request sent to a target.
enum class attempt_outcome
{
  kResponded,
  /// The target responded with an error of its own.
  kFailedResponse,
  /// The target rejected the request because of load, without running it.
  kNotRun,
  /// The connection could not be established.
  kNotConnected,
  /// The connection was lost or delivered no usable response.
  kNoResponse,
  /// The router cancelled the request; the target is not at fault.
  kCancelled,
};

/// Identifies one request sent to a target.
using attempt_id = strong_id<struct send_tag, uint64_t>;

struct choice_request
{
  service_name mService;
  duration mLatencyTarget{};
  bool mIdempotent = false;
  /// Targets to which this request has been sent before.
  std::vector<target_name> mAttemptedTargets;
};

/// Chooses the target with the lowest cost for a request. The cost depends on
/// the latency, the requests in flight and the failures that this router has
/// observed, and on the price of the traffic to the target's location.
class target_balancer
{
public:
  target_balancer(router_location aSite, uint64_t aSeed);

  /// Returns null only if `aTargets` is empty. Ejected targets are skipped
  /// unless all targets are ejected.
  const known_target* Choose(const choice_request& aRequest,
                             const std::vector<const known_target*>& aTargets,
                             time_point aNow);

  attempt_id HandleSent(const target_name& aTarget,
                        const service_name& aService,
                        time_point aNow);

  /// `aBytes`: size of the response.
  void HandleOutcome(const target_name& aTarget,
                     attempt_id aSend,
                     attempt_outcome aResult,
                     size_t aBytes,
                     time_point aNow);

  /// Handles the result of a health check requested by `TakeDueHealthChecks`.
  void HandleHealthCheck(const target_name& aTarget,
                         bool aHealthy,
                         time_point aNow);

  /// Ejects a target that has crashed.
  void HandleCrash(const target_name& aTarget, time_point aNow);

  /// Returns the ejected targets whose next health check is due. A target is
  /// not returned again until `HandleHealthCheck` reports the result of its
  /// check.
  std::vector<target_name> TakeDueHealthChecks(time_point aNow);

  /// Removes the state of targets that are not in the directory and have no
  /// requests in flight.
  void RemoveUnknownTargets(const target_directory& aDirectory);

  /// Moving average of the service's latency; zero before the first response.
  [[nodiscard]] duration MeanLatency(const service_name& aService) const;

  /// True if a request has been in flight for unusually long and the target has
  /// not responded to any request since that one was sent.
  [[nodiscard]] bool IsSilent(const target_name& aTarget,
                              time_point aNow) const;

  [[nodiscard]] bool IsEjected(const target_name& aTarget) const;
  [[nodiscard]] size_t InFlight(const target_name& aTarget) const;

private:
  struct target_state
  {
    service_name mService;
    std::map<attempt_id, time_point> mInFlight;
    /// Moving average of the latency, in seconds; 0 before the first response.
    double mLatency = 0;
    time_point mLastResponse = time_point::min();
    /// Moving average of the share of failed requests at `mFailureRateTime`.
    double mFailureRate = 0;
    time_point mFailureRateTime = time_point::min();
    time_point mShedPenaltyUntil = time_point::min();
    /// Lost connections since the last response or successful health check.
    uint32_t mLostConnections = 0;
    bool mEjected = false;
    bool mProbeInFlight = false;
    time_point mNextProbeTime = time_point::min();
  };

  struct service_state
  {
    /// Moving averages over all targets: latency in seconds and response size
    /// in kilobytes.
    double mLatency = 0;
    double mKilobytes = 1;
  };

  [[nodiscard]] double Cost(const choice_request& aRequest,
                            const known_target& aTarget,
                            time_point aNow);
  [[nodiscard]] double ExpectedLatencySeconds(const choice_request& aRequest,
                                              const known_target& aTarget,
                                              time_point aNow) const;
  [[nodiscard]] double FailureCost(const target_state& aState,
                                   const choice_request& aRequest,
                                   time_point aNow) const;
  [[nodiscard]] double DistanceCost(const known_target& aTarget,
                                    const service_name& aService) const;
  [[nodiscard]] bool IsSilent(const target_state& aState,
                              time_point aNow) const;
  void UpdateLatency(target_state& aState, duration aLatency, time_point aNow);
  static void UpdateFailureRate(target_state& aState,
                                double aFailure,
                                time_point aNow);
  static void Eject(const target_name& aTarget,
                    target_state& aState,
                    const char* aReason,
                    time_point aNow);

  router_location mLocation;
  std::mt19937_64 mRandom;
  uint64_t mNextSend = 1;
  std::unordered_map<target_name, target_state> mTargets;
  std::unordered_map<service_name, service_state> mServices;
};

} // namespace parsleystair
