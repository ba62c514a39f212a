#pragma once

#include "Parsleystair/Platform/CoordinationStore.h"

#include <deque>

namespace parsleystair {

/// The latest change of each key of one prefix that this router's own watches
/// have shown lately, kept for the routers that use this router as their relay.
/// Its memory doesn't depend on how often a key changes.
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

  /// The history has the latest change of each key that has changed after
  /// `aAfter`, up to a recent reply of the store.
  [[nodiscard]] bool Covers(store_revision aAfter, time_point aNow) const;

  /// `aAfter`: a revision that `Covers` accepts.
  [[nodiscard]] watch_reply ChangesAfter(store_revision aAfter) const;

  /// Time since which the store may have had a further change; `kUnknownAge`
  /// before the first reply that states it.
  [[nodiscard]] duration Age(time_point aNow) const;

  /// Bytes of the keys and values kept.
  [[nodiscard]] size_t Bytes() const { return mBytes; }

private:
  void Add(const item_change& aChange);

  /// In the order of their arrival.
  std::deque<item_change> mChanges;
  size_t mBytes = 0;
  /// The history has the latest changes after `mCoveredAfter` up to
  /// `mCoveredUpTo`.
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
