#include "Parsleystair/Limits/CrashTable.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// One crash may be a coincidence; two with the same content are unlikely to
/// be.
constexpr uint32_t kMinCrashesToRefuse = 2;
constexpr duration kRefusalDuration = 300s;
/// The remaining time in a notice excludes its time in transit. Without this
/// margin, two routers that exchange notices would extend each other's
/// refusals.
constexpr duration kExtensionMargin = 5s;
/// Bounds the size of a heartbeat: 64 notices are about 1 KB.
constexpr size_t kMaxNotices = 64;
/// Maximum number of peers whose crashes are counted for one content.
constexpr size_t kMaxPeersPerEntry = 16;

duration RemainingTime(const crash_notice& aNotice)
{
  const duration remaining = std::chrono::milliseconds(aNotice.mRemainingMs);
  return std::min(remaining, kRefusalDuration);
}

} // namespace

crash_table::crash_table(size_t aMaxEntries)
  : mMaxEntries(aMaxEntries)
{
  PARSLEYSTAIR_INVARIANT(aMaxEntries > 0);
}

void crash_table::HandleCrash(uint64_t aFingerprint, time_point aNow)
{
  crash_entry* found = FindOrAdd(aFingerprint, aNow);
  if (found == nullptr) {
    return;
  }
  found->mOwnCrashes += 1;
  found->mExpiresAt = aNow + kRefusalDuration;
  RefuseIfRepeated(*found);
}

void crash_table::Merge(const vm_name& aPeer,
                        const crash_notice& aNotice,
                        time_point aNow)
{
  const duration remaining = RemainingTime(aNotice);
  if (aNotice.mCrashes == 0 || remaining <= duration::zero()) {
    return;
  }
  crash_entry* found = FindOrAdd(aNotice.mFingerprint, aNow);
  if (found == nullptr) {
    return;
  }
  if (aNow + remaining > found->mExpiresAt + kExtensionMargin) {
    found->mExpiresAt = aNow + remaining;
  }
  if (aNotice.mCrashes >= kMinCrashesToRefuse) {
    found->mRefused = true;
    return;
  }
  if (found->mPeerCrashes.size() < kMaxPeersPerEntry) {
    found->mPeerCrashes[aPeer] = aNotice.mCrashes;
  }
  RefuseIfRepeated(*found);
}

std::optional<duration> crash_table::RefusedFor(uint64_t aFingerprint,
                                                time_point aNow) const
{
  const auto found = mEntries.find(aFingerprint);
  if (found == mEntries.end() || !found->second.mRefused ||
      aNow >= found->second.mExpiresAt) {
    return std::nullopt;
  }
  return found->second.mExpiresAt - aNow;
}

std::vector<crash_notice> crash_table::Notices(time_point aNow) const
{
  std::vector<crash_notice> notices;
  for (const auto& [fingerprint, entry] : mEntries) {
    // Don't forward a peer's single crash: the peer would count it as a second
    // crash.
    if (aNow >= entry.mExpiresAt ||
        (!entry.mRefused && entry.mOwnCrashes == 0)) {
      continue;
    }
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.mExpiresAt -
                                                            aNow);
    notices.push_back(
      { fingerprint,
        entry.mRefused ? kMinCrashesToRefuse : entry.mOwnCrashes,
        static_cast<uint32_t>(remaining.count()) });
  }
  std::sort(notices.begin(),
            notices.end(),
            [](const crash_notice& aLeft, const crash_notice& aRight) {
              return aLeft.mRemainingMs > aRight.mRemainingMs;
            });
  notices.resize(std::min(notices.size(), kMaxNotices));
  return notices;
}

crash_table::crash_entry* crash_table::FindOrAdd(uint64_t aFingerprint,
                                                 time_point aNow)
{
  Expire(aNow);
  const auto found = mEntries.find(aFingerprint);
  if (found != mEntries.end()) {
    return &found->second;
  }
  if (mEntries.size() >= mMaxEntries && !EvictOldest()) {
    return nullptr;
  }
  return &mEntries[aFingerprint];
}

void crash_table::Expire(time_point aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mExpiresAt;
  });
}

/// Evicts the entry that expires first among those that are not refused.
/// Refused contents stay, since they crashed targets repeatedly. Returns false
/// if all are refused.
bool crash_table::EvictOldest()
{
  auto oldest = mEntries.end();
  for (auto entry = mEntries.begin(); entry != mEntries.end(); ++entry) {
    const bool older = oldest == mEntries.end() ||
                       entry->second.mExpiresAt < oldest->second.mExpiresAt;
    if (!entry->second.mRefused && older) {
      oldest = entry;
    }
  }
  if (oldest == mEntries.end()) {
    return false;
  }
  mEntries.erase(oldest);
  return true;
}

void crash_table::RefuseIfRepeated(crash_entry& aCrashEntry)
{
  uint32_t crashes = aCrashEntry.mOwnCrashes;
  for (const auto& [peer, count] : aCrashEntry.mPeerCrashes) {
    crashes += count;
  }
  aCrashEntry.mRefused = aCrashEntry.mRefused || crashes >= kMinCrashesToRefuse;
}

} // namespace parsleystair
