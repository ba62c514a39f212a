#include "Daemons/Program.h"
#include "Parsleystair/Tasks/ControlTask.h"

#include <csignal>

using namespace parsleystair;

namespace {

void Run(const router_settings& aSettings, const std::string& /*aPath*/)
{
  event_loop loop;
  control_task control(loop, aSettings, RandomSeed());
  const signal_handler terminate(loop, SIGTERM, [&] { control.Shutdown(); });
  const signal_handler interrupt(loop, SIGINT, [&] { control.Shutdown(); });
  log_line(log_severity::kInfo, "started")
    .Add("vm", aSettings.mVm.Value())
    .Add("version", PARSLEYSTAIR_VERSION)
    .Add("callers_port", int{ aSettings.mCallers.mPort });
  loop.Run();
}

} // namespace

int main(int aCount, char** aArguments)
{
  return RunProgram(
    { "parsleystaird", "Router for servers that own keys exclusively", "" },
    aCount,
    aArguments,
    LoadRouterSettings,
    Run);
}
