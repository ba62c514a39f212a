#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Peers/PeerClient.h"

#include <optional>

namespace parsleystair {

/// Time limits and size limits of the membership view.
struct membership_settings
{
  /// Time between two heartbeats with the same peer.
  duration mInterval = 200ms;
  duration mSuspectAfter = 500ms;
  duration mLostAfter = 1500ms;
  /// Added to the age of notices that other routers relay, to cover the
  /// transmission time.
  duration mHopDelay = 200ms;
  /// Unlisted members are removed after this time without a confirmation.
  duration mRemoveAfter = 10min;
  /// Maximum number of peers in one round of heartbeats.
  size_t mMaxPeers = 8;
  /// Number of neighbours on each side in the ring sorted by name.
  size_t mRingNeighbours = 2;
  /// Maximum number of members described in one heartbeat, besides the sender.
  size_t mMaxNotices = 4;
  /// Members beyond this number are ignored.
  size_t mMaxMembers = 4096;
};

enum class member_state
{
  kLive,
  /// No confirmation for a short time.
  kSuspect,
  /// No confirmation for so long that the member is considered stopped.
  kLost,
  /// Live and shutting down; is assigned no new duties.
  kLeaving,
};

/// State of one router in the membership view.
struct member
{
  vm_identity mVm;
  peer_address mAddress;
  failure_domain_name mFailureDomain;
  member_state mState = member_state::kSuspect;
  bool mListed = false;
  /// Time since the newest confirmation; not set when there was none.
  std::optional<duration> mAge;
  /// Configuration in force on the router; 0 when unknown.
  configuration_revision mConfiguration;
  duration mInForce = duration::zero();

  bool operator==(const member&) const = default;
};

} // namespace parsleystair
