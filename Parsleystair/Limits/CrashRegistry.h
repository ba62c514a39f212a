#pragma once

#include "Parsleystair/Limits/CrashRecord.h"

#include <map>

namespace parsleystair {

/// The leader's records of contents that crash targets, from the reports of all
/// routers. A content that any router has seen answered is removed.
class crash_registry
{
public:
  /// `aMaxRecords`: maximum number of contents with records, at least 1.
  explicit crash_registry(size_t aMaxRecords);

  /// Removes all records.
  void Reset();

  /// Adds records that this router had before it became the leader, or that are
  /// in the store.
  void Adopt(const crash_records& aRecords, time_point aNow);

  /// `aRouter`: address of the router that reports.
  void HandleReport(const std::string& aRouter,
                    const crash_report& aReport,
                    time_point aNow);

  /// Removes records that are too old.
  void Expire(time_point aNow);

  /// Suspected and refused contents, those with the most crashes first, at most
  /// 128.
  [[nodiscard]] crash_records Records(time_point aNow) const;

  /// Changes with each change of `Records`, apart from the ages.
  [[nodiscard]] uint64_t Version() const { return mVersion; }

  [[nodiscard]] size_t Size() const { return mRecords.size(); }

private:
  struct content_state
  {
    std::set<incarnation_hash> mIncarnations;
    time_point mLastCrashAt = time_point::min();
    time_point mLastRefusedAt = time_point::min();
    uint32_t mTrials = 0;
    std::string mTrialRouter;

    [[nodiscard]] bool IsRefused() const
    {
      return mIncarnations.size() >= kCrashesToRefuse;
    }
    [[nodiscard]] time_point ExpiresAt() const;
  };

  content_state& FindOrAdd(const content_fingerprint& aContent);
  void AddCrash(const crash_observation& aCrash, time_point aNow);
  void HandleRefused(const std::string& aRouter,
                     const content_fingerprint& aContent,
                     time_point aNow);
  void EvictOne();

  size_t mMaxRecords;
  uint64_t mVersion = 0;
  std::map<content_fingerprint, content_state> mRecords;
};

} // namespace parsleystair
