#include "Parsleystair/Core/Clock.h"
#include "UnitTests/Membership/Fleet.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Age of the oldest news of any member that the first view has.
duration OldestNews(const fleet& aFleet)
{
  duration oldest = duration::zero();
  for (size_t i = 1; i < aFleet.Size(); ++i) {
    oldest = std::max(oldest, aFleet.ObservedMember(0, i)->mAge.value_or(1h));
  }
  return oldest;
}

/// Times after a stop at which the first and the last view took the member for
/// lost.
std::pair<duration, duration> LossTimes(fleet& aFleet, size_t aSubject)
{
  const time_point start = aFleet.Now();
  std::optional<duration> first;
  aFleet.Stop(aSubject);
  for (;;) {
    aFleet.Advance(fleet::kStep);
    size_t lost = 0;
    for (size_t i = 0; i < aFleet.Size(); ++i) {
      lost += i != aSubject &&
                  aFleet.ObservedState(i, aSubject) == member_state::kLost
                ? 1
                : 0;
    }
    const duration passed = aFleet.Now() - start;
    first = !first && lost > 0 ? passed : first;
    if (lost == aFleet.Size() - 1 || passed > 5min) {
      return { first.value_or(passed), passed };
    }
  }
}

nlohmann::json Measure(size_t aNodes)
{
  fleet nodes(aNodes);
  nodes.Advance(nodes.View(0).RelayAllowance() + 5s);

  // A quiet time.
  constexpr int kSeconds = 20;
  duration oldest = duration::zero();
  const size_t heartbeats = nodes.HeartbeatCount();
  const time_point start = MonotonicNow();
  for (int i = 0; i < kSeconds; ++i) {
    nodes.Advance(1s);
    oldest = std::max(oldest, OldestNews(nodes));
  }
  const duration elapsed = MonotonicNow() - start;
  const double nodeSeconds = static_cast<double>(aNodes * kSeconds);
  const size_t sent = nodes.HeartbeatCount() - heartbeats;

  // A loss.
  const auto [first, last] = LossTimes(nodes, aNodes / 2);
  return { { "nodes", aNodes },
           { "oldestNewsMs", oldest.count() / 1000 },
           { "allowanceMs", nodes.View(0).RelayAllowance().count() / 1000 },
           { "firstLossMs", first.count() / 1000 },
           { "lastLossMs", last.count() / 1000 },
           { "callsPerNodeSecond", static_cast<double>(sent) / nodeSeconds },
           { "microsecondsPerNodeSecond",
             static_cast<double>(elapsed.count()) / nodeSeconds } };
}

int Main(int aCount, char** aArguments)
{
  cxxopts::Options options("measure_membership",
                           "Age of news and time to a loss in a fleet");
  options.add_options()(
    "nodes",
    "sizes of the fleet",
    cxxopts::value<std::vector<size_t>>()->default_value("2,12,50,150,440"))(
    "json", "one JSON line per size")("help", "this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  for (const size_t size : parsed["nodes"].as<std::vector<size_t>>()) {
    const nlohmann::json result = Measure(size);
    std::cout << (parsed.count("json") != 0 ? result.dump() : result.dump(2))
              << std::endl;
  }
  return 0;
}

} // namespace

} // namespace parsleystair

int main(int aCount, char** aArguments)
{
  return parsleystair::Main(aCount, aArguments);
}
