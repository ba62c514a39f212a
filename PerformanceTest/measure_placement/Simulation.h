#pragma once

#include "Parsleystair/Placement/HotKeyTracker.h"
#include "Parsleystair/Placement/PlacementPolicy.h"

#include <random>
#include <string>
#include <vector>

namespace parsleystair {

/// Which weights the deployment has.
struct deployment
{
  std::string mName;
  measure_weights mWeights;
};

/// One service of 10 targets under a Zipf load, in steps of one second. Moves
/// take effect one step after they are planned; a change of named keys takes
/// 11 s.
class simulation
{
public:
  simulation(const placement_policy& aPolicy,
             const deployment& aDeployment,
             uint64_t aSeed);

  void Run(int aSeconds);

  /// Runs until the imbalance is at most `aImbalance`; returns the seconds, or
  /// `aLimit` if it isn't reached.
  int RunUntil(double aImbalance, int aLimit);

  void SetState(size_t aTarget, target_state aState);

  /// Gives the load of the 27 hottest keys to other keys.
  void ShiftHotKeys();

  /// Load of the fullest target over the mean.
  [[nodiscard]] double Imbalance() const;

  /// Owner of each key.
  [[nodiscard]] std::vector<target_name> Owners() const;

  [[nodiscard]] size_t Moves() const { return mMoves; }

  /// Sum over moves of the slot's share of the load x the time without owner,
  /// in ms.
  [[nodiscard]] double UnavailableMs() const { return mUnavailableMs; }

private:
  void Step();
  void MeasureLoads();
  void UpdateNamedKeys();
  void ApplyMoves();
  void SetNamedKeys(const std::vector<std::string>& aNames);
  service_configuration& Service() { return mConfiguration.mServices[0]; }
  service_status& Status() { return mServices.begin()->second; }

  const placement_policy& mPolicy;
  std::mt19937_64 mRandom;
  configuration mConfiguration;
  std::map<service_name, service_status> mServices;
  std::vector<std::string> mKeys;
  std::vector<double> mLoads;
  std::vector<size_t> mSlotOfKey;
  std::discrete_distribution<size_t> mSample;
  hot_key_tracker mTracker;
  std::vector<planned_move> mPlanned;
  std::vector<time_point> mBalanceMoves;
  std::optional<std::pair<time_point, std::vector<std::string>>> mProposed;
  time_point mNow{ 1h };
  size_t mMoves = 0;
  double mUnavailableMs = 0;
};

} // namespace parsleystair
