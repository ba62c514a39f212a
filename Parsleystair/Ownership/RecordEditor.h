#pragma once

#include "Parsleystair/Ownership/GroupState.h"
#include "Parsleystair/Ownership/PlannedMove.h"

#include <memory>

namespace parsleystair {

/// All that decides the next record of a group besides its own state.
struct edit_context
{
  const ownership_settings& mSettings;
  const configuration& mConfiguration;
  const router_table& mRouters;
  /// Slots that the configuration puts in the group, in order.
  const std::vector<slot_id>& mSlots;
  const std::set<target_id>& mLostTargets;
  const std::map<slot_id, planned_move>& mPlannedMoves;
  /// Longest deadline each service has had.
  const std::map<service_name, duration>& mLongestDeadlines;
  /// New moves may start.
  bool mCanStartMoves = false;
  /// What the configuration does not name has been withdrawn.
  bool mIsConfigurationSettled = false;
  /// Calendar time, in ms since 1970.
  uint64_t mWallTimeMs = 0;
  time_point mNow;
};

/// Builds the next record of one group.
class record_editor
{
public:
  record_editor(const group_state& aState, const edit_context& aContext);

  /// Record to write next; without value when nothing is to be done.
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

/// Target that rendezvous hashing gives a slot among `aCandidates`, which has
/// at least one element.
target_name RendezvousTarget(const slot_id& aSlot,
                             const std::vector<target_name>& aCandidates);

} // namespace parsleystair
