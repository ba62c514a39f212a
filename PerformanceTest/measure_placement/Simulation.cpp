#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace parsleystair {

namespace {

constexpr size_t kKeys = 100'000;
constexpr size_t kTargets = 10;
constexpr size_t kHotKeys = 27;
constexpr uint32_t kSlots = 256;
constexpr double kRequestsPerSecond = 10'000;
constexpr double kZipfExponent = 0.9;
// Requests per second that one router's tracker sees.
constexpr int kSampledPerSecond = 1000;
constexpr duration kConfigurationDelay = 11s;
constexpr duration kProposalInterval = 10s;
// Time without owner of a move that waits for all grants to expire.
constexpr double kMoveWaitMs = 616;

} // namespace

simulation::simulation(const placement_policy& aPolicy,
                       const deployment& aDeployment,
                       uint64_t aSeed)
  : mPolicy(aPolicy)
  , mRandom(aSeed)
{
  mConfiguration.mWeights = aDeployment.mWeights;
  mConfiguration.mFailureDomains = {
    { failure_domain_name("a"), region_name("r1") },
    { failure_domain_name("b"), region_name("r1") },
    { failure_domain_name("c"), region_name("r2") },
    { failure_domain_name("d"), region_name("r2") }
  };
  service_configuration service;
  service.mName = service_name("service");
  service.mSlotCount = kSlots;
  for (size_t i = 0; i < kTargets; ++i) {
    target_configuration target;
    target.mName = target_name("target-" + std::to_string(i));
    target.mFailureDomain = mConfiguration.mFailureDomains[i % 4].mName;
    service.mTargets.push_back(target);
  }
  mConfiguration.mServices = { service };

  // Keys in random order of heat, with a Zipf load.
  for (size_t i = 0; i < kKeys; ++i) {
    mKeys.push_back("key-" + std::to_string(aSeed) + "-" + std::to_string(i));
    mLoads.push_back(std::pow(static_cast<double>(i + 1), -kZipfExponent));
  }
  std::shuffle(mKeys.begin(), mKeys.end(), mRandom);
  const double sum = std::accumulate(mLoads.begin(), mLoads.end(), 0.0);
  for (double& load : mLoads) {
    load *= kRequestsPerSecond / sum;
  }
  mSample = std::discrete_distribution<size_t>(mLoads.begin(), mLoads.end());
  for (uint32_t i = 0; i < kSlots; ++i) {
    mServices[service.mName].mSlots[slot_index(i)] = {};
  }
  SetNamedKeys({ mKeys.begin(), mKeys.begin() + kHotKeys });
}

void simulation::SetNamedKeys(const std::vector<std::string>& aNames)
{
  Service().mNamedKeys = aNames;
  // A new slot for each new name; replaced names keep slot and owner.
  for (uint32_t i = kSlots; i < TotalSlots(Service()); ++i) {
    Status().mSlots.try_emplace(slot_index(i));
  }
  mSlotOfKey.clear();
  service_configuration unnamed = Service();
  unnamed.mNamedKeys.clear();
  for (const std::string& key : mKeys) {
    mSlotOfKey.push_back(SlotOf(unnamed, key).Value());
  }
  for (size_t i = 0; i < aNames.size(); ++i) {
    const auto key = std::find(mKeys.begin(), mKeys.end(), aNames[i]);
    mSlotOfKey[static_cast<size_t>(key - mKeys.begin())] = kSlots + i;
  }
}

void simulation::ShiftHotKeys()
{
  // The hottest ranks change places with ranks of the long tail.
  for (size_t i = 0; i < kHotKeys; ++i) {
    const size_t other = kHotKeys + mRandom() % (kKeys - kHotKeys);
    std::swap(mLoads[i], mLoads[other]);
  }
  mSample = std::discrete_distribution<size_t>(mLoads.begin(), mLoads.end());
}

void simulation::SetState(size_t aTarget, target_state aState)
{
  const target_name& name = Service().mTargets[aTarget].mName;
  Status().mTargets[name] = { aState, mNow, std::nullopt };
}

void simulation::Run(int aSeconds)
{
  for (int i = 0; i < aSeconds; ++i) {
    Step();
  }
}

int simulation::RunUntil(double aImbalance, int aLimit)
{
  int seconds = 0;
  while (seconds < aLimit && Imbalance() > aImbalance) {
    Step();
    ++seconds;
  }
  return seconds;
}

void simulation::Step()
{
  mNow += 1s;
  ApplyMoves();
  MeasureLoads();
  UpdateNamedKeys();
  std::erase_if(mBalanceMoves,
                [&](time_point aTime) { return mNow - aTime > 1min; });
  Status().mRecentMoves = static_cast<uint32_t>(mBalanceMoves.size());
  mPlanned = mPolicy.Plan({ std::make_shared<configuration>(mConfiguration),
                            mServices,
                            region_name("r1"),
                            mNow,
                            600 });
  for (const planned_move& move : mPlanned) {
    slot_status& slot = Status().mSlots[move.mSlot.mSlot];
    slot.mMovingTo = move.mDestination;
    if (move.mReason == move_reason::kBalance) {
      mBalanceMoves.push_back(mNow);
    }
  }
}

void simulation::ApplyMoves()
{
  for (const planned_move& move : mPlanned) {
    slot_status& slot = Status().mSlots[move.mSlot.mSlot];
    if (slot.mOwner != target_name()) {
      ++mMoves;
      mUnavailableMs += kMoveWaitMs *
                        slot.mLoad.value_or(measured_load{}).mPerSecond /
                        kRequestsPerSecond;
    }
    slot.mOwner = move.mDestination;
    slot.mMovingTo.reset();
    slot.mSince = mNow;
  }
  mPlanned.clear();
}

// Measured loads follow the true ones within seconds, with 5% of noise.
void simulation::MeasureLoads()
{
  constexpr double kSmoothing = 0.3;
  std::normal_distribution<double> noise(1.0, 0.05);
  std::vector<double> loads(TotalSlots(Service()), 0.0);
  for (size_t i = 0; i < kKeys; ++i) {
    loads[mSlotOfKey[i]] += mLoads[i];
  }
  for (auto& [index, slot] : Status().mSlots) {
    const double now = loads[index.Value()] * std::max(0.0, noise(mRandom));
    const double before = slot.mLoad ? slot.mLoad->mPerSecond : now;
    slot.mLoad = measured_load{ before + kSmoothing * (now - before), mNow };
  }
}

void simulation::UpdateNamedKeys()
{
  for (int i = 0; i < kSampledPerSecond; ++i) {
    mTracker.Add(mKeys[mSample(mRandom)]);
  }
  if (mProposed && mNow - mProposed->first >= kConfigurationDelay) {
    SetNamedKeys(mProposed->second);
    mProposed.reset();
  }
  if (mProposed || mNow.time_since_epoch() % kProposalInterval != 0s) {
    return;
  }
  const auto names =
    ProposeNamedKeys(Service().mNamedKeys, mTracker, kSlots, kHotKeys);
  mTracker.Halve();
  if (names != Service().mNamedKeys) {
    mProposed = { mNow, names };
  }
}

double simulation::Imbalance() const
{
  const service_status& status = mServices.begin()->second;
  std::map<target_name, double> loads;
  for (const auto& target : mConfiguration.mServices[0].mTargets) {
    if (IsUsable(target, status)) {
      loads[target.mName] = 0;
    }
  }
  double total = 0;
  for (size_t i = 0; i < kKeys; ++i) {
    const auto& slot =
      status.mSlots.at(slot_index(static_cast<uint32_t>(mSlotOfKey[i])));
    loads[slot.mOwner] += mLoads[i];
    total += mLoads[i];
  }
  double most = 0;
  for (const auto& [name, load] : loads) {
    most = std::max(most, load);
  }
  return most * static_cast<double>(loads.size()) / total;
}

std::vector<target_name> simulation::Owners() const
{
  const service_status& status = mServices.begin()->second;
  std::vector<target_name> owners;
  for (const size_t slot : mSlotOfKey) {
    owners.push_back(
      status.mSlots.at(slot_index(static_cast<uint32_t>(slot))).mOwner);
  }
  return owners;
}

} // namespace parsleystair
