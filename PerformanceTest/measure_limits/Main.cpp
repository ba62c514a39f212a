#include "PerformanceTest/measure_limits/Simulation.h"

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

double Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

/// Median of each measure over the seeds 1 to `aSeeds`.
simulation_result MedianOver(simulation_settings aSettings, uint64_t aSeeds)
{
  std::vector<double> goodput;
  std::vector<double> p99;
  std::vector<double> shed;
  std::vector<double> wasted;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aSettings.mSeed = seed;
    const simulation_result result = Simulate(aSettings);
    goodput.push_back(result.mGoodput);
    p99.push_back(result.mP99Ms);
    shed.push_back(result.mShed);
    wasted.push_back(result.mWasted);
  }
  return { Median(goodput), Median(p99), Median(shed), Median(wasted) };
}

void PrintRow(const simulation_settings& aSettings,
              const simulation_result& aResult)
{
  std::printf("%10u  %6u  %7u  %4.1f  %-27s  %7.3f  %7.0f  %5.1f%%  %6.1f%%\n",
              aSettings.mConcurrency,
              aSettings.mActualConcurrency,
              aSettings.mActiveRouters,
              aSettings.mLoad,
              NameOf(aSettings.mPolicy).c_str(),
              aResult.mGoodput,
              aResult.mP99Ms,
              aResult.mShed * 100,
              aResult.mWasted * 100);
}

nlohmann::json ToJson(const simulation_settings& aSettings,
                      const simulation_result& aResult)
{
  return { { "concurrency", aSettings.mConcurrency },
           { "actualConcurrency", aSettings.mActualConcurrency },
           { "activeRouters", aSettings.mActiveRouters },
           { "load", aSettings.mLoad },
           { "policy", NameOf(aSettings.mPolicy) },
           { "goodput", aResult.mGoodput },
           { "p99Ms", aResult.mP99Ms },
           { "shed", aResult.mShed },
           { "wasted", aResult.mWasted } };
}

void Measure(uint64_t aSeeds, bool aJson)
{
  struct target_size
  {
    uint32_t mConcurrency;
    uint32_t mActualConcurrency;
    uint32_t mConnections;
    uint32_t mActiveRouters;
  };
  // Whole targets, targets that lost capacity without saying so, and a target
  // whose requests arrive at two of the routers only.
  constexpr target_size kSizes[] = { { 4, 4, 55, 12 },
                                     { 6, 6, 130, 12 },
                                     { 4, 1, 55, 12 },
                                     { 6, 2, 130, 12 },
                                     { 4, 4, 55, 2 } };

  nlohmann::json rows = nlohmann::json::array();
  if (!aJson) {
    std::printf("%10s  %6s  %7s  %4s  %-27s  %7s  %7s  %6s  %7s\n",
                "configured",
                "actual",
                "routers",
                "load",
                "policy",
                "goodput",
                "p99 ms",
                "shed",
                "wasted");
  }
  for (const target_size size : kSizes) {
    for (const double load : { 0.5, 1.0, 1.5, 3.0 }) {
      for (const limit_policy policy : { limit_policy::kFixedUnbounded,
                                         limit_policy::kFixedQueue,
                                         limit_policy::kFixedShareQueue,
                                         limit_policy::kAdaptiveQueue,
                                         limit_policy::kAverageLatency }) {
        simulation_settings settings;
        settings.mPolicy = policy;
        settings.mLoad = load;
        settings.mConcurrency = size.mConcurrency;
        settings.mActualConcurrency = size.mActualConcurrency;
        settings.mConnections = size.mConnections;
        settings.mActiveRouters = size.mActiveRouters;
        const simulation_result result = MedianOver(settings, aSeeds);
        if (aJson) {
          rows.push_back(ToJson(settings, result));
        } else {
          PrintRow(settings, result);
        }
      }
    }
  }
  if (aJson) {
    std::cout << rows.dump(2) << '\n';
  }
}

} // namespace

} // namespace parsleystair

int main(int aCount, char** aArguments)
{
  cxxopts::Options options(
    "measure_limits",
    "Goodput and latency of one target that 12 routers share, in simulated "
    "time.");
  options.add_options()("seeds",
                        "simulations of each case",
                        cxxopts::value<uint64_t>()->default_value("11"))(
    "json", "write JSON")("help", "show this text");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    const auto seeds = parsed["seeds"].as<uint64_t>();
    if (parsed.count("help") > 0 || seeds == 0) {
      std::cout << options.help();
      return seeds == 0 ? 2 : 0;
    }
    parsleystair::Measure(seeds, parsed.count("json") > 0);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "measure_limits: " << exception.what() << '\n';
    return 2;
  }
  return 0;
}
