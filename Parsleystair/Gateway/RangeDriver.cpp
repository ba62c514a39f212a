#include "Parsleystair/Gateway/RangeDriver.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <charconv>

namespace parsleystair {

namespace {

/// Timeout of a grant; shorter than the renewal interval.
constexpr duration kGrantTimeout = 600ms;
/// Idle timeout of a connection for orders. It spans several renewals, so that
/// a restart of the target shows as a broken connection.
constexpr duration kOrderIdleTimeout = 4s;
/// Delay between an event and the step that handles it. A leader receives
/// hundreds of responses per second, and each step examines all ranges.
constexpr duration kStepDelay = 20ms;
/// Timeout of a release. The target responds when the work on the released keys
/// has ended. The old grant expires before this timeout, so nothing waits
/// longer.
constexpr duration kReleaseTimeout = 6s;

http_connection_settings OrderConnectionSettings()
{
  http_connection_settings settings;
  settings.mConnectTimeout = 400ms;
  settings.mAcceptsUnframedResponses = true;
  settings.mStream.mUserTimeout = kGrantTimeout;
  return settings;
}

const char* OrderOutcomeName(order_result aOutcome)
{
  switch (aOutcome) {
    case order_result::kAccepted:
      return "accepted";
    case order_result::kUnverified:
      return "unverified";
    case order_result::kFenced:
      return "fenced";
    case order_result::kRejected:
      return "rejected";
    case order_result::kNotSent:
      return "not-sent";
    case order_result::kNotAttempted:
      return "held-back";
    case order_result::kNoConnection:
      return "no-connection";
    case order_result::kNoResponse:
      return "unanswered";
    case order_result::kUnacknowledged:
      return "unacknowledged";
  }
  return "unanswered";
}

/// HTTP status of the response; 0 if there is none.
uint64_t ResponseStatus(const http_result& aResult)
{
  return aResult.mStatus == http_status::kResponded
           ? static_cast<uint64_t>(aResult.mResponse.mStatus)
           : 0;
}

/// Whether the connection of a call ended before the response did.
bool HasConnectionEnded(const http_result& aResult)
{
  return aResult.mFailure == http_failure::kClosed ||
         aResult.mFailure == http_failure::kCut;
}

/// Result of an order that was sent and has no certain response.
order_result WithoutResponse(const http_result& aResult)
{
  return aResult.mAcknowledged ? order_result::kNoResponse
                               : order_result::kUnacknowledged;
}

int64_t ToMilliseconds(duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

const char* ReadyReasonName(ready_reason aReason)
{
  switch (aReason) {
    case ready_reason::kReleased:
      return "released";
    case ready_reason::kGrantExpired:
      return "grant-expired";
    case ready_reason::kNoOwner:
      return "no-owner";
    case ready_reason::kFenceChange:
      return "fence-change";
  }
  return "unknown";
}

std::string EncodeRecordKey(const record_key& aKey)
{
  return NameInEra(kRecordKeyPrefix, aKey.mEra) + "/" + aKey.mService.Value();
}

std::optional<record_key> DecodeRecordKey(const std::string& aText)
{
  const size_t slash =
    aText.find('/', std::string_view(kRecordKeyPrefix).size());
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  record_key key;
  key.mService = service_name(aText.substr(slash + 1));
  const size_t at = aText.find('@');
  if (at < slash) {
    uint64_t era = 0;
    std::from_chars(aText.data() + at + 1, aText.data() + slash, era);
    key.mEra = store_era(era);
  }
  if (key.mEra < kFirstEra || key.mEra.Value() >= kEraLimit) {
    return std::nullopt;
  }
  // Another spelling of the same name is not a key that a router wrote.
  return EncodeRecordKey(key) == aText ? std::optional(key) : std::nullopt;
}

range_driver::range_driver(event_loop& aLoop,
                           const range_settings& aSettings,
                           coordination_store& aStore,
                           const order_protocol& aProtocol,
                           leader_election& aElection)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mStore(aStore)
  , mProtocol(aProtocol)
  , mElection(aElection)
  , mConnections(aLoop, OrderConnectionSettings(), kOrderIdleTimeout)
{
}

void range_driver::SetServices(const std::set<service_name>& aServices)
{
  for (const service_name& service : aServices) {
    const auto [position, isNew] = mControllers.try_emplace(service, mSettings);
    if (isNew && mLeading) {
      StartController(position->second, MonotonicNow());
    }
  }
  ScheduleStep();
}

void range_driver::StartController(range_controller& aController,
                                   time_point aNow)
{
  aController.StartLeading(mElection.Leadership());
  if (mElection.AreFormerLeadersGone()) {
    aController.HandleFormerLeadersGone(aNow);
  }
  ApplyRecovery(aController);
}

void range_driver::ApplyRecovery(range_controller& aController) const
{
  aController.HandleRecordsRecovered(mElection.RecoveryDeadline());
  if (mElection.MayWriteRecords()) {
    aController.HandleRecordWritable();
  }
}

void range_driver::StartLeading(time_point aNow)
{
  mLeading = true;
  for (auto& [service, controller] : mControllers) {
    StartController(controller, aNow);
  }
  ScheduleStep();
}

void range_driver::StopLeading(time_point aNow)
{
  mLeading = false;
  size_t queued = 0;
  for (auto& [target, queue] : mGrantQueues) {
    queued += queue.Clear();
  }
  const size_t inFlight = mConnections.CancelAll();
  log_line(log_severity::kInfo, "orders_cancelled")
    .Add("queued", uint64_t{ queued })
    .Add("in_flight", uint64_t{ inFlight });
  for (auto& [service, controller] : mControllers) {
    controller.StopLeading(aNow);
  }
}

void range_driver::HandleLeadershipConfirmed()
{
  for (auto& [service, controller] : mControllers) {
    controller.HandleLeadershipConfirmed(mElection.Leadership().mConfirmedAt);
  }
  ScheduleStep();
}

void range_driver::HandleFormerLeadersGone(time_point aNow)
{
  for (auto& [service, controller] : mControllers) {
    controller.HandleFormerLeadersGone(aNow);
  }
  ScheduleStep();
}

void range_driver::HandleRecoveryChange()
{
  for (auto& [service, controller] : mControllers) {
    ApplyRecovery(controller);
  }
  ScheduleStep();
}

bool range_driver::AreRecordsCurrent() const
{
  return std::all_of(
    mControllers.begin(), mControllers.end(), [this](const auto& aEach) {
      const store_revision revision = aEach.second.RecordRevision();
      return revision == store_revision(0) || EraOf(revision) == mStore.Era();
    });
}

void range_driver::HandleRecord(const service_name& aService,
                                const range_record& aRecord,
                                store_revision aRevision)
{
  // The record may arrive before the configuration that names the service.
  const auto [position, isNew] = mControllers.try_emplace(aService, mSettings);
  range_controller& controller = position->second;
  controller.HandleRecord(aRecord, aRevision);
  if (isNew && mLeading) {
    StartController(controller, MonotonicNow());
  }
  if (mLeading && controller.IsSuperseded()) {
    mElection.StepDown();
  }
  ScheduleStep();
}

void range_driver::HandleTargets(const target_directory& aDirectory,
                                 time_point aNow)
{
  for (auto& [service, controller] : mControllers) {
    std::vector<const known_target*> targets;
    for (const auto& [name, target] : aDirectory.All()) {
      if (target.mTarget.mService == service) {
        targets.push_back(&target);
      }
    }
    controller.HandleTargets(targets, aNow);
  }
  mStartTimes.clear();
  for (const auto& [name, target] : aDirectory.All()) {
    mStartTimes[name] = target.mTarget.mStartedMs;
  }
  mConnections.RemoveUnknownTargets(aDirectory);
  RemoveUnusedFences(aNow);
  std::erase_if(mTargetsWithoutRequestIds, [&](const target_name& aName) {
    return aDirectory.Find(aName) == nullptr;
  });
  ScheduleStep();
}

void range_driver::HandleLoad(const service_name& aService,
                              const service_load& aLoad,
                              time_point aNow)
{
  if (range_controller* controller = FindController(aService)) {
    controller->HandleLoad(aLoad, aNow);
  }
}

service_limits range_driver::KeyLimits(time_point aNow)
{
  service_limits limits;
  for (auto& [service, controller] : mControllers) {
    if (key_limits each = controller.Limits(aNow); !each.empty()) {
      limits[service] = std::move(each);
    }
  }
  return limits;
}

size_t range_driver::PendingMoves() const
{
  size_t count = 0;
  for (const auto& [service, controller] : mControllers) {
    count += controller.PendingMoves();
  }
  return count;
}

range_controller* range_driver::FindController(const service_name& aService)
{
  const auto found = mControllers.find(aService);
  return found == mControllers.end() ? nullptr : &found->second;
}

void range_driver::ScheduleStep()
{
  // Events in quick succession are handled in one step.
  if (!mStepScheduled && mLeading) {
    mStepScheduled = true;
    mCoalesceTimer.StartOnce(mLoop, kStepDelay, [this] {
      mStepScheduled = false;
      StepAll();
    });
  }
}

void range_driver::StepAll()
{
  const time_point now = MonotonicNow();
  std::optional<time_point> next;
  mBrokenTargets.clear();
  for (auto& [name, controller] : mControllers) {
    const service_name& service = name;
    for (const range_action& action : controller.Step(now)) {
      std::visit([&](const auto& aAction) { Execute(service, aAction); },
                 action);
    }
    for (const ready_move& move : controller.TakeReadyMoves()) {
      HandleReadyMove(service, move);
    }
    const auto step = controller.NextStepTime();
    if (step && (!next || *step < *next)) {
      next = step;
    }
  }
  if (next) {
    mStepTimer.StartOnce(
      mLoop, std::max(*next - now, duration::zero()), [this] { StepAll(); });
  }
}

void range_driver::HandleReadyMove(const service_name& aService,
                                   const ready_move& aMove)
{
  ++mCounters.mMoves[aMove.mReason];
  log_line line(log_severity::kInfo, "move_ready");
  line.Add("service", aService.Value())
    .Add("why", ReadyReasonName(aMove.mReason))
    .Add("from", uint64_t{ aMove.mKeys.mFirst })
    .Add("to", uint64_t{ aMove.mKeys.mLast });
  if (aMove.mReason != ready_reason::kNoOwner) {
    line.Add("target", aMove.mOldOwner.mName.Value())
      .Add("started_ms", aMove.mOldOwner.mStartedMs)
      .Add("fence", aMove.mOldFence.Value());
  }
  if (aMove.mLastGrantAge) {
    line.Add("grant_age_ms", ToMilliseconds(*aMove.mLastGrantAge));
  }
  if (aMove.mFormerLeadersStoppedFor) {
    line.Add("former_stopped_ms",
             ToMilliseconds(*aMove.mFormerLeadersStoppedFor));
  }
}

discovered_target range_driver::ToDiscoveredTarget(
  const order_address& aAddress) const
{
  discovered_target target;
  target.mName = aAddress.mTarget;
  target.mHost = aAddress.mHost;
  target.mPort = aAddress.mPort;
  return target;
}

void range_driver::RemoveUnusedFences(time_point aNow)
{
  std::set<fence> recorded;
  for (const auto& [service, controller] : mControllers) {
    for (const owned_range& range : controller.Record().mRanges) {
      recorded.insert(range.mFence);
    }
  }
  mFenceConnections.RemoveUnused(recorded, aNow);
}

bool range_driver::KeepsKeys(const service_name& aService,
                             const release_order& aOrder) const
{
  const auto controller = mControllers.find(aService);
  if (controller == mControllers.end()) {
    return false;
  }
  const auto& ranges = controller->second.Record().mRanges;
  return std::any_of(
    ranges.begin(), ranges.end(), [&](const owned_range& aRange) {
      return aRange.mOwner.mName == aOrder.mAddress.mTarget &&
             !Subtract(aRange.mKeys, aOrder.mKeys).empty();
    });
}

std::string range_driver::NextRequestId()
{
  // No two leaderships have the same term.
  return "order-" + std::to_string(mElection.Leadership().mTerm.Value()) + "-" +
         std::to_string(mNextRequestNumber++);
}

order_response range_driver::ReadOutcome(const http_result& aResult) const
{
  order_response outcome;
  if (aResult.mStatus == http_status::kNotSent) {
    // The connection timeout is shorter than the call timeout, so a call that
    // timed out was cut off at the order's send limit.
    outcome.mResult =
      aResult.mTimedOut ? order_result::kNotAttempted : order_result::kNotSent;
    return outcome;
  }
  if (aResult.mStatus == http_status::kNoResponse) {
    outcome.mResult = WithoutResponse(aResult);
    return outcome;
  }
  outcome = mProtocol.ReadOrderResponse(aResult.mResponse);
  // Responses with the identifier of another order were skipped. One without
  // may still be a repeated response to an earlier order on the connection.
  if (outcome.mRequestId.empty() && aResult.mReused) {
    const bool accepted =
      outcome.mResult == order_result::kAccepted && aResult.mAcknowledged;
    outcome.mResult =
      accepted ? order_result::kUnverified : WithoutResponse(aResult);
  }
  return outcome;
}

call_id range_driver::CallTarget(const order_address& aAddress,
                                 const http_request& aRequest,
                                 const std::string& aRequestId,
                                 duration aTimeout,
                                 const call_options& aOptions,
                                 order_callback aCallback)
{
  const auto start = mStartTimes.find(aAddress.mTarget);
  const uint64_t startedMs = start == mStartTimes.end() ? 0 : start->second;
  return mConnections.Call(
    ToDiscoveredTarget(aAddress),
    aRequest,
    aTimeout,
    MonotonicNow(),
    [this,
     target = aAddress.mTarget,
     startedMs,
     callback = std::move(aCallback)](const http_result& aResult) {
      const order_response outcome = ReadOutcome(aResult);
      if (aResult.mStatus == http_status::kResponded) {
        if (mProtocol.IsLeaving(aResult.mResponse, target)) {
          mLeavingHandler(target, startedMs);
        }
        if (outcome.mRequestId.empty()) {
          mTargetsWithoutRequestIds.insert(target);
        } else {
          mTargetsWithoutRequestIds.erase(target);
        }
      }
      callback(outcome, aResult);
    },
    [this, aRequestId](const http_response& aAnswer, bool /*aIsFirst*/) {
      const std::string id = mProtocol.ReadOrderResponse(aAnswer).mRequestId;
      return id.empty() || id == aRequestId;
    },
    aOptions);
}

void range_driver::Execute(const service_name& aService,
                           const grant_order& aOrder)
{
  ++mCounters.mGrants;
  const time_point now = MonotonicNow();
  if (mGrantQueues[aOrder.mAddress.mTarget].Add(aService, aOrder, now)) {
    SendGrant({ aService, aOrder, now });
  }
}

void range_driver::SendGrant(const grant_queue::queued_grant& aGrant)
{
  const service_name& service = aGrant.mService;
  const grant_order& order = aGrant.mOrder;
  // A broken connection indicates that the target restarted. The new process
  // must not accept the fence that the old one had. This applies to all orders
  // that were decided before.
  const target_name& target = order.mAddress.mTarget;
  const time_point now = MonotonicNow();
  if (mConnections.CloseBroken(target, now)) {
    mBrokenTargets.insert(target);
  }
  if (mBrokenTargets.contains(target)) {
    HandleGrantOutcome(service, order, order_result::kNotSent);
    SendQueuedGrants(target, order_result::kNotSent);
    return;
  }
  const auto bound = mFenceConnections.BoundOf(target, order.mFence);
  const bool isConnected = mConnections.HasOpenConnection(
    ToDiscoveredTarget(order.mAddress), now, bound);
  if (bound && !isConnected && mGrantQueues.at(target).PutBack(aGrant)) {
    return;
  }
  const time_point connectUntil =
    bound ? time_point::min() : order.mConnectUntil;
  const time_point sendUntil =
    isConnected ? order.mSendUntil : std::min(order.mSendUntil, connectUntil);
  if (sendUntil <= now) {
    mCounters.mGrantsTooLate += bound ? 0 : 1;
    const order_result dropped = now < order.mSendUntil
                                   ? order_result::kNoConnection
                                   : order_result::kNotAttempted;
    HandleGrantOutcome(service, order, dropped);
    SendQueuedGrants(target, dropped);
    return;
  }
  const std::string requestId = NextRequestId();
  const call_id call = CallTarget(
    order.mAddress,
    mProtocol.GrantRequest(order, requestId),
    requestId,
    std::min(kGrantTimeout, sendUntil - now),
    { connection_choice::kAny, order.mSendUntil, connectUntil, bound },
    [this, service, order](const order_response& aOutcome,
                           const http_result& aResult) {
      const target_name& calledTarget = order.mAddress.mTarget;
      if (HasConnectionEnded(aResult)) {
        mBrokenTargets.insert(calledTarget);
      }
      if (aResult.mStatus == http_status::kNotSent) {
        mFenceConnections.HandleNotSent(calledTarget, order.mFence);
      }
      HandleGrantOutcome(service, order, aOutcome.mResult, &aResult);
      SendQueuedGrants(calledTarget, aOutcome.mResult);
    });
  mFenceConnections.HandleSend(
    target, order.mFence, mConnections.ConnectionOf(call), now);
}

void range_driver::SendQueuedGrants(const target_name& aTarget,
                                    order_result aLastOutcome)
{
  const auto queue = mGrantQueues.find(aTarget);
  const auto next = queue->second.HandleOutcome(aLastOutcome, MonotonicNow());
  if (queue->second.IsIdle()) {
    mGrantQueues.erase(queue);
  }
  for (const auto& grant : next.mToSend) {
    SendGrant(grant);
  }
  for (const auto& grant : next.mDropped) {
    HandleGrantOutcome(
      grant.mService, grant.mOrder, order_result::kNotAttempted);
  }
}

void range_driver::HandleGrantOutcome(const service_name& aService,
                                      const grant_order& aOrder,
                                      order_result aOutcome,
                                      const http_result* aResult)
{
  if (aOutcome != order_result::kAccepted &&
      aOutcome != order_result::kUnverified) {
    ++mCounters.mGrantsFailed;
    log_line line(log_severity::kInfo, "grant_failed");
    line.Add("service", aService.Value())
      .Add("target", aOrder.mAddress.mTarget.Value())
      .Add("from", uint64_t{ aOrder.mKeys.mFirst })
      .Add("to", uint64_t{ aOrder.mKeys.mLast })
      .Add("fence", aOrder.mFence.Value())
      .Add("end", OrderOutcomeName(aOutcome));
    if (aResult != nullptr) {
      line.Add("status", ResponseStatus(*aResult))
        .Add("reused", aResult->mReused);
    }
  }
  if (range_controller* controller = FindController(aService)) {
    controller->HandleGrantResult(aOrder.mId, aOutcome, MonotonicNow());
    ScheduleStep();
  }
}

void range_driver::Execute(const service_name& aService,
                           const release_order& aOrder)
{
  ++mCounters.mReleases;
  const std::string requestId = NextRequestId();
  call_options options;
  options.mSendUntil = aOrder.mSendUntil;
  if (mTargetsWithoutRequestIds.contains(aOrder.mAddress.mTarget)) {
    options.mConnection = connection_choice::kNew;
  } else if (KeepsKeys(aService, aOrder)) {
    // A release occupies its connection for up to seconds. The grants of the
    // other keys may need the last one that is idle.
    options.mConnection = connection_choice::kSpare;
  }
  CallTarget(aOrder.mAddress,
             mProtocol.ReleaseRequest(aOrder, requestId),
             requestId,
             kReleaseTimeout,
             options,
             [this, aService, aOrder](const order_response& aOutcome,
                                      const http_result& aResult) {
               mCounters.mReleasesFailed +=
                 aOutcome.mResult == order_result::kAccepted ? 0 : 1;
               log_line(log_severity::kInfo, "keys_released")
                 .Add("service", aService.Value())
                 .Add("target", aOrder.mAddress.mTarget.Value())
                 .Add("from", uint64_t{ aOrder.mKeys.mFirst })
                 .Add("to", uint64_t{ aOrder.mKeys.mLast })
                 .Add("fence", aOrder.mFence.Value())
                 .Add("end", OrderOutcomeName(aOutcome.mResult))
                 .Add("status", ResponseStatus(aResult))
                 .Add("reused", aResult.mReused);
               if (aOutcome.mHasUnusableHandover) {
                 ++mCounters.mUnusableHandovers;
                 log_line(log_severity::kWarning, "handover_unusable")
                   .Add("service", aService.Value())
                   .Add("target", aOrder.mAddress.mTarget.Value())
                   .Add("from", uint64_t{ aOrder.mKeys.mFirst })
                   .Add("to", uint64_t{ aOrder.mKeys.mLast });
               }
               if (range_controller* controller = FindController(aService)) {
                 controller->HandleReleaseResult(aOrder.mId,
                                                 aOutcome.mResult,
                                                 aOutcome.mHandover,
                                                 MonotonicNow());
                 ScheduleStep();
               }
             });
}

void range_driver::Execute(const service_name& aService,
                           const write_record& aWrite)
{
  ++mCounters.mRecordWrites;
  const std::string key = EncodeRecordKey({ aService, mStore.Era() });
  // A record of an earlier era has another key.
  const bool isCurrent = EraOf(aWrite.mExpectedRevision) == mStore.Era();
  conditional_write write;
  write.mConditions = {
    mElection.Condition(),
    { key, isCurrent ? aWrite.mExpectedRevision : store_revision(0) }
  };
  write.mWrites = { { key, EncodeRangeRecord(aWrite.mRecord), lease_id(0) } };
  const order_id id = aWrite.mId;
  const range_record record = aWrite.mRecord;
  mStore.Write(write, [this, aService, id, record](const write_reply& aReply) {
    const bool written = aReply.mOutcome == call_outcome::kDone;
    log_line(log_severity::kInfo, "record_written")
      .Add("service", aService.Value())
      .Add("done", written)
      .Add("revision", aReply.mRevision.Value());
    if (range_controller* controller = FindController(aService)) {
      controller->HandleWriteResult(
        id, written, aReply.mRevision, MonotonicNow());
      ScheduleStep();
    }
    if (written) {
      mRecordHandler(aService, { aReply.mRevision, record });
      if (AreRecordsCurrent()) {
        mElection.HandleRecordsWritten();
      }
    } else {
      mWriteFailedHandler();
    }
  });
}

} // namespace parsleystair
