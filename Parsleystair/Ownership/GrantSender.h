#pragma once

#include "Parsleystair/Ownership/GroupState.h"
#include "Parsleystair/Ownership/TargetSession.h"

#include <functional>

namespace parsleystair {

/// Sends grants, or probes, to the targets of the groups that this router
/// renews.
class grant_sender
{
public:
  using groups = std::map<group_index, group_state>;

  grant_sender(vm_name aSelf, const ownership_settings& aSettings);

  /// Says which targets a group's record names, owners and owners to be; they
  /// get a message at once.
  void SetTargets(group_index aGroup, const group_record& aRecord);

  /// Messages that are due. Targets of no renewed group are forgotten.
  void Send(const groups& aGroups,
            const configuration& aConfiguration,
            time_point aNow,
            ownership_actions& aActions);

  /// Targets that grants were held back from get them with the next message.
  void HandleNewAuthority();

  /// False when the reply is older than one that came before.
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
  /// fell silent, so that this router is rather itself cut off.
  [[nodiscard]] bool IsCutOff(const std::set<target_id>& aLost) const;

  [[nodiscard]] const std::map<target_id, target_session>& Sessions() const
  {
    return mSessions;
  }

private:
  struct group_targets
  {
    std::set<target_id> mOwners;
    /// Owners and owners to be.
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
  /// Nothing is due before this time.
  time_point mNextDue = time_point::min();
};

} // namespace parsleystair
