#include "StandIns/standin_platform/CallStatistics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

int64_t SecondOf(time_point aNow)
{
  return std::chrono::floor<std::chrono::seconds>(aNow)
    .time_since_epoch()
    .count();
}

} // namespace

void call_statistics::rate::Note(time_point aNow)
{
  const int64_t second = SecondOf(aNow);
  second_count& present =
    mSeconds[static_cast<size_t>(second) % mSeconds.size()];
  if (present.mSecond != second) {
    present = { second, 0 };
  }
  ++present.mCount;
  ++mTotal;
  mPeak = std::max(mPeak, present.mCount);
}

double call_statistics::rate::PerSecond(time_point aNow) const
{
  const int64_t second = SecondOf(aNow);
  uint64_t calls = 0;
  for (const second_count& past : mSeconds) {
    if (past.mSecond >= second - int64_t(kSeconds) && past.mSecond < second) {
      calls += past.mCount;
    }
  }
  return static_cast<double>(calls) / kSeconds;
}

void call_statistics::NoteCall(const std::string& aKind,
                               bool aIsWrite,
                               time_point aNow)
{
  ++mCalls[aKind];
  rate& counted = aIsWrite ? mWrites : mReads;
  counted.Note(aNow);
}

std::string call_statistics::Write(size_t aWaitingWatches,
                                   time_point aNow) const
{
  const nlohmann::json body = {
    { "calls", mCalls },
    { "waitingWatches", aWaitingWatches },
    { "reads", mReads.mTotal },
    { "writes", mWrites.mTotal },
    { "readsPerSecond", mReads.PerSecond(aNow) },
    { "writesPerSecond", mWrites.PerSecond(aNow) },
    { "peakReadsPerSecond", mReads.mPeak },
    { "peakWritesPerSecond", mWrites.mPeak },
    { "bytesIn", mBytesIn },
    { "bytesOut", mBytesOut },
  };
  return body.dump();
}

} // namespace parsleystair
