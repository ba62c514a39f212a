#include "Parsleystair/Operator/BlockingCalls.h"

#include "Parsleystair/Operator/CommandResult.h"

#include <algorithm>
#include <optional>

namespace parsleystair {

namespace {

constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusNotFound = 404;

/// A dump of a router with 65,536 slots is some 10 MB.
constexpr uint32_t kMaxRouterAnswerBytes = 64 * 1024 * 1024;

/// Bounds of one call to the store. Two values of 1 MB take 0.7 s of the link
/// between regions; a quarter of the command's time leaves room for a retry.
constexpr duration kShortestStoreTimeout = 1s;
constexpr duration kLongestStoreTimeout = 3s;

etcd_store_settings StoreSettings(const socket_address& aAddress,
                                  duration aLimit)
{
  etcd_store_settings settings;
  settings.mHost = aAddress.mHost;
  settings.mPort = aAddress.mPort;
  settings.mConnections = 1;
  settings.mTimeout =
    std::clamp(aLimit / 4, kShortestStoreTimeout, kLongestStoreTimeout);
  return settings;
}

/// Runs the loop until the callback that `aStart` gets has been called.
template<typename Reply, typename Start>
Reply WaitFor(event_loop& aLoop, const Start& aStart)
{
  std::optional<Reply> reply;
  aStart([&](Reply aReply) {
    reply = std::move(aReply);
    aLoop.Stop();
  });
  while (!reply.has_value()) {
    aLoop.Run();
  }
  return std::move(*reply);
}

} // namespace

blocking_store::blocking_store(event_loop& aLoop,
                               const socket_address& aAddress,
                               duration aLimit)
  : mLoop(aLoop)
  , mAddress(aAddress)
  , mStore(aLoop, StoreSettings(aAddress, aLimit))
{
}

range_reply blocking_store::Range(const range_request& aRequest)
{
  return WaitFor<range_reply>(
    mLoop, [&](auto aCallback) { mStore.Range(aRequest, aCallback); });
}

transaction_reply blocking_store::Transact(const transaction_request& aRequest)
{
  return WaitFor<transaction_reply>(
    mLoop, [&](auto aCallback) { mStore.Transact(aRequest, aCallback); });
}

range_reply blocking_store::Read(const range_request& aRequest)
{
  range_reply reply = Range(aRequest);
  if (reply.mStatus != store_status::kReplied) {
    throw command_error(
      exit_code::kUnreachable,
      "the platform at " + Describe(mAddress) + " does not answer",
      "check --platform, or try again when the platform is up");
  }
  return reply;
}

blocking_router::blocking_router(event_loop& aLoop,
                                 const socket_address& aAddress,
                                 duration aTimeout)
  : mLoop(aLoop)
  , mAddress(aAddress)
  , mTimeout(aTimeout)
  , mConnection(
      aLoop,
      aAddress.mHost,
      aAddress.mPort,
      http_connection_settings{ .mMaxBodyBytes = kMaxRouterAnswerBytes })
{
}

http_result blocking_router::Get(const std::string& aPath,
                                 const std::string& aQuery)
{
  http_request request;
  request.mMethod = "GET";
  request.mPath = aPath;
  request.mQuery = aQuery;
  request.mHeaders = { { "Host", Describe(mAddress) } };
  return WaitFor<http_result>(mLoop, [&](auto aCallback) {
    mConnection.Call(request, mTimeout, aCallback);
  });
}

std::string blocking_router::Read(const std::string& aPath,
                                  const std::string& aQuery,
                                  bool* aFound)
{
  http_result result = Get(aPath, aQuery);
  if (result.mStatus != http_status::kResponded) {
    throw command_error(
      exit_code::kUnreachable,
      "the router at " + Describe(mAddress) + " does not answer",
      "check --router, or give the operators' address of another router");
  }
  const uint32_t status = result.mResponse.mStatus;
  if (aFound != nullptr) {
    *aFound = status != kStatusNotFound;
  }
  if (status != kStatusOk && (aFound == nullptr || status != kStatusNotFound)) {
    throw command_error(
      exit_code::kUnreachable,
      "the router at " + Describe(mAddress) + " answers GET " + aPath +
        " with status " + std::to_string(status),
      "check that --router is the operators' address of a router");
  }
  return std::move(result.mResponse.mBody);
}

void Pause(event_loop& aLoop, duration aTime)
{
  timer pause;
  pause.StartOnce(aLoop, aTime, [&] { aLoop.Stop(); });
  aLoop.Run();
}

std::string Describe(const socket_address& aAddress)
{
  const bool isV6 = aAddress.mHost.find(':') != std::string::npos;
  return (isV6 ? "[" + aAddress.mHost + "]" : aAddress.mHost) + ":" +
         std::to_string(aAddress.mPort);
}

} // namespace parsleystair
