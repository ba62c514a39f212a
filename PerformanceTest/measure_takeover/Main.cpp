// Measures, in simulated time, how long the keys of an owner are held by no
// target after the owner and the leader are lost together. See
// docs/decisions/former-leaders.md.
#include "UnitTests/Gateway/LeadershipSimulation.h"

// The regular expressions of g++ 12 warn with sanitizers.
#define CXXOPTS_NO_REGEX
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

namespace parsleystair {

namespace {

/// Time until all keys have been assigned.
constexpr duration kStart = 6s;
constexpr duration kStep = 10ms;
constexpr duration kMaxTime = 40s;

using fault = void (*)(leadership_simulation&, size_t aLeader);

struct scenario
{
  const char* mName;
  fault mFault;
  /// The next leader is ended too, as soon as it is elected.
  bool mEndsNextLeader;
};

void RestartLeader(leadership_simulation& aWorld, size_t aLeader)
{
  aWorld.RestartRouter(aLeader, 500ms);
}

void LoseLeader(leadership_simulation& aWorld, size_t aLeader)
{
  aWorld.EndRouter(aLeader);
}

void IsolateLeader(leadership_simulation& aWorld, size_t aLeader)
{
  aWorld.Isolate(aLeader, kMaxTime);
}

const std::vector<scenario> kScenarios = {
  { "leader restarted after 0.5 s", RestartLeader, false },
  { "leader lost for good", LoseLeader, false },
  { "leader cut from store and routers", IsolateLeader, false },
  { "two leaders restarted within 3 s", RestartLeader, true },
};

/// Time until all keys of the lost owner are held again.
duration MeasureTakeover(const scenario& aScenario,
                         bool aAsksFormerLeaders,
                         uint64_t aSeed)
{
  leadership_world_settings settings;
  settings.mRouters = 12;
  settings.mTargets = 12;
  settings.mRouter.mAsksFormerLeaders = aAsksFormerLeaders;
  leadership_simulation world(aSeed, settings);
  // Seeds also vary the time between the last renewals and the loss.
  world.Run(kStart + duration(1ms) * static_cast<int64_t>(aSeed * 37 % 800));
  const auto leader = world.Leader();
  const size_t owner = aSeed % settings.mTargets;
  const std::vector<uint32_t> samples = world.SamplesOf(owner);
  if (!leader || samples.empty()) {
    throw std::runtime_error("no leader or no keys before the loss");
  }
  world.EndTarget(owner);
  aScenario.mFault(world, *leader);
  bool endsNextLeader = aScenario.mEndsNextLeader;
  duration elapsed{};
  while (elapsed < kMaxTime) {
    world.Run(kStep);
    elapsed += kStep;
    const auto next = world.Leader();
    if (endsNextLeader && next && *next != *leader && elapsed < 3s) {
      endsNextLeader = false;
      world.RestartRouter(*next, 500ms);
    }
    if (std::all_of(samples.begin(), samples.end(), [&](uint32_t aSample) {
          return world.IsHeld(aSample);
        })) {
      return elapsed;
    }
  }
  return kMaxTime;
}

void PrintRow(const scenario& aScenario,
              bool aAsksFormerLeaders,
              uint64_t aSeeds)
{
  std::vector<duration> times;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    times.push_back(MeasureTakeover(aScenario, aAsksFormerLeaders, seed));
  }
  std::sort(times.begin(), times.end());
  const auto at = [&](size_t aPercent) {
    return ToSeconds(times[(times.size() - 1) * aPercent / 100]);
  };
  std::cout << std::left << std::setw(36) << aScenario.mName << std::setw(10)
            << (aAsksFormerLeaders ? "asked" : "not asked") << std::right
            << std::fixed << std::setprecision(2) << std::setw(8) << at(50)
            << std::setw(8) << at(99) << std::setw(8) << at(100) << "\n";
}

} // namespace

} // namespace parsleystair

int main(int argc, char** argv)
{
  cxxopts::Options options(
    "measure_takeover",
    "Time until the keys of an owner that is lost together with the leader are "
    "held again, in seconds of simulated time");
  options.add_options()("seeds",
                        "Runs of each loss, with seeds from 1",
                        cxxopts::value<uint64_t>()->default_value("200"))(
    "help", "Print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    const auto seeds = std::max<uint64_t>(1, arguments["seeds"].as<uint64_t>());
    std::cout << "loss                                former      median     "
                 "p99   worst\n";
    for (const auto& scenario : parsleystair::kScenarios) {
      for (const bool asksFormerLeaders : { true, false }) {
        parsleystair::PrintRow(scenario, asksFormerLeaders, seeds);
      }
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
  return 0;
}
