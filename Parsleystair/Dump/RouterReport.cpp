#include "Parsleystair/Dump/RouterReport.h"

#include "Parsleystair/Core/JsonText.h"
#include "Parsleystair/Request/Problem.h"
#include "Parsleystair/Settings/ConfigurationCodec.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

int64_t Milliseconds(duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

uint64_t RevisionOf(const router_report& aReport)
{
  return aReport.mConfiguration == nullptr
           ? 0
           : aReport.mConfiguration->mRevision.Value();
}

const char* ReasonName(move_reason aReason)
{
  switch (aReason) {
    case move_reason::kInitial:
      return "initial";
    case move_reason::kTargetLost:
      return "target-lost";
    case move_reason::kTargetDraining:
      return "target-leaving";
    case move_reason::kBalance:
      return "balance";
    case move_reason::kOperator:
      return "operator";
  }
  return "unknown";
}

json MemberJson(const member_report& aMember)
{
  return { { "vm", aMember.mVm.mName.Value() },
           { "incarnation", aMember.mVm.mIncarnation.Value() },
           { "state", aMember.mState },
           { "failureDomain", aMember.mFailureDomain.Value() },
           { "configurationRevision", aMember.mConfiguration.Value() },
           { "inForceMs", Milliseconds(aMember.mInForceFor) },
           { "ageMs", Milliseconds(aMember.mAge) } };
}

json MembersJson(const router_report& aReport)
{
  json members = json::array();
  for (const member_report& member : aReport.mMembers) {
    members.push_back(MemberJson(member));
  }
  return members;
}

json OwnershipJson(const slot_ownership& aOwnership)
{
  json value = { { "owner", aOwnership.mOwner.Value() },
                 { "fence", aOwnership.mFence.Value() },
                 { "sinceMs", aOwnership.mSinceMs } };
  if (aOwnership.mMove) {
    value["move"] = { { "to", aOwnership.mMove->mDestination.Value() },
                      { "reason", ReasonName(aOwnership.mMove->mReason) } };
  }
  return value;
}

json GroupJson(const group_dump& aGroup)
{
  json holders = json::array();
  for (const group_holder& holder : aGroup.mRecord.mHolders) {
    holders.push_back({ { "vm", holder.mVm.Value() },
                        { "incarnation", holder.mIncarnation.Value() },
                        { "joining", holder.mJoining } });
  }
  json slots = json::array();
  for (const auto& [slot, ownership] : aGroup.mRecord.mSlots) {
    json value = OwnershipJson(ownership);
    value["service"] = slot.mService.Value();
    value["slot"] = slot.mSlot.Value();
    slots.push_back(std::move(value));
  }
  return { { "group", aGroup.mRecord.mGroup.Value() },
           { "revision", aGroup.mRecord.mRevision.Value() },
           { "rank", aGroup.mRank },
           { "ready", aGroup.mIsReady },
           { "authority", aGroup.mHasAuthority },
           { "writing", aGroup.mIsWriting },
           { "holders", std::move(holders) },
           { "slots", std::move(slots) } };
}

json OwnershipCountersJson(const ownership_counters& aCounters)
{
  return { { "ownerChanges", aCounters.mOwnerChanges },
           { "staleAnnouncements", aCounters.mStaleAnnouncements },
           { "staleStoreEntries", aCounters.mStaleStoreEntries },
           { "staleGrantReplies", aCounters.mStaleGrantReplies },
           { "staleConfirms", aCounters.mStaleConfirms },
           { "staleAcks", aCounters.mStaleAcks },
           { "staleWriteReplies", aCounters.mStaleWriteReplies },
           { "unreadableRecords", aCounters.mUnreadableRecords },
           { "refusedByTargets", aCounters.mRejectedByTargets },
           { "failedGrants", aCounters.mFailedGrants },
           { "lostWrites", aCounters.mConflictingWrites },
           { "unknownWrites", aCounters.mUnknownWrites } };
}

json StoreJson(const store_counters& aCounters)
{
  return { { "reads", aCounters.mReads },
           { "writes", aCounters.mWrites },
           { "lists", aCounters.mLists },
           { "answered", aCounters.mAnswered },
           { "notSent", aCounters.mNotSent },
           { "unknown", aCounters.mUnknown },
           { "malformed", aCounters.mMalformed },
           { "refusedByCap", aCounters.mRefusedByCap },
           { "refusedByBackoff", aCounters.mRefusedByBackoff },
           { "bytesSent", aCounters.mBytesSent },
           { "bytesReceived", aCounters.mBytesReceived } };
}

json RefusalsJson(const std::map<refusal_reason, uint64_t>& aCounts)
{
  json value = json::object();
  for (const auto& [reason, count] : aCounts) {
    value[std::string(ReasonText(reason))] = count;
  }
  return value;
}

json WorkersJson(const router_report& aReport)
{
  const worker_counters& counters = aReport.mWorkers;
  return { { "received", counters.mReceived },
           { "answered", counters.mResponded },
           { "repeated", counters.mReplayed },
           { "notRun", RefusalsJson(counters.mNotRun) },
           { "mayHaveRun", RefusalsJson(counters.mMayHaveRun) },
           { "open", aReport.mOpenRequests },
           { "tries", counters.mAttempts },
           { "retries", counters.mRetries },
           { "lateAnswers", counters.mLateResponses },
           { "silentConnections", counters.mSilentConnections },
           { "suspectedCrashes", counters.mSuspectedCrashes },
           { "p50Us", Quantile(counters.mLatency, 0.5).count() },
           { "p99Us", Quantile(counters.mLatency, 0.99).count() } };
}

json TargetsJson(const router_report& aReport)
{
  json targets = json::array();
  for (const target_dump& target : aReport.mOwnership.mTargets) {
    json value = { { "service", target.mTarget.mService.Value() },
                   { "target", target.mTarget.mTarget.Value() },
                   { "lost", target.mIsLost },
                   { "boot", target.mBootId } };
    if (target.mLastReplyAt) {
      value["lastAnswerMsAgo"] =
        Milliseconds(aReport.mNow - *target.mLastReplyAt);
    }
    targets.push_back(std::move(value));
  }
  return targets;
}

json StatusValue(const router_report& aReport)
{
  return { { "vm", aReport.mVm.mName.Value() },
           { "incarnation", aReport.mVm.mIncarnation.Value() },
           { "failureDomain", aReport.mFailureDomain.Value() },
           { "region", aReport.mRegion.Value() },
           { "ready", aReport.mIsReady },
           { "draining", aReport.mIsDraining },
           { "uptimeMs", Milliseconds(aReport.mUptime) },
           { "configurationRevision", RevisionOf(aReport) },
           { "inForceMs", Milliseconds(aReport.mInForceFor) },
           { "storeAnswering", aReport.mOwnership.mIsStoreAnswering },
           { "members", MembersJson(aReport) } };
}

/// Text of a metric with its type line.
class metrics_writer
{
public:
  void Add(const std::string& aName,
           const char* aType,
           uint64_t aValue,
           const std::string& aLabels = "")
  {
    const std::string name = "parsleystair_" + aName;
    if (name != mLastName) {
      mText += "# TYPE " + name + " " + aType + "\n";
      mLastName = name;
    }
    mText += name + aLabels + " " + std::to_string(aValue) + "\n";
  }

  void AddLatency(const std::vector<latency_bucket>& aBuckets)
  {
    constexpr double kMicrosecondsPerSecond = 1e6;
    const std::string name = "parsleystair_request_seconds";
    mText += "# TYPE " + name + " histogram\n";
    uint64_t total = 0;
    for (const latency_bucket& bucket : aBuckets) {
      total += bucket.mCount;
      const std::string bound =
        bucket.mUpperBound == duration::max()
          ? "+Inf"
          : std::to_string(static_cast<double>(bucket.mUpperBound.count()) /
                           kMicrosecondsPerSecond);
      mText +=
        name + "_bucket{le=\"" + bound + "\"} " + std::to_string(total) + "\n";
    }
    mText += name + "_count " + std::to_string(total) + "\n";
  }

  [[nodiscard]] const std::string& Text() const { return mText; }

private:
  std::string mText;
  std::string mLastName;
};

void AddRefusals(metrics_writer& aWriter,
                 const char* aOutcome,
                 const std::map<refusal_reason, uint64_t>& aCounts)
{
  for (const auto& [reason, count] : aCounts) {
    aWriter.Add("refused_total",
                "counter",
                count,
                "{outcome=\"" + std::string(aOutcome) + "\",reason=\"" +
                  std::string(ReasonText(reason)) + "\"}");
  }
}

} // namespace

std::string StatusJson(const router_report& aReport)
{
  return ReportText(StatusValue(aReport));
}

std::string DumpJson(const router_report& aReport)
{
  json value = StatusValue(aReport);
  json groups = json::array();
  for (const group_dump& group : aReport.mOwnership.mGroups) {
    groups.push_back(GroupJson(group));
  }
  json crashes = json::array();
  for (const crash_notice& crash : aReport.mCrashes) {
    crashes.push_back({ { "fingerprint", crash.mFingerprint },
                        { "crashes", crash.mCrashes },
                        { "remainingMs", crash.mRemainingMs } });
  }
  value["refusedConfigurations"] = aReport.mRefusedConfigurations;
  value["cutOff"] = aReport.mOwnership.mIsCutOff;
  value["groups"] = std::move(groups);
  value["targets"] = TargetsJson(aReport);
  value["ownershipCounters"] =
    OwnershipCountersJson(aReport.mOwnership.mCounters);
  value["store"] = StoreJson(aReport.mStore);
  value["requests"] = WorkersJson(aReport);
  value["records"] = { { "records", aReport.mRecords.mRecords },
                       { "bytes", aReport.mRecords.mBytes },
                       { "openAttempts", aReport.mRecords.mOpenAttempts } };
  value["crashes"] = std::move(crashes);
  if (aReport.mConfiguration != nullptr) {
    value["configuration"] =
      json::parse(EncodeConfiguration(*aReport.mConfiguration));
  }
  return ReportText(value, 2);
}

std::string MetricsText(const router_report& aReport)
{
  metrics_writer writer;
  const worker_counters& workers = aReport.mWorkers;
  writer.Add("ready", "gauge", aReport.mIsReady ? 1 : 0);
  writer.Add("configuration_revision", "gauge", RevisionOf(aReport));
  writer.Add("open_requests", "gauge", aReport.mOpenRequests);
  writer.Add("requests_total", "counter", workers.mReceived);
  writer.Add("answered_total", "counter", workers.mResponded);
  writer.Add("repeated_total", "counter", workers.mReplayed);
  AddRefusals(writer, "not-run", workers.mNotRun);
  AddRefusals(writer, "may-have-run", workers.mMayHaveRun);
  writer.Add("tries_total", "counter", workers.mAttempts);
  writer.Add("retries_total", "counter", workers.mRetries);
  writer.Add("late_answers_total", "counter", workers.mLateResponses);
  writer.Add("silent_connections_total", "counter", workers.mSilentConnections);
  writer.Add("suspected_crashes_total", "counter", workers.mSuspectedCrashes);
  writer.AddLatency(workers.mLatency);

  const ownership_counters& ownership = aReport.mOwnership.mCounters;
  writer.Add("owner_changes_total", "counter", ownership.mOwnerChanges);
  writer.Add("failed_grants_total", "counter", ownership.mFailedGrants);
  writer.Add(
    "unreadable_group_records_total", "counter", ownership.mUnreadableRecords);
  writer.Add(
    "store_answering", "gauge", aReport.mOwnership.mIsStoreAnswering ? 1 : 0);
  const store_counters& store = aReport.mStore;
  writer.Add("store_calls_total", "counter", store.mReads, "{kind=\"read\"}");
  writer.Add("store_calls_total", "counter", store.mWrites, "{kind=\"write\"}");
  writer.Add("store_calls_total", "counter", store.mLists, "{kind=\"list\"}");
  writer.Add(
    "store_bytes_total", "counter", store.mBytesSent, "{way=\"sent\"}");
  writer.Add(
    "store_bytes_total", "counter", store.mBytesReceived, "{way=\"received\"}");
  writer.Add("request_records", "gauge", aReport.mRecords.mRecords);
  writer.Add("request_record_bytes", "gauge", aReport.mRecords.mBytes);
  return writer.Text();
}

std::string OwnerJson(const router_report& aReport,
                      const service_name& aService,
                      const std::string& aKey)
{
  const service_configuration* service =
    aReport.mConfiguration == nullptr
      ? nullptr
      : aReport.mConfiguration->FindService(aService);
  if (service == nullptr) {
    return "";
  }
  const slot_index slot = SlotOf(*service, aKey);
  const group_index group =
    GroupOf(aService, slot, aReport.mConfiguration->mGroupCount);
  json value = { { "service", aService.Value() },
                 { "key", aKey },
                 { "slot", slot.Value() },
                 { "group", group.Value() },
                 { "exclusive",
                   service->mOwnership == ownership_mode::kExclusive } };
  for (const group_dump& known : aReport.mOwnership.mGroups) {
    const auto found = known.mRecord.mSlots.find({ aService, slot });
    if (known.mRecord.mGroup == group && found != known.mRecord.mSlots.end()) {
      value.update(OwnershipJson(found->second));
      value["revision"] = known.mRecord.mRevision.Value();
      value["authority"] = known.mHasAuthority;
    }
  }
  return ReportText(value);
}

} // namespace parsleystair
