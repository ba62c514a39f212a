#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "StandIns/standin_platform/PlatformServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <event2/event.h>
#include <iostream>

namespace parsleystair {

namespace {

constexpr int kUsageExitCode = 2;

cxxopts::Options MakeOptions()
{
  cxxopts::Options options(
    "standin_platform",
    "Stand-in of the platform for tests, demo and load: etcd's v3 JSON "
    "key-value\nstore, a lagging VM list (/vms), call counts (GET /stats) and "
    "fault switches\n(POST /faults). Its state is in memory only.");
  options.add_options()(
    "host",
    "IP address to listen on",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port",
    "TCP port to listen on; 0 takes a free one",
    cxxopts::value<std::string>()->default_value("2379"))(
    "control-port",
    "second TCP port for /stats, /faults and /vms/NAME, which stays open while "
    "the first refuses connections; 0 for none",
    cxxopts::value<std::string>()->default_value("0"))(
    "list-lag-ms",
    "how far the VM list lags behind",
    cxxopts::value<std::string>()->default_value("2000"))(
    "history",
    "revisions that are kept before compaction",
    cxxopts::value<std::string>()->default_value("1000"))(
    "help", "print this text and exit");
  return options;
}

uint64_t ReadNumber(const cxxopts::ParseResult& aArguments,
                    const std::string& aName,
                    uint64_t aMin,
                    uint64_t aMax)
{
  const std::string text = aArguments[aName].as<std::string>();
  const std::string allowed =
    std::to_string(aMin) + " to " + std::to_string(aMax);
  constexpr size_t kMaxDigits = 18;
  if (text.empty() || text.size() > kMaxDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    throw value_error("--" + aName, text, allowed);
  }
  const uint64_t number = std::stoull(text);
  if (number < aMin || number > aMax) {
    throw value_error("--" + aName, text, allowed);
  }
  return number;
}

platform_server_settings ReadSettings(const cxxopts::ParseResult& aArguments)
{
  constexpr uint64_t kMaxLagMs = 3'600'000;
  constexpr uint64_t kMaxHistory = 1'000'000;
  platform_server_settings settings;
  settings.mHost = aArguments["host"].as<std::string>();
  settings.mPort =
    static_cast<uint16_t>(ReadNumber(aArguments, "port", 0, UINT16_MAX));
  settings.mControlPort = static_cast<uint16_t>(
    ReadNumber(aArguments, "control-port", 0, UINT16_MAX));
  settings.mListLag = std::chrono::milliseconds(
    ReadNumber(aArguments, "list-lag-ms", 0, kMaxLagMs));
  settings.mHistory = ReadNumber(aArguments, "history", 1, kMaxHistory);
  return settings;
}

void Serve(const platform_server_settings& aSettings)
{
  event_loop loop;
  const platform_server server(loop, aSettings);
  log_line(log_severity::kInfo, "listening")
    .Add("host", aSettings.mHost)
    .Add("port", static_cast<int>(server.Port()));
  event* terminate = evsignal_new(
    loop.Base(),
    SIGTERM,
    [](evutil_socket_t, short, void* aLoop) {
      static_cast<event_loop*>(aLoop)->Stop();
    },
    &loop);
  event_add(terminate, nullptr);
  loop.Run();
  event_free(terminate);
}

int Run(int aArgumentCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  const auto arguments = options.parse(aArgumentCount, aArguments);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  StartLog(log_severity::kInfo);
  Serve(ReadSettings(arguments));
  return 0;
}

} // namespace

} // namespace parsleystair

int main(int aArgumentCount, char** aArguments)
{
  try {
    return parsleystair::Run(aArgumentCount, aArguments);
  } catch (const std::exception& failure) {
    std::cerr << "standin_platform: " << failure.what() << "\n";
    return parsleystair::kUsageExitCode;
  }
}
