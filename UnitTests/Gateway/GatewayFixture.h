#pragma once

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Gateway/GatewayTask.h"
#include "StandIns/standin_users_platform/CallerMessages.h"
#include "StandIns/standin_users_platform/KeyedTarget.h"
#include "StandIns/standin_users_platform/KvServer.h"
#include "StandIns/standin_users_platform/OperatorConfiguration.h"
#include "StandIns/standin_users_platform/UnreliableStore.h"
#include "platform/Catalog.h"
#include "platform/KvStore.h"
#include "platform/Protocols.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleystair {

/// Returns a TCP port of the loopback interface that is currently unused. The
/// ports of a process are below those that the system gives to connections, and
/// processes that run side by side use different ones, so that nobody else
/// takes the port before the gateway listens.
inline uint16_t FreePort()
{
  constexpr uint32_t kFirstPort = 10'000;
  constexpr uint32_t kPortsPerProcess = 64;
  constexpr uint32_t kProcesses = 350;
  static uint32_t sNext = 0;
  const uint32_t first = kFirstPort + static_cast<uint32_t>(getpid()) %
                                        kProcesses * kPortsPerProcess;
  for (uint32_t attempt = 0; attempt < kPortsPerProcess; ++attempt) {
    const auto port = static_cast<uint16_t>(first + sNext++ % kPortsPerProcess);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result = ::bind(
      descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(descriptor);
    if (result == 0) {
      return port;
    }
  }
  ADD_FAILURE() << "no unused port from " << first;
  return 0;
}

/// The platform's orders, with a header that names the gateway that sent them.
class sender_orders : public platform::wire_orders
{
public:
  explicit sender_orders(std::string aSender)
    : mSender(std::move(aSender))
  {
  }

  [[nodiscard]] http_request GrantRequest(
    const grant_order& aOrder,
    const std::string& aRequestId) const override
  {
    return AddSender(platform::wire_orders::GrantRequest(aOrder, aRequestId));
  }
  [[nodiscard]] http_request ReleaseRequest(
    const release_order& aOrder,
    const std::string& aRequestId) const override
  {
    return AddSender(platform::wire_orders::ReleaseRequest(aOrder, aRequestId));
  }

private:
  [[nodiscard]] http_request AddSender(http_request aRequest) const
  {
    aRequest.mHeaders.push_back({ kSenderHeader, mSender });
    return aRequest;
  }

  std::string mSender;
};

/// A gateway with its settings, its store client and its orders.
struct gateway_instance
{
  gateway_settings mSettings;
  std::unique_ptr<platform::kv_store> mStoreClient;
  std::unique_ptr<unreliable_store> mStore;
  std::unique_ptr<sender_orders> mOrders;
  std::unique_ptr<gateway_task> mTask;
};

/// Runs a store, gateways and the targets of three services in one event loop:
/// a plain service, a service with non-idempotent requests and a keyed service.
class gateway_test : public testing::Test
{
protected:
  static constexpr duration kTimeout = 20s;

  gateway_test()
    : mKv(mLoop)
  {
    mKv.Listen("127.0.0.1", 0);
    AddTarget("plain-1", "plain", false);
    AddTarget("plain-2", "plain", false);
    AddTarget("orders-1", "orders", false);
    AddTarget("orders-2", "orders", false);
    AddTarget("keyed-1", "keyed", true);
    AddTarget("keyed-2", "keyed", true);
    PutConfiguration(1);
  }

  void AddTarget(const std::string& aName,
                 const std::string& aService,
                 bool aKeyed,
                 const std::string& aZone = "asti-a")
  {
    auto target = std::make_unique<keyed_target>(mLoop, aName, aKeyed);
    target->SetZone(aZone);
    target->Listen("127.0.0.1", 0);
    mKv.Put(TargetKey(aName), target->Entry(aService, "ready"));
    mTargets[aName] = std::move(target);
  }

  /// Stores the operator configuration. `aTimeout`: timeout of the route to the
  /// plain service.
  void PutConfiguration(uint32_t aVersion, duration aTimeout = 5s)
  {
    mKv.Put(kConfigurationKey,
            EncodeOperatorConfiguration(
              aVersion,
              { { "read", true, "plain", aTimeout },
                { "order", false, "orders" },
                { "history", true, "keyed" } },
              { { "plain" }, { "orders" }, { "keyed", true } }));
  }

  /// Starts a gateway and waits until it is ready. `aHost`: loopback address of
  /// the gateway. `aPeersPort`: port for connections from other gateways, 0 for
  /// any free port. `aAnnouncedPort`: port to which other gateways connect
  /// instead, 0 for `aPeersPort`.
  gateway_instance& StartGateway(const std::string& aName,
                                 const std::string& aHost = "127.0.0.1",
                                 uint16_t aPeersPort = 0,
                                 uint16_t aAnnouncedPort = 0)
  {
    gateway_instance& gateway = mGateways[aName];
    gateway_settings& settings = gateway.mSettings;
    settings.mVm = vm_name(aName);
    settings.mFailureDomain = failure_domain_name("asti-a");
    settings.mRegions = {
      { settings.mFailureDomain, region_name("piemonte") },
      { failure_domain_name("verona-b"), region_name("veneto") },
      { failure_domain_name("verona-c"), region_name("veneto") }
    };
    settings.mCallers = { aHost, FreePort() };
    settings.mReadiness = { aHost, FreePort() };
    settings.mOperators = { aHost, FreePort() };
    settings.mPeers = { aHost, aPeersPort == 0 ? FreePort() : aPeersPort };
    settings.mStore = { "127.0.0.1", mKv.Port() };
    settings.mShutdownGrace = 4s;
    gateway.mStoreClient = std::make_unique<platform::kv_store>(
      mLoop, settings.mStore.mHost, settings.mStore.mPort);
    gateway.mStore =
      std::make_unique<unreliable_store>(mLoop, *gateway.mStoreClient);
    if (aAnnouncedPort != 0) {
      gateway.mStore->TranslatePort(settings.mPeers.mPort, aAnnouncedPort);
    }
    gateway.mOrders = std::make_unique<sender_orders>(aName);
    gateway.mTask = std::make_unique<gateway_task>(
      mLoop,
      settings,
      gateway_platform{
        *gateway.mStore, mCatalog, mRequests, *gateway.mOrders },
      mNextSeed += 100);
    EXPECT_TRUE(RunUntil([&] { return gateway.mTask->IsReady(); }));
    return gateway;
  }

  void StopGateway(const std::string& aName) { mGateways.erase(aName); }

  /// Runs the loop until a condition holds or `kTimeout` has passed. Returns
  /// whether the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const time_point deadline = MonotonicNow() + kTimeout;
    timer poll;
    poll.StartRepeating(mLoop, 5ms, [&] {
      if (aCondition() || MonotonicNow() > deadline) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
    return aCondition();
  }

  void RunFor(duration aDuration)
  {
    const time_point end = MonotonicNow() + aDuration;
    RunUntil([&] { return MonotonicNow() >= end; });
  }

  static http_request Request(const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aId)
  {
    return CallerRequest(aMethod, aPath, aId, 4s);
  }

  http_result Call(const gateway_instance& aGateway,
                   const http_request& aRequest)
  {
    http_connection connection(mLoop,
                               aGateway.mSettings.mCallers.mHost,
                               aGateway.mSettings.mCallers.mPort);
    std::optional<http_result> result;
    connection.Call(aRequest, kTimeout, [&](const http_result& aResult) {
      result = aResult;
    });
    RunUntil([&] { return result.has_value(); });
    return result.value_or(http_result());
  }

  /// Returns how many times a request ran, summed over all targets.
  [[nodiscard]] size_t RunCount(const std::string& aId) const
  {
    size_t count = 0;
    for (const auto& [name, target] : mTargets) {
      count += static_cast<size_t>(
        std::count(target->Ran().begin(), target->Ran().end(), aId));
    }
    return count;
  }

  /// Waits until a target holds key 100 and requests for that key succeed.
  void WaitForKeyOwner(const gateway_instance& aGateway)
  {
    uint32_t attempts = 0;
    EXPECT_TRUE(RunUntil([&] {
      return mTargets.at("keyed-1")->Holds(100) ||
             mTargets.at("keyed-2")->Holds(100);
    }));
    http_request request = Request("GET", "/history/a", "");
    do {
      request.mHeaders[1].mValue = "warm-up-" + std::to_string(++attempts);
      request.mHeaders.push_back({ "X-Shard-Key", "100" });
    } while (Call(aGateway, request).mResponse.mStatus != 200 &&
             attempts < 100);
  }

  event_loop mLoop;
  kv_server mKv;
  std::map<std::string, std::unique_ptr<keyed_target>> mTargets;
  const platform::catalog mCatalog;
  const platform::wire_requests mRequests;
  uint64_t mNextSeed = 1000;
  std::map<std::string, gateway_instance> mGateways;
};

} // namespace parsleystair
