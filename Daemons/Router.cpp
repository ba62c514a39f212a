#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Tasks/ControlTask.h"

#include <csignal>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>
#include <random>

using namespace parsleystair;

namespace {

constexpr int kUsageExitCode = 2;

cxxopts::Options MakeOptions()
{
  cxxopts::Options options("parsleystaird",
                           "Router for servers that own keys exclusively");
  options.add_options()                                               //
    ("settings", "JSON settings file", cxxopts::value<std::string>()) //
    ("check", "Check the settings and end")                           //
    ("log-level",
     "debug, info, warning or error",
     cxxopts::value<std::string>()->default_value("info")) //
    ("version", "Show the version")                        //
    ("help", "Show this text");
  return options;
}

uint64_t RandomSeed()
{
  constexpr unsigned kHalf = 32;
  std::random_device device;
  return (uint64_t{ device() } << kHalf) | device();
}

/// A signal event that calls Shutdown on the control task.
class signal_handler
{
public:
  signal_handler(event_loop& aLoop, int aSignal, control_task& aTask)
    : mEvent(evsignal_new(
        aLoop.Base(),
        aSignal,
        [](evutil_socket_t, short, void* aArgument) {
          static_cast<control_task*>(aArgument)->Shutdown();
        },
        &aTask))
  {
    event_add(mEvent, nullptr);
  }
  ~signal_handler() { event_free(mEvent); }
  signal_handler(const signal_handler&) = delete;
  signal_handler& operator=(const signal_handler&) = delete;

private:
  event* mEvent;
};

void Run(const router_settings& aSettings)
{
  event_loop loop;
  control_task control(loop, aSettings, RandomSeed());
  const signal_handler terminate(loop, SIGTERM, control);
  const signal_handler interrupt(loop, SIGINT, control);
  log_line(log_severity::kInfo, "started")
    .Add("vm", aSettings.mVm.Value())
    .Add("version", PARSLEYSTAIR_VERSION)
    .Add("callers_port", int{ aSettings.mCallers.mPort });
  loop.Run();
}

int RunCommand(const cxxopts::ParseResult& aArguments,
               const cxxopts::Options& aOptions)
{
  if (aArguments.count("help") > 0) {
    std::cout << aOptions.help();
    return 0;
  }
  if (aArguments.count("version") > 0) {
    std::cout << "parsleystaird " << PARSLEYSTAIR_VERSION << "\n";
    return 0;
  }
  const log_severity severity =
    ParseLogSeverity(aArguments["log-level"].as<std::string>());
  if (aArguments.count("settings") == 0) {
    throw value_error("--settings", "nothing", "the path of a JSON file");
  }
  const router_settings settings =
    LoadRouterSettings(aArguments["settings"].as<std::string>());
  if (aArguments.count("check") > 0) {
    std::cout << "settings are valid\n";
    return 0;
  }
  StartLog(severity);
  Run(settings);
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    return RunCommand(options.parse(aCount, aArguments), options);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "parsleystaird: " << exception.what() << "\n";
    return kUsageExitCode;
  } catch (const value_error& exception) {
    std::cerr << "parsleystaird: " << exception.what() << "\n";
    return kUsageExitCode;
  } catch (const error& exception) {
    std::cerr << "parsleystaird: " << exception.what() << "\n";
    return 1;
  }
}
