#include "Parsleystair/Balancing/TargetBalancer.h"

#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <cmath>

// The unit of all costs is the value of one request answered in time, so that
// the costs of latency, failures and traffic can be added up.

namespace parsleystair {

namespace {

/// Weight of one sample in the moving averages of a target and of a service.
constexpr double kTargetSmoothing = 0.25;
constexpr double kServiceSmoothing = 0.05;
/// Time constant of the exponential decay of a target's latency and failure
/// rate. The decay lets a target that has recovered receive requests again.
constexpr double kDecayTimeConstantSeconds = 4.0;
/// Growth of the expected latency for each request that this router has in
/// flight at the target, as a fraction of the latency with none in flight.
/// Requests of other routers are unknown and not counted.
constexpr double kInFlightLatencyGrowth = 0.3;
/// Factor on the service's mean latency for a target that has just started.
constexpr double kSlowStartFactor = 2.0;
/// Expected latency, as a fraction of the latency target, above which responses
/// tend to be late. The cost grows by `kEarlySlope` for each multiple of the
/// latency target, and by a further `kLateSlope` above this fraction.
constexpr double kSafeLatencyFraction = 0.5;
constexpr double kLateSlope = 0.9;
constexpr double kEarlySlope = 0.1;
/// Cost of a silent target, of one that has just rejected a request because of
/// load, and of one to which the request has been sent before.
constexpr double kSilentCost = 0.6;
constexpr double kShedCost = 0.4;
constexpr double kTriedCost = 2.0;
/// Upper bound of the random cost added to each target, which keeps routers
/// from all choosing the same one.
constexpr double kMaxRandomCost = 0.02;
/// Assumed latency before the service's first response, as a fraction of the
/// latency target.
constexpr double kAssumedLatencyFraction = 0.3;

constexpr duration kShedPenaltyTime = 150ms;
/// A target counts as silent if a request has been in flight for longer than
/// this multiple of the service's mean latency, and than `kMinSilentTime`, and
/// the target has not responded since that request was sent.
constexpr int kSilentLatencyFactor = 4;
constexpr duration kMinSilentTime = 250ms;
/// Consecutive lost connections after which a target is ejected.
constexpr uint32_t kLostConnectionsToEject = 3;
/// Time between health checks of an ejected target.
constexpr duration kProbeInterval = 500ms;

/// Weight at `aNow` of a value measured at `aThen`; 0 if never measured.
double DecayFactor(time_point aThen, time_point aNow)
{
  return aThen == time_point::min()
           ? 0
           : std::exp(-ToSeconds(aNow - aThen) / kDecayTimeConstantSeconds);
}

} // namespace

target_balancer::target_balancer(router_location aSite, uint64_t aSeed)
  : mLocation(std::move(aSite))
  , mRandom(aSeed)
{
}

const known_target* target_balancer::Choose(
  const choice_request& aRequest,
  const std::vector<const known_target*>& aTargets,
  time_point aNow)
{
  const known_target* best = nullptr;
  double lowest = 0;
  for (const known_target* target : aTargets) {
    if (IsEjected(target->mTarget.mName)) {
      continue;
    }
    const double cost = Cost(aRequest, *target, aNow);
    if (best == nullptr || cost < lowest) {
      best = target;
      lowest = cost;
    }
  }
  if (best != nullptr || aTargets.empty()) {
    return best;
  }
  // If all targets are ejected, the likely cause is this router's network path
  // rather than the targets, so a random target is tried.
  std::uniform_int_distribution<size_t> pick(0, aTargets.size() - 1);
  return aTargets[pick(mRandom)];
}

double target_balancer::Cost(const choice_request& aRequest,
                             const known_target& aTarget,
                             time_point aNow)
{
  const double fraction =
    ExpectedLatencySeconds(aRequest, aTarget, aNow) /
    ToSeconds(std::max(aRequest.mLatencyTarget, duration(1)));
  double cost = kEarlySlope * fraction;
  cost += kLateSlope * std::max(0.0, fraction - kSafeLatencyFraction);
  cost += DistanceCost(aTarget, aRequest.mService);
  const auto found = mTargets.find(aTarget.mTarget.mName);
  if (found != mTargets.end()) {
    cost += FailureCost(found->second, aRequest, aNow);
  }
  const bool tried =
    std::find(aRequest.mAttemptedTargets.begin(),
              aRequest.mAttemptedTargets.end(),
              aTarget.mTarget.mName) != aRequest.mAttemptedTargets.end();
  cost += tried ? kTriedCost : 0;
  std::uniform_real_distribution<double> jitter(0, kMaxRandomCost);
  return cost + jitter(mRandom);
}

double target_balancer::ExpectedLatencySeconds(const choice_request& aRequest,
                                               const known_target& aTarget,
                                               time_point aNow) const
{
  const auto service = mServices.find(aRequest.mService);
  double mean = kAssumedLatencyFraction * ToSeconds(aRequest.mLatencyTarget);
  if (service != mServices.end() && service->second.mLatency > 0) {
    mean = service->second.mLatency;
  }
  if (aTarget.mSlowUntil > aNow) {
    mean *= kSlowStartFactor;
  }
  const auto found = mTargets.find(aTarget.mTarget.mName);
  if (found == mTargets.end()) {
    return mean;
  }
  const target_state& state = found->second;
  double expected = mean;
  if (state.mLatency > 0) {
    expected +=
      (state.mLatency - mean) * DecayFactor(state.mLastResponse, aNow);
  }
  const auto inFlight = static_cast<double>(state.mInFlight.size());
  return expected * (1 + kInFlightLatencyGrowth * inFlight);
}

double target_balancer::FailureCost(const target_state& aState,
                                    const choice_request& aRequest,
                                    time_point aNow) const
{
  // Failures cost more if the request can't be retried: its value is lost.
  const double weight = aRequest.mIdempotent ? 1.0 : 1.5;
  double cost =
    weight * aState.mFailureRate * DecayFactor(aState.mFailureRateTime, aNow);
  cost += IsSilent(aState, aNow) ? weight * kSilentCost : 0;
  cost += aState.mShedPenaltyUntil > aNow ? kShedCost : 0;
  return cost;
}

double target_balancer::DistanceCost(const known_target& aTarget,
                                     const service_name& aService) const
{
  const failure_domain_name& there = aTarget.mTarget.mFailureDomain;
  if (there == mLocation.mFailureDomain) {
    return 0;
  }
  const auto service = mServices.find(aService);
  const double kilobytes =
    service == mServices.end() ? 1 : service->second.mKilobytes;
  const auto here = mLocation.mRegions.find(mLocation.mFailureDomain);
  const auto other = mLocation.mRegions.find(there);
  const bool sameRegion = here != mLocation.mRegions.end() &&
                          other != mLocation.mRegions.end() &&
                          here->second == other->second;
  return kilobytes * (sameRegion ? mLocation.mDomainCostPerKilobyte
                                 : mLocation.mRegionCostPerKilobyte);
}

attempt_id target_balancer::HandleSent(const target_name& aTarget,
                                       const service_name& aService,
                                       time_point aNow)
{
  const attempt_id send(mNextSend++);
  target_state& state = mTargets[aTarget];
  state.mService = aService;
  state.mInFlight[send] = aNow;
  return send;
}

void target_balancer::HandleOutcome(const target_name& aTarget,
                                    attempt_id aSend,
                                    attempt_outcome aResult,
                                    size_t aBytes,
                                    time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  target_state& state = found->second;
  const auto sent = state.mInFlight.find(aSend);
  const time_point sentAt = sent == state.mInFlight.end() ? aNow : sent->second;
  state.mInFlight.erase(aSend);
  constexpr double kBytesPerKilobyte = 1000;
  switch (aResult) {
    case attempt_outcome::kResponded: {
      UpdateLatency(state, aNow - sentAt, aNow);
      UpdateFailureRate(state, 0, aNow);
      double& kilobytes = mServices[state.mService].mKilobytes;
      kilobytes +=
        kServiceSmoothing *
        (static_cast<double>(aBytes) / kBytesPerKilobyte - kilobytes);
      return;
    }
    case attempt_outcome::kFailedResponse:
      state.mLastResponse = aNow;
      state.mLostConnections = 0;
      UpdateFailureRate(state, 1, aNow);
      return;
    case attempt_outcome::kNotRun:
      state.mLastResponse = aNow;
      state.mLostConnections = 0;
      state.mShedPenaltyUntil = aNow + kShedPenaltyTime;
      UpdateFailureRate(state, 1, aNow);
      return;
    case attempt_outcome::kNotConnected:
      UpdateFailureRate(state, 1, aNow);
      Eject(aTarget, state, "not connected", aNow);
      return;
    case attempt_outcome::kNoResponse:
      UpdateFailureRate(state, 1, aNow);
      state.mLostConnections += 1;
      if (state.mLostConnections >= kLostConnectionsToEject) {
        Eject(aTarget, state, "no answers", aNow);
      }
      return;
    case attempt_outcome::kCancelled:
      return;
  }
}

void target_balancer::UpdateLatency(target_state& aState,
                                    duration aLatency,
                                    time_point aNow)
{
  const double seconds = ToSeconds(aLatency);
  double& mean = mServices[aState.mService].mLatency;
  mean = mean == 0 ? seconds : mean + kServiceSmoothing * (seconds - mean);
  if (aState.mLatency == 0) {
    aState.mLatency = mean;
  }
  aState.mLatency += kTargetSmoothing * (seconds - aState.mLatency);
  aState.mLastResponse = aNow;
  aState.mLostConnections = 0;
  aState.mEjected = false;
}

void target_balancer::UpdateFailureRate(target_state& aState,
                                        double aFailure,
                                        time_point aNow)
{
  const double old =
    aState.mFailureRate * DecayFactor(aState.mFailureRateTime, aNow);
  aState.mFailureRate = old + kTargetSmoothing * (aFailure - old);
  aState.mFailureRateTime = aNow;
}

void target_balancer::Eject(const target_name& aTarget,
                            target_state& aState,
                            const char* aReason,
                            time_point aNow)
{
  if (aState.mEjected) {
    return;
  }
  aState.mEjected = true;
  aState.mNextProbeTime = aNow + kProbeInterval;
  log_line(log_severity::kInfo, "target_set_aside")
    .Add("target", aTarget.Value())
    .Add("service", aState.mService.Value())
    .Add("reason", aReason)
    .Add("lost", uint64_t{ aState.mLostConnections })
    .Add("in_flight", uint64_t{ aState.mInFlight.size() });
}

void target_balancer::HandleHealthCheck(const target_name& aTarget,
                                        bool aHealthy,
                                        time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  found->second.mProbeInFlight = false;
  if (aHealthy) {
    found->second.mEjected = false;
    found->second.mLostConnections = 0;
    found->second.mLastResponse = aNow;
    return;
  }
  found->second.mNextProbeTime = aNow + kProbeInterval;
}

void target_balancer::HandleCrash(const target_name& aTarget, time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found != mTargets.end()) {
    Eject(aTarget, found->second, "crashed", aNow);
  }
}

std::vector<target_name> target_balancer::TakeDueHealthChecks(time_point aNow)
{
  std::vector<target_name> due;
  for (auto& [name, state] : mTargets) {
    if (state.mEjected && !state.mProbeInFlight &&
        state.mNextProbeTime <= aNow) {
      state.mProbeInFlight = true;
      due.push_back(name);
    }
  }
  return due;
}

void target_balancer::RemoveUnknownTargets(const target_directory& aDirectory)
{
  std::erase_if(mTargets, [&](const auto& aTarget) {
    return aDirectory.Find(aTarget.first) == nullptr &&
           aTarget.second.mInFlight.empty();
  });
}

duration target_balancer::MeanLatency(const service_name& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? duration::zero()
                                  : FromSeconds(found->second.mLatency);
}

bool target_balancer::IsSilent(const target_state& aState,
                               time_point aNow) const
{
  if (aState.mInFlight.empty()) {
    return false;
  }
  const duration limit = std::max(
    kMinSilentTime, kSilentLatencyFactor * MeanLatency(aState.mService));
  return std::any_of(
    aState.mInFlight.begin(), aState.mInFlight.end(), [&](const auto& aSend) {
      return aNow - aSend.second > limit && aState.mLastResponse < aSend.second;
    });
}

bool target_balancer::IsSilent(const target_name& aTarget,
                               time_point aNow) const
{
  const auto found = mTargets.find(aTarget);
  return found != mTargets.end() && IsSilent(found->second, aNow);
}

bool target_balancer::IsEjected(const target_name& aTarget) const
{
  const auto found = mTargets.find(aTarget);
  return found != mTargets.end() && found->second.mEjected;
}

size_t target_balancer::InFlight(const target_name& aTarget) const
{
  const auto found = mTargets.find(aTarget);
  return found == mTargets.end() ? 0 : found->second.mInFlight.size();
}

} // namespace parsleystair
