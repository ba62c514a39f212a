#include "Parsleystair/Limits/CrashGuard.h"

#include <algorithm>
#include <utility>

namespace parsleystair {

namespace {

/// Time for which a router remembers crashes that it has told the leader. They
/// are told again to the next leader.
constexpr duration kSeenLifetime = 60s;
constexpr size_t kMaxSeen = 512;
/// Bounds the entries of each kind in one report.
constexpr size_t kMaxReported = 256;
/// Time after which a caller may come back while a trial is due or open.
constexpr duration kTrialRetryAfter = 1s;
/// Time after which a caller may come back if there are no more trials.
constexpr duration kFinalRetryAfter = 600s;

template<typename Value>
bool HasHead(const std::map<content_fingerprint, Value>& aContents,
             uint64_t aHead)
{
  const auto found = aContents.lower_bound({ aHead, 0 });
  return found != aContents.end() && found->first.mHead == aHead;
}

template<typename Value>
void AddOnce(std::vector<Value>& aValues, const Value& aValue)
{
  if (aValues.size() < kMaxReported &&
      std::find(aValues.begin(), aValues.end(), aValue) == aValues.end()) {
    aValues.push_back(aValue);
  }
}

} // namespace

crash_guard::crash_guard(std::string aHost)
  : mHost(std::move(aHost))
{
}

std::optional<content_fingerprint> crash_guard::FindContent(
  const http_request& aRequest) const
{
  if (mSeen.empty() && mRecords.empty()) {
    return std::nullopt;
  }
  // The body is hashed only if the rest of the request matches.
  const uint64_t head = HeadFingerprintOf(aRequest);
  if (!HasHead(mSeen, head) && !HasHead(mRecords, head)) {
    return std::nullopt;
  }
  const content_fingerprint content = ContentFingerprintOf(aRequest);
  if (!mSeen.contains(content) && !mRecords.contains(content)) {
    return std::nullopt;
  }
  return content;
}

crash_assessment crash_guard::Assess(const http_request& aRequest,
                                     time_point aNow)
{
  const auto content = FindContent(aRequest);
  if (!content) {
    return {};
  }
  std::set<incarnation_hash> incarnations;
  time_point lastCrashAt = time_point::min();
  const auto seen = mSeen.find(*content);
  if (seen != mSeen.end()) {
    incarnations = seen->second.mIncarnations;
    lastCrashAt = seen->second.mLastCrashAt;
  }
  const auto known = mRecords.find(*content);
  const known_record* record =
    known == mRecords.end() ? nullptr : &known->second;
  if (record != nullptr) {
    const auto& more = record->mRecord.mIncarnations;
    incarnations.insert(more.begin(), more.end());
    lastCrashAt = std::max(lastCrashAt, record->mLastCrashAt);
  }

  crash_assessment assessment;
  assessment.mContent = *content;
  assessment.mCrashes = incarnations.size();
  assessment.mAge = std::max(aNow - lastCrashAt, duration());
  if (assessment.mCrashes < kCrashesToSuspect) {
    return assessment;
  }
  if (assessment.mCrashes < kCrashesToRefuse) {
    assessment.mDecision = crash_decision::kSendAlone;
    return assessment;
  }
  const bool mayTry = record != nullptr &&
                      record->mRecord.mTrialRouter == mHost &&
                      mTrialsMade[*content] < record->mRecord.mTrials;
  if (mayTry) {
    mTrialsMade[*content] = record->mRecord.mTrials;
    assessment.mDecision = crash_decision::kTrial;
    return assessment;
  }
  ++mRefusals;
  AddOnce(mReport.mRefused, *content);
  assessment.mDecision = crash_decision::kRefuse;
  SetRetryAfter(assessment, record);
  return assessment;
}

void crash_guard::SetRetryAfter(crash_assessment& aAssessment,
                                const known_record* aRecord) const
{
  const uint32_t trials = aRecord == nullptr ? 0 : aRecord->mRecord.mTrials;
  const auto delay = TrialDelay(trials);
  const bool isTrialOpen =
    aRecord != nullptr && !aRecord->mRecord.mTrialRouter.empty();
  if (isTrialOpen) {
    aAssessment.mRetryAfter = kTrialRetryAfter;
  } else if (delay) {
    aAssessment.mRetryAfter =
      std::max(*delay - aAssessment.mAge, kTrialRetryAfter);
  } else {
    aAssessment.mRetryAfter = kFinalRetryAfter;
  }
}

void crash_guard::HandleTrialNotRun(const content_fingerprint& aContent)
{
  mTrialsMade.erase(aContent);
}

void crash_guard::HandleCrash(const content_fingerprint& aContent,
                              const incarnation_hash& aIncarnation,
                              time_point aNow)
{
  if (!mSeen.contains(aContent) && mSeen.size() >= kMaxSeen) {
    EvictOldestSeen();
  }
  seen_crashes& seen = mSeen[aContent];
  seen.mIncarnations.insert(aIncarnation);
  seen.mLastCrashAt = aNow;
  ++mCrashes;
  AddOnce(mReport.mCrashes, { aContent, aIncarnation });
}

void crash_guard::HandleAnswered(const http_request& aRequest)
{
  if (const auto content = FindContent(aRequest)) {
    Clear(*content);
  }
}

bool crash_guard::Clear(const content_fingerprint& aContent)
{
  const bool wasSeen = mSeen.erase(aContent) > 0;
  const bool wasKnown = mRecords.erase(aContent) > 0;
  mTrialsMade.erase(aContent);
  std::erase_if(mReport.mCrashes, [&](const crash_observation& aCrash) {
    return aCrash.mContent == aContent;
  });
  if (wasSeen || wasKnown) {
    AddOnce(mReport.mCleared, aContent);
  }
  return wasSeen || wasKnown;
}

void crash_guard::SetRecords(const crash_records& aRecords, time_point aNow)
{
  const auto former = std::exchange(mRecords, {});
  AddRecords(aRecords, aNow);
  for (const auto& [content, record] : former) {
    // The leader removes a content that a target has answered.
    if (!mRecords.contains(content)) {
      mSeen.erase(content);
      mTrialsMade.erase(content);
    }
  }
}

void crash_guard::AddRecords(const crash_records& aRecords, time_point aNow)
{
  for (const crash_record& record : aRecords) {
    mRecords.try_emplace(record.mContent,
                         known_record{ record, aNow - record.mAge });
  }
}

crash_records crash_guard::Records(time_point aNow) const
{
  crash_records records;
  for (const auto& [content, known] : mRecords) {
    records.push_back(known.mRecord);
    records.back().mAge = std::max(aNow - known.mLastCrashAt, duration());
  }
  return records;
}

crash_report crash_guard::TakeReport(time_point aNow)
{
  Expire(aNow);
  return std::exchange(mReport, {});
}

void crash_guard::HandleReportLost(const crash_report& aReport)
{
  for (const crash_observation& crash : aReport.mCrashes) {
    if (mSeen.contains(crash.mContent)) {
      AddOnce(mReport.mCrashes, crash);
    }
  }
  for (const content_fingerprint& content : aReport.mCleared) {
    AddOnce(mReport.mCleared, content);
  }
  for (const content_fingerprint& content : aReport.mRefused) {
    AddOnce(mReport.mRefused, content);
  }
}

void crash_guard::HandleNewLeader()
{
  for (const auto& [content, seen] : mSeen) {
    for (const incarnation_hash& hash : seen.mIncarnations) {
      AddOnce(mReport.mCrashes, { content, hash });
    }
  }
}

void crash_guard::Expire(time_point aNow)
{
  std::erase_if(mSeen, [&](const auto& aSeen) {
    return aNow - aSeen.second.mLastCrashAt > kSeenLifetime;
  });
}

void crash_guard::EvictOldestSeen()
{
  mSeen.erase(std::min_element(
    mSeen.begin(), mSeen.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mLastCrashAt < aRight.second.mLastCrashAt;
    }));
}

} // namespace parsleystair
