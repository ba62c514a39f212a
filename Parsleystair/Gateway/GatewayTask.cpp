#include "Parsleystair/Gateway/GatewayTask.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <sstream>

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kNotFound = 404;
/// Divisor of a machine's memory that gives the limit of the bytes that
/// connections hold. Buffers grow by doubling, and an answer that is complete
/// is copied on its way to the caller.
constexpr uint64_t kConnectionMemoryDivisor = 8;
constexpr uint32_t kUnavailable = 503;

/// Interval of periodic work that no event triggers: health checks, closing of
/// old connections, expiry of missing target entries.
constexpr duration kTickInterval = 250ms;
/// Maximum wait of one watch call. The operating system's TCP keep-alive
/// detects a lost connection.
constexpr duration kMaxWatchWait = 20s;
/// Maximum wait of the configuration watch. It is shorter than that of the
/// other watches, because this watch detects for all of them that the store may
/// have lost them during an outage. Including 1 s for its reply and 1 s for the
/// next attempt, a change takes effect within 5 s of the end of the outage.
constexpr duration kMaxConfigurationWatchWait = 3s;
/// Interval at which a router reads the owners from the store while it receives
/// them from no other router.
constexpr duration kOwnersReadInterval = 1s;
/// Time for which a router without owners waits for them from a router that it
/// polls.
constexpr duration kMaxOwnersWait = 5s;
/// Time after which a router reads the store without a list of routers by which
/// it could find a relay: when the list can't be read, and when the deployment
/// starts for the first time and has no leader yet.
constexpr duration kMaxRouterListWait = 1s;
constexpr duration kMaxFirstRouterListWait = 4s;
/// Interval of load reports, short because the set of busy keys changes within
/// seconds.
constexpr duration kReportInterval = 500ms;
/// Time after which the platform has seen two failed readiness checks and sends
/// no new connections to this machine as long as other machines are ready.
constexpr duration kReadinessDrainTime = 2500ms;
/// Time reserved for sending the last responses before the platform kills the
/// process. Requests without a response are refused at its start.
constexpr duration kShutdownMargin = 300ms;
/// Time before the platform kills the process at which it ends by itself.
constexpr duration kShutdownEndMargin = 100ms;
constexpr duration kShutdownPollInterval = 50ms;
/// Time after a restore of the store, or after the start in a store that was
/// restored before, in which a router takes a newer configuration from another
/// one. The operator writes lost configurations again within seconds.
constexpr duration kConfigurationComparisonTime = 30s;
/// Crash records of a leader, at about 400 bytes each.
constexpr size_t kMaxCrashRecords = 2048;

http_server_settings CallerSettings(const request_limits& aLimits)
{
  http_server_settings settings;
  settings.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  settings.mMaxBodyBytes = aLimits.mMaxBodyBytes;
  settings.mRequestTimeout = aLimits.mHeaderTimeout;
  settings.mIdleTimeout = aLimits.mIdleTimeout;
  return settings;
}

forwarder_settings ForwarderSettings(const gateway_settings& aSettings)
{
  forwarder_settings settings;
  settings.mHost = aSettings.mPeers.mHost;
  settings.mLocation.mFailureDomain = aSettings.mFailureDomain;
  settings.mLocation.mRegions = aSettings.mRegions;
  settings.mRetryBudget = { aSettings.mRetryRatio, aSettings.mRetrySlack };
  settings.mMaxRoutesAge = aSettings.mConfigurationApplyTime;
  return settings;
}

range_settings RangeSettings(const gateway_settings& aSettings)
{
  range_settings settings;
  settings.mGrantDuration =
    std::min(settings.mGrantDuration, aSettings.mMaxGrantDuration);
  settings.mMaxNetworkDelay = aSettings.mMaxNetworkDelay;
  return settings;
}

/// Delay before this router becomes a candidate for leader. Leading takes up to
/// 7% of a core with 90 owners and 270 key ranges, so a machine with a small
/// processor share leads only if no other machine does.
duration CandidacyDelay(const gateway_settings& aSettings)
{
  constexpr double kMinLeaderProcessorShare = 0.2;
  constexpr duration kSmallMachineDelay = 200ms;
  return aSettings.mProcessorShare < kMinLeaderProcessorShare
           ? kSmallMachineDelay
           : duration::zero();
}

election_settings ElectionSettings(const gateway_settings& aSettings,
                                   uint64_t aIncarnation,
                                   time_point aStartedAt)
{
  election_settings settings;
  settings.mLeaderKey = kLeaderKey;
  settings.mTermsKey = kTermsKey;
  settings.mSelf.mVm = aSettings.mVm;
  settings.mSelf.mIncarnation = incarnation(aIncarnation);
  settings.mSelf.mHost = aSettings.mPeers.mHost;
  settings.mSelf.mPort = aSettings.mPeers.mPort;
  settings.mCampaignDelay = CandidacyDelay(aSettings);
  const range_settings ranges = RangeSettings(aSettings);
  settings.mMaxRenewalTime = ranges.mMaxConfirmationAgeToRenew;
  settings.mGrantLifetime = ranges.MaxFormerGrantLifetime();
  settings.mStartedAt = aStartedAt;
  return settings;
}

} // namespace

class gateway_task::follower : public prefix_listener
{
public:
  using items_handler = std::function<void(const std::vector<stored_item>&)>;
  using change_handler = std::function<void(const item_change&)>;
  using confirmation_handler = std::function<void()>;

  follower(gateway_task& aTask,
           const std::string& aPrefix,
           items_handler aItems,
           change_handler aChange,
           duration aLongestWait,
           uint64_t aSeed,
           confirmation_handler aConfirmation = nullptr)
    : mTask(aTask)
    , mItemsHandler(std::move(aItems))
    , mChangeHandler(std::move(aChange))
    , mConfirmationHandler(std::move(aConfirmation))
    , mFollower(aTask.mLoop,
                aTask.mRelayedStore,
                aPrefix,
                *this,
                aLongestWait,
                aSeed)
  {
  }

  void Start() { mFollower.Start(); }
  void HandleEraChange() { mFollower.HandleEraChange(); }
  void CheckAfterGap(time_point aAt) { mFollower.CheckAfterGap(aAt); }
  void CheckAfterSilence() { mFollower.CheckAfterSilence(); }
  void HandleKnownChange(store_revision aRevision)
  {
    mFollower.HandleKnownChange(aRevision);
  }
  [[nodiscard]] const prefix_follower& Follower() const { return mFollower; }
  bool Confirm(time_point aNow) { return mFollower.Confirm(aNow); }

  void HandleItems(const std::vector<stored_item>& aItems) override
  {
    mItemsHandler(aItems);
  }
  void HandleChange(const item_change& aChange) override
  {
    mChangeHandler(aChange);
  }
  void HandleConfirmed() override
  {
    if (mConfirmationHandler) {
      mConfirmationHandler();
    }
  }
  void HandleLost() override
  {
    mTask.mView.mDirectory.HandleStoreOutage(MonotonicNow());
  }
  void HandleBack() override
  {
    mTask.mView.mDirectory.HandleStoreRecovery(MonotonicNow());
  }
  void HandleGap() override
  {
    const time_point now = MonotonicNow();
    for (const auto& prefixFollower : { &mTask.mConfigurationFollower,
                                        &mTask.mTargetFollower,
                                        &mTask.mLeaderFollower }) {
      (*prefixFollower)->CheckAfterGap(now);
    }
  }

private:
  gateway_task& mTask;
  items_handler mItemsHandler;
  change_handler mChangeHandler;
  confirmation_handler mConfirmationHandler;
  prefix_follower mFollower;
};

gateway_task::gateway_task(event_loop& aLoop,
                           const gateway_settings& aSettings,
                           const gateway_platform& aPlatform,
                           uint64_t aSeed)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mPlatform(aPlatform)
  , mIncarnation(aSeed)
  , mCallerServer(aLoop,
                  CallerSettings({}),
                  [this](exchange_id aExchange, http_request aRequest) {
                    mForwarder.Accept(aExchange, std::move(aRequest));
                  })
  , mReadinessServer(aLoop,
                     {},
                     [this](exchange_id aExchange, const http_request&) {
                       mReadinessServer.Respond(
                         aExchange, { IsReady() ? kOk : kUnavailable, {}, "" });
                     })
  , mOperatorServer(
      aLoop,
      {},
      [this](exchange_id aExchange, const http_request& aRequest) {
        mOperatorServer.Respond(aExchange, OperatorResponse(aRequest));
      })
  , mPeerServer(aLoop,
                {},
                [this](exchange_id aExchange, const http_request& aRequest) {
                  HandlePeerRequest(aExchange, aRequest);
                })
  , mRelayChoice(aSettings.mPeers.mHost, aSettings.mFailureDomain)
  , mRelayedStore(aLoop,
                  aPlatform.mStore,
                  mRelayChoice,
                  mPeerServer,
                  aSettings.mPeers.mPort)
  , mForwarder(aLoop,
               ForwarderSettings(aSettings),
               aPlatform.mRequestProtocol,
               mView,
               *this,
               *this,
               mCallerServer,
               aSeed)
  , mElection(aLoop,
              aPlatform.mStore,
              ElectionSettings(aSettings, aSeed, MonotonicNow()),
              aSeed + 1)
  , mRangeDriver(aLoop,
                 RangeSettings(aSettings),
                 aPlatform.mStore,
                 aPlatform.mOrderProtocol,
                 mElection)
  , mOwnerFeedServer(mPeerServer)
  , mOwnerFeedClient(
      aLoop,
      [this] { return KnownOwnerRevisions(); },
      [this](const owner_records& aRecords) {
        for (const auto& [service, record] : aRecords) {
          ApplyOwners(service, record);
        }
      },
      aSeed + 5)
  , mCrashRegistry(kMaxCrashRecords)
{
  aLoop.Bytes().SetLimit(aSettings.mMemoryBytes / kConnectionMemoryDivisor);
  mCallerServer.SetConcurrency(mForwarder);
  mCallerServer.OnClose(
    [this](exchange_id aExchange) { mForwarder.HandleCallerGone(aExchange); });
  mPeerServer.OnClose([this](exchange_id aExchange) {
    mOwnerFeedServer.HandleDisconnect(aExchange);
    mRelayedStore.HandleDisconnect(aExchange);
  });
  aPlatform.mStore.OnEraChange(
    [this](const store_era& aEra) { HandleEra(aEra); });
  mElection.OnSurvey(
    [this] { return EncodeOwnerRevisions(KnownOwnerRevisions()); },
    [this](const std::string& aText) { return ApplySurveyResponse(aText); });
  mElection.OnChange([this] { HandleLeadershipChange(); });
  mRangeDriver.OnRecord(
    [this](const service_name& aService, const versioned_record& aRecord) {
      ApplyOwners(aService, aRecord);
    });
  mRangeDriver.OnLeaving(
    [this](const target_name& aTarget, uint64_t aStartedMs) {
      HandleLeavingTarget(aTarget, aStartedMs);
    });
  mRangeDriver.OnWriteFailed([this] { ReadOwners(); });
  mElection.OnLeadershipConfirmed(
    [this] { mRangeDriver.HandleLeadershipConfirmed(); });
  mElection.OnFormerLeadersGone(
    [this] { mRangeDriver.HandleFormerLeadersGone(MonotonicNow()); });
  mElection.OnRecoveryChange([this] { mRangeDriver.HandleRecoveryChange(); });
  mElection.OnStoreSilenceEnd([this] {
    ++mStoreSilences;
    CheckFollowersAfterSilence();
  });
  mConfigurationFollower = std::make_unique<follower>(
    *this,
    aPlatform.mCatalog.OperatorPrefix(),
    [this](const std::vector<stored_item>& aItems) {
      ApplyOperatorItems(aItems);
    },
    [this](const item_change& aChange) { ApplyOperatorChange(aChange); },
    kMaxConfigurationWatchWait,
    aSeed + 2,
    [this] { mForwarder.HandleRoutesConfirmed(); });
  mTargetFollower = std::make_unique<follower>(
    *this,
    aPlatform.mCatalog.TargetPrefix(),
    [this](const std::vector<stored_item>& aItems) { ApplyTargets(aItems); },
    [this](const item_change& aChange) { ApplyTarget(aChange); },
    kMaxWatchWait,
    aSeed + 3);
  mLeaderFollower = std::make_unique<follower>(
    *this,
    kLeaderKey,
    [this](const std::vector<stored_item>& aItems) {
      // The prefix also has the leader keys of earlier eras.
      bool hasLeader = false;
      for (const stored_item& item : aItems) {
        ApplyLeaderItem({ item.mKey, item.mValue, item.mRevision });
        hasLeader = hasLeader || item.mKey == mElection.LeaderKey();
      }
      if (!hasLeader) {
        ApplyLeader(std::nullopt);
      }
      if (!mSettings.mFirstStart) {
        StartFollowers();
      }
    },
    [this](const item_change& aChange) { ApplyLeaderItem(aChange); },
    kMaxWatchWait,
    aSeed + 4);

  mStartedAt = MonotonicNow();
  mReadinessServer.Listen(mSettings.mReadiness.mHost,
                          mSettings.mReadiness.mPort);
  mOperatorServer.Listen(mSettings.mOperators.mHost,
                         mSettings.mOperators.mPort);
  mPeerServer.Listen(mSettings.mPeers.mHost, mSettings.mPeers.mPort);
  mCallerServer.Listen(mSettings.mCallers.mHost, mSettings.mCallers.mPort);
  mLeaderFollower->Start();
  mFollowersTimer.StartOnce(mLoop,
                            mSettings.mFirstStart ? kMaxFirstRouterListWait
                                                  : kMaxRouterListWait,
                            [this] { StartFollowers(); });
  mTickTimer.StartRepeating(mLoop, kTickInterval, [this] { Tick(); });
}

gateway_task::~gateway_task() = default;

void gateway_task::StartFollowers()
{
  if (!std::exchange(mFollowersStarted, true)) {
    mConfigurationFollower->Start();
    mTargetFollower->Start();
  }
}

void gateway_task::HandleEra(const store_era& aEra)
{
  const time_point now = MonotonicNow();
  log_line(log_severity::kWarning, "store_restored")
    .Add("era", aEra.Value())
    .Add("leading", mElection.IsLeading())
    .Add("configuration", ConfigurationVersion());
  mRestoreCount += mTargetFollower->Follower().HasRead() ? 1 : 0;
  mComparesConfigurationUntil = now + kConfigurationComparisonTime;
  mView.mDirectory.HandleStoreRestored(now);
  mElection.HandleEra(aEra);
  for (const auto& prefixFollower :
       { &mConfigurationFollower, &mTargetFollower, &mLeaderFollower }) {
    (*prefixFollower)->HandleEraChange();
  }
  // Entries that are still there by then belong to live targets.
  mRestoreTimer.StartOnce(mLoop,
                          target_directory::kRestoreSettlingTime,
                          [this] { mTargetFollower->HandleEraChange(); });
}

void gateway_task::CheckFollowersAfterSilence()
{
  log_line(log_severity::kInfo, "watches_checked")
    .Add("leading", mElection.IsLeading());
  for (const auto& prefixFollower :
       { &mConfigurationFollower, &mTargetFollower, &mLeaderFollower }) {
    (*prefixFollower)->CheckAfterSilence();
  }
}

std::string gateway_task::KnownChangesText() const
{
  std::ostringstream text;
  text << mConfigurationFollower->Follower().LastChange().Value() << ' '
       << mTargetFollower->Follower().LastChange().Value() << ' '
       << mLeaderFollower->Follower().LastChange().Value();
  return text.str();
}

void gateway_task::HandleKnownChanges(const std::string& aText)
{
  if (mRelayChoice.Current(MonotonicNow())) {
    // The relay responds within its hold time, and learns of changes itself.
    return;
  }
  std::istringstream text(aText);
  for (const auto& prefixFollower :
       { &mConfigurationFollower, &mTargetFollower, &mLeaderFollower }) {
    uint64_t revision = 0;
    if (!(text >> revision)) {
      return;
    }
    (*prefixFollower)->HandleKnownChange(store_revision(revision));
  }
}

uint64_t gateway_task::LateChanges() const
{
  return mConfigurationFollower->Follower().LateChanges() +
         mTargetFollower->Follower().LateChanges() +
         mLeaderFollower->Follower().LateChanges();
}

bool gateway_task::IsReady() const
{
  return mView.mRoutes != nullptr && !mShutdownStartedAt &&
         mTargetFollower->Follower().HasRead();
}

void gateway_task::ApplySettings(const gateway_settings& aSettings)
{
  log_line(log_severity::kInfo, "settings_reloaded")
    .Add("changed", aSettings != mSettings);
  mSettings.mShutdownGrace = aSettings.mShutdownGrace;
  mSettings.mRetryRatio = aSettings.mRetryRatio;
  mSettings.mRetrySlack = aSettings.mRetrySlack;
  mForwarder.SetRetryBudget({ mSettings.mRetryRatio, mSettings.mRetrySlack });
}

void gateway_task::ApplyConfiguration(const std::string& aKey,
                                      const std::string& aValue)
{
  auto configuration = mPlatform.mCatalog.ReadConfiguration(aKey, aValue);
  if (!configuration) {
    return;
  }
  // A read of the store may return an older version than the current one.
  const uint64_t current = ConfigurationVersion();
  if (mView.mRoutes != nullptr && configuration->mVersion <= current) {
    log_line(log_severity::kInfo, "configuration_ignored")
      .Add("version", configuration->mVersion)
      .Add("current", current);
    return;
  }
  log_line(log_severity::kInfo, "configuration_applied")
    .Add("version", configuration->mVersion)
    .Add("previous", current)
    .Add("routes", uint64_t{ configuration->mRoutes.size() });
  mConfigurationText = aValue;
  mCallerServer.SetLimits(CallerSettings(configuration->mLimits));
  std::set<service_name> keyed;
  target_directory::slow_start_times slowStarts;
  for (const auto& [name, service] : configuration->mServices) {
    if (service.mSlowStartRate > 0) {
      slowStarts[name] = service.mSlowStart;
    }
    if (service.mKeyed) {
      keyed.insert(name);
    }
  }
  mView.mRoutes =
    std::make_shared<const route_table>(std::move(*configuration));
  mRangeDriver.SetServices(keyed);
  mView.mDirectory.SetSlowStartTimes(std::move(slowStarts), MonotonicNow());
  HandleTargetsChanged();
}

time_point gateway_task::RoutesConfirmedAt() const
{
  return mConfigurationFollower->Follower().ConfirmedAt();
}

bool gateway_task::ConfirmRoutes(time_point aNow)
{
  return mConfigurationFollower->Confirm(aNow);
}

uint64_t gateway_task::ConfigurationVersion() const
{
  return mView.mRoutes == nullptr ? 0 : mView.mRoutes->Configuration().mVersion;
}

void gateway_task::ApplyTargets(const std::vector<stored_item>& aItems)
{
  std::vector<discovered_target> targets;
  for (const stored_item& item : aItems) {
    if (auto target = mPlatform.mCatalog.ReadTarget(item.mKey, item.mValue)) {
      targets.push_back(std::move(*target));
    }
  }
  log_line(log_severity::kInfo, "targets_read")
    .Add("targets", uint64_t{ targets.size() });
  mView.mDirectory.Reset(targets, MonotonicNow());
  HandleTargetsChanged();
}

void gateway_task::ApplyTarget(const item_change& aChange)
{
  const time_point now = MonotonicNow();
  const auto target =
    aChange.mValue
      ? mPlatform.mCatalog.ReadTarget(aChange.mKey, *aChange.mValue)
      : std::nullopt;
  if (!target) {
    // An invalid entry names no target, like a missing one.
    const target_name name = mPlatform.mCatalog.TargetOf(aChange.mKey);
    if (aChange.mValue && mView.mDirectory.Find(name) == nullptr) {
      return;
    }
    mView.mDirectory.Remove(name, now);
    log_line(log_severity::kInfo, "target_removed")
      .Add("target", name.Value())
      .Add("revision", aChange.mRevision.Value())
      .Add("kept", mView.mDirectory.Find(name) != nullptr);
    HandleTargetsChanged();
    return;
  }
  const known_target* known = mView.mDirectory.Find(target->mName);
  const bool isUnchanged =
    known != nullptr && !known->mDropAt && known->mTarget == *target;
  if (isUnchanged) {
    return;
  }
  mView.mDirectory.Update(*target, now);
  log_line(log_severity::kInfo, "target_changed")
    .Add("target", target->mName.Value())
    .Add("service", target->mService.Value())
    .Add("draining", target->mDraining)
    .Add("started_ms", target->mStartedMs)
    .Add("report", target->mReportNumber)
    .Add("revision", aChange.mRevision.Value());
  HandleTargetsChanged();
}

void gateway_task::HandleReplacedTarget(const target_name& aTarget,
                                        const std::string& aHost,
                                        uint16_t aPort,
                                        time_point aNow)
{
  if (!mView.mDirectory.HandleReplaced(aTarget, aHost, aPort, aNow)) {
    return;
  }
  log_line(log_severity::kWarning, "target_replaced")
    .Add("target", aTarget.Value());
  HandleTargetsChanged();
}

void gateway_task::HandleLeavingTarget(const target_name& aTarget,
                                       uint64_t aStartedMs)
{
  if (!mView.mDirectory.HandleLeaving(aTarget, aStartedMs)) {
    return;
  }
  log_line(log_severity::kInfo, "target_leaving")
    .Add("target", aTarget.Value())
    .Add("started_ms", aStartedMs);
  HandleTargetsChanged();
}

void gateway_task::HandleSlowStart(const target_name& aTarget,
                                   uint64_t aStartedMs,
                                   duration aRest)
{
  if (mView.mDirectory.HandleSlowStart(
        aTarget, aStartedMs, aRest, MonotonicNow())) {
    HandleTargetsChanged();
  }
}

void gateway_task::HandleTargetsChanged()
{
  mRangeDriver.HandleTargets(mView.mDirectory, MonotonicNow());
  mForwarder.HandleViewChanged();
}

void gateway_task::Tick()
{
  const time_point now = MonotonicNow();
  if (mView.mDirectory.Expire(now)) {
    HandleTargetsChanged();
  }
  CheckRouteRegions(now);
  mForwarder.Tick(now);
  const bool hasNews = mForwarder.CrashGuard().HasNews() &&
                       (!mReportConnection || !mReportConnection->IsBusy());
  if (now >= mNextReport || hasNews) {
    mNextReport = now + kReportInterval;
    SendReport();
    ChooseOwnerSource();
  }
  // If no leader responds, the owners are read directly from the store.
  const bool rangeDriverNotStarted =
    mElection.IsLeading() && !mRangeDriver.IsLeading();
  const bool awaitsOwners =
    !mOwnerFeedClient.IsFailing() && now < mStartedAt + kMaxOwnersWait;
  const bool hasNoOwners = mOwnerRecords.empty() && !mElection.IsLeading() &&
                           !awaitsOwners &&
                           mOwnerFeedClient.Age(now) > kOwnersReadInterval;
  if ((rangeDriverNotStarted || hasNoOwners) && mRangeDriver.HasServices() &&
      now >= mNextOwnersRead) {
    mNextOwnersRead = now + kOwnersReadInterval;
    ReadOwners();
  }
}

http_response gateway_task::OperatorResponse(const http_request& aRequest)
{
  const http_header text{ "Content-Type", "text/plain; charset=utf-8" };
  if (aRequest.mPath == "/metrics") {
    return { kOk, { text }, MetricsText() };
  }
  if (aRequest.mPath == "/dump") {
    return { kOk, { { "Content-Type", "application/json" } }, DumpText() };
  }
  if (aRequest.mPath == "/crashes/clear" && aRequest.mMethod == "POST") {
    return ClearContent(aRequest);
  }
  if (aRequest.mPath == "/readyz") {
    return { IsReady() ? kOk : kUnavailable, { text }, "" };
  }
  return { kNotFound, { text }, "unknown path\n" };
}

void gateway_task::Shutdown()
{
  if (mShutdownStartedAt) {
    return;
  }
  mShutdownStartedAt = MonotonicNow();
  log_line(log_severity::kInfo, "shutdown_started")
    .Add("open_requests", uint64_t{ mForwarder.Open() });
  mCallerServer.CloseAfterResponses();
  mCallerServer.CheckDelivery(*mShutdownStartedAt);
  mForwarder.SetShutdownEnd(*mShutdownStartedAt + mSettings.mShutdownGrace -
                            kShutdownMargin);
  mElection.Resign();
  mShutdownTimer.StartRepeating(
    mLoop, kShutdownPollInterval, [this] { ContinueShutdown(); });
}

void gateway_task::ContinueShutdown()
{
  const time_point now = MonotonicNow();
  const duration elapsed = now - *mShutdownStartedAt;
  const duration limit = mSettings.mShutdownGrace - kShutdownMargin;
  mCallerServer.CheckDelivery(now);
  if (elapsed < std::min(kReadinessDrainTime, limit)) {
    return;
  }
  // From here on only open requests are served: the end of the process would
  // interrupt requests on new connections.
  mCallerServer.StopListening();
  mCallerServer.CloseIdle();
  mForwarder.RefuseNewRequests();
  if (elapsed >= limit) {
    mForwarder.RefuseWaitingRequests(now);
  }
  // A connection that the process leaves behind is reset by the next bytes of
  // the client, and what the client has not received by then is lost.
  const bool isDone =
    mForwarder.Open() == 0 && !mCallerServer.IsDelivering(now);
  if (!isDone && elapsed < mSettings.mShutdownGrace - kShutdownEndMargin) {
    return;
  }
  log_line(log_severity::kInfo, "stopped")
    .Add("open_requests", uint64_t{ mForwarder.Open() })
    .Add("after_us", int64_t{ elapsed.count() });
  mCallerServer.Abandon();
  mLoop.Stop();
}

} // namespace parsleystair
