#pragma once

#include "Parsleystair/Core/Time.h"
#include "StandIns/standin_platform/KeyValueTypes.h"

#include <deque>
#include <map>
#include <set>

namespace parsleystair {

/// Key-value store with revisions, transactions, leases and compaction, in
/// memory, with the semantics of etcd's v3 interface.
class key_value_core
{
public:
  /// Longest value, in bytes.
  static constexpr size_t kMaxValueBytes = 1024 * 1024;

  /// Keeps the last `aHistory` revisions and compacts older ones.
  explicit key_value_core(uint64_t aHistory = 1000);

  /// Revision of the last change; 1 at the start.
  [[nodiscard]] uint64_t Head() const { return mHead; }

  /// Oldest revision that can be read.
  [[nodiscard]] uint64_t CompactRevision() const { return mCompactRevision; }

  /// Throws `key_value_error` for a revision that is compacted or to come.
  [[nodiscard]] kv_range_result Range(const kv_range& aRange) const;

  /// All writes get the same revision. Throws `key_value_error` for a value
  /// that is too large, a key written twice and an unknown lease.
  kv_transaction_result Transact(const kv_transaction& aTransaction);

  /// Throws `key_value_error` for a revision that is compacted or to come.
  void Compact(uint64_t aRevision);

  /// Changes from `aRevision` on, deletions included, in order of revision.
  /// Throws `key_value_error` when some of them are compacted.
  [[nodiscard]] std::vector<kv_entry> EventsSince(
    uint64_t aRevision,
    const kv_interval& aKeys) const;

  /// Id 0 takes a free one. Throws `key_value_error` when the id is in use.
  uint64_t GrantLease(uint64_t aId, duration aTtl, time_point aNow);

  /// New time to live; 0 when the lease doesn't exist.
  duration KeepLeaseAlive(uint64_t aId, time_point aNow);

  /// Deletes the lease's keys. Throws `key_value_error` for an unknown lease.
  void RevokeLease(uint64_t aId);

  /// Revokes each lease whose time is over.
  void ExpireLeases(time_point aNow);

  /// Revokes all leases, as if their time were over.
  void LapseLeases();

private:
  struct lease_state
  {
    duration mTtl{};
    time_point mEnd{};
    std::set<std::string> mKeys;
  };
  struct key_change
  {
    uint64_t mRevision = 0;
    std::string mKey;
  };

  /// Versions of a key, oldest first; never empty.
  using versions = std::vector<kv_entry>;

  [[nodiscard]] const kv_entry* FindAt(const versions& aVersions,
                                       uint64_t aRevision) const;
  [[nodiscard]] const kv_entry* FindNewest(const std::string& aKey) const;
  [[nodiscard]] std::vector<std::string> LiveKeys(
    const kv_interval& aKeys) const;
  void CheckRevision(uint64_t aRevision) const;
  void CheckOperations(const std::vector<kv_operation>& aOperations) const;
  [[nodiscard]] bool Holds(const kv_compare& aCompare) const;
  kv_operation_result Apply(const kv_operation& aOperation);
  void Put(const kv_put& aPut);
  uint64_t Delete(const kv_interval& aKeys);
  void Store(kv_entry aEntry);
  void FinishWrite();
  void DropVersionsBefore(const std::string& aKey, uint64_t aRevision);

  uint64_t mHistory;
  uint64_t mHead = 1;
  uint64_t mCompactRevision = 1;
  /// The write in progress has changed a key at `mHead + 1`.
  bool mChanged = false;
  uint64_t mNextLease = 1;
  std::map<std::string, versions> mKeys;
  std::deque<key_change> mChanges;
  std::map<uint64_t, lease_state> mLeases;
};

} // namespace parsleystair
