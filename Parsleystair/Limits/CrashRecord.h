#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Limits/ContentFingerprint.h"

#include <set>
#include <string>
#include <vector>

namespace parsleystair {

/// One run of a target's process: a hash of the target's name and start time.
using incarnation_hash = strong_id<struct incarnation_hash_tag, uint64_t>;

incarnation_hash IncarnationHashOf(const target_name& aTarget,
                                   uint64_t aStartedMs);

/// Crashes of different incarnations, without an answered request in between,
/// from which a content is suspected: it is sent to one target at a time and is
/// not retried.
inline constexpr size_t kCrashesToSuspect = 2;
/// Crashes from which a content is refused.
inline constexpr size_t kCrashesToRefuse = 3;

/// Target incarnations that crashed while they ran one content.
struct crash_record
{
  content_fingerprint mContent;
  std::set<incarnation_hash> mIncarnations;
  /// Time since the latest crash.
  duration mAge{};
  /// Trials of the refused content that were allowed so far.
  uint32_t mTrials = 0;
  /// Address of the router that may try the content once; empty if none may.
  std::string mTrialRouter;

  bool operator==(const crash_record&) const = default;
};

using crash_records = std::vector<crash_record>;

struct crash_observation
{
  content_fingerprint mContent;
  incarnation_hash mIncarnation;

  bool operator==(const crash_observation&) const = default;
};

/// What a router tells the leader of the contents that it has seen.
struct crash_report
{
  std::vector<crash_observation> mCrashes;
  /// Contents that a target has answered, or that an operator has cleared.
  std::vector<content_fingerprint> mCleared;
  /// Contents that this router has refused.
  std::vector<content_fingerprint> mRefused;

  bool operator==(const crash_report&) const = default;
};

/// Delay of trial `aTrial` (from 0) of a refused content after its latest
/// crash. Returns nothing if there are no more trials.
std::optional<duration> TrialDelay(uint32_t aTrial);

} // namespace parsleystair
