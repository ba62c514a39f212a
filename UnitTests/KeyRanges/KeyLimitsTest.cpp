#include "Parsleystair/KeyRanges/KeyLimits.h"

#include "Parsleystair/KeyRanges/RangeController.h"
#include "Parsleystair/Limits/KeyAdmission.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace parsleystair {

namespace {

constexpr uint32_t kHotKey = 1000;
const service_name kService("keyed");

/// Two owners of half of the keys each.
range_record Record()
{
  range_record record;
  record.mNextFence = 3;
  record.mRanges = {
    { { 0, 32767 }, { target_name("a"), 1 }, fence(1), "" },
    { { 32768, kMaxKeyNumber }, { target_name("b"), 1 }, fence(2), "" },
  };
  return record;
}

/// Load after `aSeconds` with requests for each key at a constant rate.
key_load LoadOf(const std::map<uint32_t, uint32_t>& aRates, int aSeconds = 30)
{
  constexpr int kReportsPerSecond = 2;
  key_load load;
  time_point now(1h);
  for (int report = 0; report < aSeconds * kReportsPerSecond; ++report) {
    key_counts counts;
    for (const auto& [key, rate] : aRates) {
      const bool isOdd = report % kReportsPerSecond != 0;
      counts[key_load::BucketOf(key)] +=
        rate / kReportsPerSecond + (isOdd ? rate % kReportsPerSecond : 0);
    }
    load.Add(counts, now);
    now += 500ms;
  }
  return load;
}

/// An owner that serves `kSlots` requests at a time, 890 ms each, from a queue
/// of 24, and refuses more.
class simulated_owner
{
public:
  static constexpr size_t kSlots = 6;
  static constexpr size_t kQueue = 24;
  static constexpr duration kWork = 890ms;
  static constexpr duration kAim = 2500ms;

  bool Accept(uint32_t aKey, time_point aNow)
  {
    Run(aNow);
    if (mRunning.size() < kSlots) {
      mRunning.push_back({ aKey, aNow, aNow + kWork });
    } else if (mWaiting.size() < kQueue) {
      mWaiting.push_back({ aKey, aNow, aNow });
    } else {
      return false;
    }
    return true;
  }

  void Run(time_point aNow)
  {
    for (;;) {
      const auto first = std::min_element(
        mRunning.begin(), mRunning.end(), [](const auto& aL, const auto& aR) {
          return aL.mEnd < aR.mEnd;
        });
      if (first == mRunning.end() || first->mEnd > aNow) {
        return;
      }
      const work done = *first;
      mRunning.erase(first);
      const duration latency = done.mEnd - done.mArrivedAt;
      mLatencies.push_back(static_cast<uint32_t>(latency / 1ms));
      mInTime[done.mKey] += latency <= kAim ? 1 : 0;
      if (!mWaiting.empty()) {
        work next = mWaiting.front();
        mWaiting.pop_front();
        next.mEnd = done.mEnd + kWork;
        mRunning.push_back(next);
      }
    }
  }

  /// Latencies of the responses since the last call, in milliseconds.
  latency_samples TakeLatencies() { return std::exchange(mLatencies, {}); }

  /// Responses within the aim, by key.
  std::map<uint32_t, uint32_t> mInTime;

private:
  struct work
  {
    uint32_t mKey = 0;
    time_point mArrivedAt;
    time_point mEnd;
  };

  latency_samples mLatencies;
  std::vector<work> mRunning;
  std::deque<work> mWaiting;
};

struct played_load
{
  uint32_t mHotInTime = 0;
  uint32_t mOtherSent = 0;
  uint32_t mOtherInTime = 0;
};

/// One thing that gets fifteen times what its owner can serve, beside other
/// keys of the owner, for 60 s. The leader learns the load twice a second.
played_load PlayHotKey(bool aLimited)
{
  constexpr duration kStep = 10ms;
  constexpr duration kReportInterval = 500ms;
  constexpr double kHotRate = 100;
  constexpr double kOtherRate = 3;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  simulated_owner owner;
  service_load load;
  key_admission admission;
  played_load result;
  const time_point start(1h);
  range_controller controller{ range_settings() };
  controller.HandleRecord(Record(), store_revision(5));
  controller.StartLeading({ term_number(1), start, start });
  std::vector<known_target> targets(2);
  for (size_t i = 0; i < targets.size(); ++i) {
    targets[i].mTarget.mName = target_name(i == 0 ? "a" : "b");
    targets[i].mTarget.mStartedMs = 1;
    targets[i].mTarget.mConcurrency = simulated_owner::kSlots;
  }
  controller.HandleTargets({ &targets[0], &targets[1] }, start);
  time_point nextReport = start;
  for (time_point now = start; now < start + 60s; now += kStep) {
    if (now >= nextReport) {
      nextReport = now + kReportInterval;
      owner.Run(now);
      load.mLatencies[target_name("a")] = owner.TakeLatencies();
      controller.HandleLoad(std::exchange(load, {}), now);
      admission.SetLimits({ { kService, controller.Limits(now) } }, now);
    }
    const auto send = [&](uint32_t aKey) {
      ++load.mCounts[key_load::BucketOf(aKey)];
      if (!aLimited || admission.Admits(kService, aKey, draw(random), now)) {
        owner.Accept(aKey, now);
      }
    };
    if (draw(random) < kHotRate * ToSeconds(kStep)) {
      send(kHotKey);
    }
    if (draw(random) < kOtherRate * ToSeconds(kStep)) {
      ++result.mOtherSent;
      send(static_cast<uint32_t>(2000 + random() % 20'000));
    }
  }
  owner.Run(start + 100s);
  for (const auto& [key, count] : owner.mInTime) {
    (key == kHotKey ? result.mHotInTime : result.mOtherInTime) += count;
  }
  return result;
}

} // namespace

// Guards against a hot key that takes the queue of its owner from the owner's
// other keys, so that all of them are served late.
TEST(KeyLimits, HotKeyLeavesItsNeighboursServedInTime)
{
  const played_load without = PlayHotKey(false);
  const played_load limited = PlayHotKey(true);
  // Without limits, the queue is longer than the aim allows.
  EXPECT_LT(without.mOtherInTime * 4, without.mOtherSent);
  EXPECT_GT(limited.mOtherInTime * 100, limited.mOtherSent * 85);
  EXPECT_GT(limited.mHotInTime, without.mHotInTime);
}

// Guards against limits for load that the owners can serve, and for owners of
// which too little is known.
TEST(KeyLimits, ServedLoadHasNoLimits)
{
  const owner_capacities both = { { target_name("a"), 6.7 },
                                  { target_name("b"), 6.7 } };
  EXPECT_TRUE(
    PlanKeyLimits(Record(), LoadOf({ { kHotKey, 6 } }), both).empty());
  EXPECT_TRUE(
    PlanKeyLimits(Record(), LoadOf({ { kHotKey, 100 } }), {}).empty());
  // A short burst is no overload yet.
  EXPECT_TRUE(
    PlanKeyLimits(Record(), LoadOf({ { kHotKey, 12 } }, 1), both).empty());
}

// Guards against limits that give an overloaded owner more than it can serve,
// or leave it idle.
TEST(KeyLimits, SharesFillTheCapacity)
{
  const std::map<uint32_t, uint32_t> rates = {
    { kHotKey, 100 }, { 2000, 20 }, { 3000, 1 }, { 4000, 1 }, { 40'000, 3 }
  };
  const key_load load = LoadOf(rates);
  const owner_capacities capacities = { { target_name("a"), 10 },
                                        { target_name("b"), 10 } };
  const key_limits limits = PlanKeyLimits(Record(), load, capacities);
  EXPECT_EQ(ShareOf(limits, 3000), 1);
  EXPECT_EQ(ShareOf(limits, 4000), 1);
  EXPECT_EQ(ShareOf(limits, 40'000), 1);
  EXPECT_LT(ShareOf(limits, kHotKey), ShareOf(limits, 2000));
  double admitted = 0;
  for (const auto& [key, rate] : rates) {
    admitted += key < 32768 ? rate * ShareOf(limits, key) : 0;
  }
  EXPECT_GT(admitted, 6);
  EXPECT_LT(admitted, 12);
}

// Guards against refusals on the word of a leader that is gone.
TEST(KeyAdmission, LimitsEndWithoutTheLeader)
{
  key_admission admission;
  const time_point now(1h);
  admission.SetLimits({ { kService, { { { 0, 7 }, 0.1 } } } }, now);
  EXPECT_TRUE(admission.Admits(kService, 3, 0.05, now));
  EXPECT_FALSE(admission.Admits(kService, 3, 0.5, now));
  EXPECT_TRUE(admission.Admits(kService, 8, 0.5, now));
  EXPECT_TRUE(admission.Admits(service_name("other"), 3, 0.5, now));
  EXPECT_FALSE(admission.Admits(kService, 3, 0.5, now + 3s));
  EXPECT_TRUE(admission.Admits(kService, 3, 0.5, now + 3001ms));
  admission.Confirm(now + 4s);
  EXPECT_FALSE(admission.Admits(kService, 3, 0.5, now + 5s));
}

} // namespace parsleystair
