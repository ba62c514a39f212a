#pragma once

#include "Parsleystair/Membership/KnownMember.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace parsleystair {

/// Tracks which routers exist and which are live, based on the platform's list
/// and on heartbeats. Uses only durations from other routers, never their clock
/// readings.
class membership_view
{
public:
  /// `aSelf` describes this process; its ages are ignored.
  membership_view(const membership_settings& aSettings,
                  member_notice aSelf,
                  time_point aNow);

  /// Records the configuration that came into force on this router at `aNow`.
  void SetConfiguration(configuration_revision aRevision, time_point aNow);
  void SetLeaving();
  /// Sets the routers that hold a group together with this one. They get a
  /// heartbeat in each round, up to the limit of peers.
  void SetCoHolders(std::set<vm_name> aCoHolders);

  /// Applies the platform's list. An empty list is ignored, because a correct
  /// list contains at least this VM.
  void HandleList(const std::vector<listed_vm>& aList, time_point aNow);

  /// Applies a heartbeat, whether it is a call or a reply.
  void HandleHeartbeat(const heartbeat_message& aMessage, time_point aNow);

  /// Call at least once per interval. A late call means that this process was
  /// paused; missing heartbeats during the pause do not change the state of
  /// other members.
  void HandleTick(time_point aNow);

  /// Returns the peers to send a heartbeat to now, at most `mMaxPeers`, and
  /// records the heartbeats as exchanged.
  std::vector<peer_address> TakePeers(time_point aNow);

  /// Builds the next heartbeat to send, without the group digest and the
  /// crashes.
  heartbeat_message MakeHeartbeat(time_point aNow);

  /// All known routers except this one, sorted by name.
  [[nodiscard]] std::vector<member> Members(time_point aNow) const;

  /// Empty when the router is unknown.
  [[nodiscard]] std::optional<member> Find(const vm_name& aName,
                                           time_point aNow) const;

  /// Live routers, including this one unless it is leaving, in order of rank
  /// for a duty. The order is the same on all routers whose views agree.
  [[nodiscard]] std::vector<vm_identity> RankFor(std::string_view aDuty,
                                                 time_point aNow) const;

  /// Longest time until a notice of any live member arrives through other
  /// routers.
  [[nodiscard]] duration RelayAllowance() const;

private:
  void HandleNotice(const member_notice& aNotice,
                    bool aIsDirect,
                    time_point aNow);
  known_member* FindOrAdd(const vm_name& aName, time_point aNow);
  [[nodiscard]] member_context ContextAt(time_point aNow) const;
  [[nodiscard]] std::set<vm_name> DirectPeers(time_point aNow) const;
  [[nodiscard]] std::set<vm_name> RingSuccessors(time_point aNow) const;
  bool IsDue(const known_member& aKnown, time_point aNow) const;
  void UpdateDirectPeers(time_point aNow);
  void MarkLost(time_point aNow);
  void RemoveExpired(time_point aNow);

  const membership_settings mSettings;
  member_notice mSelf;
  time_point mInForceSince;
  std::set<vm_name> mCoHolders;
  std::map<vm_name, known_member> mMembers;
  time_point mLastTick;
  /// When this process last resumed after a pause.
  time_point mResumedAt;
  /// Number of random peers selected so far.
  uint64_t mRandomPeerCount = 0;
  time_point mLastRandomPeerAt;
};

} // namespace parsleystair
