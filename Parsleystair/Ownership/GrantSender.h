#pragma once

#include "Parsleystair/Ownership/GroupState.h"
#include "Parsleystair/Ownership/TargetSession.h"

#include <functional>

namespace parsleystair {

/// Sends grants to the targets of the groups that this router renews, and
/// probes to those targets that do not check grants.
class grant_sender
{
public:
  using groups = std::map<group_index, group_state>;

  grant_sender(vm_name aSelf, const ownership_settings& aSettings);

  /// Sets the targets of a group from its record: current owners and the
  /// destinations of moves. A message to each of them becomes due at once.
  void SetTargets(group_index aGroup, const group_record& aRecord);

  /// Appends the messages that are due. Drops the sessions of due targets that
  /// belong to no group that this router renews.
  void Send(const groups& aGroups,
            const configuration& aConfiguration,
            time_point aNow,
            ownership_actions& aActions);

  /// Makes a message due to each target from which grants were withheld for
  /// lack of authority.
  void HandleNewAuthority();

  /// Returns false when the target has no session, or when this reply answers
  /// an older message than a reply that was handled before.
  bool HandleReply(const target_id& aTarget,
                   const grant_reply& aReply,
                   time_point aSentAt,
                   time_point aNow);

  void HandleAnswer(const target_id& aTarget,
                    time_point aSentAt,
                    time_point aNow);

  void RestartLossDetection(time_point aNow);

  [[nodiscard]] std::set<target_id> LostTargets(time_point aNow) const;

  /// True when fewer than half of the targets have answered since the lost ones
  /// stopped answering. In that case this router is probably cut off itself.
  [[nodiscard]] bool IsCutOff(const std::set<target_id>& aLost) const;

  [[nodiscard]] const std::map<target_id, target_session>& Sessions() const
  {
    return mSessions;
  }

private:
  struct group_targets
  {
    std::set<target_id> mOwners;
    /// Current owners and the destinations of moves.
    std::set<target_id> mAll;
  };

  void SendTo(const target_id& aTarget,
              target_session& aSession,
              const groups& aGroups,
              time_point aNow,
              ownership_actions& aActions);
  [[nodiscard]] bool IsRenewed(const target_id& aTarget,
                               const groups& aGroups) const;

  vm_name mSelf;
  ownership_settings mSettings;
  std::map<group_index, group_targets> mTargetsOfGroup;
  std::map<target_id, std::set<group_index>> mGroupsOfTarget;
  std::map<target_id, target_session> mSessions;
  /// No message is due before this time.
  time_point mNextDue = time_point::min();
};

} // namespace parsleystair
