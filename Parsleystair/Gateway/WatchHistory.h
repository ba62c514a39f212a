#pragma once

#include "Parsleystair/Platform/CoordinationStore.h"

#include <deque>

namespace parsleystair {

/// Changes of one prefix that this router's own watches brought, kept for
/// routers that ask for them.
class watch_history
{
public:
  /// A watch after a revision was answered.
  void HandleReply(store_revision aAfter,
                   const watch_reply& aReply,
                   time_point aNow);

  /// A watch failed: what is held may be out of date.
  void HandleFailure();

  /// All changes after the revision are held, as of a moment ago.
  [[nodiscard]] bool Covers(store_revision aAfter, time_point aNow) const;

  /// `aAfter`: a covered revision.
  [[nodiscard]] watch_reply ChangesAfter(store_revision aAfter) const;

private:
  std::deque<item_change> mChanges;
  /// Changes after the first up to the second revision are held.
  store_revision mCoveredAfter;
  store_revision mCoveredUpTo;
  time_point mLastReplyAt = time_point::min();
};

std::string EncodeWatchReply(const watch_reply& aReply);

/// Throws `parse_error`.
watch_reply DecodeWatchReply(const std::string& aText);

} // namespace parsleystair
