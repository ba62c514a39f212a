#pragma once

#include "Parsleystair/Membership/Member.h"

#include <deque>
#include <optional>

namespace parsleystair {

/// What the state of a member depends on, besides the member itself.
struct member_context
{
  duration mSuspectAfter;
  duration mLostAfter;
  /// Added when news of the member comes through others.
  duration mRelayAllowance;
  /// End of this process's last pause.
  time_point mResumedAt;
  time_point mNow;
};

/// One entry of the membership view.
struct known_member
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

  /// True when a sign of life of `aIncarnation` at `aHeardAt` may be taken in.
  [[nodiscard]] bool MayTake(incarnation aIncarnation,
                             time_point aHeardAt,
                             duration aSuspectAfter) const;

  /// Takes in a sign of life that `MayTake` allows.
  void Hear(const member_notice& aNotice, time_point aHeardAt, time_point aNow);

  [[nodiscard]] member_state StateAt(const member_context& aContext) const;

  /// What to tell others; call only when there was a sign of life.
  [[nodiscard]] member_notice NoticeAt(time_point aNow) const;

  [[nodiscard]] member Describe(const member_context& aContext) const;

private:
  void ReplaceIncarnation(incarnation aIncarnation);
};

/// Rounds up and stays within 32 bits.
uint32_t ToMilliseconds(duration aDuration);

} // namespace parsleystair
