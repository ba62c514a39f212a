#include "Parsleystair/Placement/HashPolicies.h"
#include "Parsleystair/Placement/PlacementPlanner.h"
#include "Simulation.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

// Simulated seconds that each phase may take.
constexpr int kPhaseSeconds = 300;
// Imbalance that counts as recovered; the planner starts to balance above it.
constexpr double kRecovered = 1.15;

using measures = std::map<std::string, double>;

/// Share of the keys whose owner differs, in percent.
double Churn(const std::vector<target_name>& aBefore,
             const std::vector<target_name>& aAfter)
{
  size_t changed = 0;
  for (size_t i = 0; i < aBefore.size(); ++i) {
    changed += aBefore[i] != aAfter[i] ? 1 : 0;
  }
  return 100.0 * static_cast<double>(changed) /
         static_cast<double>(aBefore.size());
}

measures MeasureOnce(const placement_policy& aPolicy,
                     const deployment& aDeployment,
                     uint64_t aSeed)
{
  constexpr size_t kTarget = 3;
  measures result;
  simulation service(aPolicy, aDeployment, aSeed);
  service.Run(kPhaseSeconds);
  result["imbalanceQuiet"] = service.Imbalance();

  // Hot keys change.
  const size_t movesBefore = service.Moves();
  const double unavailableBefore = service.UnavailableMs();
  service.ShiftHotKeys();
  result["imbalanceAtShift"] = service.Imbalance();
  result["recoverySeconds"] = service.RunUntil(kRecovered, kPhaseSeconds);
  service.Run(kPhaseSeconds);
  result["imbalanceAfterShift"] = service.Imbalance();
  result["movesForShift"] = static_cast<double>(service.Moves() - movesBefore);
  result["unavailableMsForShift"] = service.UnavailableMs() - unavailableBefore;

  // A target leaves and comes back.
  const auto before = service.Owners();
  service.SetState(kTarget, target_state::kDraining);
  service.Run(kPhaseSeconds);
  const auto without = service.Owners();
  result["churnPercentLeave"] = Churn(before, without);
  service.SetState(kTarget, target_state::kSlowStart);
  service.Run(kPhaseSeconds);
  result["churnPercentReturn"] = Churn(without, service.Owners());
  result["imbalanceAfterReturn"] = service.Imbalance();
  return result;
}

double Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  const size_t middle = aValues.size() / 2;
  return aValues.size() % 2 == 1 ? aValues[middle]
                                 : (aValues[middle - 1] + aValues[middle]) / 2;
}

nlohmann::json Measure(const std::string& aPolicyName,
                       const placement_policy& aPolicy,
                       const deployment& aDeployment,
                       uint64_t aSeeds)
{
  std::map<std::string, std::vector<double>> values;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    for (const auto& [name, value] : MeasureOnce(aPolicy, aDeployment, seed)) {
      values[name].push_back(value);
    }
  }
  nlohmann::json result = { { "policy", aPolicyName },
                            { "deployment", aDeployment.mName },
                            { "seeds", aSeeds } };
  for (auto& [name, list] : values) {
    result[name] = Median(list);
  }
  return result;
}

int Main(int aCount, char** aArguments)
{
  cxxopts::Options options("measure_placement",
                           "Imbalance and churn of placement policies");
  options.add_options()("seeds",
                        "runs with seeds 1 to N; medians are printed",
                        cxxopts::value<uint64_t>()->default_value("10"))(
    "json", "one JSON line per policy")("help", "this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  const std::vector<deployment> deployments = { { "bottlers", { 1, 1, 4 } },
                                                { "fiambrera", { 1, 4, 1 } } };
  const uint64_t seeds = parsed["seeds"].as<uint64_t>();
  const auto print = [&](const nlohmann::json& aResult) {
    std::cout << (parsed.count("json") != 0 ? aResult.dump() : aResult.dump(2))
              << std::endl;
  };
  for (const deployment& each : deployments) {
    print(Measure("planner", placement_planner(), each, seeds));
  }
  // The baselines don't look at weights.
  print(Measure("rendezvous", rendezvous_policy(), deployments[0], seeds));
  print(Measure("modulo", modulo_policy(), deployments[0], seeds));
  return 0;
}

} // namespace

} // namespace parsleystair

int main(int aCount, char** aArguments)
{
  return parsleystair::Main(aCount, aArguments);
}
