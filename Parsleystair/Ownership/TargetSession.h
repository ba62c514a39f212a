#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipSettings.h"

#include <map>
#include <optional>

namespace parsleystair {

/// State that this router keeps for one target: the target's clock, the grants
/// it accepted and whether it still answers.
class target_session
{
public:
  explicit target_session(const ownership_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Handles a reply to a message sent at `aSentAt`. Returns false when a reply
  /// to a later message was handled before; the reply then counts only as an
  /// answer of the target.
  bool HandleReply(const grant_reply& aReply,
                   time_point aSentAt,
                   time_point aNow);

  /// The target answered a message or request that was sent at `aSentAt`.
  void HandleAnswer(time_point aSentAt, time_point aNow);

  /// Restarts the loss timeout, because missing answers may be the fault of
  /// this router.
  void RestartLossDetection(time_point aNow);

  /// A message was sent that the target should answer.
  void HandleSent(time_point aNow);

  /// True when the target has answered nothing for the loss timeout.
  [[nodiscard]] bool IsLost(time_point aNow) const;

  /// When the first message since the last answer was sent, if any.
  [[nodiscard]] std::optional<time_point> UnansweredSince() const
  {
    return mUnansweredSince;
  }

  /// True when the target answered a message sent at `aTime` or later.
  [[nodiscard]] bool HasAnsweredSince(time_point aTime) const
  {
    return mAnsweredSentAt && *mAnsweredSentAt >= aTime;
  }

  [[nodiscard]] bool IsDue(time_point aNow) const { return aNow >= mDueAt; }
  [[nodiscard]] time_point DueAt() const { return mDueAt; }
  void MakeDue() { mDueAt = time_point::min(); }

  /// True when no clock of the target is known, or the known one is so old that
  /// half of the lifetime of a grant based on it has passed.
  [[nodiscard]] bool HasOutdatedClock(time_point aNow) const;

  /// True when the target has accepted this revision of the group, so that a
  /// renewal can omit the slots.
  [[nodiscard]] bool HasAccepted(const group_revision& aRevision) const;

  [[nodiscard]] uint64_t ClockMs() const { return mClockMs; }
  [[nodiscard]] uint64_t BootId() const { return mBootId; }
  /// When this router received the first reply from the target's current
  /// process.
  [[nodiscard]] time_point BootIdSeenAt() const { return mBootIdSeenAt; }
  [[nodiscard]] std::optional<time_point> LastAnswerAt() const
  {
    return mLastAnswerAt;
  }

  /// The last message omitted a grant for lack of authority.
  bool mHasWithheldGrant = false;

private:
  ownership_settings mSettings;
  uint64_t mClockMs = 0;
  uint64_t mBootId = 0;
  time_point mBootIdSeenAt;
  std::optional<time_point> mClockSeenAt;
  time_point mReplySentAt;
  std::optional<time_point> mLastAnswerAt;
  /// Send time of the latest message that was answered.
  std::optional<time_point> mAnsweredSentAt;
  /// Send time of the first message since the last answer.
  std::optional<time_point> mUnansweredSince;
  time_point mDueAt = time_point::min();
  std::map<group_index, store_revision> mAccepted;
};

} // namespace parsleystair
