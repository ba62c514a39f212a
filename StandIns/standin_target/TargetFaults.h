#pragma once

#include "Parsleystair/Core/Time.h"

#include <string>

namespace parsleystair {

/// Misbehaviour of the stand-in target, switched by `POST /faults`.
struct target_faults
{
  /// The whole process stops for this long, once.
  duration mFreeze{};
  /// The process ends when a request's path or body contains this text.
  std::string mCrashOn;
  /// Connections that are open now get no more answers; new ones work.
  bool mSilenceOpenConnections = false;
  /// Answers leave this much later than the request ended.
  duration mAnswerDelay{};
  /// Connections are closed in place of an answer, after the request ran.
  bool mCutAnswers = false;
  /// Requests run whatever their slot and fence.
  bool mIgnoreFences = false;
  /// New requests are refused as not run.
  bool mDrain = false;
  /// Every request is refused as not run.
  bool mShed = false;

  bool operator==(const target_faults&) const = default;
};

/// Reads the body of `POST /faults`; members that are absent keep the value of
/// `aBefore`. Throws `value_error`.
target_faults ParseTargetFaults(const std::string& aText,
                                const target_faults& aBefore);

} // namespace parsleystair
