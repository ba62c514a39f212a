#include "PerformanceTest/parsleystair_load/LoadRunner.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Arrivals that are handled before answers are read, so that a late tool
/// doesn't starve its connections.
constexpr int kArrivalsPerRound = 100;

/// How long a router that refuses connections gets no requests, as a load
/// balancer does after a failed health check.
constexpr duration kAvoidTime = 1s;

/// Executions of a long run may take several MB.
constexpr uint32_t kMaxExecutionsBytes = 256 * 1024 * 1024;

} // namespace

load_runner::load_runner(event_loop& aLoop,
                         const load_settings& aSettings,
                         std::vector<request_kind> aKinds)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mWorkload(aSettings, std::move(aKinds))
  , mAvoidUntil(aSettings.mRouters.size())
{
  for (uint32_t i = 0; i < aSettings.mConnections; ++i) {
    const size_t router = i % aSettings.mRouters.size();
    const endpoint_address& address = aSettings.mRouters[router];
    mConnections.push_back({ router,
                             std::make_unique<http_connection>(
                               aLoop, address.mHost, address.mPort) });
  }
}

const load_account& load_runner::Run()
{
  mNextArrival = MonotonicNow() + mWorkload.NextGap();
  mLastArrival = MonotonicNow() + mSettings.mLength;
  ScheduleNext();
  mLoop.Run();
  return mAccount;
}

void load_runner::ScheduleNext()
{
  const duration wait =
    std::max(duration::zero(), mNextArrival - MonotonicNow());
  mArrivalTimer.StartOnce(mLoop, wait, [this] { StartDue(); });
}

void load_runner::StartDue()
{
  const time_point now = MonotonicNow();
  for (int i = 0; i < kArrivalsPerRound && mNextArrival <= now; ++i) {
    if (mNextArrival > mLastArrival) {
      break;
    }
    mAccount.NoteIntended();
    Enqueue(mWorkload.Next(mNextArrival, WallNow()));
    mNextArrival += mWorkload.NextGap();
  }
  SendWaiting();
  mArrivalsEnded = mNextArrival > mLastArrival;
  if (mArrivalsEnded) {
    CheckEnd();
  } else {
    ScheduleNext();
  }
}

void load_runner::Enqueue(const planned_request& aRequest)
{
  mWaiting.push_back(aRequest);
  SendWaiting();
  if (mWaiting.size() > mSettings.mMaxWaiting) {
    mAccount.NoteNotStarted();
    mWorkload.End(mWaiting.back().mOperation, false);
    mWaiting.pop_back();
  }
}

void load_runner::SendWaiting()
{
  // A request that waits for one router doesn't hold up the others.
  for (auto request = mWaiting.begin(); request != mWaiting.end();) {
    connection* idle = PickIdle(*request);
    if (idle == nullptr) {
      if (mOpen == mConnections.size()) {
        return;
      }
      ++request;
      continue;
    }
    const planned_request sent = *request;
    mWaiting.erase(request);
    Send(*idle, sent);
    // A connection that fails at once changes the queue.
    request = mWaiting.begin();
  }
}

std::vector<bool> load_runner::UsableRouters(const planned_request& aRequest)
{
  const time_point now = MonotonicNow();
  std::vector<bool> usable(mSettings.mRouters.size());
  for (size_t router = 0; router < usable.size(); ++router) {
    usable[router] = now >= mAvoidUntil[router];
  }
  const auto hasAny = [&](const std::vector<bool>& aRouters) {
    return std::find(aRouters.begin(), aRouters.end(), true) != aRouters.end();
  };
  if (!hasAny(usable)) {
    usable.assign(usable.size(), true);
  }
  const std::optional<size_t> last =
    mWorkload.Find(aRequest.mOperation).mRouter;
  if (aRequest.mIsRepeat && last) {
    std::vector<bool> others = usable;
    others[*last] = false;
    usable = hasAny(others) ? others : usable;
  }
  return usable;
}

load_runner::connection* load_runner::PickIdle(const planned_request& aRequest)
{
  if (mOpen == mConnections.size()) {
    return nullptr;
  }
  const std::vector<bool> usable = UsableRouters(aRequest);
  for (size_t i = 0; i < mConnections.size(); ++i) {
    connection& candidate =
      mConnections[(mNextConnection + i) % mConnections.size()];
    if (usable[candidate.mRouter] && !candidate.mHttp->IsBusy()) {
      mNextConnection = (mNextConnection + i + 1) % mConnections.size();
      return &candidate;
    }
  }
  return nullptr;
}

void load_runner::Send(connection& aConnection, const planned_request& aRequest)
{
  mWorkload.Find(aRequest.mOperation).mRouter = aConnection.mRouter;
  ++mOpen;
  mAccount.NoteStarted(MonotonicNow() - aRequest.mIntendedStart,
                       aRequest.mIsRepeat);
  aConnection.mHttp->Call(
    mWorkload.Build(aRequest),
    mSettings.mTimeout,
    [this, aRequest, router = aConnection.mRouter](const http_result& aResult) {
      Handle(router, aRequest, aResult);
    });
}

void load_runner::Handle(size_t aRouter,
                         const planned_request& aRequest,
                         const http_result& aResult)
{
  --mOpen;
  const operation& planned = mWorkload.Find(aRequest.mOperation);
  ended_request ended = CheckAnswer(planned, aResult);
  ended.mKey = planned.mKey;
  ended.mIsRepeat = aRequest.mIsRepeat;
  ended.mIntendedStart = aRequest.mIntendedStart;
  ended.mEndedAt = MonotonicNow();
  if (ended.mEnd == request_end::kNotConnected) {
    mAvoidUntil[aRouter] = ended.mEndedAt + kAvoidTime;
  }
  if (ended.mEnd == request_end::kWrongAnswer) {
    log_line(log_severity::kError, "wrong_answer")
      .Add("request_id", aRequest.mRequestId)
      .Add("key", planned.mKey)
      .Add("status", static_cast<int>(ended.mStatus))
      .Add("body", aResult.mResponse.mBody.substr(0, 200));
  }
  mAccount.NoteEnded(ended);
  mWorkload.End(aRequest.mOperation, MayHaveRun(ended));
  SendWaiting();
  CheckEnd();
}

void load_runner::CheckEnd()
{
  if (!mArrivalsEnded || mOpen > 0 || !mWaiting.empty()) {
    return;
  }
  if (mSettings.mTargets.empty()) {
    mLoop.Stop();
  } else if (mTargetsAsked == 0) {
    AskNextTarget();
  }
}

void load_runner::AskNextTarget()
{
  if (mTargetsAsked == mSettings.mTargets.size()) {
    execution_findings findings =
      CompareExecutions(mExecutions, mWorkload.Operations());
    findings.mTargetsAsked = mTargetsAsked;
    findings.mTargetsSilent = mTargetsSilent;
    mAccount.NoteExecutions(findings);
    mLoop.Stop();
    return;
  }
  const endpoint_address& address = mSettings.mTargets[mTargetsAsked++];
  mTarget = std::make_unique<http_connection>(
    mLoop,
    address.mHost,
    address.mPort,
    http_connection_settings{ .mMaxBodyBytes = kMaxExecutionsBytes });
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/executions";
  mTarget->Call(
    request, mSettings.mTimeout, [this](const http_result& aResult) {
      HandleExecutions(aResult);
      AskNextTarget();
    });
}

void load_runner::HandleExecutions(const http_result& aResult)
{
  try {
    if (aResult.mStatus != http_status::kResponded) {
      throw parse_error("executions: no answer");
    }
    AddExecutions(mExecutions, aResult.mResponse.mBody);
  } catch (const parse_error& failure) {
    ++mTargetsSilent;
    log_line(log_severity::kError, "target_executions_missing")
      .Add("error", failure.what());
  }
}

} // namespace parsleystair
