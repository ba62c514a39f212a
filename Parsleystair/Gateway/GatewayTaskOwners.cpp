#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <algorithm>
#include <charconv>
#include <utility>

// Leadership, ownership of keys, and the messages between routers about both.

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kNotFound = 404;

constexpr duration kReportTimeout = 400ms;
/// Interval at which the leader removes routers from the list of live ones. A
/// router that is passed over as a relay is found by its failures before, and
/// each change of the list is sent to all routers.
constexpr duration kRouterRemovalInterval = 3s;
/// Interval at which the leader writes a changed list to the store. Only
/// routers that start use it, and most of its addresses stay the same.
constexpr duration kRoutersWriteInterval = 10s;
/// Processor share from which a machine is preferred as a relay.
constexpr double kMinRelayProcessorShare = 0.2;
/// A router that has sent no report for this long is no longer live.
constexpr duration kReporterExpiry = 3s;
/// Time within which all live routers have reported twice to a new leader.
constexpr duration kRouterListDelay = 1s;
/// Delay before the relay is selected again as the source of owners after it
/// redirected this router to the leader.
constexpr duration kRelayRetryInterval = 3s;
constexpr duration kConfigurationTimeout = 1s;
/// Version of the configuration that the responding router uses.
constexpr const char* kConfigurationVersionHeader = "Configuration-Version";
/// Says that the reporting router has the leader's present list of routers.
constexpr const char* kRoutersCurrentHeader = "Routers-Current";
/// Term of the leader and number of silences of the store that it has met. The
/// store forgets waiting watches in them, and a router that makes no call then
/// doesn't notice.
constexpr const char* kStoreSilencesHeader = "Store-Silences";
/// Revisions of the latest changes of the configuration, of the targets and of
/// the leader key that a router knows, in reports and their responses. A router
/// that lost a waiting watch learns by it what it misses.
constexpr const char* kKnownChangesHeader = "Known-Changes";
/// Era of the store and time after which all grants of earlier eras have
/// expired, in reports and their responses. A router that started after a
/// restore learns by it how long others have known of the restore.
constexpr const char* kLostGrantsHeader = "Lost-Grants";
/// Says that the responder is the leader and has taken the crashes in a report.
constexpr const char* kCrashesTakenHeader = "Crashes-Taken";
/// Says that the reporting router has the leader's present limits for keys.
constexpr const char* kLimitsCurrentHeader = "Limits-Current";
/// Milliseconds since the store last confirmed the leader, if a service limits
/// requests to targets in slow start. The list of routers was right then.
constexpr const char* kRoutersConfirmedHeader = "Routers-Confirmed-Ms";

/// Returns nothing if the text is absent or no number of milliseconds.
std::optional<duration> ParseConfirmationAge(
  const std::optional<std::string>& aText)
{
  uint32_t milliseconds = 0;
  if (!aText) {
    return std::nullopt;
  }
  const char* end = aText->data() + aText->size();
  const auto parsed = std::from_chars(aText->data(), end, milliseconds);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

} // namespace

void gateway_task::ApplyLeaderItem(const item_change& aItem)
{
  if (aItem.mKey == kRoutersKey && aItem.mValue) {
    ApplyStoredRouters(*aItem.mValue);
  } else if (aItem.mKey == kCrashesKey && aItem.mValue) {
    ApplyStoredCrashes(*aItem.mValue, aItem.mRevision);
  } else if (aItem.mKey == mElection.LeaderKey()) {
    ApplyLeader(aItem.mValue ? std::optional(stored_item{
                                 aItem.mKey, *aItem.mValue, aItem.mRevision })
                             : std::nullopt);
  }
}

void gateway_task::ApplyStoredRouters(const std::string& aText)
{
  // The leader tells the present list in its responses to reports.
  if (!mRouters.empty() || mElection.IsLeading()) {
    return;
  }
  try {
    ApplyRouterList(DecodeRouterList(aText));
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "routers_unreadable")
      .Add("error", exception.what());
  }
}

void gateway_task::ApplyLeader(const std::optional<stored_item>& aItem)
{
  mElection.HandleKey(aItem);
  const auto& leader = mElection.Leader();
  if (mElection.IsLeading()) {
    mOwnerFeedClient.SetSource(std::nullopt);
  } else if (!mOwnersFromRelay) {
    mOwnerFeedClient.SetSource(leader);
  }
}

void gateway_task::ChooseOwnerSource()
{
  const time_point now = MonotonicNow();
  const auto& leader = mElection.Leader();
  if (mElection.IsLeading() || !leader) {
    return;
  }
  const auto relay = mRelayChoice.Current(now);
  if (!relay) {
    if (std::exchange(mOwnersFromRelay, false)) {
      mOwnerFeedClient.SetSource(leader);
    }
    return;
  }
  const auto& currentSource = mOwnerFeedClient.Source();
  if ((currentSource && currentSource->mHost == *relay) ||
      now < mNextRelayAttempt) {
    return;
  }
  // A router that doesn't know yet that it is the relay redirects to the
  // leader, so the source may have changed since the last attempt.
  mNextRelayAttempt = now + kRelayRetryInterval;
  mOwnersFromRelay = true;
  leader_entry source;
  source.mHost = *relay;
  source.mPort = mSettings.mPeers.mPort;
  mOwnerFeedClient.SetSource(source);
}

void gateway_task::HandleLeadershipChange()
{
  if (!mElection.IsLeading()) {
    mOwnerFeedServer.Stop();
    mRangeDriver.StopLeading(MonotonicNow());
    return;
  }
  mLeadingSince = MonotonicNow();
  StartCrashRegistry(mLeadingSince);
  // A new leader starts from the current records in the store.
  mOwnerFeedClient.SetSource(std::nullopt);
  ReadOwners();
}

void gateway_task::ReadOwners()
{
  // Records that were read before this router was elected may be changed by a
  // former leader.
  const bool isLeading = mElection.IsLeading();
  const term_number term = mElection.Leadership().mTerm;
  mPlatform.mStore.ReadPrefix(
    kRecordKeyPrefix, [this, isLeading, term](const prefix_reply& aReply) {
      if (aReply.mOutcome != call_outcome::kDone) {
        // Tick() retries the read.
        return;
      }
      for (const stored_item& item : aReply.mItems) {
        ApplyStoredOwners(item);
      }
      if (isLeading && mElection.IsLeading() && !mRangeDriver.IsLeading() &&
          mElection.Leadership().mTerm == term) {
        mRangeDriver.StartLeading(MonotonicNow());
      }
    });
}

void gateway_task::ApplyStoredOwners(const stored_item& aItem)
{
  const auto key = DecodeRecordKey(aItem.mKey);
  if (!key) {
    return;
  }
  // A record of an earlier era is the copy's, or was written late. Each record
  // that a router has learned in that era goes before it.
  const store_revision revision = key->mEra == EraOf(aItem.mRevision)
                                    ? aItem.mRevision
                                    : MakeRevision(key->mEra, 1);
  try {
    ApplyOwners(key->mService, { revision, DecodeRangeRecord(aItem.mValue) });
  } catch (const parse_error& exception) {
    log_line(log_severity::kError, "owners_unreadable")
      .Add("service", key->mService.Value())
      .Add("error", exception.what());
  }
}

void gateway_task::HandleAbdicationRequest(exchange_id aExchange,
                                           const http_request& aRequest)
{
  // The requested process is this one, or it has ended, as this process has
  // replaced it at its address.
  mElection.HandleAbdicationRequest(aRequest);
  mPeerServer.Respond(aExchange, { kOk, {}, SurveyResponseTo(aRequest) });
}

std::string gateway_task::SurveyResponseTo(const http_request& aRequest) const
{
  if (!leader_election::AsksRecords(aRequest)) {
    return "";
  }
  owner_revisions known;
  try {
    known = DecodeOwnerRevisions(aRequest.mBody);
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "question_unreadable")
      .Add("peer", aRequest.mRemoteHost)
      .Add("error", exception.what());
  }
  const time_point now = MonotonicNow();
  return EncodeSurveyResponse({ NewerRecords(mOwnerRecords, known),
                                mElection.AbdicationReply(aRequest, now) });
}

std::optional<survey_response> gateway_task::ApplySurveyResponse(
  const std::string& aText)
{
  try {
    survey_response response = DecodeSurveyResponse(aText);
    for (const auto& [service, record] : response.mRecords) {
      ApplyOwners(service, record);
    }
    return response;
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "survey_response_unreadable")
      .Add("error", exception.what());
    return std::nullopt;
  }
}

void gateway_task::CompareConfigurations(uint64_t aVersion,
                                         const std::string& aHost)
{
  const bool isPending =
    mConfigurationConnection && mConfigurationConnection->IsBusy();
  if (aVersion <= ConfigurationVersion() || isPending ||
      MonotonicNow() >= mComparesConfigurationUntil) {
    return;
  }
  log_line(log_severity::kInfo, "configuration_requested")
    .Add("version", aVersion)
    .Add("host", aHost);
  mConfigurationConnection =
    std::make_unique<http_connection>(mLoop, aHost, mSettings.mPeers.mPort);
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/configuration";
  mConfigurationConnection->Call(
    request, kConfigurationTimeout, [this](const http_result& aResult) {
      if (aResult.mStatus == http_status::kResponded &&
          aResult.mResponse.mStatus == kOk) {
        ApplyConfiguration(mPlatform.mCatalog.ConfigurationKey(),
                           aResult.mResponse.mBody);
      }
    });
}

void gateway_task::ApplyOwners(const service_name& aService,
                               const versioned_record& aRecord)
{
  versioned_record& current = mOwnerRecords[aService];
  if (aRecord.mRevision <= current.mRevision) {
    return;
  }
  log_line(log_severity::kInfo, "owners_changed")
    .Add("service", aService.Value())
    .Add("revision", aRecord.mRevision.Value())
    .Add("previous", current.mRevision.Value())
    .Add("ranges", uint64_t{ aRecord.mRecord.mRanges.size() });
  current = aRecord;
  mView.mRanges[aService] = aRecord.mRecord;
  mRangeDriver.HandleRecord(aService, aRecord.mRecord, aRecord.mRevision);
  mForwarder.HandleViewChanged();
  mOwnerFeedServer.HandleRecords(mOwnerRecords);
}

owner_revisions gateway_task::KnownOwnerRevisions() const
{
  owner_revisions known;
  for (const auto& [service, versioned] : mOwnerRecords) {
    known[service] = versioned.mRevision;
  }
  return known;
}

void gateway_task::SendReport()
{
  const load_report report = mForwarder.TakeLoadReport();
  const bool usesElectedLeader = mElection.IsLeading() || mOwnersFromRelay;
  const auto& leader =
    usesElectedLeader ? mElection.Leader() : mOwnerFeedClient.Source();
  if (!leader) {
    return;
  }
  if (mElection.IsLeading()) {
    const time_point now = MonotonicNow();
    if (HasCompleteRouterList(now)) {
      UpdateRouterList(now);
      mElection.HandleRouters(mRouters);
      StoreRouterList(now);
      if (mElection.Leadership().mConfirmedAt != time_point::min()) {
        ConfirmSendingRouters(mElection.Leadership().mConfirmedAt, now);
      }
    }
    for (const auto& [service, load] : report) {
      mRangeDriver.HandleLoad(service, load, now);
    }
    ApplyLimits(mRangeDriver.KeyLimits(now), now);
    HandleCrashReport(
      mSettings.mPeers.mHost, mForwarder.CrashGuard().TakeReport(now), now);
    mCrashRegistry.Expire(now);
    PublishCrashRecords(now);
    StoreCrashRecords(now);
    return;
  }
  if (mReportLeader != leader) {
    mReportLeader = leader;
    HandleReportLost();
    mForwarder.CrashGuard().HandleNewLeader();
    mReportConnection =
      std::make_unique<http_connection>(mLoop, leader->mHost, leader->mPort);
  }
  if (mReportConnection->IsBusy()) {
    return;
  }
  mReportedCrashes = mForwarder.CrashGuard().TakeReport(MonotonicNow());
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/load";
  request.mBody = EncodePeerReport({ SelfRouter(),
                                     mRoutersDigest,
                                     ConfigurationVersion(),
                                     mLimitsDigest,
                                     mCrashesDigest,
                                     report,
                                     mReportedCrashes });
  request.mHeaders = { { kKnownChangesHeader, KnownChangesText() } };
  if (const auto lostGrants = mElection.LostGrantsText(MonotonicNow())) {
    request.mHeaders.push_back({ kLostGrantsHeader, *lostGrants });
  }
  mReportSentAt = MonotonicNow();
  // The load in a lost report isn't sent again: it only appears lower for a
  // second.
  mReportConnection->Call(
    request, kReportTimeout, [this](const http_result& aResult) {
      HandleReportResponse(aResult);
    });
}

void gateway_task::HandleReportLost()
{
  mForwarder.CrashGuard().HandleReportLost(std::exchange(mReportedCrashes, {}));
}

void gateway_task::HandleReportResponse(const http_result& aResult)
{
  const bool isTaken =
    aResult.mStatus == http_status::kResponded &&
    FindHeader(aResult.mResponse.mHeaders, kCrashesTakenHeader);
  if (isTaken) {
    mReportedCrashes = {};
  } else {
    HandleReportLost();
  }
  if (aResult.mStatus != http_status::kResponded) {
    return;
  }
  const auto version =
    FindHeader(aResult.mResponse.mHeaders, kConfigurationVersionHeader);
  if (version) {
    CompareConfigurations(std::strtoull(version->c_str(), nullptr, 10),
                          mReportLeader->mHost);
  }
  const auto silences =
    FindHeader(aResult.mResponse.mHeaders, kStoreSilencesHeader);
  if (silences && mReportedSilences != *silences) {
    // Another leader may have been elected because the store was silent.
    const bool isFirst = mReportedSilences.empty();
    mReportedSilences = *silences;
    if (!isFirst && !mRelayChoice.Current(MonotonicNow())) {
      CheckFollowersAfterSilence();
    }
  }
  const auto changes =
    FindHeader(aResult.mResponse.mHeaders, kKnownChangesHeader);
  if (changes) {
    HandleKnownChanges(*changes);
  }
  const auto lostGrants =
    FindHeader(aResult.mResponse.mHeaders, kLostGrantsHeader);
  if (lostGrants) {
    mElection.HandleLostGrants(*lostGrants);
  }
  const auto hasHeader = [&](const char* aName) {
    return FindHeader(aResult.mResponse.mHeaders, aName).has_value();
  };
  const time_point now = MonotonicNow();
  try {
    // The body is empty if the responder isn't the leader, or if this router
    // already has all that the leader would tell.
    const report_response response =
      DecodeReportResponse(aResult.mResponse.mBody);
    if (response.mRouters) {
      ApplyRouterList(*response.mRouters);
    }
    if (response.mRouters || hasHeader(kRoutersCurrentHeader)) {
      mElection.HandleRouters(mRouters);
      const auto age = ParseConfirmationAge(
        FindHeader(aResult.mResponse.mHeaders, kRoutersConfirmedHeader));
      if (age) {
        ConfirmSendingRouters(mReportSentAt - *age, now);
      }
    }
    if (response.mLimits) {
      ApplyLimits(*response.mLimits, now);
    } else if (hasHeader(kLimitsCurrentHeader)) {
      mForwarder.Admission().Confirm(now);
    }
    if (response.mCrashes) {
      ApplyCrashRecords(*response.mCrashes, now);
    }
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "routers_unreadable")
      .Add("error", exception.what());
  }
}

bool gateway_task::LimitsSlowStarts() const
{
  if (mView.mRoutes == nullptr) {
    return false;
  }
  const auto& services = mView.mRoutes->Configuration().mServices;
  return std::any_of(
    services.begin(), services.end(), [](const auto& aService) {
      return aService.second.mSlowStartRate > 0;
    });
}

void gateway_task::ConfirmSendingRouters(time_point aConfirmedAt,
                                         time_point aNow)
{
  std::vector<sending_router> routers;
  for (const router_entry& router : mRouters) {
    routers.push_back({ router.mHost, router.mFailureDomain });
  }
  mForwarder.SlowStart().HandleRouters(routers, aConfirmedAt, aNow);
}

void gateway_task::ApplyLimits(service_limits aLimits, time_point aNow)
{
  const uint64_t digest = ServiceLimitsDigest(aLimits);
  if (digest != mLimitsDigest) {
    size_t count = 0;
    for (const auto& [service, limits] : aLimits) {
      count += limits.size();
    }
    log_line(log_severity::kInfo, "key_limits_changed")
      .Add("limits", uint64_t{ count });
    mLimitsDigest = digest;
  }
  mForwarder.Admission().SetLimits(std::move(aLimits), aNow);
}

void gateway_task::UpdateRouterList(time_point aNow)
{
  const router_list live = LiveRouters(aNow);
  const bool hasNew =
    !std::includes(mRouters.begin(), mRouters.end(), live.begin(), live.end());
  if (!hasNew && aNow < mNextRouterRemoval) {
    return;
  }
  mNextRouterRemoval = aNow + kRouterRemovalInterval;
  ApplyRouterList(live);
}

void gateway_task::StoreRouterList(time_point aNow)
{
  if (!mRelayChoice.HasEnoughRouters() || aNow < mNextRoutersWrite ||
      mStoredRoutersDigest == mRoutersDigest) {
    return;
  }
  mNextRoutersWrite = aNow + kRoutersWriteInterval;
  conditional_write write;
  write.mConditions = { mElection.Condition() };
  write.mWrites = { { kRoutersKey, EncodeRouterList(mRouters), lease_id(0) } };
  mPlatform.mStore.Write(
    write, [this, digest = mRoutersDigest](const write_reply& aReply) {
      if (aReply.mOutcome == call_outcome::kDone) {
        mStoredRoutersDigest = digest;
      }
    });
}

void gateway_task::ApplyRouterList(const router_list& aRouters)
{
  if (aRouters == mRouters) {
    return;
  }
  log_line(log_severity::kInfo, "routers_changed")
    .Add("routers", uint64_t{ aRouters.size() });
  mRouters = aRouters;
  mRoutersDigest = RouterListDigest(aRouters);
  mRelayChoice.SetRouters(aRouters);
  mForwarder.SetRouterCount(aRouters.size());
  std::vector<std::string> peers;
  for (const router_entry& router : aRouters) {
    if (router.mHost != mSettings.mPeers.mHost) {
      peers.push_back(router.mHost);
    }
  }
  mOwnerFeedClient.SetPeers(std::move(peers));
  StartFollowers();
}

router_entry gateway_task::SelfRouter() const
{
  return { mSettings.mPeers.mHost,
           mSettings.mFailureDomain,
           mSettings.mProcessorShare >= kMinRelayProcessorShare };
}

bool gateway_task::HasCompleteRouterList(time_point aNow) const
{
  return mElection.IsLeading() && aNow >= mLeadingSince + kRouterListDelay;
}

router_list gateway_task::LiveRouters(time_point aNow)
{
  std::erase_if(mLastReports, [&](const auto& aLastReport) {
    return aNow - aLastReport.second > kReporterExpiry;
  });
  router_list routers{ SelfRouter() };
  for (const auto& [router, at] : mLastReports) {
    routers.push_back(router);
  }
  std::sort(routers.begin(), routers.end());
  return routers;
}

void gateway_task::HandlePeerRequest(exchange_id aExchange,
                                     const http_request& aRequest)
{
  if (aRequest.mPath == "/load") {
    HandleReport(aExchange, aRequest);
  } else if (aRequest.mPath == "/abdicate") {
    HandleAbdicationRequest(aExchange, aRequest);
  } else if (aRequest.mPath == "/configuration") {
    mPeerServer.Respond(aExchange,
                        mView.mRoutes == nullptr
                          ? http_response{ kNotFound, {}, "" }
                          : http_response{ kOk, {}, mConfigurationText });
  } else if (aRequest.mPath == "/watch") {
    mRelayedStore.HandleWatchRequest(aExchange, aRequest);
  } else if (aRequest.mPath == "/read") {
    mRelayedStore.HandleReadRequest(aExchange, aRequest);
  } else if (aRequest.mPath != "/owners") {
    mPeerServer.Respond(aExchange, { kNotFound, {}, "" });
  } else if (mElection.IsLeading() || mRelayChoice.IsRelay(MonotonicNow())) {
    mOwnerFeedServer.HandlePoll(aExchange, aRequest, mOwnerRecords);
  } else {
    mOwnerFeedServer.RedirectToLeader(aExchange, mElection.Leader());
  }
}

void gateway_task::HandleReport(exchange_id aExchange,
                                const http_request& aRequest)
{
  try {
    const peer_report report = DecodePeerReport(aRequest.mBody);
    const time_point now = MonotonicNow();
    for (const auto& [service, load] : report.mLoad) {
      mRangeDriver.HandleLoad(service, load, now);
    }
    mLastReports[report.mRouter] = now;
    CompareConfigurations(report.mConfigurationVersion, report.mRouter.mHost);
    http_response response{ kOk,
                            { { kConfigurationVersionHeader,
                                std::to_string(ConfigurationVersion()) } },
                            "" };
    const auto changes = FindHeader(aRequest.mHeaders, kKnownChangesHeader);
    const std::string ownChanges = KnownChangesText();
    if (changes && *changes != ownChanges) {
      HandleKnownChanges(*changes);
      response.mHeaders.push_back({ kKnownChangesHeader, ownChanges });
    }
    if (const auto told = FindHeader(aRequest.mHeaders, kLostGrantsHeader)) {
      mElection.HandleLostGrants(*told);
    }
    if (const auto lostGrants = mElection.LostGrantsText(now)) {
      response.mHeaders.push_back({ kLostGrantsHeader, *lostGrants });
    }
    report_response content;
    if (HasCompleteRouterList(now)) {
      if (report.mKnownRouters == mRoutersDigest) {
        response.mHeaders.push_back({ kRoutersCurrentHeader, "1" });
      } else {
        content.mRouters = mRouters;
      }
      const time_point confirmedAt = mElection.Leadership().mConfirmedAt;
      if (LimitsSlowStarts() && confirmedAt != time_point::min()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - confirmedAt);
        response.mHeaders.push_back(
          { kRoutersConfirmedHeader, std::to_string(age.count()) });
      }
    }
    if (mElection.IsLeading()) {
      response.mHeaders.push_back(
        { kStoreSilencesHeader,
          std::to_string(mElection.Leadership().mTerm.Value()) + "-" +
            std::to_string(mStoreSilences) });
      if (report.mKnownLimits == mLimitsDigest) {
        response.mHeaders.push_back({ kLimitsCurrentHeader, "1" });
      } else {
        content.mLimits = mForwarder.Admission().Limits();
      }
      HandleCrashReport(report.mRouter.mHost, report.mCrashes, now);
      if (report.mCrashes != crash_report()) {
        response.mHeaders.push_back({ kCrashesTakenHeader, "1" });
      }
      if (report.mKnownCrashes != mCrashesDigest) {
        content.mCrashes = mPublishedCrashes;
      }
    }
    // Most routers get the same.
    if (content != mReportContent) {
      mReportContent = content;
      mReportBody = EncodeReportResponse(content);
    }
    response.mBody = mReportBody;
    mPeerServer.Respond(aExchange, response);
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "report_unreadable")
      .Add("peer", aRequest.mRemoteHost)
      .Add("error", exception.what());
    mPeerServer.Respond(aExchange, { kBadRequest, {}, "" });
  }
}

} // namespace parsleystair
