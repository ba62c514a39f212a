#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Settings/RouterSettings.h"
#include "StandIns/standin_users_platform/KeyedTarget.h"
#include "StandIns/standin_users_platform/KvServer.h"
#include "StandIns/standin_users_platform/OperatorConfiguration.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace parsleystair;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr size_t kMaxConfigurationBytes = 1024 * 1024;

/// Starts the targets of one service and writes their entries.
void AddTargets(event_loop& aLoop,
                kv_server& aStore,
                const std::string& aService,
                bool aKeyed,
                uint32_t aCount,
                std::vector<std::unique_ptr<keyed_target>>& aTargets)
{
  for (uint32_t i = 0; i < aCount; ++i) {
    const std::string name = aService + "-" + std::to_string(i + 1);
    aTargets.push_back(std::make_unique<keyed_target>(aLoop, name, aKeyed));
    keyed_target& target = *aTargets.back();
    target.Listen(kHost, 0);
    target.SetWork(5ms);
    aStore.Put(TargetKey(name), target.Entry(aService, "ready"));
  }
}

int Run(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_users_platform",
                           "Store and back ends of the users' platform");
  options.add_options()                                                   //
    ("port", "Port of the store", cxxopts::value<uint16_t>())             //
    ("config", "Operator's configuration", cxxopts::value<std::string>()) //
    ("targets",
     "Targets of each service",
     cxxopts::value<uint32_t>()->default_value("3"));
  const auto arguments = options.parse(aCount, aArguments);
  const std::string config =
    ReadTextFile(arguments["config"].as<std::string>(), kMaxConfigurationBytes);
  StartLog(log_severity::kInfo);
  event_loop loop;
  kv_server store(loop);
  store.Listen(kHost, arguments["port"].as<uint16_t>());
  store.Put(kConfigurationKey, config);
  std::vector<std::unique_ptr<keyed_target>> targets;
  for (const auto& service : nlohmann::json::parse(config).at("clusters")) {
    AddTargets(loop,
               store,
               service.at("name").get<std::string>(),
               service.value("sharded", false),
               arguments["targets"].as<uint32_t>(),
               targets);
  }
  log_line(log_severity::kInfo, "standin_started")
    .Add("port", int{ store.Port() })
    .Add("targets", uint64_t{ targets.size() });
  loop.Run();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& exception) {
    std::cerr << "standin_users_platform: " << exception.what() << "\n";
    return 1;
  }
}
