#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleystair {

/// Contents of requests that seem to crash targets. Content with two crashes is
/// refused for 300 s.
class crash_table
{
public:
  /// `aMaxEntries`: contents that are kept, at least 1.
  explicit crash_table(size_t aMaxEntries);

  /// Counts a crash that this router observed.
  void HandleCrash(uint64_t aFingerprint, time_point aNow);

  /// Takes over what a peer observed or refuses. A peer's notices may repeat.
  void Merge(const vm_name& aPeer,
             const crash_notice& aNotice,
             time_point aNow);

  /// Time left for which the content is refused; nothing when it is allowed.
  [[nodiscard]] std::optional<duration> RefusedFor(uint64_t aFingerprint,
                                                   time_point aNow) const;

  /// For the next heartbeat, newest first, bounded in number. Contents that
  /// are not refused are listed with this router's own crashes only.
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
