#include "PerformanceTest/parsleystair_load/LoadSettings.h"

#include "Parsleystair/Core/Error.h"

#include <charconv>
#include <cmath>
#include <cxxopts.hpp>
#include <sstream>

namespace parsleystair {

namespace {

using texts = std::vector<std::string>;

cxxopts::Options MakeOptions()
{
  cxxopts::Options options(
    "parsleystair_load",
    "Sends requests to routers at a fixed rate, whatever the answers, and "
    "accounts for\neach of them. Exit code 0: nothing wrong; 1: wrong answers, "
    "doubled runs, false\nrefusals, or an account that doesn't add up; 2: "
    "wrong "
    "argument.");
  const auto text = [](const char* aDefault) {
    return cxxopts::value<std::string>()->default_value(aDefault);
  };
  auto add = options.add_options();
  add("router", "router as HOST:PORT; repeatable", cxxopts::value<texts>());
  add("target",
      "target as HOST:PORT, asked at the end for GET /executions; repeatable",
      cxxopts::value<texts>());
  add("mix", "file with the request mix, in JSON", text(""));
  add("rate", "mean arrivals a second", text("100"));
  add("seconds", "length of the run", text("10"));
  add("connections", "keep-alive connections to all routers", text("100"));
  add("max-waiting", "requests that may wait for a connection", text("1000"));
  add("timeout-ms", "longest wait for an answer", text("5000"));
  add("keys", "number of keys, k1 (the hottest) to kN", text("1000"));
  add("zipf", "exponent of the key distribution", text("0.99"));
  add("hot", "hottest keys that get an extra share", text("0"));
  add("hot-share", "extra share of all requests for them", text("0.5"));
  add("seed", "seed of arrivals, kinds, keys and repeats", text("1"));
  add("json", "print the account as JSON");
  add("help", "print this text and exit");
  return options;
}

std::string Join(const texts& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += joined.empty() ? text : ", " + text;
  }
  return joined;
}

uint64_t ReadWhole(const cxxopts::ParseResult& aArguments,
                   const char* aName,
                   uint64_t aMin,
                   uint64_t aMax)
{
  const std::string text = aArguments[aName].as<std::string>();
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  if (fault != std::errc() || stop != end || number < aMin || number > aMax) {
    throw value_error(std::string("--") + aName,
                      text,
                      std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return number;
}

double ReadReal(const cxxopts::ParseResult& aArguments,
                const char* aName,
                double aMin,
                double aMax)
{
  const std::string text = aArguments[aName].as<std::string>();
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  if (fault != std::errc() || stop != end || !std::isfinite(number) ||
      number < aMin || number > aMax) {
    std::ostringstream allowed;
    allowed << aMin << " to " << aMax;
    throw value_error(std::string("--") + aName, text, allowed.str());
  }
  return number;
}

std::vector<endpoint_address> ReadEndpoints(
  const cxxopts::ParseResult& aArguments,
  const std::string& aName)
{
  std::vector<endpoint_address> endpoints;
  if (aArguments.count(aName) > 0) {
    for (const std::string& text : aArguments[aName].as<texts>()) {
      endpoints.push_back(ParseEndpoint("--" + aName, text));
    }
  }
  return endpoints;
}

cxxopts::ParseResult Parse(int aArgumentCount, const char* const* aArguments)
{
  try {
    return MakeOptions().parse(aArgumentCount, aArguments);
  } catch (const cxxopts::exceptions::exception& failure) {
    throw value_error("command line", failure.what(), "the options of --help");
  }
}

} // namespace

endpoint_address ParseEndpoint(const std::string& aName,
                               const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  uint32_t port = 0;
  if (colon != std::string::npos) {
    const char* end = aText.data() + aText.size();
    const auto [stop, fault] =
      std::from_chars(aText.data() + colon + 1, end, port);
    port = fault == std::errc() && stop == end ? port : 0;
  }
  if (port == 0 || port > UINT16_MAX || colon == 0) {
    throw value_error(aName, aText, "HOST:PORT, port 1 to 65535");
  }
  std::string host = aText.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  return { host, static_cast<uint16_t>(port) };
}

load_settings ParseLoadArguments(int aArgumentCount,
                                 const char* const* aArguments)
{
  constexpr double kMaxRate = 1'000'000;
  constexpr uint64_t kMaxSeconds = 86'400;
  constexpr uint64_t kMaxConnections = 20'000;
  constexpr uint64_t kMaxWaiting = 1'000'000;
  constexpr uint64_t kMaxTimeoutMs = 600'000;
  constexpr uint64_t kMaxKeys = 1'000'000'000;
  constexpr double kMaxZipf = 10;

  const cxxopts::ParseResult arguments = Parse(aArgumentCount, aArguments);
  load_settings settings;
  if (arguments.count("help") > 0) {
    settings.mHelp = true;
    return settings;
  }
  if (!arguments.unmatched().empty()) {
    throw value_error(
      "command line", Join(arguments.unmatched()), "the options of --help");
  }
  settings.mRouters = ReadEndpoints(arguments, "router");
  if (settings.mRouters.empty()) {
    throw value_error("--router", "none", "HOST:PORT, at least once");
  }
  settings.mTargets = ReadEndpoints(arguments, "target");
  settings.mMixFile = arguments["mix"].as<std::string>();
  if (settings.mMixFile.empty()) {
    throw value_error("--mix", "none", "a file with the request mix");
  }
  settings.mRate = ReadReal(arguments, "rate", 0.001, kMaxRate);
  settings.mLength =
    std::chrono::seconds(ReadWhole(arguments, "seconds", 1, kMaxSeconds));
  settings.mConnections = static_cast<uint32_t>(ReadWhole(
    arguments, "connections", settings.mRouters.size(), kMaxConnections));
  settings.mMaxWaiting =
    static_cast<uint32_t>(ReadWhole(arguments, "max-waiting", 0, kMaxWaiting));
  settings.mTimeout = std::chrono::milliseconds(
    ReadWhole(arguments, "timeout-ms", 1, kMaxTimeoutMs));
  settings.mKeys = ReadWhole(arguments, "keys", 1, kMaxKeys);
  settings.mZipf = ReadReal(arguments, "zipf", 0, kMaxZipf);
  settings.mHotKeys = ReadWhole(arguments, "hot", 0, settings.mKeys);
  settings.mHotShare = ReadReal(arguments, "hot-share", 0, 1);
  settings.mSeed = ReadWhole(arguments, "seed", 0, UINT64_MAX);
  settings.mJson = arguments.count("json") > 0;
  return settings;
}

std::string LoadHelp()
{
  return MakeOptions().help();
}

} // namespace parsleystair
