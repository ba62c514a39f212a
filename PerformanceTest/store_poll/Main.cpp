#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "PerformanceTest/store_poll/StorePoller.h"
#include "StandIns/standin_platform/PlatformServer.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::ordered_json;

constexpr int kUsageExitCode = 2;
/// Longer than the backoff's maximum, so that every poller has found the store.
constexpr duration kRecoveryTime = 2s;

struct poll_settings
{
  uint32_t mPollers = 12;
  uint32_t mIntervalMs = 100;
  uint32_t mSeconds = 10;
  uint32_t mOutages = 20;
  uint32_t mGroups = 64;
  uint64_t mSeed = 1;
};

void RunFor(event_loop& aLoop, duration aTime)
{
  timer end;
  end.StartOnce(aLoop, aTime, [&] { aLoop.Stop(); });
  aLoop.Run();
}

/// Pollers and a stand-in on one loop.
class poll_measurement
{
public:
  explicit poll_measurement(const poll_settings& aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
  {
    constexpr size_t kRecordBytes = 12 * 1024;
    for (uint32_t i = 0; i < aSettings.mGroups; ++i) {
      mServer.Core().Transact({ {},
                                { kv_put{ kGroupPrefix + std::to_string(i),
                                          std::string(kRecordBytes, 'x') } },
                                {} });
    }
    for (uint32_t i = 0; i < aSettings.mPollers; ++i) {
      etcd_store_settings settings;
      settings.mPort = mServer.Port();
      settings.mSeed = aSettings.mSeed * aSettings.mPollers + i;
      mPollers.push_back(std::make_unique<store_poller>(
        mLoop, settings, std::chrono::milliseconds(aSettings.mIntervalMs)));
    }
  }

  /// Calls and bytes of polls that find no change.
  json MeasureSteadyState()
  {
    RunFor(mLoop, 1s);
    const store_counters before = Sum();
    RunFor(mLoop, std::chrono::seconds(mSettings.mSeconds));
    const store_counters after = Sum();
    const double seconds = mSettings.mSeconds;
    const double pollers = mSettings.mPollers;
    const auto bytes =
      static_cast<double>(after.mBytesSent + after.mBytesReceived -
                          before.mBytesSent - before.mBytesReceived);
    return {
      { "callsPerSecond",
        static_cast<double>(after.mAnswered - before.mAnswered) / seconds },
      { "bodyBytesPerSecondPerPoller", bytes / seconds / pollers },
    };
  }

  /// Silent and refusing outages by turns, of 1 to 5 s.
  json MeasureOutages()
  {
    std::vector<double> found;
    std::vector<double> callsPerSecond;
    std::uniform_int_distribution<int> lengthMs(1000, 5000);
    for (uint32_t i = 0; i < mSettings.mOutages; ++i) {
      const bool silent = i % 2 == 0;
      const duration length = std::chrono::milliseconds(lengthMs(mRandom));
      SwitchOutage(silent, true);
      const store_counters before = Sum();
      RunFor(mLoop, length);
      const store_counters after = Sum();
      callsPerSecond.push_back(static_cast<double>(Sent(after) - Sent(before)) /
                               std::chrono::duration<double>(length).count() /
                               mSettings.mPollers);
      SwitchOutage(silent, false);
      for (const auto& poller : mPollers) {
        poller->StartMeasuring(MonotonicNow());
      }
      RunFor(mLoop, kRecoveryTime);
      for (const auto& poller : mPollers) {
        found.push_back(std::chrono::duration<double, std::milli>(
                          poller->FoundAfter().value_or(kRecoveryTime))
                          .count());
      }
    }
    if (found.empty()) {
      return nullptr;
    }
    std::sort(found.begin(), found.end());
    std::sort(callsPerSecond.begin(), callsPerSecond.end());
    return { { "outages", mSettings.mOutages },
             { "foundAfterMsMedian", found[found.size() / 2] },
             { "foundAfterMsMax", found.back() },
             { "callsPerSecondPerPollerMedian",
               callsPerSecond[callsPerSecond.size() / 2] },
             { "callsPerSecondPerPollerMax", callsPerSecond.back() } };
  }

private:
  static platform_server_settings ServerSettings()
  {
    platform_server_settings settings;
    settings.mPort = 0;
    return settings;
  }

  /// Calls that left the client or tried to.
  static uint64_t Sent(const store_counters& aCounters)
  {
    return aCounters.mReads - aCounters.mRefusedByBackoff -
           aCounters.mRefusedByCap - aCounters.mRefusedQueue;
  }

  store_counters Sum() const
  {
    store_counters sum;
    for (const auto& poller : mPollers) {
      const store_counters& one = poller->Counters();
      sum.mReads += one.mReads;
      sum.mAnswered += one.mAnswered;
      sum.mRefusedByBackoff += one.mRefusedByBackoff;
      sum.mRefusedByCap += one.mRefusedByCap;
      sum.mRefusedQueue += one.mRefusedQueue;
      sum.mBytesSent += one.mBytesSent;
      sum.mBytesReceived += one.mBytesReceived;
    }
    return sum;
  }

  void SwitchOutage(bool aSilent, bool aOn)
  {
    fault_change change;
    (aSilent ? change.mOutage : change.mRefuse) = aOn;
    mServer.ChangeFaults(change);
  }

  poll_settings mSettings;
  std::mt19937_64 mRandom;
  event_loop mLoop;
  platform_server mServer{ mLoop, ServerSettings() };
  std::vector<std::unique_ptr<store_poller>> mPollers;
};

int Run(int aArgumentCount, char** aArguments)
{
  cxxopts::Options options("store_poll",
                           "Measures polls of the store: calls and bytes "
                           "without changes, and the time "
                           "in which\npollers find the store again after "
                           "outages. The stand-in runs in "
                           "this process.");
  poll_settings settings;
  options.add_options()(
    "pollers", "pollers", cxxopts::value(settings.mPollers))(
    "interval-ms", "time between polls", cxxopts::value(settings.mIntervalMs))(
    "seconds", "length without outage", cxxopts::value(settings.mSeconds))(
    "outages", "outages of 1 to 5 s", cxxopts::value(settings.mOutages))(
    "groups", "group records of 12 KB", cxxopts::value(settings.mGroups))(
    "seed", "seed of jitter and outages", cxxopts::value(settings.mSeed))(
    "help", "print this text and exit");
  if (options.parse(aArgumentCount, aArguments).count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  if (settings.mPollers == 0 || settings.mIntervalMs == 0 ||
      settings.mSeconds == 0) {
    throw value_error("--pollers, --interval-ms, --seconds", "0", "1 or more");
  }
  StartLog(log_severity::kError);
  poll_measurement measurement(settings);
  json result;
  result["steady"] = measurement.MeasureSteadyState();
  result["outage"] = measurement.MeasureOutages();
  std::cout << result.dump(2) << "\n";
  return 0;
}

} // namespace

} // namespace parsleystair

int main(int aArgumentCount, char** aArguments)
{
  try {
    return parsleystair::Run(aArgumentCount, aArguments);
  } catch (const std::exception& failure) {
    std::cerr << "store_poll: " << failure.what() << "\n";
    return parsleystair::kUsageExitCode;
  }
}
