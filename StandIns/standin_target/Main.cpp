#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "StandIns/standin_target/TargetServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

using namespace parsleystair;

namespace {

constexpr int kUsageExitCode = 2;

duration Milliseconds(double aCount)
{
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return duration(static_cast<int64_t>(aCount * kMicrosecondsPerMillisecond));
}

cxxopts::Options MakeOptions()
{
  cxxopts::Options options("standin_target",
                           "Stand-in for a server that owns keys; for tests");
  options.add_options()("name", "Target name", cxxopts::value<std::string>())(
    "host",
    "IP address",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port", "TCP port", cxxopts::value<uint16_t>())(
    "concurrency",
    "Requests at a time",
    cxxopts::value<uint32_t>()->default_value("4"))(
    "max-queue",
    "Requests that wait",
    cxxopts::value<uint32_t>()->default_value("64"))(
    "service-time-ms",
    "Mean time of a request",
    cxxopts::value<double>()->default_value("1"))(
    "cold-ms",
    "Time of slow answers after the start",
    cxxopts::value<double>()->default_value("0"))(
    "ignore-grants", "Run requests whatever their slot and fence")(
    "seed",
    "Seed of the service times",
    cxxopts::value<uint64_t>()->default_value("1"))("help", "Show this text");
  return options;
}

target_server_settings ReadSettings(const cxxopts::ParseResult& aArguments)
{
  target_server_settings settings;
  settings.mName = aArguments["name"].as<std::string>();
  settings.mHost = aArguments["host"].as<std::string>();
  settings.mPort = aArguments["port"].as<uint16_t>();
  settings.mConcurrency = aArguments["concurrency"].as<uint32_t>();
  settings.mMaxQueue = aArguments["max-queue"].as<uint32_t>();
  settings.mServiceTime =
    Milliseconds(aArguments["service-time-ms"].as<double>());
  settings.mColdTime = Milliseconds(aArguments["cold-ms"].as<double>());
  settings.mChecksGrants = aArguments.count("ignore-grants") == 0;
  settings.mSeed = aArguments["seed"].as<uint64_t>();
  return settings;
}

void Run(const target_server_settings& aSettings)
{
  StartLog(log_severity::kInfo);
  event_loop loop;
  const target_server server(loop, aSettings);
  log_line(log_severity::kInfo, "listening")
    .Add("target", aSettings.mName)
    .Add("port", server.Port());
  const auto stop = [](evutil_socket_t, short, void* aLoop) {
    static_cast<event_loop*>(aLoop)->Stop();
  };
  event* terminate = evsignal_new(loop.Base(), SIGTERM, stop, &loop);
  event_add(terminate, nullptr);
  loop.Run();
  event_free(terminate);
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    Run(ReadSettings(arguments));
    return 0;
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << exception.what() << "\n" << options.help();
    return kUsageExitCode;
  } catch (const error& exception) {
    std::cerr << exception.what() << "\n";
    return 1;
  }
}
