#include "Daemons/Program.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/GatewayTask.h"
#include "platform/Catalog.h"
#include "platform/KvStore.h"
#include "platform/Protocols.h"

#include <csignal>
#include <cstdlib>

using namespace parsleystair;

namespace {

/// The platform passes the path of the settings file here.
constexpr const char* kSettingsVariable = "PARSLEYSTAIR_NODE_FILE";

void Run(const gateway_settings& aSettings)
{
  event_loop loop;
  platform::kv_store store(
    loop, aSettings.mStore.mHost, aSettings.mStore.mPort);
  const platform::catalog catalog;
  const platform::wire_requests requests;
  const platform::wire_orders orders;
  const uint64_t seed = RandomSeed();
  gateway_task gateway(
    loop, aSettings, { store, catalog, requests, orders }, seed);
  const signal_handler terminate(loop, SIGTERM, [&] { gateway.Shutdown(); });
  const signal_handler interrupt(loop, SIGINT, [&] { gateway.Shutdown(); });
  log_line(log_severity::kInfo, "started")
    .Add("vm", aSettings.mVm.Value())
    .Add("version", PARSLEYSTAIR_VERSION)
    .Add("incarnation", seed);
  loop.Run();
}

} // namespace

int main(int aCount, char** aArguments)
{
  const char* path = std::getenv(kSettingsVariable);
  return RunProgram(
    { "parsleystair_gateway",
      "Router for servers that own keys exclusively, on the users' platform",
      path == nullptr ? "" : path },
    aCount,
    aArguments,
    LoadGatewaySettings,
    Run);
}
