#include "Parsleystair/Gateway/TargetConnections.h"

#include "Parsleystair/Core/Clock.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Time for which idle connections beyond the limit are kept. A target accepts
/// a limited number of connections from all routers together.
constexpr duration kExcessIdleTime = 1s;
/// Connections are not reused this shortly before the target closes them. A
/// request that is sent while the target closes the connection has an unknown
/// outcome.
constexpr duration kKeepAliveMargin = 300ms;

} // namespace

target_connections::target_connections(
  event_loop& aLoop,
  const http_connection_settings& aSettings,
  duration aDefaultKeepAlive)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mDefaultKeepAlive(aDefaultKeepAlive)
{
}

void target_connections::TakeConnection(active_call& aCall,
                                        const discovered_target& aTarget,
                                        time_point aNow,
                                        const call_options& aOptions)
{
  const auto [position, isNew] = mPools.try_emplace(aTarget.mName);
  pool& targetPool = position->second;
  if (isNew) {
    targetPool.mKeepAlive = mDefaultKeepAlive;
  }
  if (targetPool.mHost != aTarget.mHost || targetPool.mPort != aTarget.mPort) {
    targetPool.mHost = aTarget.mHost;
    targetPool.mPort = aTarget.mPort;
    targetPool.mIdle.clear();
  }
  std::vector<idle_connection>& idle = targetPool.mIdle;
  if (aOptions.mConnection == connection_choice::kNew && !idle.empty()) {
    idle.erase(idle.begin());
  }
  const bool takesIdle =
    aOptions.mConnection == connection_choice::kAny ||
    (aOptions.mConnection == connection_choice::kSpare && idle.size() > 1);
  for (size_t left = takesIdle ? idle.size() : 0; left > 0; --left) {
    const auto each = idle.begin() + static_cast<ptrdiff_t>(left - 1);
    if (!IsAllowed(*each, aOptions)) {
      continue;
    }
    idle_connection candidate = std::move(*each);
    idle.erase(each);
    if (IsReusable(targetPool, candidate, aNow)) {
      ++mReused;
      aCall.mConnection = std::move(candidate.mConnection);
      aCall.mId = candidate.mId;
      aCall.mFirstResponse = candidate.mFirstResponse;
      return;
    }
  }
  ++mOpened;
  aCall.mConnection = std::make_unique<http_connection>(
    mLoop, aTarget.mHost, aTarget.mPort, mSettings);
  aCall.mId = target_connection_id(mOpened);
}

bool target_connections::IsAllowed(const idle_connection& aIdle,
                                   const call_options& aOptions)
{
  return !aOptions.mBound ||
         aOptions.mBound->Allows(aIdle.mId, aIdle.mFirstResponse);
}

bool target_connections::IsReusable(const pool& aPool,
                                    const idle_connection& aIdle,
                                    time_point aNow)
{
  return aNow - aIdle.mIdleSince < aPool.mKeepAlive - kKeepAliveMargin &&
         aIdle.mConnection->IsOpen();
}

target_connection_id target_connections::ConnectionOf(call_id aCall) const
{
  return mCalls.at(aCall).mId;
}

bool target_connections::HasOpenConnection(
  const discovered_target& aTarget,
  time_point aNow,
  const std::optional<connection_bound>& aBound) const
{
  call_options options;
  options.mBound = aBound;
  const auto found = mPools.find(aTarget.mName);
  if (found == mPools.end()) {
    return false;
  }
  const pool& targetPool = found->second;
  return targetPool.mHost == aTarget.mHost &&
         targetPool.mPort == aTarget.mPort &&
         std::any_of(targetPool.mIdle.begin(),
                     targetPool.mIdle.end(),
                     [&](const idle_connection& aIdle) {
                       return IsAllowed(aIdle, options) &&
                              IsReusable(targetPool, aIdle, aNow);
                     });
}

call_id target_connections::Call(const discovered_target& aTarget,
                                 const http_request& aRequest,
                                 duration aTimeout,
                                 time_point aNow,
                                 callback aCallback,
                                 response_filter aFilter,
                                 const call_options& aOptions)
{
  const call_id id(mNextCall++);
  active_call& call = mCalls[id];
  call.mTarget = aTarget.mName;
  call.mHost = aTarget.mHost;
  call.mPort = aTarget.mPort;
  TakeConnection(call, aTarget, aNow, aOptions);
  ++mPools[aTarget.mName].mActiveCalls;
  call.mCallback = std::move(aCallback);
  call.mConnection->Call(
    aRequest,
    aTimeout,
    [this, id](http_result aResult) { HandleResult(id, std::move(aResult)); },
    std::move(aFilter),
    { aOptions.mSendUntil, aOptions.mConnectUntil });
  return id;
}

void target_connections::HandleResult(call_id aCall, http_result aResult)
{
  // The extracted node keeps the connection alive until its callback returns.
  auto node = mCalls.extract(aCall);
  active_call& call = node.mapped();
  pool& targetPool = mPools[call.mTarget];
  --targetPool.mActiveCalls;
  if (call.mConnection->IsOpen() && targetPool.mHost == call.mHost &&
      targetPool.mPort == call.mPort) {
    const time_point now = MonotonicNow();
    targetPool.mIdle.push_back({ std::move(call.mConnection),
                                 now,
                                 call.mId,
                                 call.mFirstResponse.value_or(now) });
  }
  call.mCallback(std::move(aResult));
}

void target_connections::Cancel(call_id aCall)
{
  const auto found = mCalls.find(aCall);
  if (found != mCalls.end()) {
    --mPools[found->second.mTarget].mActiveCalls;
    mCalls.erase(found);
  }
}

bool target_connections::HasSent(call_id aCall) const
{
  return mCalls.at(aCall).mConnection->HasSent();
}

size_t target_connections::CancelAll()
{
  const size_t cancelled = mCalls.size();
  mCalls.clear();
  for (auto& [name, targetPool] : mPools) {
    targetPool.mActiveCalls = 0;
  }
  return cancelled;
}

bool target_connections::IsAtLimit(const target_name& aTarget,
                                   size_t aLimit) const
{
  const auto found = mPools.find(aTarget);
  return found != mPools.end() && found->second.mIdle.empty() &&
         found->second.mActiveCalls >= aLimit;
}

void target_connections::SetKeepAlive(const target_name& aTarget,
                                      duration aTime)
{
  const auto found = mPools.find(aTarget);
  if (found != mPools.end()) {
    found->second.mKeepAlive = aTime;
  }
}

void target_connections::Sweep(const target_directory& aDirectory,
                               const idle_limit& aIdleLimit,
                               time_point aNow)
{
  for (auto& [name, found] : mPools) {
    pool& targetPool = found;
    const known_target* known = aDirectory.Find(name);
    const bool isUnusable = known == nullptr || !known->IsUsable();
    std::erase_if(targetPool.mIdle, [&](const idle_connection& aIdle) {
      return isUnusable || !aIdle.mConnection->IsOpen() ||
             aNow - aIdle.mIdleSince >=
               targetPool.mKeepAlive - kKeepAliveMargin;
    });
    // The connections are ordered by idle time, the longest first.
    const size_t kept = isUnusable ? 0 : aIdleLimit(*known);
    while (targetPool.mIdle.size() > kept &&
           aNow - targetPool.mIdle.front().mIdleSince >= kExcessIdleTime) {
      targetPool.mIdle.erase(targetPool.mIdle.begin());
    }
  }
  RemoveUnknownTargets(aDirectory);
}

bool target_connections::CloseBroken(const target_name& aTarget,
                                     time_point aNow)
{
  const auto found = mPools.find(aTarget);
  if (found == mPools.end()) {
    return false;
  }
  pool& targetPool = found->second;
  const auto isExpired = [&](const idle_connection& aIdle) {
    return aNow - aIdle.mIdleSince >= targetPool.mKeepAlive - kKeepAliveMargin;
  };
  // Targets close connections that have been idle for long, so a closed expired
  // connection is no sign of a restart. Expired connections are only checked if
  // there are no others.
  if (!std::all_of(
        targetPool.mIdle.begin(), targetPool.mIdle.end(), isExpired)) {
    std::erase_if(targetPool.mIdle, isExpired);
  }
  return std::erase_if(targetPool.mIdle, [](const idle_connection& aIdle) {
           return !aIdle.mConnection->IsOpen();
         }) > 0;
}

void target_connections::RemoveUnknownTargets(
  const target_directory& aDirectory)
{
  std::erase_if(mPools, [&](const auto& aPool) {
    return aPool.second.mActiveCalls == 0 &&
           aDirectory.Find(aPool.first) == nullptr;
  });
}

} // namespace parsleystair
