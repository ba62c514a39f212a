#pragma once

#include "Parsleystair/Ownership/OwnershipActions.h"
#include "Parsleystair/Ownership/OwnershipSettings.h"

#include <map>
#include <optional>

namespace parsleystair {

/// What this router knows of one target: its clock, what it accepted and
/// whether it still answers.
class target_session
{
public:
  explicit target_session(const ownership_settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Notes a reply to a message sent at `aSentAt`. False when a reply to a
  /// later message came before; then nothing but evidence of life is taken.
  bool HandleReply(const grant_reply& aReply,
                   time_point aSentAt,
                   time_point aNow);

  /// The target answered something that was sent at `aSentAt`.
  void HandleAnswer(time_point aSentAt, time_point aNow);

  /// Forgets the silence so far, because it may be this router's own.
  void RestartLossDetection(time_point aNow);

  /// Notes that something was sent that the target should answer.
  void HandleSent(time_point aNow);

  /// True when the target left everything unanswered for the suspicion time.
  [[nodiscard]] bool IsLost(time_point aNow) const;

  /// When the first message was sent that has no answer, if any.
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

  /// True when a message sent now would expire soon after its arrival.
  [[nodiscard]] bool HasOutdatedClock(time_point aNow) const;

  /// Group at this revision with or without its slots, as the target needs.
  [[nodiscard]] bool HasAccepted(const group_revision& aRevision) const;

  [[nodiscard]] uint64_t ClockMs() const { return mClockMs; }
  [[nodiscard]] uint64_t Boot() const { return mBoot; }
  /// When this router first heard from the target's present process.
  [[nodiscard]] time_point BootSeenAt() const { return mBootSeenAt; }
  [[nodiscard]] std::optional<time_point> LastAnswerAt() const
  {
    return mLastAnswerAt;
  }

  /// A grant was held back for lack of authority.
  bool mHasWithheldGrant = false;

private:
  ownership_settings mSettings;
  uint64_t mClockMs = 0;
  uint64_t mBoot = 0;
  time_point mBootSeenAt;
  std::optional<time_point> mClockSeenAt;
  time_point mReplySentAt;
  std::optional<time_point> mLastAnswerAt;
  /// Latest message that was answered.
  std::optional<time_point> mAnsweredSentAt;
  /// First message since the last evidence of life.
  std::optional<time_point> mUnansweredSince;
  time_point mDueAt = time_point::min();
  std::map<group_index, store_revision> mAccepted;
};

} // namespace parsleystair
