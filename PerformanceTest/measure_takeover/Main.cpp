// Measures, in simulated time, how long the keys of an owner are held by no
// target after the owner and the leader are lost together, and how long after a
// restore of the store from an older copy the last key is held again. See
// docs/decisions/former-leaders.md and store-restores.md.
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

struct restore_scenario
{
  const char* mName;
  /// Called when the store goes away before the restore.
  void (*mAtOutage)(leadership_simulation&, size_t aLeader);
  /// Called every `kRestoreStep` after the restore.
  void (*mAfter)(leadership_simulation&, duration aSinceRestore);
};

constexpr size_t kRestoreRouters = 12;
constexpr duration kRestoreOutage = 1s;
constexpr duration kRestoreStep = 50ms;
constexpr duration kRestoreTime = 60s;

void LeaveAlone(leadership_simulation& /*aWorld*/, duration /*aSinceRestore*/)
{
}

void RestartAll(leadership_simulation& aWorld, size_t /*aLeader*/)
{
  for (size_t i = 0; i < kRestoreRouters; ++i) {
    aWorld.RestartRouter(i, 500ms);
  }
}

void LoseLeaderForGood(leadership_simulation& aWorld, size_t aLeader)
{
  aWorld.EndRouter(aLeader);
}

void KeepLeader(leadership_simulation& /*aWorld*/, size_t /*aLeader*/) {}

void KeepLeaderAndLoseARouter(leadership_simulation& aWorld, size_t aLeader)
{
  aWorld.EndRouter((aLeader + 1) % kRestoreRouters);
}

/// Restarts one router a second, in the order of their numbers.
void RollRouters(leadership_simulation& aWorld, duration aSinceRestore)
{
  if (aSinceRestore % 1s == 0ms && aSinceRestore < kRestoreRouters * 1s) {
    aWorld.RestartRouter(static_cast<size_t>(aSinceRestore / 1s), 1s);
  }
}

/// Ends the leader every 3 s, five times.
void EndEachLeader(leadership_simulation& aWorld, duration aSinceRestore)
{
  if (aSinceRestore % 3s == 0ms && aSinceRestore < 15s) {
    if (const auto leader = aWorld.Leader()) {
      aWorld.RestartRouter(*leader, 2s);
    }
  }
}

const std::vector<restore_scenario> kRestoreScenarios = {
  { "leader lives", KeepLeader, LeaveAlone },
  { "leader lives, another is lost", KeepLeaderAndLoseARouter, LeaveAlone },
  { "leader restarted", RestartLeader, LeaveAlone },
  { "leader lost for good", LoseLeaderForGood, LeaveAlone },
  { "leader lives, all are rolled", KeepLeader, RollRouters },
  { "leader restarted, all are rolled", RestartLeader, RollRouters },
  { "each leader is ended after 3 s", RestartLeader, EndEachLeader },
  { "all restarted", RestartAll, LeaveAlone },
};

/// Time from the restore until the last key is held again.
duration MeasureRestore(const restore_scenario& aScenario, uint64_t aSeed)
{
  leadership_world_settings settings;
  settings.mRouters = kRestoreRouters;
  settings.mTargets = 12;
  leadership_simulation world(aSeed, settings);
  world.Run(kStart + 20s + duration(1ms) * static_cast<int64_t>(aSeed * 37));
  const auto leader = world.Leader();
  if (!leader) {
    throw std::runtime_error("no leader before the restore");
  }
  world.RestoreStore(static_cast<uint32_t>(aSeed),
                     static_cast<uint32_t>(kRestoreOutage / 1ms));
  aScenario.mAtOutage(world, *leader);
  world.Run(kRestoreOutage);
  duration lastUnheld{};
  for (duration elapsed{}; elapsed < kRestoreTime; elapsed += kRestoreStep) {
    if (world.UnheldSamples() > 0) {
      lastUnheld = elapsed;
    }
    aScenario.mAfter(world, elapsed);
    world.Run(kRestoreStep);
  }
  return lastUnheld;
}

void PrintTimes(std::vector<duration> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  const auto at = [&](size_t aPercent) {
    return ToSeconds(aTimes[(aTimes.size() - 1) * aPercent / 100]);
  };
  std::cout << std::right << std::fixed << std::setprecision(2) << std::setw(8)
            << at(50) << std::setw(8) << at(99) << std::setw(8) << at(100)
            << "\n";
}

void PrintRow(const scenario& aScenario,
              bool aAsksFormerLeaders,
              uint64_t aSeeds)
{
  std::vector<duration> times;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    times.push_back(MeasureTakeover(aScenario, aAsksFormerLeaders, seed));
  }
  std::cout << std::left << std::setw(36) << aScenario.mName << std::setw(10)
            << (aAsksFormerLeaders ? "asked" : "not asked");
  PrintTimes(std::move(times));
}

void PrintRow(const restore_scenario& aScenario, uint64_t aSeeds)
{
  std::vector<duration> times;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    times.push_back(MeasureRestore(aScenario, seed));
  }
  std::cout << std::left << std::setw(46) << aScenario.mName;
  PrintTimes(std::move(times));
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
    std::cout << "restore                                         median     "
                 "p99   worst\n";
    for (const auto& scenario : parsleystair::kRestoreScenarios) {
      parsleystair::PrintRow(scenario, seeds);
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << failure.what() << "\n";
    return 2;
  }
  return 0;
}
