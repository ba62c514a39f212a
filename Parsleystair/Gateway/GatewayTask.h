#pragma once

#include "Parsleystair/Gateway/Forwarder.h"
#include "Parsleystair/Gateway/GatewaySettings.h"
#include "Parsleystair/Gateway/LeaderElection.h"
#include "Parsleystair/Gateway/OwnerFeed.h"
#include "Parsleystair/Gateway/PeerReport.h"
#include "Parsleystair/Gateway/PlatformCatalog.h"
#include "Parsleystair/Gateway/PrefixFollower.h"
#include "Parsleystair/Gateway/RangeDriver.h"
#include "Parsleystair/Gateway/RecordSurvey.h"
#include "Parsleystair/Gateway/RelayedStore.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/KeyRanges/LoadReport.h"
#include "Parsleystair/Limits/CrashRegistry.h"

#include <functional>
#include <memory>

namespace parsleystair {

/// Platform-specific parts of a gateway.
struct gateway_platform
{
  coordination_store& mStore;
  const platform_catalog& mCatalog;
  const request_protocol& mRequestProtocol;
  const order_protocol& mOrderProtocol;
};

/// One gateway: forwards requests of callers, watches the store, and assigns
/// the owners of keys while it is the elected leader. Everything runs on one
/// event loop because a machine has less than one core.
class gateway_task
  : private route_source
  , private target_observer
{
public:
  gateway_task(event_loop& aLoop,
               const gateway_settings& aSettings,
               const gateway_platform& aPlatform,
               uint64_t aSeed);
  ~gateway_task() override;
  gateway_task(const gateway_task&) = delete;
  gateway_task& operator=(const gateway_task&) = delete;

  /// Applies the retry budget and the grace time of shutdown. All other
  /// settings keep their values from the start of the process.
  void ApplySettings(const gateway_settings& aSettings);

  /// Starts a graceful shutdown. The event loop stops when it is complete.
  void Shutdown();

  /// Repeats the watches that the store may have forgotten while it was silent.
  void CheckFollowersAfterSilence();
  [[nodiscard]] bool IsReady() const;

  /// Metrics in the Prometheus text format.
  [[nodiscard]] std::string MetricsText() const;

  /// State of the process as JSON.
  [[nodiscard]] std::string DumpText() const;

private:
  /// Watches one prefix of the store and passes its changes to the task.
  class follower;

  [[nodiscard]] time_point RoutesConfirmedAt() const override;
  bool ConfirmRoutes(time_point aNow) override;
  void HandleReplacedTarget(const target_name& aTarget,
                            const std::string& aHost,
                            uint16_t aPort,
                            time_point aNow) override;
  void HandleLeavingTarget(const target_name& aTarget,
                           uint64_t aStartedMs) override;
  void HandleSlowStart(const target_name& aTarget,
                       uint64_t aStartedMs,
                       duration aRest) override;
  void ApplyConfiguration(const std::string& aKey, const std::string& aValue);
  /// `aItems`: all keys of operators, the configuration and the evacuated
  /// failure domains.
  void ApplyOperatorItems(const std::vector<stored_item>& aItems);
  void ApplyOperatorChange(const item_change& aChange);
  void ApplyEvacuated(const std::set<failure_domain_name>& aDomains);
  void ApplyTargets(const std::vector<stored_item>& aItems);
  void ApplyTarget(const item_change& aChange);
  /// `aItem`: the leader key or the list of routers.
  void ApplyLeaderItem(const item_change& aItem);
  /// `aText`: list of routers as a leader wrote it to the store.
  void ApplyStoredRouters(const std::string& aText);
  void ApplyLeader(const std::optional<stored_item>& aItem);
  /// Starts to follow the configuration and the targets.
  void StartFollowers();
  void HandleLeadershipChange();
  void ReadOwners();
  /// `aItem`: ownership record as read from the store.
  void ApplyStoredOwners(const stored_item& aItem);
  void HandleAbdicationRequest(exchange_id aExchange,
                               const http_request& aRequest);
  /// Body of the response to an abdication request.
  [[nodiscard]] std::string SurveyResponseTo(
    const http_request& aRequest) const;
  /// Applies the records of a response; returns nothing if it can't be read.
  std::optional<survey_response> ApplySurveyResponse(const std::string& aText);
  /// The store has come back from an older copy, or was restored before this
  /// process started.
  void HandleEra(const store_era& aEra);
  /// `aVersion`: version of the configuration that another router uses. After a
  /// restore of the store, requests the configuration from that router if it is
  /// newer than the own one.
  void CompareConfigurations(uint64_t aVersion, const std::string& aHost);
  /// Version of the configuration in use; 0 if there is none.
  [[nodiscard]] uint64_t ConfigurationVersion() const;
  void ApplyOwners(const service_name& aService,
                   const versioned_record& aRecord);
  [[nodiscard]] owner_revisions KnownOwnerRevisions() const;
  void HandleTargetsChanged();
  /// Logs the routes whose allowed regions have lost all targets or have got
  /// the first one.
  void CheckRouteRegions(time_point aNow);
  [[nodiscard]] http_response OperatorResponse(const http_request& aRequest);
  /// Clears the content that an operator names in the query.
  http_response ClearContent(const http_request& aRequest);
  void HandlePeerRequest(exchange_id aExchange, const http_request& aRequest);
  void HandleReport(exchange_id aExchange, const http_request& aRequest);
  void Tick();
  void SendReport();
  /// Revisions of the latest changes that this router knows, for other routers.
  [[nodiscard]] std::string KnownChangesText() const;
  /// `aText`: what another router wrote with `KnownChangesText`.
  void HandleKnownChanges(const std::string& aText);
  /// Number of changes that waiting watches didn't report.
  [[nodiscard]] uint64_t LateChanges() const;
  void HandleReportResponse(const http_result& aResult);
  /// Gives the crashes of a report that the leader has not taken back to the
  /// next one.
  void HandleReportLost();
  /// Takes over the crash records of this router as the new leader.
  void StartCrashRegistry(time_point aNow);
  /// Applies what a router reports of crashes, as the leader.
  void HandleCrashReport(const std::string& aRouter,
                         const crash_report& aReport,
                         time_point aNow);
  /// Makes the leader's records the ones that are told to all routers.
  void PublishCrashRecords(time_point aNow);
  /// Writes the refused contents to the store if they have changed.
  void StoreCrashRecords(time_point aNow);
  /// `aText`: refused contents as a leader wrote them to the store.
  void ApplyStoredCrashes(const std::string& aText, store_revision aRevision);
  /// Applies the records of the leader.
  void ApplyCrashRecords(const crash_records& aRecords, time_point aNow);
  void ApplyRouterList(const router_list& aRouters);
  void ApplyLimits(service_limits aLimits, time_point aNow);
  /// Passes the leader's present list of routers, which the store confirmed at
  /// `aConfirmedAt`, to the decisions on targets in slow start.
  void ConfirmSendingRouters(time_point aConfirmedAt, time_point aNow);
  [[nodiscard]] bool LimitsSlowStarts() const;
  /// Replaces the list of routers by those that live, as the leader. Routers
  /// that are gone are removed together after a while.
  void UpdateRouterList(time_point aNow);
  /// Writes the list of routers for those that start, if it has changed.
  void StoreRouterList(time_point aNow);
  [[nodiscard]] router_entry SelfRouter() const;
  /// True if this router has been the leader long enough for all live routers
  /// to have reported to it.
  [[nodiscard]] bool HasCompleteRouterList(time_point aNow) const;
  /// Removes routers whose last report is too old. Returns the remaining ones
  /// and this router, sorted.
  router_list LiveRouters(time_point aNow);
  /// Selects the relay as the source of owners if there is one, otherwise the
  /// leader.
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
  /// Time of the last report of each router to this one.
  std::map<router_entry, time_point> mLastReports;
  /// Live routers according to the leader. `mRoutersDigest` is the digest of
  /// this list.
  router_list mRouters;
  uint64_t mRoutersDigest = 0;
  time_point mNextRouterRemoval = time_point::min();
  time_point mNextRoutersWrite = time_point::min();
  /// Digest of the list in the store; 0 if it is unknown.
  uint64_t mStoredRoutersDigest = 0;
  /// The last response to a report, and its encoding.
  report_response mReportContent;
  std::string mReportBody;
  /// Digest of the limits for keys in use.
  uint64_t mLimitsDigest = 0;
  crash_registry mCrashRegistry;
  /// The leader's crash records as told to all routers, the registry's version
  /// that they show, and their digest.
  crash_records mPublishedCrashes;
  uint64_t mPublishedCrashVersion = 0;
  time_point mCrashesPublishedAt = time_point::min();
  uint64_t mCrashesDigest = 0;
  /// Digest of the refused contents in the store; 0 if there are none.
  uint64_t mStoredCrashesDigest = 0;
  time_point mNextCrashesWrite = time_point::min();
  bool mFollowersStarted = false;
  timer mFollowersTimer;
  time_point mStartedAt;
  time_point mLeadingSince = time_point::min();
  /// True if owners are requested from the relay instead of the leader.
  bool mOwnersFromRelay = false;
  time_point mNextRelayAttempt = time_point::min();
  time_point mNextOwnersRead = time_point::min();
  /// Text of the configuration in use, for routers that have an older one.
  std::string mConfigurationText;
  /// Evacuations of failure domains that the settings don't list.
  uint64_t mUnknownEvacuations = 0;
  /// Routes with allowed regions that have no target there.
  std::set<route_name> mUnservableRoutes;
  time_point mNextRouteCheck = time_point::min();
  time_point mComparesConfigurationUntil = time_point::min();
  std::unique_ptr<http_connection> mConfigurationConnection;
  /// Restores of the store since this process has read the targets first.
  uint64_t mRestoreCount = 0;
  /// Silences of the store that this router has met as the leader.
  uint64_t mStoreSilences = 0;
  /// The leader's last word on silences; empty before the first.
  std::string mReportedSilences;
  timer mRestoreTimer;
  std::unique_ptr<http_connection> mReportConnection;
  /// Crashes in the report that has no response yet.
  crash_report mReportedCrashes;
  std::optional<leader_entry> mReportLeader;
  time_point mReportSentAt = time_point::min();
  time_point mNextReport = time_point::min();
  std::optional<time_point> mShutdownStartedAt;
  timer mTickTimer;
  timer mShutdownTimer;
};

} // namespace parsleystair
