#pragma once

#include "Parsleystair/Ownership/GroupState.h"
#include "Parsleystair/Ownership/PlannedMove.h"

#include <memory>

namespace parsleystair {

/// Inputs to the next record of a group other than the group's own state.
struct edit_context
{
  const ownership_settings& mSettings;
  const configuration& mConfiguration;
  const router_table& mRouters;
  /// Slots that the configuration assigns to the group, in order.
  const std::vector<slot_id>& mSlots;
  const std::set<target_id>& mLostTargets;
  const std::map<slot_id, planned_move>& mPlannedMoves;
  /// Longest request deadline that each service has had in any configuration.
  const std::map<service_name, duration>& mLongestDeadlines;
  /// New moves may be started.
  bool mCanStartMoves = false;
  /// The configuration is old enough that services and targets it does not name
  /// count as withdrawn.
  bool mIsConfigurationSettled = false;
  /// Wall-clock time, in ms since 1970.
  uint64_t mWallTimeMs = 0;
  time_point mNow;
};

/// Builds the next record of one group.
class record_editor
{
public:
  record_editor(const group_state& aState, const edit_context& aContext);

  /// Returns the record to write next, or no value when nothing has to change.
  std::optional<group_record> Edit();

private:
  void AddMissingSlots();
  void FinishMoves();
  void StartMoves();
  void EditHolders();
  bool FinishJoining();
  bool ReplaceHolder(size_t aIndex);
  void AddHolder();

  [[nodiscard]] bool IsConfigured(const slot_id& aSlot) const;
  [[nodiscard]] bool IsUsable(const target_id& aTarget) const;
  [[nodiscard]] duration ExtraWait(const slot_id& aSlot,
                                   const target_name& aOwner) const;
  [[nodiscard]] std::optional<target_name> ChooseTarget(
    const slot_id& aSlot) const;
  [[nodiscard]] std::optional<slot_move> ChooseMove(
    const slot_id& aSlot,
    const slot_ownership& aOwnership) const;
  [[nodiscard]] bool ShouldKeepHolder(const group_holder& aHolder) const;
  [[nodiscard]] bool IsReachable(const group_holder& aHolder) const;

  const group_state& mState;
  const edit_context& mContext;
  group_record mNext;
};

/// Returns the target among `aCandidates` that rendezvous hashing selects for a
/// slot. `aCandidates` must not be empty.
target_name RendezvousTarget(const slot_id& aSlot,
                             const std::vector<target_name>& aCandidates);

} // namespace parsleystair
