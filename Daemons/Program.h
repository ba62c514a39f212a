#pragma once

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Log.h"

#include <cxxopts.hpp>
#include <event2/event.h>
#include <functional>
#include <iostream>
#include <random>

namespace parsleystair {

/// What the daemons' main functions have in common: arguments, signals, errors.

struct program_description
{
  std::string mName;
  std::string mPurpose;
  /// Path of the settings when the command line names none; may be empty.
  std::string mDefaultSettings;
};

/// Calls a function on the loop when a signal arrives.
class signal_handler
{
public:
  signal_handler(event_loop& aLoop,
                 int aSignal,
                 std::function<void()> aCallback)
    : mCallback(std::move(aCallback))
    , mEvent(evsignal_new(
        aLoop.Base(),
        aSignal,
        [](evutil_socket_t, short, void* aArgument) {
          static_cast<signal_handler*>(aArgument)->mCallback();
        },
        this))
  {
    event_add(mEvent, nullptr);
  }
  ~signal_handler() { event_free(mEvent); }
  signal_handler(const signal_handler&) = delete;
  signal_handler& operator=(const signal_handler&) = delete;

private:
  std::function<void()> mCallback;
  event* mEvent;
};

inline uint64_t RandomSeed()
{
  constexpr unsigned kHalf = 32;
  std::random_device device;
  return (uint64_t{ device() } << kHalf) | device();
}

/// Reads the command line, loads the settings and runs the program. Returns the
/// exit code: 0, 1 for a failure, 2 for wrong arguments or settings.
template<typename Loader, typename Runner>
int RunProgram(const program_description& aProgram,
               int aCount,
               char** aArguments,
               Loader aLoad,
               Runner aRun)
{
  constexpr int kUsageExitCode = 2;
  cxxopts::Options options(aProgram.mName, aProgram.mPurpose);
  options.add_options()                                               //
    ("settings", "JSON settings file", cxxopts::value<std::string>()) //
    ("check", "Check the settings and end")                           //
    ("log-level",
     "debug, info, warning or error",
     cxxopts::value<std::string>()->default_value("info")) //
    ("version", "Show the version")                        //
    ("help", "Show this text");
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (arguments.count("version") > 0) {
      std::cout << aProgram.mName << " " << PARSLEYSTAIR_VERSION << "\n";
      return 0;
    }
    const log_severity severity =
      ParseLogSeverity(arguments["log-level"].as<std::string>());
    const std::string path = arguments.count("settings") > 0
                               ? arguments["settings"].as<std::string>()
                               : aProgram.mDefaultSettings;
    if (path.empty()) {
      throw value_error("--settings", "nothing", "the path of a JSON file");
    }
    const auto settings = aLoad(path);
    if (arguments.count("check") > 0) {
      std::cout << "settings are valid\n";
      return 0;
    }
    StartLog(severity);
    aRun(settings, path);
    return 0;
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << aProgram.mName << ": " << exception.what() << "\n";
    return kUsageExitCode;
  } catch (const value_error& exception) {
    std::cerr << aProgram.mName << ": " << exception.what() << "\n";
    return kUsageExitCode;
  } catch (const std::exception& exception) {
    // The state of the tasks may be wrong after an exception that none of them
    // expects, so the program ends.
    std::cerr << aProgram.mName << ": " << exception.what() << "\n";
    log_line(log_severity::kError, "program_failed")
      .Add("error", exception.what());
    return 1;
  }
}

} // namespace parsleystair
