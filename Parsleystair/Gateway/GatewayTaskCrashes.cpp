#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/CrashMessages.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <algorithm>

// Contents that crash targets: the leader's records, which come from the
// reports of all routers and go back in the responses. They are also in the
// store, where they outlast all routers.

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kNotFound = 404;

/// Shortest time between two changes of the records that routers are told.
/// Each change is sent to all routers.
constexpr duration kPublishInterval = 200ms;
/// Time after which the ages in the published records are updated.
constexpr duration kPublishedAgeLimit = 10s;
/// Each write wakes all routers that watch the leader key.
constexpr duration kStoreInterval = 2s;

size_t CountRefused(const crash_records& aRecords)
{
  return static_cast<size_t>(std::count_if(
    aRecords.begin(), aRecords.end(), [](const crash_record& aRecord) {
      return aRecord.mIncarnations.size() >= kCrashesToRefuse;
    }));
}

} // namespace

void gateway_task::StartCrashRegistry(time_point aNow)
{
  crash_guard& guard = mForwarder.CrashGuard();
  mCrashRegistry.Reset();
  mCrashRegistry.Adopt(guard.Records(aNow), aNow);
  guard.HandleNewLeader();
  PublishCrashRecords(aNow);
}

void gateway_task::HandleCrashReport(const std::string& aRouter,
                                     const crash_report& aReport,
                                     time_point aNow)
{
  mCrashRegistry.HandleReport(aRouter, aReport, aNow);
  if (aNow >= mCrashesPublishedAt + kPublishInterval) {
    PublishCrashRecords(aNow);
  }
}

void gateway_task::PublishCrashRecords(time_point aNow)
{
  const bool isCurrent = mPublishedCrashVersion == mCrashRegistry.Version() &&
                         aNow < mCrashesPublishedAt + kPublishedAgeLimit;
  if (isCurrent) {
    return;
  }
  mPublishedCrashVersion = mCrashRegistry.Version();
  mCrashesPublishedAt = aNow;
  mPublishedCrashes = mCrashRegistry.Records(aNow);
  ApplyCrashRecords(mPublishedCrashes, aNow);
}

void gateway_task::StoreCrashRecords(time_point aNow)
{
  // Suspected contents are stored before they are refused: without the earlier
  // crashes, each restart of all routers would allow some more.
  const uint64_t digest = CrashRecordsDigest(mPublishedCrashes);
  if (digest == mStoredCrashesDigest || aNow < mNextCrashesWrite) {
    return;
  }
  mNextCrashesWrite = aNow + kStoreInterval;
  conditional_write write;
  write.mConditions = { mElection.Condition() };
  write.mWrites = {
    { kCrashesKey, EncodeCrashRecords(mPublishedCrashes), lease_id(0) }
  };
  mPlatform.mStore.Write(write, [this, digest](const write_reply& aReply) {
    if (aReply.mOutcome == call_outcome::kDone) {
      mStoredCrashesDigest = digest;
    }
  });
}

void gateway_task::ApplyStoredCrashes(const std::string& aText,
                                      store_revision aRevision)
{
  if (mElection.IsLeading() && aRevision > mElection.Condition().mRevision) {
    // This router wrote them.
    return;
  }
  try {
    const crash_records records = DecodeCrashRecords(aText);
    mStoredCrashesDigest = CrashRecordsDigest(records);
    const time_point now = MonotonicNow();
    if (mElection.IsLeading()) {
      mCrashRegistry.Adopt(records, now);
      PublishCrashRecords(now);
      return;
    }
    mForwarder.CrashGuard().AddRecords(records, now);
    // The leader tells whether it still has these records.
    mCrashesDigest = CrashRecordsDigest(mForwarder.CrashGuard().Records(now));
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "crashes_unreadable")
      .Add("error", exception.what());
  }
}

void gateway_task::ApplyCrashRecords(const crash_records& aRecords,
                                     time_point aNow)
{
  const uint64_t digest = CrashRecordsDigest(aRecords);
  if (digest != mCrashesDigest) {
    log_line(log_severity::kInfo, "crash_records_changed")
      .Add("contents", uint64_t{ aRecords.size() })
      .Add("refused", uint64_t{ CountRefused(aRecords) });
    mCrashesDigest = digest;
  }
  mForwarder.CrashGuard().SetRecords(aRecords, aNow);
}

http_response gateway_task::ClearContent(const http_request& aRequest)
{
  const http_header text{ "Content-Type", "text/plain; charset=utf-8" };
  const auto content =
    ParseFingerprint(FindQueryValue(aRequest.mQuery, "content").value_or(""));
  if (!content) {
    return { kBadRequest, { text }, "content: 32 hexadecimal digits\n" };
  }
  const bool isCleared = mForwarder.CrashGuard().Clear(*content);
  log_line(log_severity::kInfo, "content_clear_requested")
    .Add("content", FormatFingerprint(*content))
    .Add("known", isCleared);
  return isCleared ? http_response{ kOk, { text }, "cleared\n" }
                   : http_response{ kNotFound, { text }, "unknown content\n" };
}

} // namespace parsleystair
