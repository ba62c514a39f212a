#include "Parsleystair/Gateway/TargetConnections.h"

#include "Parsleystair/Core/Clock.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// Idle connections that are kept for longer than a short time. A target takes
/// a bounded number from all routers together.
constexpr size_t kMaxSpare = 2;
constexpr duration kSpareTime = 1s;
/// A connection that its target is about to close is not used: the request
/// could cross the close, and then nobody knows whether it ran.
constexpr duration kCloseMargin = 300ms;

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

std::unique_ptr<http_connection> target_connections::Take(
  const discovered_target& aTarget,
  time_point aNow)
{
  const auto [position, isNew] = mPools.try_emplace(aTarget.mName);
  pool& from = position->second;
  if (isNew) {
    from.mKeepAlive = mDefaultKeepAlive;
  }
  if (from.mHost != aTarget.mHost || from.mPort != aTarget.mPort) {
    from.mHost = aTarget.mHost;
    from.mPort = aTarget.mPort;
    from.mIdle.clear();
  }
  while (!from.mIdle.empty()) {
    idle_connection last = std::move(from.mIdle.back());
    from.mIdle.pop_back();
    const bool fresh = aNow - last.mSince < from.mKeepAlive - kCloseMargin;
    if (fresh && last.mConnection->IsOpen()) {
      ++mReused;
      return std::move(last.mConnection);
    }
  }
  ++mOpened;
  return std::make_unique<http_connection>(
    mLoop, aTarget.mHost, aTarget.mPort, mSettings);
}

call_id target_connections::Call(const discovered_target& aTarget,
                                 const http_request& aRequest,
                                 duration aTimeout,
                                 time_point aNow,
                                 callback aCallback,
                                 answer_filter aFilter)
{
  const call_id id(mNextCall++);
  open_call& call = mCalls[id];
  call.mTarget = aTarget.mName;
  call.mConnection = Take(aTarget, aNow);
  ++mPools[aTarget.mName].mBusy;
  call.mCallback = std::move(aCallback);
  call.mConnection->Call(
    aRequest,
    aTimeout,
    [this, id](http_result aResult) { HandleResult(id, std::move(aResult)); },
    std::move(aFilter));
  return id;
}

void target_connections::HandleResult(call_id aCall, http_result aResult)
{
  // The connection must outlive its own callback.
  auto node = mCalls.extract(aCall);
  open_call& call = node.mapped();
  --mPools[call.mTarget].mBusy;
  if (call.mConnection->IsOpen()) {
    mPools[call.mTarget].mIdle.push_back(
      { std::move(call.mConnection), MonotonicNow() });
  }
  call.mCallback(std::move(aResult));
}

void target_connections::Cancel(call_id aCall)
{
  const auto found = mCalls.find(aCall);
  if (found != mCalls.end()) {
    --mPools[found->second.mTarget].mBusy;
    mCalls.erase(found);
  }
}

bool target_connections::IsFull(const target_name& aTarget, size_t aLimit) const
{
  const auto found = mPools.find(aTarget);
  return found != mPools.end() && found->second.mIdle.empty() &&
         found->second.mBusy >= aLimit;
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
                               time_point aNow)
{
  for (auto& [name, found] : mPools) {
    pool& each = found;
    const known_target* known = aDirectory.Find(name);
    const bool unused = known == nullptr || !known->IsUsable();
    std::erase_if(each.mIdle, [&](const idle_connection& aIdle) {
      return unused || !aIdle.mConnection->IsOpen() ||
             aNow - aIdle.mSince >= each.mKeepAlive - kCloseMargin;
    });
    // The oldest come first.
    while (each.mIdle.size() > kMaxSpare &&
           aNow - each.mIdle.front().mSince >= kSpareTime) {
      each.mIdle.erase(each.mIdle.begin());
    }
  }
  Retain(aDirectory);
}

bool target_connections::DropBroken(const target_name& aTarget, time_point aNow)
{
  const auto found = mPools.find(aTarget);
  if (found == mPools.end()) {
    return false;
  }
  pool& each = found->second;
  const auto isOld = [&](const idle_connection& aIdle) {
    return aNow - aIdle.mSince >= each.mKeepAlive - kCloseMargin;
  };
  // Targets close what has been idle for long, so an old connection says
  // nothing while there are others.
  if (!std::all_of(each.mIdle.begin(), each.mIdle.end(), isOld)) {
    std::erase_if(each.mIdle, isOld);
  }
  return std::erase_if(each.mIdle, [](const idle_connection& aIdle) {
           return !aIdle.mConnection->IsOpen();
         }) > 0;
}

void target_connections::Retain(const target_directory& aDirectory)
{
  std::erase_if(mPools, [&](const auto& aPool) {
    return aPool.second.mBusy == 0 && aDirectory.Find(aPool.first) == nullptr;
  });
}

} // namespace parsleystair
