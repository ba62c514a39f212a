#include "Daemons/Program.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/GatewayTask.h"
#include "platform/Catalog.h"
#include "platform/KvStore.h"
#include "platform/Protocols.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>

using namespace parsleystair;

namespace {

/// The platform passes the path of the settings file here.
constexpr const char* kSettingsVariable = "PARSLEYSTAIR_NODE_FILE";

/// Reads the settings again on request and when the file has changed: the
/// platform changes it with and without a signal.
class settings_reloader
{
public:
  settings_reloader(event_loop& aLoop,
                    std::string aPath,
                    gateway_task& aGateway)
    : mPath(std::move(aPath))
    , mGateway(aGateway)
    , mSeen(FileTime())
  {
    constexpr duration kCheckInterval = 1s;
    mTimer.StartRepeating(aLoop, kCheckInterval, [this] {
      if (FileTime() != mSeen) {
        Reload();
      }
    });
  }

  void Reload()
  {
    mSeen = FileTime();
    try {
      mGateway.ApplySettings(LoadGatewaySettings(mPath));
    } catch (const error& exception) {
      log_line(log_severity::kError, "settings_unusable")
        .Add("error", exception.what());
    }
  }

private:
  [[nodiscard]] std::filesystem::file_time_type FileTime() const
  {
    // A file that is missing for a moment counts as changed when it is back.
    std::error_code failure;
    return std::filesystem::last_write_time(mPath, failure);
  }

  std::string mPath;
  gateway_task& mGateway;
  std::filesystem::file_time_type mSeen;
  timer mTimer;
};

void Run(const gateway_settings& aSettings, const std::string& aPath)
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
  settings_reloader reloader(loop, aPath, gateway);
  const signal_handler reload(loop, SIGHUP, [&] { reloader.Reload(); });
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
