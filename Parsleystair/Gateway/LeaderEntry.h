#pragma once

#include "Parsleystair/KeyRanges/RangeRecord.h"
#include "Parsleystair/Platform/CoordinationStore.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleystair {

/// The leading router as recorded in the store.
struct leader_entry
{
  vm_name mVm;
  /// Identifies one run of the process.
  incarnation mIncarnation;
  /// Address of the leader's server for requests of other routers.
  std::string mHost;
  uint16_t mPort = 0;
  /// Term in which the router leads; 0 if a router without terms wrote the
  /// entry.
  term_number mTerm;
  /// Lease that the leader key is bound to.
  lease_id mLease;

  bool operator==(const leader_entry&) const = default;
};

std::string EncodeLeaderEntry(const leader_entry& aEntry);

/// Throws `parse_error`.
leader_entry DecodeLeaderEntry(const std::string& aText);

/// Every router that may still send orders to targets. The value is stored
/// without a lease and is written together with the leader key, so that a new
/// leader also knows the former leaders whose terms it did not observe.
struct leader_terms
{
  /// Number of the next term; above all numbers assigned so far.
  term_number mNext = term_number(1);
  /// Whether the ownership records of the present era name every holder of
  /// keys. After the store was restored, they don't until a leader has found
  /// out what the store has lost.
  bool mRecovered = true;
  /// Set if records were written in the present era before the recovery had
  /// ended. When this time has passed since, every grant of earlier eras that
  /// they don't name has expired.
  std::optional<duration> mLostGrantsExpireIn;
  /// The leader of the newest term is last. There is one entry per address, as
  /// a process can only lead after an earlier one at its address has ended.
  std::vector<leader_entry> mLeaders;

  bool operator==(const leader_terms&) const = default;
};

/// Removes the entry with the address of `aEntry`, if there is one.
void RemoveLeader(leader_terms& aTerms, const leader_entry& aEntry);

std::string EncodeLeaderTerms(const leader_terms& aTerms);

/// Throws `parse_error`.
leader_terms DecodeLeaderTerms(const std::string& aText);

} // namespace parsleystair
