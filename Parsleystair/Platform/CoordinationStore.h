#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/StoreEra.h"
#include "Parsleystair/Core/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// Names one lease of the store; 0 stands for none.
using lease_id = strong_id<struct lease_tag, uint64_t>;

/// What is known of a call to the store after it ended.
enum class call_outcome
{
  kDone,
  /// A condition of a write did not hold.
  kConflict,
  /// The lease or the history that the call needs no longer exists.
  kGone,
  /// The store replied with more than this router takes. The same watch can
  /// only get a longer reply; a read gets the present values.
  kTooLong,
  /// The store said that it did nothing.
  kRefused,
  /// No whole answer came; the call may have taken effect, or may do so later.
  kUnknown,
};

/// One key of the store at one revision.
struct stored_item
{
  std::string mKey;
  std::string mValue;
  store_revision mRevision;

  bool operator==(const stored_item&) const = default;
};

/// One change of a key. A deletion has no value.
struct item_change
{
  std::string mKey;
  std::optional<std::string> mValue;
  store_revision mRevision;

  bool operator==(const item_change&) const = default;
};

struct prefix_reply
{
  call_outcome mOutcome = call_outcome::kUnknown;
  std::vector<stored_item> mItems;
  /// Revision of the store from which a watch can go on.
  store_revision mRevision;
  /// The store had no change after `mRevision` at this time.
  time_point mConfirmedAt = time_point::min();
};

struct watch_reply
{
  call_outcome mOutcome = call_outcome::kUnknown;
  std::vector<item_change> mChanges;
  store_revision mRevision;
  /// The store had no change of the prefix after `mRevision` at this time.
  time_point mConfirmedAt = time_point::min();
};

struct item_write
{
  std::string mKey;
  std::string mValue;
  lease_id mLease;

  bool operator==(const item_write&) const = default;
};

/// Condition: the last change of a key is at this revision; 0 stands for a key
/// that doesn't exist.
struct item_condition
{
  std::string mKey;
  store_revision mRevision;

  bool operator==(const item_condition&) const = default;
};

/// Writes that take effect together if all conditions hold.
struct conditional_write
{
  std::vector<item_condition> mConditions;
  std::vector<item_write> mWrites;
  std::vector<std::string> mDeletes;

  bool operator==(const conditional_write&) const = default;
};

struct write_reply
{
  call_outcome mOutcome = call_outcome::kUnknown;
  store_revision mRevision;
};

struct lease_reply
{
  call_outcome mOutcome = call_outcome::kUnknown;
  lease_id mLease;
  duration mTtl{};
};

/// Calls of one process by their kind and by how they ended; all only grow.
struct coordination_counters
{
  uint64_t mCalls = 0;
  /// Pages of prefixes that were read.
  uint64_t mReads = 0;
  uint64_t mWatches = 0;
  uint64_t mWrites = 0;
  uint64_t mLeaseRenewals = 0;
  /// Leases opened or ended.
  uint64_t mLeaseChanges = 0;
  uint64_t mDone = 0;
  uint64_t mRefused = 0;
  uint64_t mUnknown = 0;

  bool operator==(const coordination_counters&) const = default;
};

/// A key-value store with revisions, watches, conditional writes and leases.
/// Each call ends with one call of its callback, on the task that made it and
/// never inside the call itself.
///
/// The store may come back from an older copy, which starts a new era. A
/// condition on a revision of an earlier era doesn't hold, a watch from one
/// ends with `kGone`, and the outcome of a write that was sent in an earlier
/// era than it was answered in is unknown.
class coordination_store
{
public:
  virtual ~coordination_store() = default;

  /// Time by which a watch with this wait has its reply, unless the store has
  /// lost the watch.
  [[nodiscard]] virtual duration ReplyTime(duration aWait) const
  {
    // A reply of a slow store, over a link that loses a packet.
    constexpr duration kMaxReplyDelay = std::chrono::milliseconds(500);
    return aWait + kMaxReplyDelay;
  }

  /// Latest era of which a reply has arrived; the first era before any reply.
  [[nodiscard]] virtual store_era Era() const = 0;

  using era_handler = std::function<void(const store_era&)>;

  /// `aHandler` is called when `Era` changes, before the callback of the call
  /// whose reply shows the change.
  virtual void OnEraChange(era_handler aHandler) = 0;

  /// Linearizable read of all keys that begin with a prefix.
  virtual void ReadPrefix(const std::string& aPrefix,
                          std::function<void(prefix_reply)> aCallback) = 0;

  /// Changes after a revision; waits for the first one up to `aWait`.
  virtual void Watch(const std::string& aPrefix,
                     store_revision aAfter,
                     duration aWait,
                     std::function<void(watch_reply)> aCallback) = 0;

  virtual void Write(const conditional_write& aWrite,
                     std::function<void(write_reply)> aCallback) = 0;

  virtual void OpenLease(duration aTtl,
                         std::function<void(lease_reply)> aCallback) = 0;

  virtual void RenewLease(lease_id aLease,
                          std::function<void(lease_reply)> aCallback) = 0;

  virtual void EndLease(lease_id aLease,
                        std::function<void(lease_reply)> aCallback) = 0;

  [[nodiscard]] virtual const coordination_counters& Counters() const = 0;
};

} // namespace parsleystair
