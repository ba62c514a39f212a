#pragma once

#include "Parsleystair/Discovery/TargetDirectory.h"

#include <map>
#include <random>
#include <unordered_map>

namespace parsleystair {

/// Where a router stands and what distance costs.
struct balancer_site
{
  failure_domain_name mFailureDomain;
  std::map<failure_domain_name, region_name> mRegions;
  /// Cost of a kilobyte between failure domains of one region and between
  /// regions, in the value of one request answered in time.
  double mDomainCostPerKilobyte = 0.023;
  double mRegionCostPerKilobyte = 0.13;

  bool operator==(const balancer_site&) const = default;
};

/// How a request at a target ended.
enum class try_end
{
  kAnswered,
  /// The target answered with a failure of its own.
  kFailedAnswer,
  /// The target refused the request without running it.
  kShed,
  /// No connection could be made.
  kNotConnected,
  /// The connection was lost or gave no usable answer.
  kNoAnswer,
  /// The router ended it; says nothing of the target.
  kCancelled,
};

/// Names one request at a target for the balancer.
using send_id = strong_id<struct send_tag, uint64_t>;

struct choice_request
{
  service_name mService;
  duration mLatencyTarget{};
  bool mIdempotent = false;
  /// Targets that this request has tried.
  std::vector<target_name> mTried;
};

/// Chooses the target of a request by what this router's own requests show:
/// latency, requests in flight, failures, and the price of the distance.
class target_balancer
{
public:
  target_balancer(balancer_site aSite, uint64_t aSeed);

  /// Null when no target may get the request.
  const known_target* Choose(const choice_request& aRequest,
                             const std::vector<const known_target*>& aTargets,
                             time_point aNow);

  send_id HandleSent(const target_name& aTarget,
                     const service_name& aService,
                     time_point aNow);

  /// `aBytes`: size of the answer.
  void HandleEnd(const target_name& aTarget,
                 send_id aSend,
                 try_end aResult,
                 size_t aBytes,
                 time_point aNow);

  /// A health check that was asked for has ended.
  void HandleProbe(const target_name& aTarget, bool aHealthy, time_point aNow);

  /// Targets that are set aside and whose health is to be checked now. Each is
  /// returned once for each check.
  std::vector<target_name> TakeProbes(time_point aNow);

  /// Forgets targets that are no longer known.
  void Retain(const target_directory& aDirectory);

  /// Latency that the service's requests have on average; zero if unknown.
  [[nodiscard]] duration MeanLatency(const service_name& aService) const;

  /// The target has not answered since it got a request unusually long ago.
  [[nodiscard]] bool IsSilent(const target_name& aTarget,
                              time_point aNow) const;

  [[nodiscard]] bool IsSetAside(const target_name& aTarget) const;
  [[nodiscard]] size_t InFlight(const target_name& aTarget) const;

private:
  struct target_state
  {
    service_name mService;
    std::map<send_id, time_point> mInFlight;
    /// Moving average of the latency, in seconds; 0 before the first answer.
    double mLatency = 0;
    time_point mLastResponse = time_point::min();
    /// Moving share of failed requests, as of `mFailureRateTime`.
    double mFailureRate = 0;
    time_point mFailureRateTime = time_point::min();
    time_point mShedPenaltyUntil = time_point::min();
    /// Connection failures since the last answer.
    uint32_t mLostConnections = 0;
    bool mEjected = false;
    bool mProbeInFlight = false;
    time_point mNextProbeTime = time_point::min();
  };

  struct service_state
  {
    /// Moving averages over all targets: seconds and kilobytes.
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

  balancer_site mSite;
  std::mt19937_64 mRandom;
  uint64_t mNextSend = 1;
  std::unordered_map<target_name, target_state> mTargets;
  std::unordered_map<service_name, service_state> mServices;
};

} // namespace parsleystair
