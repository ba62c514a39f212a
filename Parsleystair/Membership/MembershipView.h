#pragma once

#include "Parsleystair/Membership/KnownMember.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace parsleystair {

/// Which routers exist and live, from the platform's list and heartbeats. Only
/// durations are taken over from others, never their clocks.
class membership_view
{
public:
  /// `aSelf` describes this process; its ages are ignored.
  membership_view(const membership_settings& aSettings,
                  member_notice aSelf,
                  time_point aNow);

  /// The configuration that came into force here at `aNow`.
  void SetConfiguration(configuration_revision aRevision, time_point aNow);
  void SetLeaving();
  /// Routers that hold a group together with this one; they get a heartbeat in
  /// each round, up to the limit of peers.
  void SetCoHolders(std::set<vm_name> aCoHolders);

  /// Takes in the platform's list. An empty list is ignored, because this VM
  /// would be on a true one.
  void HandleList(const std::vector<listed_vm>& aList, time_point aNow);

  /// Takes in a heartbeat, whether it is a call or a reply.
  void HandleHeartbeat(const heartbeat_message& aMessage, time_point aNow);

  /// Call at least every interval. A late call means that this process was
  /// paused; silence during the pause is not held against others.
  void HandleTick(time_point aNow);

  /// Peers to send a heartbeat to now, at most `mMaxPeers`. They count as sent
  /// to.
  std::vector<peer_address> TakePeers(time_point aNow);

  /// The next heartbeat to send; without group digest and crashes.
  heartbeat_message MakeHeartbeat(time_point aNow);

  /// All known routers but this one, by name.
  [[nodiscard]] std::vector<member> Members(time_point aNow) const;

  /// Empty when the router is unknown.
  [[nodiscard]] std::optional<member> Find(const vm_name& aName,
                                           time_point aNow) const;

  /// Live routers, this one included, in the order in which they take a duty.
  /// The same on all routers whose views agree.
  [[nodiscard]] std::vector<vm_identity> RankFor(std::string_view aDuty,
                                                 time_point aNow) const;

  /// Longest time in which news of any live member arrives through others.
  [[nodiscard]] duration RelayAllowance() const;

private:
  void HandleNotice(const member_notice& aNotice,
                    bool aFirstHand,
                    time_point aNow);
  known_member* FindOrAdd(const vm_name& aName, time_point aNow);
  [[nodiscard]] member_context ContextAt(time_point aNow) const;
  [[nodiscard]] std::set<vm_name> DirectPeers(time_point aNow) const;
  [[nodiscard]] std::set<vm_name> RingSuccessors(time_point aNow) const;
  bool IsDue(const known_member& aKnown, time_point aNow) const;
  void UpdateDirectPeers(time_point aNow);
  void MarkLost(time_point aNow);
  void Forget(time_point aNow);

  const membership_settings mSettings;
  member_notice mSelf;
  time_point mInForceSince;
  std::set<vm_name> mCoHolders;
  std::map<vm_name, known_member> mMembers;
  time_point mLastTick;
  /// End of this process's last pause.
  time_point mResumedAt;
  /// Extra peers taken so far.
  uint64_t mProbes = 0;
  time_point mLastProbeAt;
};

} // namespace parsleystair
