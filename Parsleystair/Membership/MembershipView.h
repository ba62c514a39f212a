#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Peers/PeerClient.h"
#include "Parsleystair/Platform/PlatformStore.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace parsleystair {

/// Times and bounds of the membership view.
struct membership_settings
{
  /// Between two heartbeats with the same peer.
  duration mInterval = 200ms;
  duration mSuspectAfter = 500ms;
  duration mLostAfter = 1500ms;
  /// Added to the age of what others report, for the time on the way.
  duration mHopDelay = 200ms;
  /// Lost members that are not listed are forgotten after this time.
  duration mForgetAfter = 10min;
  /// Peers of one round of heartbeats.
  size_t mMaxPeers = 8;
  /// Neighbours on each side of the ring of names.
  size_t mRingNeighbours = 2;
  /// Members described in one heartbeat, besides the sender.
  size_t mNotices = 4;
  /// Further members are not taken in.
  size_t mMaxMembers = 4096;
};

enum class member_state
{
  kLive,
  /// Not heard of for a short time.
  kSuspect,
  /// Not heard of for so long that it counts as gone.
  kLost,
  /// Live and about to end; gets no new duties.
  kLeaving,
};

/// What is known of one router.
struct member
{
  vm_identity mVm;
  peer_address mAddress;
  failure_domain_name mFailureDomain;
  member_state mState = member_state::kSuspect;
  bool mListed = false;
  /// Time since the newest sign of life; not set when there was none.
  std::optional<duration> mAge;
  /// Configuration in force there; 0 when unknown.
  configuration_revision mConfiguration;
  duration mInForce = duration::zero();

  bool operator==(const member&) const = default;
};

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
  struct entry
  {
    member_notice mNotice;
    bool mListed = false;
    time_point mKnownSince;
    /// Newest sign of life, from the member or through others.
    std::optional<time_point> mHeardAt;
    std::optional<time_point> mHeardDirectlyAt;
    std::optional<time_point> mExchangedAt;
    /// Since when heartbeats are exchanged with it directly.
    std::optional<time_point> mDirectSince;
    time_point mInForceSince;
    /// When it was last taken for lost; it stays so until it has given a sign
    /// of life after that.
    std::optional<time_point> mLostAt;
    /// Times that the newest sign of life was passed on.
    uint32_t mPassedOn = 0;
    time_point mPassedOnAt;
    /// Earlier incarnations, oldest first.
    std::deque<incarnation> mSuperseded;
  };

  void HandleNotice(const member_notice& aNotice,
                    bool aFirstHand,
                    time_point aNow);
  entry* FindOrAdd(const vm_name& aName, time_point aNow);
  bool MayTakeIncarnation(const entry& aEntry,
                          const vm_identity& aVm,
                          time_point aHeardAt) const;
  static void ReplaceIncarnation(entry& aEntry, incarnation aIncarnation);
  static void TakeFields(entry& aEntry,
                         const member_notice& aNotice,
                         time_point aNow);
  [[nodiscard]] member_state StateOf(const entry& aEntry,
                                     time_point aNow) const;
  [[nodiscard]] member Describe(const entry& aEntry, time_point aNow) const;
  [[nodiscard]] member_notice NoticeOf(const entry& aEntry,
                                       time_point aNow) const;
  [[nodiscard]] std::set<vm_name> DirectPeers(time_point aNow) const;
  [[nodiscard]] std::set<vm_name> RingSuccessors(time_point aNow) const;
  bool IsDue(const entry& aEntry, time_point aNow) const;
  void UpdateDirectPeers(time_point aNow);
  void MarkLost(time_point aNow);
  void Forget(time_point aNow);

  const membership_settings mSettings;
  member_notice mSelf;
  time_point mInForceSince;
  std::set<vm_name> mCoHolders;
  std::map<vm_name, entry> mMembers;
  time_point mLastTick;
  /// End of this process's last pause.
  time_point mResumedAt;
  /// Extra peers taken so far.
  uint64_t mProbes = 0;
  time_point mLastProbeAt;
};

} // namespace parsleystair
