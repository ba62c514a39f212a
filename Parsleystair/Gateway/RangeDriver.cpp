#include "Parsleystair/Gateway/RangeDriver.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

namespace parsleystair {

namespace {

/// Longest wait for the answer to a grant; shorter than the renewal interval.
constexpr duration kGrantTimeout = 600ms;
/// Idle time of a connection for orders: some renewals long, so that a restart
/// of the target shows on it.
constexpr duration kOrderKeepAlive = 4s;
/// Pause between an event and the step that answers it. A leader gets hundreds
/// of answers a second, and a step looks at all ranges.
constexpr duration kStepPause = 20ms;
/// A release is answered when the work on its keys has ended. The old grant
/// runs out earlier than this, so that nothing waits longer.
constexpr duration kReleaseTimeout = 6s;

http_connection_settings OrderConnectionSettings()
{
  http_connection_settings settings;
  settings.mConnectTimeout = 400ms;
  settings.mTakesUnframedAnswers = true;
  settings.mStream.mUserTimeout = kGrantTimeout;
  return settings;
}

const char* EndName(order_end aEnd)
{
  switch (aEnd) {
    case order_end::kAccepted:
      return "accepted";
    case order_end::kFenced:
      return "fenced";
    case order_end::kRejected:
      return "rejected";
    case order_end::kNotSent:
      return "not-sent";
    case order_end::kHeldBack:
      return "held-back";
    case order_end::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

} // namespace

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
  , mConnections(aLoop, OrderConnectionSettings(), kOrderKeepAlive)
{
}

void range_driver::SetServices(const std::set<service_name>& aServices)
{
  for (const service_name& service : aServices) {
    const auto [position, isNew] = mControllers.try_emplace(service, mSettings);
    if (isNew && mLeading) {
      position->second.StartLeading(MonotonicNow());
    }
  }
  StepLater();
}

void range_driver::HandleLeadership(time_point aNow)
{
  mLeading = mElection.IsLeading();
  // Grants that wait were decided under the former lead.
  for (auto& [target, queue] : mGrantQueues) {
    queue.Clear();
  }
  for (auto& [service, controller] : mControllers) {
    if (mLeading) {
      controller.StartLeading(aNow);
    } else {
      controller.StopLeading();
    }
  }
  StepLater();
}

void range_driver::HandleProof(time_point aAsked)
{
  for (auto& [service, controller] : mControllers) {
    controller.HandleProof(aAsked);
  }
}

void range_driver::HandleFormerLeaderGone(time_point aNow)
{
  for (auto& [service, controller] : mControllers) {
    controller.HandleFormerLeaderGone(aNow);
  }
  StepLater();
}

void range_driver::HandleRecord(const service_name& aService,
                                const range_record& aRecord,
                                store_revision aRevision)
{
  // The record may arrive before the configuration that names the service.
  mControllers.try_emplace(aService, mSettings)
    .first->second.HandleRecord(aRecord, aRevision);
  StepLater();
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
  mConnections.Retain(aDirectory);
  StepLater();
}

void range_driver::HandleLoad(const service_name& aService,
                              const service_load& aLoad,
                              time_point aNow)
{
  if (range_controller* controller = Find(aService)) {
    controller->HandleLoad(aLoad, aNow);
  }
}

size_t range_driver::OpenMoves() const
{
  size_t count = 0;
  for (const auto& [service, controller] : mControllers) {
    count += controller.OpenMoves();
  }
  return count;
}

range_controller* range_driver::Find(const service_name& aService)
{
  const auto found = mControllers.find(aService);
  return found == mControllers.end() ? nullptr : &found->second;
}

void range_driver::StepLater()
{
  // Events that come together are handled in one step.
  if (!mStepPlanned && mLeading) {
    mStepPlanned = true;
    mSoonTimer.StartOnce(mLoop, kStepPause, [this] {
      mStepPlanned = false;
      StepAll();
    });
  }
}

void range_driver::StepAll()
{
  const time_point now = MonotonicNow();
  std::optional<time_point> next;
  mBroken.clear();
  for (auto& [name, controller] : mControllers) {
    const service_name& service = name;
    for (const range_action& action : controller.Step(now)) {
      std::visit([&](const auto& aAction) { Execute(service, aAction); },
                 action);
    }
    const auto step = controller.NextStep();
    if (step && (!next || *step < *next)) {
      next = step;
    }
  }
  if (next) {
    mStepTimer.StartOnce(
      mLoop, std::max(*next - now, duration::zero()), [this] { StepAll(); });
  }
}

discovered_target range_driver::TargetOf(const order_address& aAddress) const
{
  discovered_target target;
  target.mName = aAddress.mTarget;
  target.mHost = aAddress.mHost;
  target.mPort = aAddress.mPort;
  return target;
}

order_end range_driver::EndOf(const http_result& aResult) const
{
  switch (aResult.mStatus) {
    case http_status::kAnswered:
      return mProtocol.ReadOrderAnswer(aResult.mAnswer);
    case http_status::kNotSent:
      return order_end::kNotSent;
    case http_status::kNoAnswer:
      return order_end::kUnanswered;
  }
  return order_end::kUnanswered;
}

void range_driver::Execute(const service_name& aService,
                           const grant_order& aOrder)
{
  ++mCounters.mGrants;
  if (mGrantQueues[aOrder.mTo.mTarget].Add(aService, aOrder, MonotonicNow())) {
    SendGrant(aService, aOrder);
  }
}

void range_driver::SendGrant(const service_name& aService,
                             const grant_order& aOrder)
{
  // A connection that broke is a sign that the target restarted: its new life
  // must not take the fence that the old one had. That holds for all orders
  // that were decided before.
  const target_name& target = aOrder.mTo.mTarget;
  const time_point now = MonotonicNow();
  if (mConnections.DropBroken(target, now)) {
    mBroken.insert(target);
  }
  if (mBroken.contains(target)) {
    HandleGrantEnd(aService, aOrder, order_end::kNotSent);
    SendWaitingGrants(target, order_end::kNotSent);
    return;
  }
  mConnections.Call(
    TargetOf(aOrder.mTo),
    mProtocol.GrantRequest(aOrder),
    kGrantTimeout,
    now,
    [this, aService, aOrder](const http_result& aResult) {
      const order_end end = EndOf(aResult);
      HandleGrantEnd(aService, aOrder, end);
      SendWaitingGrants(aOrder.mTo.mTarget, end);
    },
    nullptr);
}

void range_driver::SendWaitingGrants(const target_name& aTarget,
                                     order_end aLast)
{
  const auto queue = mGrantQueues.find(aTarget);
  const auto next = queue->second.HandleEnd(aLast, MonotonicNow());
  if (queue->second.IsIdle()) {
    mGrantQueues.erase(queue);
  }
  for (const auto& each : next.mSend) {
    SendGrant(each.mService, each.mOrder);
  }
  for (const auto& each : next.mGiveUp) {
    HandleGrantEnd(each.mService, each.mOrder, order_end::kHeldBack);
  }
}

void range_driver::HandleGrantEnd(const service_name& aService,
                                  const grant_order& aOrder,
                                  order_end aEnd)
{
  if (aEnd != order_end::kAccepted) {
    ++mCounters.mGrantsFailed;
    log_line(log_severity::kInfo, "grant_failed")
      .Add("service", aService.Value())
      .Add("target", aOrder.mTo.mTarget.Value())
      .Add("from", uint64_t{ aOrder.mKeys.mFrom })
      .Add("to", uint64_t{ aOrder.mKeys.mTo })
      .Add("fence", aOrder.mFence.Value())
      .Add("end", EndName(aEnd));
  }
  if (range_controller* controller = Find(aService)) {
    controller->HandleGrantEnd(aOrder.mId, aEnd, MonotonicNow());
    StepLater();
  }
}

void range_driver::Execute(const service_name& aService,
                           const release_order& aOrder)
{
  ++mCounters.mReleases;
  mConnections.Call(
    TargetOf(aOrder.mTo),
    mProtocol.ReleaseRequest(aOrder),
    kReleaseTimeout,
    MonotonicNow(),
    [this, aService, aOrder](const http_result& aResult) {
      const order_end end = EndOf(aResult);
      const std::string handover = mProtocol.ReadHandover(aResult.mAnswer);
      mCounters.mReleasesFailed += end == order_end::kAccepted ? 0 : 1;
      log_line(log_severity::kInfo, "keys_released")
        .Add("service", aService.Value())
        .Add("target", aOrder.mTo.mTarget.Value())
        .Add("from", uint64_t{ aOrder.mKeys.mFrom })
        .Add("to", uint64_t{ aOrder.mKeys.mTo })
        .Add("fence", aOrder.mFence.Value())
        .Add("end", EndName(end));
      if (range_controller* controller = Find(aService)) {
        controller->HandleReleaseEnd(aOrder.mId, end, handover, MonotonicNow());
        StepLater();
      }
    },
    nullptr);
}

void range_driver::Execute(const service_name& aService,
                           const write_record& aWrite)
{
  ++mCounters.mRecordWrites;
  const std::string key = kRangesPrefix + aService.Value();
  conditional_write write;
  write.mConditions = { mElection.Condition(), { key, aWrite.mExpected } };
  write.mWrites = { { key, EncodeRangeRecord(aWrite.mRecord), lease_id(0) } };
  const order_id id = aWrite.mId;
  const range_record record = aWrite.mRecord;
  mStore.Write(write, [this, aService, id, record](const write_reply& aReply) {
    const bool written = aReply.mOutcome == call_outcome::kDone;
    log_line(log_severity::kInfo, "record_written")
      .Add("service", aService.Value())
      .Add("done", written)
      .Add("revision", aReply.mRevision.Value());
    if (range_controller* controller = Find(aService)) {
      controller->HandleWriteEnd(id, written, aReply.mRevision, MonotonicNow());
      StepLater();
    }
    if (written) {
      mRecordHandler(aService, { aReply.mRevision, record });
    } else {
      mDoubtHandler();
    }
  });
}

} // namespace parsleystair
