#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleystair {

/// Request contents, identified by fingerprint, that are suspected of crashing
/// targets. Content with two crashes is refused for 300 s.
class crash_table
{
public:
  /// `aMaxEntries`: maximum number of contents in the table, at least 1.
  explicit crash_table(size_t aMaxEntries);

  /// Counts a crash observed by this router.
  void HandleCrash(uint64_t aFingerprint, time_point aNow);

  /// Adds the crashes and refusals of a peer. The same notice may arrive more
  /// than once.
  void Merge(const vm_name& aPeer,
             const crash_notice& aNotice,
             time_point aNow);

  /// Remaining time of the content's refusal; empty if it is not refused.
  [[nodiscard]] std::optional<duration> RefusedFor(uint64_t aFingerprint,
                                                   time_point aNow) const;

  /// Notices for the next heartbeat, longest remaining time first, at most 64.
  /// Contents that are not refused are listed with this router's own crashes
  /// only.
  [[nodiscard]] std::vector<crash_notice> Notices(time_point aNow) const;

  [[nodiscard]] size_t Size() const { return mEntries.size(); }

private:
  struct crash_entry
  {
    uint32_t mOwnCrashes = 0;
    std::map<vm_name, uint32_t> mPeerCrashes;
    bool mRefused = false;
    time_point mExpiresAt = time_point::min();
  };

  crash_entry* FindOrAdd(uint64_t aFingerprint, time_point aNow);
  void Expire(time_point aNow);
  bool EvictOldest();
  static void RefuseIfRepeated(crash_entry& aCrashEntry);

  size_t mMaxEntries;
  std::map<uint64_t, crash_entry> mEntries;
};

} // namespace parsleystair
