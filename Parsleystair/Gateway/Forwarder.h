#pragma once

#include "Parsleystair/Balancing/SlowStartAdmission.h"
#include "Parsleystair/Balancing/TargetBalancer.h"
#include "Parsleystair/Dump/LatencyHistogram.h"
#include "Parsleystair/Gateway/ForwarderCounters.h"
#include "Parsleystair/Gateway/LostTargets.h"
#include "Parsleystair/Gateway/RequestProtocol.h"
#include "Parsleystair/Gateway/RequestStatistics.h"
#include "Parsleystair/Gateway/TargetConnections.h"
#include "Parsleystair/Http/HttpServer.h"
#include "Parsleystair/KeyRanges/LoadReport.h"
#include "Parsleystair/Limits/ConnectionPolicy.h"
#include "Parsleystair/Limits/CrashGuard.h"
#include "Parsleystair/Limits/KeyAdmission.h"
#include "Parsleystair/Limits/OverloadEstimate.h"
#include "Parsleystair/Limits/SharedRetryBudget.h"
#include "Parsleystair/Routing/AllowedRegions.h"
#include "Parsleystair/Routing/RouteTable.h"
#include "Parsleystair/Routing/WeightedChoice.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace parsleystair {

/// Identifies one request of a caller within this router.
using forward_id = strong_id<struct forward_tag, uint64_t>;

/// State by which the forwarder routes. The gateway task owns and updates it.
struct forwarder_view
{
  /// Null before the first configuration.
  std::shared_ptr<const route_table> mRoutes;
  target_directory mDirectory;
  std::map<service_name, range_record> mRanges;
};

struct forwarder_settings
{
  /// Address of this router, as other routers know it.
  std::string mHost;
  router_location mLocation;
  shared_budget_settings mRetryBudget;
  /// Age up to which routes prove that there is no other one.
  duration mMaxRoutesAge = 2s;
};

/// Source of the routes, which may be behind the store.
class route_source
{
public:
  virtual ~route_source() = default;

  /// The routes in use were the newest ones at this time; `time_point::min()`
  /// if that is unknown.
  [[nodiscard]] virtual time_point RoutesConfirmedAt() const = 0;

  /// Asks for a confirmation. Returns false if none is to be expected soon.
  virtual bool ConfirmRoutes(time_point aNow) = 0;
};

/// Learns what responses of targets say about their registrations.
class target_observer
{
public:
  virtual ~target_observer() = default;

  /// Another target has responded at an address of `aTarget`.
  virtual void HandleReplacedTarget(const target_name& aTarget,
                                    const std::string& aHost,
                                    uint16_t aPort,
                                    time_point aNow) = 0;

  /// The process of `aTarget` that was started at `aStartedMs` has said that it
  /// leaves.
  virtual void HandleLeavingTarget(const target_name& aTarget,
                                   uint64_t aStartedMs) = 0;

  /// The process of `aTarget` that was started at `aStartedMs` has said that it
  /// remains in slow start for `aRest`.
  virtual void HandleSlowStart(const target_name& aTarget,
                               uint64_t aStartedMs,
                               duration aRest) = 0;
};

/// Forwards requests of callers to targets and returns the responses. A request
/// ends with one response: a target's, or a refusal that tells if it may have
/// run.
class forwarder : public concurrency_policy
{
public:
  forwarder(event_loop& aLoop,
            const forwarder_settings& aSettings,
            const request_protocol& aProtocol,
            const forwarder_view& aView,
            route_source& aRouteSource,
            target_observer& aTargetObserver,
            http_server& aServer,
            uint64_t aSeed);
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;

  /// Handles a completely received request of a caller.
  void Accept(exchange_id aExchange, http_request aRequest);

  /// Requests of one connection may be processed together if they are
  /// idempotent by the present routes. That of an unknown route may turn out
  /// otherwise.
  [[nodiscard]] bool IsConcurrent(const http_request& aRequest) const override;

  /// Handles that the caller of a request closed its connection.
  void HandleCallerGone(exchange_id aExchange);

  /// Dispatches waiting requests after the key owners or targets changed.
  void HandleViewChanged();

  /// Resolves the requests that wait for a confirmation of the routes.
  void HandleRoutesConfirmed();

  /// Replaces the limits of the retry budgets.
  void SetRetryBudget(const shared_budget_settings& aSettings);

  /// Sets the number of routers that share the targets' connections, including
  /// this one.
  void SetRouterCount(size_t aCount) { mRouterCount = aCount; }

  /// Limits for the keys of overloaded owners.
  [[nodiscard]] key_admission& Admission() { return mAdmission; }

  /// Requests to targets in slow start.
  [[nodiscard]] slow_start_admission& SlowStart() { return mSlowStart; }

  /// Contents that crash targets.
  [[nodiscard]] crash_guard& CrashGuard() { return mCrashGuard; }
  [[nodiscard]] const crash_guard& CrashGuard() const { return mCrashGuard; }

  /// Sets the end of a shutdown. From now on, requests that are not expected to
  /// be complete by then are not sent to targets.
  void SetShutdownEnd(time_point aEnd) { mShutdownEnd = aEnd; }

  /// Refuses new requests from now on; open requests continue.
  void RefuseNewRequests();

  /// Refuses the open requests that no target has, and ends those that keep
  /// responses to later requests of their connections from being sent.
  void RefuseWaitingRequests(time_point aNow);

  /// Periodic work: health checks, idle connections, and logged statistics.
  void Tick(time_point aNow);

  /// Returns the load of the keyed services since the last call.
  load_report TakeLoadReport();

  [[nodiscard]] const forwarder_counters& Counters() const { return mCounters; }
  [[nodiscard]] const request_statistics& Statistics() const
  {
    return mStatistics;
  }
  [[nodiscard]] const latency_histogram& Latency() const { return mLatency; }
  [[nodiscard]] const target_balancer& Balancer() const { return mBalancer; }
  [[nodiscard]] const target_connections& Connections() const
  {
    return mConnections;
  }
  [[nodiscard]] size_t Open() const { return mRequests.size(); }
  /// Services and owners of keys that refuse more than they can run.
  [[nodiscard]] const overload_table& Overloads() const { return mOverloads; }

private:
  /// One attempt: a request sent to a target.
  struct open_attempt
  {
    target_name mTarget;
    attempt_id mSend;
    time_point mSentAt;
    /// Address that the attempt was sent to.
    std::string mHost;
    uint16_t mPort = 0;
    /// Start time of the target that the attempt was sent to.
    uint64_t mStartedMs = 0;
  };

  struct open_request
  {
    forward_id mId;
    exchange_id mExchange;
    http_request mRequest;
    request_metadata mTerms;
    /// Null while the request waits for a confirmation of the routes.
    std::shared_ptr<const route> mRoute;
    service_name mService;
    bool mKeyed = false;
    time_point mReceivedAt;
    /// Time limit for targets, and time by which the caller gets a response.
    time_point mDeadline;
    time_point mResponseDeadline;
    std::map<call_id, open_attempt> mOpenAttempts;
    std::vector<target_name> mAttemptedTargets;
    uint32_t mAttemptCount = 0;
    uint32_t mConnectFailures = 0;
    bool mMayHaveRun = false;
    bool mHedgeConsidered = false;
    /// Attempts whose connections the targets ended.
    uint32_t mLostAttempts = 0;
    /// The content may crash targets, so the request is sent to one target at a
    /// time and is not retried.
    bool mSentAlone = false;
    /// Set for the trial of a content that is refused otherwise.
    std::optional<content_fingerprint> mTrial;
    /// The response is discarded, and no further attempt is made.
    bool mCallerGone = false;
    /// A target's failed response, returned if no attempt succeeds.
    std::optional<http_response> mFailedResponse;
    /// While set, the request waits for an owner of its key or for a free
    /// connection to it.
    std::optional<time_point> mWaitUntil;
    /// Fence of the owner that did not run the request. A change of the owners
    /// ends the wait only if the fence differs.
    fence mRefusedFence;
    /// Time after which the caller may come back, if the request is refused
    /// without having run.
    duration mRetryAfter{};
    /// A target, or the way to it, had no capacity for the request.
    bool mRejected = false;
    /// Expiry of the request's timer.
    time_point mTimerExpiry;
  };

  // Steps of a request, in order.
  void Process(open_request& aRequest, time_point aNow);
  bool ResolveRoute(open_request& aRequest, time_point aNow);
  /// Returns null if no present route matches.
  [[nodiscard]] std::shared_ptr<const route> FindRoute(
    const http_request& aRequest) const;
  /// Refuses a request for a key whose owner is overloaded, if it is one of
  /// those that the owner can't serve. Returns whether it is admitted.
  bool AdmitKey(open_request& aRequest, time_point aNow);
  /// Refuses a request whose content crashes targets. Returns whether it is
  /// admitted.
  bool AdmitContent(open_request& aRequest, time_point aNow);
  void Dispatch(open_request& aRequest, time_point aNow);
  const known_target* ChooseTarget(const open_request& aRequest,
                                   time_point aNow);
  [[nodiscard]] const owned_range* FindOwnedRange(
    const open_request& aRequest) const;
  /// Owner of the key if it may get the request; null if there is none.
  [[nodiscard]] const known_target* FindOwner(
    const open_request& aRequest) const;
  /// The same without regard to the regions of the route.
  [[nodiscard]] const known_target* FindOwnerInService(
    const open_request& aRequest) const;
  [[nodiscard]] allowed_domains AllowedDomains(
    const open_request& aRequest) const;
  /// Targets in service that may get the request.
  [[nodiscard]] std::vector<const known_target*> AllowedTargets(
    const open_request& aRequest) const;
  /// Reason for which the request has no target and is refused without waiting
  /// for one; null if there is none.
  [[nodiscard]] const char* UnservableReason(
    const open_request& aRequest) const;
  /// Requests per second that a target of the service bears in slow start; 0 if
  /// there is no limit.
  [[nodiscard]] double SlowStartRate(const service_name& aService) const;
  /// Shortest rest of a slow start, if only targets in slow start may get the
  /// request.
  [[nodiscard]] std::optional<duration> SlowStartLeft(
    const open_request& aRequest,
    time_point aNow) const;
  /// Ends a request whose targets get no more requests during their slow start,
  /// which lasts for `aLeft`.
  void FinishInSlowStart(open_request& aRequest,
                         duration aLeft,
                         time_point aNow);
  void Send(open_request& aRequest,
            const known_target& aTarget,
            time_point aNow);
  void HandleResult(forward_id aId, call_id aCall, http_result aResult);
  void Deliver(open_request& aRequest, http_response aAnswer, time_point aNow);
  void Refuse(open_request& aRequest,
              refusal_kind aKind,
              const std::string& aReason,
              time_point aNow);
  /// Counts a request that is refused for lack of capacity, and sets the time
  /// after which its caller may come back. `aBacklogTime`: time that the
  /// backlog needs at least.
  void HandleOverloadRefusal(open_request& aRequest,
                             duration aBacklogTime,
                             time_point aNow);
  /// Owner of the request's key; empty if the service isn't keyed or the key
  /// has no owner.
  [[nodiscard]] target_name OwnerOf(const open_request& aRequest) const;
  /// Time that the caller still waits, as far as it is known.
  [[nodiscard]] static duration CallerTimeLeft(const open_request& aRequest,
                                               time_point aNow);
  void LogOverloadChanges(time_point aNow);
  void LogRefusal(const open_request& aRequest,
                  request_outcome aOutcome,
                  const std::string& aReason,
                  duration aElapsed) const;
  void Finish(open_request& aRequest, time_point aNow);

  // Results of attempts.
  void HandleResponse(open_request& aRequest,
                      const open_attempt& aAttempt,
                      http_response aAnswer,
                      time_point aNow);
  void HandleNotRun(open_request& aRequest,
                    const open_attempt& aAttempt,
                    const response_metadata& aTerms,
                    time_point aNow);
  void HandleNotConnected(open_request& aRequest, time_point aNow);
  void HandleNoResponse(open_request& aRequest,
                        const open_attempt& aAttempt,
                        const http_result& aResult,
                        time_point aNow);
  /// Notes a connection that a target ended, as the target may have crashed.
  void HandleLostConnection(open_request& aRequest,
                            const open_attempt& aAttempt,
                            time_point aNow);
  void HandleCrash(const discovered_target& aTarget,
                   const std::vector<content_fingerprint>& aContents,
                   time_point aNow);
  /// Returns whether a request that may have run at a target may be sent to
  /// another one, as far as the content is concerned.
  [[nodiscard]] static bool MayRetryContent(const open_request& aRequest);
  void RetryOrFinish(open_request& aRequest,
                     const std::string& aReason,
                     time_point aNow);
  void FinishWithFailure(open_request& aRequest,
                         const std::string& aReason,
                         time_point aNow);

  // Waiting.
  /// Refuses a request without a route, or keeps it until the routes are
  /// confirmed.
  void HandleUnknownRoute(open_request& aRequest, time_point aNow);
  void WaitForOwner(open_request& aRequest,
                    const std::string& aReason,
                    time_point aNow);
  void WaitForOwnerConnection(open_request& aRequest, time_point aNow);
  /// Latest time until which a request waits for its owner.
  static time_point OwnerWaitDeadline(const open_request& aRequest);
  void WaitUntil(open_request& aRequest, time_point aUntil, time_point aNow);
  void SetRequestTimer(open_request& aRequest, time_point aNow);
  void ScheduleLoopTimer(time_point aNow);
  void HandleLoopTimer();
  void HandleRequestTimer(open_request& aRequest, time_point aNow);
  void HedgeIfAllowed(open_request& aRequest, time_point aNow);
  [[nodiscard]] duration HedgeDelay(const open_request& aRequest) const;

  [[nodiscard]] size_t ConnectionLimit(const service_name& aService) const;
  /// Whether a request to a target must wait for one of the own connections
  /// that are in use.
  [[nodiscard]] bool IsAtConnectionLimit(const target_name& aTarget,
                                         size_t aLimit,
                                         time_point aNow) const;
  /// Notes whether a target takes new connections.
  void HandleConnectionResult(const target_name& aTarget,
                              const http_result& aResult,
                              time_point aNow);
  shared_retry_budget& RetryBudgetOf(const service_name& aService);
  bool TakeRetry(open_request& aRequest);
  /// Returns whether an attempt that starts now is expected to be complete
  /// before the end of a shutdown.
  [[nodiscard]] bool FitsIntoShutdown(const open_request& aRequest,
                                      time_point aNow) const;
  void Probe(const target_name& aTarget, time_point aNow);
  /// Reports the slow start that the response to a health check states.
  void ReportSlowStart(const target_name& aTarget,
                       uint64_t aStartedMs,
                       const http_result& aResult);
  /// Sends a health check to a target that may have crashed; tells whether the
  /// target reacted.
  void CheckLostTarget(const discovered_target& aTarget,
                       std::function<void(bool)> aCallback);

  event_loop& mLoop;
  forwarder_settings mSettings;
  const request_protocol& mProtocol;
  const forwarder_view& mView;
  route_source& mRouteSource;
  target_observer& mTargetObserver;
  http_server& mServer;
  target_balancer mBalancer;
  slow_start_admission mSlowStart;
  target_connections mConnections;
  weighted_choice mServiceChoice;
  key_admission mAdmission;
  overload_table mOverloads;
  connection_backoff mBackoff;
  crash_guard mCrashGuard;
  lost_targets mLostTargets;
  std::mt19937_64 mRandom;
  bool mRefusesNew = false;
  time_point mShutdownEnd = time_point::max();
  /// The usual size of a deployment until the leader sends the router list.
  size_t mRouterCount = 12;
  uint64_t mNextId = 1;
  std::unordered_map<forward_id, open_request> mRequests;
  std::unordered_map<exchange_id, forward_id> mRequestsByExchange;
  /// Requests that wait for a confirmation of the routes.
  std::set<forward_id> mWithoutRoute;
  std::set<std::pair<time_point, forward_id>> mRequestTimers;
  std::unordered_map<service_name, shared_retry_budget> mRetryBudgets;
  load_report mLoad;
  forwarder_counters mCounters;
  request_statistics mStatistics;
  latency_histogram mLatency;
  time_point mLoopTimerExpiry = time_point::max();
  timer mLoopTimer;
};

} // namespace parsleystair
