#pragma once

#include "Parsleystair/Core/Time.h"

#include <cstddef>
#include <optional>

namespace parsleystair {

/// How far a client has taken the output of its connection, judged from samples
/// of the bytes that its system has not acknowledged. An acknowledgement only
/// says that the client's system has the bytes; the client may still read them.
class client_progress
{
public:
  /// Output was written. Nothing is known of it until the next sample.
  void HandleOutput();

  /// `aUnacknowledged`: bytes written that the client's system has not
  /// acknowledged.
  void Sample(size_t aUnacknowledged, time_point aNow);

  /// Tells if the client's system has acknowledged all output, as of a sample
  /// since the last output.
  [[nodiscard]] bool IsTaken() const;

  /// Tells if the client left output unacknowledged from one sample to the
  /// next, so that it may take long to read what its system holds.
  [[nodiscard]] bool IsSlow() const { return mIsSlow; }

  /// Time for which nothing has changed: since the client's system acknowledged
  /// some bytes, or all of them. Zero if there is no sample since the last
  /// output.
  [[nodiscard]] duration Unchanged(time_point aNow) const;

private:
  /// Last sample; nothing if there is none since the last output.
  std::optional<size_t> mUnacknowledged;
  time_point mChangedAt;
  bool mIsSlow = false;
};

} // namespace parsleystair
