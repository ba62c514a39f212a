#include "Parsleystair/Limits/CrashRegistry.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>
#include <tuple>

namespace parsleystair {

namespace {

/// Time after the latest crash for which crashes that are too few to refuse the
/// content are kept.
constexpr duration kCrashLifetime = 300s;
/// Time after the latest crash or refusal for which a content stays refused. A
/// caller that keeps sending it never gets through.
constexpr duration kRefusalLifetime = 600s;
/// Bounds the crashes that one record counts, and its size in messages.
constexpr size_t kMaxIncarnations = 8;
/// Bounds the size of a message to all routers to about 10 KB.
constexpr size_t kMaxPublished = 128;

} // namespace

crash_registry::crash_registry(size_t aMaxRecords)
  : mMaxRecords(aMaxRecords)
{
  PARSLEYSTAIR_INVARIANT(aMaxRecords > 0);
}

time_point crash_registry::content_state::ExpiresAt() const
{
  return IsRefused() ? std::max(mLastCrashAt, mLastRefusedAt) + kRefusalLifetime
                     : mLastCrashAt + kCrashLifetime;
}

void crash_registry::Reset()
{
  mRecords.clear();
  ++mVersion;
}

void crash_registry::Adopt(const crash_records& aRecords, time_point aNow)
{
  for (const crash_record& record : aRecords) {
    content_state& state = FindOrAdd(record.mContent);
    const time_point crashedAt = aNow - record.mAge;
    state.mIncarnations.insert(record.mIncarnations.begin(),
                               record.mIncarnations.end());
    state.mLastCrashAt = std::max(state.mLastCrashAt, crashedAt);
    state.mLastRefusedAt = std::max(state.mLastRefusedAt, crashedAt);
    if (record.mTrials > state.mTrials) {
      state.mTrials = record.mTrials;
      state.mTrialRouter = record.mTrialRouter;
    }
  }
  ++mVersion;
}

void crash_registry::HandleReport(const std::string& aRouter,
                                  const crash_report& aReport,
                                  time_point aNow)
{
  for (const content_fingerprint& content : aReport.mCleared) {
    if (mRecords.erase(content) > 0) {
      ++mVersion;
      log_line(log_severity::kInfo, "content_cleared")
        .Add("content", FormatFingerprint(content))
        .Add("router", aRouter);
    }
  }
  for (const crash_observation& crash : aReport.mCrashes) {
    AddCrash(crash, aNow);
  }
  for (const content_fingerprint& content : aReport.mRefused) {
    HandleRefused(aRouter, content, aNow);
  }
}

void crash_registry::AddCrash(const crash_observation& aCrash, time_point aNow)
{
  content_state& state = FindOrAdd(aCrash.mContent);
  if (state.mIncarnations.contains(aCrash.mIncarnation)) {
    return;
  }
  if (state.mIncarnations.size() < kMaxIncarnations) {
    state.mIncarnations.insert(aCrash.mIncarnation);
  }
  state.mLastCrashAt = aNow;
  // The trial is over.
  state.mTrialRouter.clear();
  const size_t crashes = state.mIncarnations.size();
  if (crashes < kCrashesToSuspect) {
    return;
  }
  ++mVersion;
  log_line(log_severity::kWarning, "content_suspected")
    .Add("content", FormatFingerprint(aCrash.mContent))
    .Add("crashes", uint64_t{ crashes })
    .Add("refused", state.IsRefused())
    .Add("trials", uint64_t{ state.mTrials });
}

void crash_registry::HandleRefused(const std::string& aRouter,
                                   const content_fingerprint& aContent,
                                   time_point aNow)
{
  const auto found = mRecords.find(aContent);
  if (found == mRecords.end()) {
    return;
  }
  content_state& state = found->second;
  state.mLastRefusedAt = aNow;
  const auto delay = TrialDelay(state.mTrials);
  if (!state.IsRefused() || !delay || aNow < state.mLastCrashAt + *delay) {
    return;
  }
  ++state.mTrials;
  state.mTrialRouter = aRouter;
  ++mVersion;
  log_line(log_severity::kInfo, "content_trial")
    .Add("content", FormatFingerprint(aContent))
    .Add("router", aRouter)
    .Add("trials", uint64_t{ state.mTrials });
}

void crash_registry::Expire(time_point aNow)
{
  const size_t expired = std::erase_if(mRecords, [&](const auto& aRecord) {
    return aNow >= aRecord.second.ExpiresAt();
  });
  mVersion += expired > 0 ? 1 : 0;
}

crash_records crash_registry::Records(time_point aNow) const
{
  crash_records records;
  for (const auto& [content, state] : mRecords) {
    if (state.mIncarnations.size() >= kCrashesToSuspect) {
      const duration age = std::max(aNow - state.mLastCrashAt, duration());
      records.push_back({ content,
                          state.mIncarnations,
                          age,
                          state.mTrials,
                          state.mTrialRouter });
    }
  }
  std::sort(records.begin(),
            records.end(),
            [](const crash_record& aLeft, const crash_record& aRight) {
              return std::make_tuple(aRight.mIncarnations.size(), aLeft.mAge) <
                     std::make_tuple(aLeft.mIncarnations.size(), aRight.mAge);
            });
  records.resize(std::min(records.size(), kMaxPublished));
  return records;
}

crash_registry::content_state& crash_registry::FindOrAdd(
  const content_fingerprint& aContent)
{
  const auto found = mRecords.find(aContent);
  if (found != mRecords.end()) {
    return found->second;
  }
  if (mRecords.size() >= mMaxRecords) {
    EvictOne();
  }
  return mRecords[aContent];
}

/// Evicts the record with the fewest crashes, and of these the one that expires
/// first.
void crash_registry::EvictOne()
{
  const auto rank = [](const auto& aRecord) {
    return std::make_tuple(aRecord.second.mIncarnations.size(),
                           aRecord.second.ExpiresAt());
  };
  mRecords.erase(std::min_element(mRecords.begin(),
                                  mRecords.end(),
                                  [&](const auto& aLeft, const auto& aRight) {
                                    return rank(aLeft) < rank(aRight);
                                  }));
  ++mVersion;
}

} // namespace parsleystair
