#pragma once

#include "Parsleystair/Limits/CrashRecord.h"

#include <map>

namespace parsleystair {

enum class crash_decision
{
  /// Nothing speaks against the content.
  kAdmit,
  /// The content is sent to one target at a time and is not retried, as it may
  /// crash targets.
  kSendAlone,
  /// As `kSendAlone`; the content is refused otherwise, and this router may try
  /// it once.
  kTrial,
  /// The content crashed too many targets.
  kRefuse,
};

struct crash_assessment
{
  crash_decision mDecision = crash_decision::kAdmit;
  content_fingerprint mContent;
  /// Target incarnations that crashed while they ran the content.
  size_t mCrashes = 0;
  /// Time since the latest crash.
  duration mAge{};
  /// Time after which the content may be tried again, if it is refused.
  duration mRetryAfter{};

  bool operator==(const crash_assessment&) const = default;
};

/// Keeps contents that crash targets away from them, at one router. Joins what
/// this router has seen with the leader's records, which cover all routers.
class crash_guard
{
public:
  /// `aHost`: address of this router, as in `crash_record::mTrialRouter`.
  explicit crash_guard(std::string aHost);

  /// Decides whether a request may be sent to a target. Takes the trial, if
  /// this router may make one.
  crash_assessment Assess(const http_request& aRequest, time_point aNow);

  /// The trial of a content ended before any target got it.
  void HandleTrialNotRun(const content_fingerprint& aContent);

  /// A target process crashed while it ran the content for this router.
  void HandleCrash(const content_fingerprint& aContent,
                   const incarnation_hash& aIncarnation,
                   time_point aNow);

  /// A target has run the request and answered it, so its content doesn't crash
  /// targets.
  void HandleAnswered(const http_request& aRequest);

  /// Forgets a content on all routers. Returns whether it was known.
  bool Clear(const content_fingerprint& aContent);

  /// Replaces the leader's records.
  void SetRecords(const crash_records& aRecords, time_point aNow);

  /// Adds stored records that are missing in the leader's.
  void AddRecords(const crash_records& aRecords, time_point aNow);

  /// The leader's records, with the ages as of `aNow`.
  [[nodiscard]] crash_records Records(time_point aNow) const;

  /// Returns what the leader has not been told yet.
  crash_report TakeReport(time_point aNow);
  /// The leader has not got a report.
  void HandleReportLost(const crash_report& aReport);
  /// Another router leads, which has not got any report.
  void HandleNewLeader();
  /// Whether a report has content that other routers should know soon.
  [[nodiscard]] bool HasNews() const
  {
    return !mReport.mCrashes.empty() || !mReport.mCleared.empty();
  }

  /// Crashes that this router has seen, and requests that it refused.
  [[nodiscard]] uint64_t Crashes() const { return mCrashes; }
  [[nodiscard]] uint64_t Refusals() const { return mRefusals; }

private:
  struct seen_crashes
  {
    std::set<incarnation_hash> mIncarnations;
    time_point mLastCrashAt = time_point::min();
  };

  struct known_record
  {
    crash_record mRecord;
    time_point mLastCrashAt = time_point::min();
  };

  /// Fingerprint of the request if anything is known of its content.
  [[nodiscard]] std::optional<content_fingerprint> FindContent(
    const http_request& aRequest) const;
  void SetRetryAfter(crash_assessment& aAssessment,
                     const known_record* aRecord) const;
  void Expire(time_point aNow);
  void EvictOldestSeen();

  std::string mHost;
  /// Crashes that this router has seen.
  std::map<content_fingerprint, seen_crashes> mSeen;
  std::map<content_fingerprint, known_record> mRecords;
  /// Number of the latest trial of each content that this router has made.
  std::map<content_fingerprint, uint32_t> mTrialsMade;
  crash_report mReport;
  uint64_t mCrashes = 0;
  uint64_t mRefusals = 0;
};

} // namespace parsleystair
