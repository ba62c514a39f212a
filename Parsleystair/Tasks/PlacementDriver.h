#pragma once

#include "Parsleystair/Placement/PlacementPlanner.h"
#include "Parsleystair/Tasks/ControlState.h"
#include "Parsleystair/Tasks/Messages.h"

#include <map>

namespace parsleystair {

/// Measures the load of slots and lets the planner propose moves. Each router
/// plans with the traffic that it sees itself, which the platform's balancer
/// spreads evenly, and starts only moves of groups that it renews first.
class placement_driver
{
public:
  explicit placement_driver(const control_state& aState);

  /// Takes in what the workers have sent.
  void Handle(const traffic_report& aReport);

  /// Moves to start now. Call at a fixed interval, which the load is measured
  /// over.
  std::vector<planned_move> Plan(time_point aNow, wall_time aWall);

private:
  void UpdateLoads(time_point aNow);
  [[nodiscard]] placement_input MakeInput(time_point aNow,
                                          wall_time aWall) const;

  const control_state& mState;
  placement_planner mPlanner;
  std::map<slot_id, uint64_t> mCounts;
  /// Requests a second, averaged over about a minute.
  std::map<slot_id, double> mLoads;
  time_point mPlannedAt;
};

} // namespace parsleystair
