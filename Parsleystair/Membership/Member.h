#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Peers/PeerClient.h"

#include <optional>

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

} // namespace parsleystair
