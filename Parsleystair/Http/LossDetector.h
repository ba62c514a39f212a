#pragma once

#include "Parsleystair/Core/Time.h"

#include <optional>

namespace parsleystair {

/// What the system knows of a peer to which it sends bytes.
struct peer_signs
{
  /// Number of segments sent that the peer has not acknowledged.
  uint32_t mSegmentsInFlight = 0;
  /// Number of probes of a full peer, sent since its last acknowledgement.
  uint32_t mUnansweredProbes = 0;
  /// Time since the peer's last acknowledgement.
  duration mSinceAcknowledgement{};

  bool operator==(const peer_signs&) const = default;
};

/// Tells a lost peer from one that doesn't read for a while. The system of the
/// latter goes on to acknowledge what is sent to it, also the probes that ask
/// if it takes more bytes.
class loss_detector
{
public:
  /// `aLimit`: time without an acknowledgement that is due, after which a peer
  /// is lost.
  explicit loss_detector(duration aLimit);

  /// Time between two checks while bytes are not acknowledged. A lost peer is
  /// found at most two intervals after the limit.
  [[nodiscard]] duration CheckInterval() const;

  /// Checks the peer once more. Returns whether it is lost.
  bool Check(const peer_signs& aSigns, time_point aNow);

private:
  duration mLimit;
  /// First check since which an acknowledgement has been due and none arrived.
  std::optional<time_point> mDueSince;
};

} // namespace parsleystair
