#pragma once

#include "Parsleystair/Platform/CoordinationStore.h"

#include <map>
#include <optional>

namespace parsleystair {

/// The items of one prefix as this router has read and watched them, kept for
/// the routers that use this router as their relay.
class prefix_snapshot
{
public:
  /// Takes over a complete read.
  void HandleRead(const prefix_reply& aReply);

  /// Adds the reply to a watch for changes after `aAfter`. A reply that doesn't
  /// continue the snapshot makes it incomplete.
  void HandleReply(store_revision aAfter, const watch_reply& aReply);

  /// The snapshot has all items at its revision.
  [[nodiscard]] bool IsComplete() const { return mIsComplete; }

  /// Changes from this snapshot to a later read; nothing if there may be others
  /// that neither shows.
  [[nodiscard]] std::optional<watch_reply> ChangesUntil(
    const prefix_reply& aReply) const;

  [[nodiscard]] store_revision Revision() const { return mRevision; }
  /// The snapshot as `EncodePrefixReply` encodes it.
  [[nodiscard]] const std::string& Encoded() const;

private:
  std::map<std::string, stored_item> mItems;
  store_revision mRevision;
  bool mIsComplete = false;
  /// Empty if the snapshot has changed since it was encoded.
  mutable std::string mEncoded;
};

std::string EncodePrefixReply(const prefix_reply& aReply);

/// Throws `parse_error`.
prefix_reply DecodePrefixReply(const std::string& aText);

} // namespace parsleystair
