#include "review/support-2/World.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;
using parsleystair::http_request;
using parsleystair::http_result;
using parsleystair::http_status;

constexpr const char* kStoreHost = "127.0.0.1";
constexpr const char* kUpstreamHost = "127.0.0.1";
constexpr const char* kRouteHost = "hulo84.example";
constexpr const char* kZones =
  R"({"asti-a":"piemonte","treviso-a":"veneto","alba-b":"piemonte",)"
  R"("verona-b":"veneto"})";
constexpr duration kHeartbeat = std::chrono::milliseconds(870);
/// `value_bytes` of the store.
constexpr size_t kValueBytes = 1'048'576;

std::string VersionText(uint32_t aVersion)
{
  char text[16]; // NOLINT: filled by snprintf
  std::snprintf(text, sizeof(text), "%08x", aVersion);
  return text;
}

std::string ZoneOf(size_t aNumber)
{
  return aNumber % 2 == 0 ? "asti-a" : "treviso-a";
}

} // namespace

world::world(const std::string& aRecordPath,
             const std::string& aDirectory,
             size_t aMachines,
             uint32_t aMemoryMegabytes)
  : mRecord(aRecordPath)
  , mStore(mLoop)
{
  // The stand-ins of all sides share the loop; its budget is no part of a test.
  constexpr size_t kBudget = size_t{ 1 } << 30;
  mLoop.Bytes().SetLimit(kBudget);
  mStore.Listen(kStoreHost);
  const machine_ports ports = FindPorts();
  for (size_t i = 0; i < aMachines; ++i) {
    machine_settings settings;
    settings.mName = "front-" + std::to_string(i + 1);
    settings.mHost = "127.0.8." + std::to_string(i + 1);
    settings.mZone = ZoneOf(i);
    settings.mZones = kZones;
    settings.mPorts = ports;
    settings.mStorePort = mStore.Port();
    settings.mMemoryMegabytes = aMemoryMegabytes;
    mMachines.push_back(
      std::make_unique<machine>(mRecord, std::move(settings), aDirectory));
  }
}

void world::Deploy(const std::vector<world_service>& aServices,
                   const std::vector<world_route>& aRoutes,
                   uint64_t aMaxBodyBytes)
{
  mServices = aServices;
  mMaxBodyBytes = aMaxBodyBytes;
  for (const world_service& service : aServices) {
    for (size_t i = 0; i < service.mUpstreams; ++i) {
      const std::string name = "i-" + service.mName + std::to_string(i + 1);
      mUpstreams.push_back(std::make_unique<upstream>(
        mLoop, mRecord, name, kUpstreamHost, service.mKeyed));
      mUpstreams.back()->SetWork(service.mWork);
      mPlaces.emplace_back(service.mName, ZoneOf(i));
    }
  }
  WriteConfiguration(aRoutes);
  Beat();
  mBeatTimer.StartRepeating(mLoop, kHeartbeat, [this] { Beat(); });
}

void world::Beat()
{
  for (size_t i = 0; i < mUpstreams.size(); ++i) {
    mStore.Put(
      "servers/" + mUpstreams[i]->Name(),
      mUpstreams[i]->Entry(mPlaces[i].first, mPlaces[i].second, "ready"));
  }
}

std::string world::Render(const std::vector<world_route>& aRoutes)
{
  json listeners = json::array();
  for (const world_route& route : aRoutes) {
    const json rule = {
      { "name", "r-" + route.mName },
      { "kind", route.mKind },
      { "target_latency_s", parsleystair::ToSeconds(route.mLatencyTarget) },
      { "priority", 1 },
      { "match", { { "prefix", "/" + route.mName + "/" } } },
      { "action",
        { { "service", route.mService },
          { "timeout_s", parsleystair::ToSeconds(route.mTimeout) },
          { "max_attempts", route.mMaxAttempts } } }
    };
    const std::string host = route.mHost.empty() ? kRouteHost : route.mHost;
    listeners.push_back(
      { { "host", host }, { "rules", json::array({ rule }) } });
  }
  json clusters = json::array();
  for (const world_service& service : mServices) {
    json cluster = { { "name", service.mName },
                     { "health_path", "/health" },
                     { "max_connections", 130 },
                     { "protocol", "h1" },
                     { "tls", false } };
    if (service.mKeyed) {
      cluster["sharded"] = true;
      cluster["warm_s"] = 5.0;
      cluster["grants"] = "call";
    }
    clusters.push_back(std::move(cluster));
  }
  std::string text = json{
    { "version", VersionText(++mVersion) },
    { "limits",
      { { "max_header_bytes", 16384 },
        { "max_body_bytes", mMaxBodyBytes },
        { "header_timeout_s", 3 },
        { "idle_timeout_s", 15 } } },
    { "listeners", listeners },
    { "clusters", clusters }
  }.dump();
  if (text.size() > kValueBytes) {
    throw std::runtime_error("the store would not take the config");
  }
  return text;
}

std::string world::Renew(std::string aConfiguration)
{
  constexpr std::string_view kVersion = "\"version\":\"";
  constexpr std::string_view kTimeout = "\"timeout_s\":1.00";
  constexpr uint32_t kDecimal = 10;
  ++mVersion;
  const size_t version = aConfiguration.rfind(kVersion) + kVersion.size();
  const std::string text = VersionText(mVersion);
  aConfiguration.replace(version, text.size(), text);
  const size_t timeout = aConfiguration.rfind(kTimeout) + kTimeout.size();
  aConfiguration[timeout] = static_cast<char>('0' + mVersion % kDecimal);
  return aConfiguration;
}

void world::Write(const std::string& aConfiguration)
{
  mStore.Put("op/config", aConfiguration);
  mRecord.Add("config of", aConfiguration.size(), "bytes acknowledged");
}

world::client_connection& world::IdleConnection(size_t aMachine)
{
  for (client_connection& each : mConnections) {
    if (each.mMachine == aMachine && !each.mConnection->IsBusy()) {
      return each;
    }
  }
  const machine_settings& settings = mMachines[aMachine]->Settings();
  parsleystair::http_connection_settings client;
  client.mConnectTimeout = std::chrono::seconds(1);
  mConnections.push_back(
    { aMachine,
      std::make_unique<parsleystair::http_connection>(
        mLoop, settings.mHost, settings.mPorts.mCallers, client) });
  return mConnections.back();
}

std::string world::Send(size_t aMachine,
                        const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aKey,
                        const std::string& aBody,
                        duration aDeadline,
                        client_handler aHandler)
{
  char id[24]; // NOLINT: filled by snprintf
  std::snprintf(
    id, sizeof(id), "%016llx", static_cast<unsigned long long>(mNextId++));
  http_request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mHeaders = { { "Host", kRouteHost },
                       { "X-Request-Id", id },
                       { "X-Deadline-Ms",
                         std::to_string(aDeadline /
                                        std::chrono::milliseconds(1)) } };
  if (!aKey.empty()) {
    request.mHeaders.push_back({ "X-Shard-Key", aKey });
  }
  request.mBody = aBody;
  IdleConnection(aMachine).mConnection->Call(
    request,
    aDeadline,
    [id = std::string(id), handler = std::move(aHandler)](http_result aResult) {
      client_end end;
      end.mId = id;
      end.mFailure = aResult.mFailure;
      end.mTimedOut = aResult.mTimedOut;
      if (aResult.mStatus == http_status::kResponded) {
        end.mStatus = aResult.mResponse.mStatus;
        end.mAnswer = std::move(aResult.mResponse);
      }
      handler(end);
    });
  return id;
}

void world::Run(duration aTime)
{
  mRunTimer.StartOnce(mLoop, aTime, [this] { mLoop.Stop(); });
  mLoop.Run();
}

} // namespace review
