// Measures, in simulated time, how long slots have no server after a loss and
// what ownership costs the store. See docs/decisions/ownership.md.
#include "UnitTests/Ownership/OwnershipSimulation.h"

// The regular expressions of g++ 12 warn with sanitizers.
#define CXXOPTS_NO_REGEX
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// Time for all groups to be created and assigned.
constexpr duration kStart = 8s;

/// The bottlers' services; 256 slots each in 64 groups.
configuration Bottlers(size_t aUnchecked)
{
  configuration config =
    MakeConfiguration({ 10, 8, 11, 9 }, aUnchecked, 256, 64);
  for (service_configuration& service : config.mServices) {
    service.mRules.front().mDeadline = 2s;
  }
  return config;
}

world_settings Settings(uint32_t aRouters)
{
  world_settings settings;
  settings.mRouters = aRouters;
  // A healthy network: what is measured is the protocol's own time.
  settings.mLossPercent = 0;
  settings.mLongDelayPercent = 0;
  settings.mTick = 10ms;
  return settings;
}

double Milliseconds(duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

/// Times without a server, of slots that had any.
class gap_statistics
{
public:
  void Add(const ownership_simulation& aWorld, size_t aSlots)
  {
    mSlots += aSlots;
    for (const auto& [slot, gap] : aWorld.Gaps()) {
      mGaps.push_back(Milliseconds(gap));
    }
  }

  [[nodiscard]] json Summarise() const
  {
    std::vector<double> sorted = mGaps;
    std::sort(sorted.begin(), sorted.end());
    const auto at = [&](size_t aPercent) {
      return sorted.empty() ? 0.0
                            : sorted[(sorted.size() - 1) * aPercent / 100];
    };
    return { { "slotsWatched", mSlots },
             { "slotsInterrupted", sorted.size() },
             { "medianMs", at(50) },
             { "p99Ms", at(99) },
             { "worstMs", at(100) } };
  }

private:
  size_t mSlots = 0;
  std::vector<double> mGaps;
};

size_t CountSlots(const configuration& aConfiguration)
{
  size_t slots = 0;
  for (const service_configuration& service : aConfiguration.mServices) {
    slots += TotalSlots(service);
  }
  return slots;
}

/// Runs one fault with each seed and watches for `aWatch`.
template<typename Fault>
json MeasureGaps(uint64_t aSeeds, duration aWatch, Fault aFault)
{
  gap_statistics statistics;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const configuration config = Bottlers(0);
    ownership_simulation world(seed, config, Settings(12));
    world.Run(kStart);
    world.ForgetGaps();
    aFault(world, seed);
    world.Run(aWatch);
    statistics.Add(world, CountSlots(config));
  }
  json result = statistics.Summarise();
  result["seeds"] = aSeeds;
  return result;
}

/// Calls and bytes a second in a deployment in which nothing happens.
json MeasureCost(uint32_t aRouters)
{
  constexpr int kSeconds = 20;
  ownership_simulation world(1, Bottlers(0), Settings(aRouters));
  world.Run(kStart);
  const uint64_t calls = world.Store().mCalls;
  const uint64_t bytes = world.Store().mBytes;
  const uint64_t toTargets = world.mMessagesToTargets;
  world.Run(kSeconds * 1s);
  size_t recordBytes = 0;
  for (const auto& [key, entry] : world.Store().mEntries) {
    recordBytes += entry.mValue.size();
  }
  return { { "routers", aRouters },
           { "storeCallsPerSecond",
             static_cast<double>(world.Store().mCalls - calls) / kSeconds },
           { "storeBytesPerSecond",
             static_cast<double>(world.Store().mBytes - bytes) / kSeconds },
           { "grantMessagesPerSecond",
             static_cast<double>(world.mMessagesToTargets - toTargets) /
               kSeconds },
           { "recordBytesAllGroups", recordBytes } };
}

/// Calls and bytes that one target's loss adds, above the steady cost.
json MeasureLossCost()
{
  ownership_simulation world(1, Bottlers(0), Settings(12));
  world.Run(kStart);
  const auto measure = [&] {
    const uint64_t calls = world.Store().mCalls;
    const uint64_t bytes = world.Store().mBytes;
    world.Run(3s);
    return std::pair(world.Store().mCalls - calls,
                     world.Store().mBytes - bytes);
  };
  const auto steady = measure();
  world.EndTarget(0);
  const auto busy = measure();
  return { { "storeCalls", busy.first - steady.first },
           { "storeBytes", busy.second - steady.second } };
}

json Measure(uint64_t aSeeds, uint64_t aOutageSeeds)
{
  json result;
  result["targetLost"] =
    MeasureGaps(aSeeds, 3s, [](ownership_simulation& aWorld, uint64_t aSeed) {
      aWorld.EndTarget(aSeed % aWorld.Targets().size());
    });
  result["routerLost"] =
    MeasureGaps(aSeeds, 10s, [](ownership_simulation& aWorld, uint64_t aSeed) {
      aWorld.EndRouter(aSeed % aWorld.Routers());
    });
  result["targetAndRouterLost"] =
    MeasureGaps(aSeeds, 4s, [](ownership_simulation& aWorld, uint64_t aSeed) {
      aWorld.EndTarget(aSeed % aWorld.Targets().size());
      aWorld.EndRouter(aSeed % aWorld.Routers());
    });
  result["storeDownTenMinutes"] =
    MeasureGaps(aOutageSeeds, 610s, [](ownership_simulation& aWorld, uint64_t) {
      aWorld.StopStore(600s);
    });
  for (const uint32_t routers : { 12U, 24U, 48U }) {
    result["steady"].push_back(MeasureCost(routers));
  }
  result["oneTargetLostAdds"] = MeasureLossCost();
  return result;
}

void PrintTable(const json& aResult)
{
  for (const char* scenario : { "targetLost",
                                "routerLost",
                                "targetAndRouterLost",
                                "storeDownTenMinutes" }) {
    std::cout << scenario << ": " << aResult[scenario].dump() << "\n";
  }
  for (const json& steady : aResult["steady"]) {
    std::cout << "steady: " << steady.dump() << "\n";
  }
  std::cout << "oneTargetLostAdds: " << aResult["oneTargetLostAdds"].dump()
            << "\n";
}

} // namespace

} // namespace parsleystair

int main(int argc, char** argv)
{
  cxxopts::Options options(
    "measure_ownership",
    "Unavailable time and store load of ownership, in simulated time");
  options.add_options()("seeds",
                        "Runs of each loss, with seeds from 1",
                        cxxopts::value<uint64_t>()->default_value("200"))(
    "outage-seeds",
    "Runs of the store's outage, each 10 simulated minutes",
    cxxopts::value<uint64_t>()->default_value("5"))("json", "Print JSON")(
    "help", "Print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    const auto result =
      parsleystair::Measure(arguments["seeds"].as<uint64_t>(),
                            arguments["outage-seeds"].as<uint64_t>());
    if (arguments.count("json") != 0) {
      std::cout << result.dump(2) << "\n";
    } else {
      parsleystair::PrintTable(result);
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
  return 0;
}
