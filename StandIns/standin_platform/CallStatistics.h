#pragma once

#include "Parsleystair/Core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace parsleystair {

/// Counts the calls that reach the platform, in total and a second.
class call_statistics
{
public:
  /// Kind of a call: its path, or `GET /vms`.
  void NoteCall(const std::string& aKind, bool aIsWrite, time_point aNow);
  void NoteBytesIn(uint64_t aBytes) { mBytesIn += aBytes; }
  void NoteBytesOut(uint64_t aBytes) { mBytesOut += aBytes; }

  /// Body of `GET /stats`. Rates are means of the last ten whole seconds; the
  /// peaks are the most calls in one second.
  [[nodiscard]] std::string Write(size_t aWaitingWatches,
                                  time_point aNow) const;

private:
  static constexpr size_t kSeconds = 10;

  /// Calls of one kind within one second.
  struct second_count
  {
    int64_t mSecond = -1;
    uint64_t mCount = 0;
  };

  /// The last seconds, the present one included.
  struct rate
  {
    std::array<second_count, kSeconds + 1> mSeconds;
    uint64_t mTotal = 0;
    uint64_t mPeak = 0;

    void Note(time_point aNow);
    [[nodiscard]] double PerSecond(time_point aNow) const;
  };

  std::map<std::string, uint64_t> mCalls;
  rate mReads;
  rate mWrites;
  uint64_t mBytesIn = 0;
  uint64_t mBytesOut = 0;
};

} // namespace parsleystair
