#include "Parsleystair/Tasks/WorkerCounters.h"

namespace parsleystair {

void worker_counters::Count(const request_outcome& aOutcome)
{
  if (const auto* whole = std::get_if<responded>(&aOutcome)) {
    ++mResponded;
    mReplayed += whole->mReplayed ? 1 : 0;
  } else if (const auto* notRun = std::get_if<refused_not_run>(&aOutcome)) {
    ++mNotRun[notRun->mReason];
  } else {
    ++mMayHaveRun[std::get<refused_may_have_run>(aOutcome).mReason];
  }
}

void worker_counters::Add(const worker_counters& aOther)
{
  mReceived += aOther.mReceived;
  mResponded += aOther.mResponded;
  mReplayed += aOther.mReplayed;
  for (const auto& [reason, count] : aOther.mNotRun) {
    mNotRun[reason] += count;
  }
  for (const auto& [reason, count] : aOther.mMayHaveRun) {
    mMayHaveRun[reason] += count;
  }
  mAttempts += aOther.mAttempts;
  mRetries += aOther.mRetries;
  mLateResponses += aOther.mLateResponses;
  mSilentConnections += aOther.mSilentConnections;
  mSuspectedCrashes += aOther.mSuspectedCrashes;
  mLatency = AddBuckets(mLatency, aOther.mLatency);
}

} // namespace parsleystair
