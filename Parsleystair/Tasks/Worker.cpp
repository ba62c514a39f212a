#include "Parsleystair/Tasks/Worker.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Request/Deadline.h"
#include "Parsleystair/Request/IdempotencyKey.h"
#include "Parsleystair/Request/Problem.h"
#include "Parsleystair/Request/RequestIdentity.h"

// Steps of the pipeline on the caller's side, messages and periodic work. The
// steps on the target's side are in WorkerTries.cpp.

namespace parsleystair {

namespace {

constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";

constexpr duration kTickInterval = 5ms;
constexpr duration kTrafficInterval = 50ms;
constexpr uint32_t kRetryAfterMs = 1000;
/// Requests that one worker has open at most; more are refused at once.
constexpr size_t kMaxOpenRequests = 20'000;
/// A request that is still open this long after its deadline has lost the event
/// that should have ended it, and is ended by the periodic sweep.
constexpr duration kOverdue = 500ms;

http_server_settings ServerSettings(const router_settings& aSettings)
{
  http_server_settings settings;
  settings.mMaxHeaderBytes = aSettings.mLimits.mMaxHeaderBytes;
  settings.mMaxBodyBytes = aSettings.mLimits.mMaxBodyBytes;
  settings.mReusePort = true;
  return settings;
}

} // namespace

worker::worker(event_loop& aLoop,
               worker_index aIndex,
               const router_settings& aSettings,
               uint64_t aSeed,
               control_inbox& aControl)
  : mLoop(aLoop)
  , mIndex(aIndex)
  , mControl(aControl)
  , mRandom(aSeed)
  , mServer(aLoop,
            ServerSettings(aSettings),
            [this](exchange_id aExchange, http_request aRequest) {
              Read(aExchange, std::move(aRequest));
            })
{
  mServer.Listen(aSettings.mCallers.mHost, aSettings.mCallers.mPort);
  mTick.StartRepeating(aLoop, kTickInterval, [this] { Tick(MonotonicNow()); });
  mTrafficTimer.StartRepeating(
    aLoop, kTrafficInterval, [this] { ReportTraffic(); });
}

std::string worker::MakeId()
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitsPerNumber = 16;
  constexpr unsigned kDigitBits = 4;
  std::string id;
  for (int number = 0; number < 2; ++number) {
    uint64_t bits = mRandom();
    for (int digit = 0; digit < kDigitsPerNumber; ++digit) {
      id += kDigits[bits % kDigits.size()];
      bits >>= kDigitBits;
    }
  }
  return id;
}

void worker::Read(exchange_id aExchange, http_request aRequest)
{
  ++mCounters.mReceived;
  const time_point now = MonotonicNow();
  const flow_id id(mNextFlow++);
  request_flow& flow = mFlows[id];
  flow.mId = id;
  flow.mExchange = aExchange;
  flow.mArrived = now;
  flow.mRequestId = GivenRequestId(aRequest);
  if (flow.mRequestId.empty()) {
    flow.mRequestId = MakeId();
  }
  flow.mRequest = std::move(aRequest);
  Admit(flow, now);
}

void worker::Admit(request_flow& aFlow, time_point aNow)
{
  if (mSnapshot == nullptr) {
    Refuse(aFlow,
           { refusal_reason::kNoAuthority,
             "this router has no configuration yet",
             kRetryAfterMs });
    return;
  }
  if (mFlows.size() > kMaxOpenRequests) {
    Refuse(aFlow,
           { refusal_reason::kOverloaded,
             "too many requests are open",
             kRetryAfterMs });
    return;
  }
  auto classified = Classify(mSnapshot->mConfiguration, aFlow.mRequest);
  if (const auto* refused = std::get_if<refused_not_run>(&classified)) {
    Refuse(aFlow, *refused);
    return;
  }
  aFlow.mClassified = std::get<classified_request>(std::move(classified));
  const auto deadline =
    FindDeadline(aFlow.mClassified.Rule(), aFlow.mRequest, aNow);
  if (const auto* refused = std::get_if<refused_not_run>(&deadline)) {
    Refuse(aFlow, *refused);
    return;
  }
  aFlow.mDeadline = std::get<time_point>(deadline);
  aFlow.mRetry.emplace(aFlow.mClassified.Rule(), aFlow.mDeadline);
  aFlow.mFingerprint = FingerprintOf(aFlow.mRequest);
  const auto crashed = mRefusedContent.find(aFlow.mFingerprint);
  if (crashed != mRefusedContent.end() && crashed->second > aNow) {
    Refuse(aFlow,
           { refusal_reason::kCrashingRequest,
             "targets went down on requests with this content",
             0 });
    return;
  }
  FindDuplicate(aFlow, aNow);
}

void worker::FindDuplicate(request_flow& aFlow, time_point aNow)
{
  const request_rule& rule = aFlow.mClassified.Rule();
  const auto key = FindHeader(aFlow.mRequest.mHeaders, kIdempotencyKeyHeader);
  if (rule.mIdempotent) {
    Dispatch(aFlow, aNow);
    return;
  }
  if (!key) {
    if (rule.mWithoutKey == missing_key_policy::kSendOnce) {
      Dispatch(aFlow, aNow);
      return;
    }
    Refuse(aFlow,
           { refusal_reason::kMissingIdempotencyKey,
             "requests of rule " + rule.mName.Value() +
               " need an Idempotency-Key header",
             0 });
    return;
  }
  begin_message begin;
  try {
    const idempotency_key parsed =
      ParseIdempotencyKey(*key, rule.mKeyFormat, WallNow());
    begin.mKey = { aFlow.mClassified.Service().mName,
                   rule.mName,
                   parsed.mText };
    begin.mKeyTimeMs = parsed.mTimeMs;
  } catch (const value_error& exception) {
    Refuse(aFlow, { refusal_reason::kBadIdempotencyKey, exception.what(), 0 });
    return;
  }
  begin.mGroup = aFlow.mClassified.mGroup;
  begin.mExecution = execution_id(MakeId());
  begin.mFingerprint = aFlow.mFingerprint;
  aFlow.mHasAttempt = true;
  mControl.Send(begin_query{ mIndex, aFlow.mId, begin, aFlow.mDeadline });
}

void worker::Apply(const execution_verdict& aVerdict)
{
  const auto found = mFlows.find(aVerdict.mFlow);
  if (found == mFlows.end()) {
    return;
  }
  if (!aVerdict.mOutcome) {
    Dispatch(found->second, MonotonicNow());
    return;
  }
  // The control task has withdrawn the attempt, so there is nothing to report.
  found->second.mHasAttempt = false;
  Finish(aVerdict.mFlow, *aVerdict.mOutcome);
}

void worker::Refuse(const request_flow& aFlow, const refused_not_run& aReason)
{
  if (aFlow.mMayHaveRun) {
    Finish(aFlow.mId, refused_may_have_run{ aReason.mReason, aReason.mDetail });
    return;
  }
  Finish(aFlow.mId, aReason);
}

void worker::Finish(flow_id aFlow, const request_outcome& aOutcome)
{
  auto node = mFlows.extract(aFlow);
  PARSLEYSTAIR_INVARIANT(!node.empty());
  const request_flow& flow = node.mapped();
  mCounters.Count(aOutcome);
  mLatency.Add(MonotonicNow() - flow.mArrived);
  ReportAttempt(flow, aOutcome);
  if (!std::holds_alternative<responded>(aOutcome)) {
    const http_response refusal = ToHttpResponse(aOutcome, flow.mRequestId);
    log_line(log_severity::kInfo, "refused")
      .Add("request", flow.mRequestId)
      .Add("outcome", OutcomeText(aOutcome))
      .Add("reason", RefusalReason(aOutcome))
      .Add("target", flow.mTarget.Value());
    mServer.Respond(flow.mExchange, refusal);
    return;
  }
  mServer.Respond(flow.mExchange, ToHttpResponse(aOutcome, flow.mRequestId));
}

void worker::ReportAttempt(const request_flow& aFlow,
                           const request_outcome& aOutcome)
{
  if (!aFlow.mHasAttempt) {
    return;
  }
  if (std::holds_alternative<refused_not_run>(aOutcome)) {
    mControl.Send(execution_withdrawn{ mIndex, aFlow.mId });
    return;
  }
  execution_finished finished{ mIndex, aFlow.mId, std::nullopt };
  if (const auto* whole = std::get_if<responded>(&aOutcome)) {
    finished.mResponse = whole->mResponse;
  }
  mControl.Send(std::move(finished));
}

void worker::Tick(time_point aNow)
{
  WakeParked(aNow);
  for (auto& [name, lane] : mLanes) {
    lane->mPool.CheckSilence(aNow);
    ShedExpired(*lane, aNow);
    ServeQueue(*lane, aNow);
  }
}

void worker::WakeParked(time_point aNow)
{
  while (!mParked.empty() && mParked.begin()->first <= aNow) {
    const flow_id id = mParked.begin()->second;
    mParked.erase(mParked.begin());
    const auto found = mFlows.find(id);
    if (found != mFlows.end()) {
      Dispatch(found->second, aNow);
    }
  }
}

void worker::SweepOverdue(time_point aNow)
{
  std::vector<flow_id> overdue;
  for (const auto& [id, flow] : mFlows) {
    if (aNow > flow.mDeadline + kOverdue) {
      overdue.push_back(id);
    }
  }
  for (const flow_id id : overdue) {
    request_flow& flow = mFlows.at(id);
    flow.mMayHaveRun = flow.mMayHaveRun || flow.mTries > 0;
    Refuse(flow,
           { refusal_reason::kDeadlineExceeded, "the deadline has passed", 0 });
  }
}

void worker::ReportTraffic()
{
  SweepOverdue(MonotonicNow());
  if (mTraffic.empty()) {
    return;
  }
  traffic_report report;
  for (const auto& [key, count] : mTraffic) {
    report.mTraffic.push_back({ key.first, key.second, count });
  }
  mTraffic.clear();
  mControl.Send(std::move(report));
}

void worker::Handle(worker_message aMessage)
{
  std::visit([this](auto& aContent) { Apply(std::move(aContent)); }, aMessage);
}

void worker::Apply(snapshot_update aUpdate)
{
  const bool older =
    mSnapshot != nullptr && aUpdate.mSnapshot->mConfiguration->mRevision <
                              mSnapshot->mConfiguration->mRevision;
  PARSLEYSTAIR_INVARIANT(!older);
  mSnapshot = std::move(aUpdate.mSnapshot);
}

void worker::Apply(const crash_update& aUpdate)
{
  const time_point now = MonotonicNow();
  mRefusedContent.clear();
  for (const crash_notice& notice : aUpdate.mCrashes) {
    mRefusedContent[notice.mFingerprint] =
      now + std::chrono::milliseconds(notice.mRemainingMs);
  }
}

void worker::Apply(const drain_order& /*aOrder*/)
{
  mDraining = true;
  mServer.StopListening();
  mServer.CloseAfterResponses();
  mServer.CheckDelivery(MonotonicNow());
}

void worker::Apply(const report_order& /*aOrder*/)
{
  const time_point now = MonotonicNow();
  if (mDraining) {
    mServer.CheckDelivery(now);
    mServer.CloseIdle();
  }
  worker_report report;
  report.mWorker = mIndex;
  report.mOpenRequests = mFlows.size();
  // A client that still reads an answer would lose the rest of it with the
  // process, at its next request.
  report.mDrained = mDraining && mFlows.empty() && !mServer.IsDelivering(now);
  report.mCounters = mCounters;
  report.mCounters.mLatency = mLatency.Buckets();
  mControl.Send(std::move(report));
}

void worker::Apply(const stop_order& /*aOrder*/)
{
  mServer.Abandon();
  mLoop.Stop();
}

} // namespace parsleystair
