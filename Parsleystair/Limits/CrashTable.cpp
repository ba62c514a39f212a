#include "Parsleystair/Limits/CrashTable.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// One crash may be chance; a second one with the same content hardly is.
constexpr uint32_t kCrashesToRefuse = 2;
constexpr duration kRefusalTime = 300s;
/// A notice grows older on its way, so that two routers that exchange notices
/// would extend each other's refusals without this margin.
constexpr duration kExtensionMargin = 5s;
/// Bounds the size of a heartbeat: 64 notices are about 1 KB.
constexpr size_t kMaxNotices = 64;
/// Peers whose crashes are counted apart for one content.
constexpr size_t kMaxPeers = 16;

duration RemainingOf(const crash_notice& aNotice)
{
  const duration remaining = std::chrono::milliseconds(aNotice.mRemainingMs);
  return std::min(remaining, kRefusalTime);
}

} // namespace

crash_table::crash_table(size_t aMaxContents)
  : mMaxContents(aMaxContents)
{
  PARSLEYSTAIR_INVARIANT(aMaxContents > 0);
}

void crash_table::HandleCrash(uint64_t aFingerprint, time_point aNow)
{
  content* found = FindOrAdd(aFingerprint, aNow);
  if (found == nullptr) {
    return;
  }
  found->mOwnCrashes += 1;
  found->mUntil = aNow + kRefusalTime;
  RefuseWhenRepeated(*found);
}

void crash_table::Merge(const vm_name& aPeer,
                        const crash_notice& aNotice,
                        time_point aNow)
{
  const duration remaining = RemainingOf(aNotice);
  if (aNotice.mCrashes == 0 || remaining <= duration::zero()) {
    return;
  }
  content* found = FindOrAdd(aNotice.mFingerprint, aNow);
  if (found == nullptr) {
    return;
  }
  if (aNow + remaining > found->mUntil + kExtensionMargin) {
    found->mUntil = aNow + remaining;
  }
  if (aNotice.mCrashes >= kCrashesToRefuse) {
    found->mRefused = true;
    return;
  }
  if (found->mPeerCrashes.size() < kMaxPeers) {
    found->mPeerCrashes[aPeer] = aNotice.mCrashes;
  }
  RefuseWhenRepeated(*found);
}

std::optional<duration> crash_table::RefusedFor(uint64_t aFingerprint,
                                                time_point aNow) const
{
  const auto found = mContents.find(aFingerprint);
  if (found == mContents.end() || !found->second.mRefused ||
      aNow >= found->second.mUntil) {
    return std::nullopt;
  }
  return found->second.mUntil - aNow;
}

std::vector<crash_notice> crash_table::Notices(time_point aNow) const
{
  std::vector<crash_notice> notices;
  for (const auto& [fingerprint, entry] : mContents) {
    // A peer's single crash is not passed on: it would come back and be counted
    // as a second one.
    if (aNow >= entry.mUntil || (!entry.mRefused && entry.mOwnCrashes == 0)) {
      continue;
    }
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(entry.mUntil -
                                                            aNow);
    notices.push_back({ fingerprint,
                        entry.mRefused ? kCrashesToRefuse : entry.mOwnCrashes,
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

crash_table::content* crash_table::FindOrAdd(uint64_t aFingerprint,
                                             time_point aNow)
{
  Expire(aNow);
  const auto found = mContents.find(aFingerprint);
  if (found != mContents.end()) {
    return &found->second;
  }
  if (mContents.size() >= mMaxContents && !MakeSpace()) {
    return nullptr;
  }
  return &mContents[aFingerprint];
}

void crash_table::Expire(time_point aNow)
{
  std::erase_if(mContents, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mUntil;
  });
}

/// Drops the oldest content that is not refused. Refused contents stay, since
/// each of them is known to crash targets.
bool crash_table::MakeSpace()
{
  auto oldest = mContents.end();
  for (auto entry = mContents.begin(); entry != mContents.end(); ++entry) {
    const bool older =
      oldest == mContents.end() || entry->second.mUntil < oldest->second.mUntil;
    if (!entry->second.mRefused && older) {
      oldest = entry;
    }
  }
  if (oldest == mContents.end()) {
    return false;
  }
  mContents.erase(oldest);
  return true;
}

void crash_table::RefuseWhenRepeated(content& aContent)
{
  uint32_t crashes = aContent.mOwnCrashes;
  for (const auto& [peer, count] : aContent.mPeerCrashes) {
    crashes += count;
  }
  aContent.mRefused = aContent.mRefused || crashes >= kCrashesToRefuse;
}

} // namespace parsleystair
