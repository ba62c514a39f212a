#pragma once

#include "Parsleystair/Membership/Member.h"

#include <deque>
#include <optional>

namespace parsleystair {

/// Settings and times from which the state of a member is computed, besides
/// the member's own entry.
struct member_context
{
  duration mSuspectAfter;
  duration mLostAfter;
  /// Added to both limits when notices of the member arrive through other
  /// routers.
  duration mRelayAllowance;
  /// When this process last resumed after a pause.
  time_point mResumedAt;
  time_point mNow;
};

/// One entry of the membership view.
struct known_member
{
  member_notice mNotice;
  bool mListed = false;
  time_point mKnownSince;
  /// Time of the newest confirmation that the member was alive, received from
  /// the member or through other routers.
  std::optional<time_point> mConfirmedAt;
  std::optional<time_point> mDirectlyConfirmedAt;
  std::optional<time_point> mExchangedAt;
  /// Start of the direct exchange of heartbeats with the member; not set when
  /// there is none.
  std::optional<time_point> mDirectSince;
  time_point mInForceSince;
  /// When the member was last marked as lost. It stays lost until there is a
  /// confirmation newer than this time.
  std::optional<time_point> mLostAt;
  /// How many times the newest confirmation was relayed to other routers.
  uint32_t mRelayCount = 0;
  time_point mRelayedAt;
  /// Earlier incarnations, oldest first.
  std::deque<incarnation> mEarlierIncarnations;

  /// True when a confirmation of `aIncarnation` at `aConfirmedAt` may be
  /// applied.
  [[nodiscard]] bool Accepts(incarnation aIncarnation,
                             time_point aConfirmedAt,
                             duration aSuspectAfter) const;

  /// Applies a confirmation that `Accepts` allows.
  void ApplyNotice(const member_notice& aNotice,
                   time_point aConfirmedAt,
                   time_point aNow);

  [[nodiscard]] member_state StateAt(const member_context& aContext) const;

  /// The notice to relay to other routers. Requires an earlier confirmation.
  [[nodiscard]] member_notice MakeNotice(time_point aNow) const;

  [[nodiscard]] member Describe(const member_context& aContext) const;

private:
  void ReplaceIncarnation(incarnation aIncarnation);
};

/// Rounds up and clamps to the range of 32 bits.
uint32_t ToMilliseconds(duration aDuration);

} // namespace parsleystair
