#pragma once

#include "Parsleystair/Platform/CoordinationStore.h"

#include <deque>

namespace parsleystair {

/// Recent changes of one prefix from this router's own watches, kept for the
/// routers that use this router as their relay.
class watch_history
{
public:
  /// Age up to which the last reply counts as proof that the store has no newer
  /// change: the longest wait of a relay's watch, 1 s, and half a second of
  /// transit.
  static constexpr duration kMaxReplyAge = 1500ms;
  static constexpr duration kUnknownAge = 1h;

  /// Adds the reply to a watch for changes after `aAfter`.
  void HandleReply(store_revision aAfter,
                   const watch_reply& aReply,
                   time_point aNow);

  /// A watch failed, so the history may be out of date.
  void HandleFailure();

  /// The history has all changes after `aAfter`, up to a recent reply of the
  /// store.
  [[nodiscard]] bool Covers(store_revision aAfter, time_point aNow) const;

  /// `aAfter`: a revision that `Covers` accepts.
  [[nodiscard]] watch_reply ChangesAfter(store_revision aAfter) const;

  /// Time since which the store may have had a further change; `kUnknownAge`
  /// before the first reply that states it.
  [[nodiscard]] duration Age(time_point aNow) const;

private:
  std::deque<item_change> mChanges;
  /// The history has all changes after `mCoveredAfter` up to `mCoveredUpTo`.
  store_revision mCoveredAfter;
  store_revision mCoveredUpTo;
  time_point mLastReplyAt = time_point::min();
  time_point mConfirmedAt = time_point::min();
};

/// A reply and its age: the time since its `mConfirmedAt`, which is not part of
/// the encoding, as clocks of machines differ.
struct aged_watch_reply
{
  watch_reply mReply;
  duration mAge{};
};

std::string EncodeWatchReply(const aged_watch_reply& aReply);

/// Throws `parse_error`.
aged_watch_reply DecodeWatchReply(const std::string& aText);

} // namespace parsleystair
