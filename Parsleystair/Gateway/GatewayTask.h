#pragma once

#include "Parsleystair/Gateway/Forwarder.h"
#include "Parsleystair/Gateway/GatewaySettings.h"
#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Gateway/OwnerFeed.h"
#include "Parsleystair/Gateway/PeerReport.h"
#include "Parsleystair/Gateway/PlatformCatalog.h"
#include "Parsleystair/Gateway/PrefixFollower.h"
#include "Parsleystair/Gateway/RangeDriver.h"
#include "Parsleystair/Gateway/RelayedStore.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/KeyRanges/LoadReport.h"

#include <functional>
#include <memory>

namespace parsleystair {

/// The parts of a gateway that depend on where it runs.
struct gateway_platform
{
  coordination_store& mStore;
  const platform_catalog& mCatalog;
  const request_protocol& mRequestProtocol;
  const order_protocol& mOrderProtocol;
};

/// One gateway: serves callers, follows the store, and leads the ownership of
/// keys when it is its turn. Everything runs on one event loop: a machine has
/// less than one core.
class gateway_task
{
public:
  gateway_task(event_loop& aLoop,
               const gateway_settings& aSettings,
               const gateway_platform& aPlatform,
               uint64_t aSeed);
  ~gateway_task();
  gateway_task(const gateway_task&) = delete;
  gateway_task& operator=(const gateway_task&) = delete;

  /// Takes over the limits on repeats and the grace time. All other settings
  /// stay as they were at the start.
  void ApplySettings(const gateway_settings& aSettings);

  /// Starts a graceful shutdown; the loop stops when it is done.
  void Shutdown();

  [[nodiscard]] bool IsReady() const;

  /// Metrics in Prometheus text format.
  [[nodiscard]] std::string MetricsText() const;

  /// State of the process as JSON.
  [[nodiscard]] std::string DumpText() const;

private:
  /// Follows one prefix of the store on behalf of the task.
  class follower;

  void ApplyConfiguration(const std::string& aKey, const std::string& aValue);
  void ApplyTargets(const std::vector<stored_item>& aItems);
  void ApplyTarget(const item_change& aChange);
  void ApplyLeader(const std::optional<stored_item>& aItem);
  void HandleLeadershipChange();
  void ReadOwners();
  void RequestAbdication();
  void HandleAbdicationResponse(const http_result& aResult);
  void HandleAbdicationRequest(exchange_id aExchange,
                               const http_request& aRequest);
  void ApplyOwners(const service_name& aService,
                   const versioned_record& aRecord);
  [[nodiscard]] owner_revisions KnownOwnerRevisions() const;
  void HandleTargetsChanged();
  [[nodiscard]] http_answer OperatorResponse(
    const http_request& aRequest) const;
  void HandlePeerRequest(exchange_id aExchange, const http_request& aRequest);
  void HandleReport(exchange_id aExchange, const http_request& aRequest);
  void Tick();
  void SendReport();
  void HandleReportResponse(const http_result& aResult);
  void ApplyRouterList(const router_list& aRouters);
  [[nodiscard]] listed_router SelfRouter() const;
  /// This router leads, and all others have reported to it.
  [[nodiscard]] bool HasCompleteRouterList(time_point aNow) const;
  /// Routers that report to this one, and itself.
  router_list LiveRouters(time_point aNow);
  /// Asks the relay for owners, or the leader itself.
  void ChooseOwnerSource();
  void ContinueShutdown();

  event_loop& mLoop;
  gateway_settings mSettings;
  gateway_platform mPlatform;
  uint64_t mIncarnation;
  forwarder_view mView;
  http_server mCallerServer;
  http_server mReadinessServer;
  http_server mOperatorServer;
  http_server mPeerServer;
  relay_choice mRelayChoice;
  relayed_store mRelayedStore;
  forwarder mForwarder;
  leader_election mElection;
  range_driver mRangeDriver;
  std::unique_ptr<follower> mConfigurationFollower;
  std::unique_ptr<follower> mTargetFollower;
  std::unique_ptr<follower> mLeaderFollower;
  owner_records mOwnerRecords;
  owner_feed_server mOwnerFeedServer;
  owner_feed_client mOwnerFeedClient;
  std::unique_ptr<http_connection> mFormerLeaderConnection;
  timer mFormerLeaderTimer;
  /// When each router last reported to this one.
  std::map<listed_router, time_point> mLastReports;
  /// Routers as the leader lists them, and their digest.
  router_list mRouters;
  uint64_t mRoutersDigest = 0;
  time_point mLeadingSince = time_point::min();
  /// Owners are asked of the relay and not of the leader.
  bool mOwnersFromRelay = false;
  time_point mNextRelayAttempt = time_point::min();
  time_point mNextOwnersRead = time_point::min();
  std::unique_ptr<http_connection> mReportConnection;
  std::optional<leader_entry> mReportLeader;
  time_point mNextReport = time_point::min();
  std::optional<time_point> mShutdownStartedAt;
  timer mTickTimer;
  timer mShutdownTimer;
};

} // namespace parsleystair
