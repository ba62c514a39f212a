#include "PerformanceTest/parsleystair_load/Workload.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Invariant.h"
#include "PerformanceTest/parsleystair_load/UuidV7.h"

namespace parsleystair {

namespace {

/// Operations that a repeat is drawn from; at 1,000 a second they span about
/// one second, in which the first request may still be open.
constexpr size_t kRepeatable = 1000;

std::vector<double> Shares(const std::vector<request_kind>& aKinds)
{
  std::vector<double> shares;
  for (const request_kind& kind : aKinds) {
    shares.push_back(kind.mShare);
  }
  return shares;
}

uint64_t ClockSeed(uint64_t aSeed)
{
  return aSeed ^
         static_cast<uint64_t>(MonotonicNow().time_since_epoch().count());
}

} // namespace

workload::workload(const load_settings& aSettings,
                   std::vector<request_kind> aKinds)
  : mSettings(aSettings)
  , mKinds(std::move(aKinds))
  , mRandom(aSettings.mSeed)
  , mIdRandom(ClockSeed(aSettings.mSeed))
  , mGaps(aSettings.mRate)
  , mKeyChoice(aSettings.mKeys, aSettings.mZipf)
  , mRunName(MakeUuidV7(WallNow(), mIdRandom).substr(0, 18))
  , mRepeatable(mKinds.size())
{
  const std::vector<double> shares = Shares(mKinds);
  mKindChoice = { shares.begin(), shares.end() };
}

duration workload::NextGap()
{
  const std::chrono::duration<double> gap(mGaps(mRandom));
  return std::chrono::duration_cast<duration>(gap);
}

std::string workload::PickKey()
{
  std::bernoulli_distribution hot(mSettings.mHotKeys > 0 ? mSettings.mHotShare
                                                         : 0);
  if (hot(mRandom)) {
    std::uniform_int_distribution<uint64_t> rank(1, mSettings.mHotKeys);
    return "k" + std::to_string(rank(mRandom));
  }
  return "k" + std::to_string(mKeyChoice(mRandom));
}

operation_id workload::MakeOperation(size_t aKind, wall_time aNow)
{
  const operation_id id(mNextId++);
  operation& made = mOperations[id];
  made.mKind = aKind;
  made.mKey = PickKey();
  if (!mKinds[aKind].mIdempotent) {
    made.mIdempotencyKey = MakeUuidV7(aNow, mIdRandom);
    mRepeatable[aKind].push_back(id);
    if (mRepeatable[aKind].size() > kRepeatable) {
      mRepeatable[aKind].pop_front();
    }
  }
  return id;
}

planned_request workload::Next(time_point aIntendedStart, wall_time aNow)
{
  planned_request request;
  request.mIntendedStart = aIntendedStart;
  const size_t kind = mKindChoice(mRandom);
  const auto& repeatable = mRepeatable[kind];
  std::bernoulli_distribution repeats(mKinds[kind].mRepeatShare);
  request.mIsRepeat = repeats(mRandom) && !repeatable.empty();
  if (request.mIsRepeat) {
    std::uniform_int_distribution<size_t> index(0, repeatable.size() - 1);
    request.mOperation = repeatable[index(mRandom)];
  } else {
    request.mOperation = MakeOperation(kind, aNow);
  }
  operation& planned = Find(request.mOperation);
  request.mRequestId = mRunName + "-" + std::to_string(mNextId++);
  planned.mRequestIds.push_back(request.mRequestId);
  ++planned.mOpen;
  return request;
}

http_request workload::Build(const planned_request& aRequest) const
{
  const operation& planned = mOperations.at(aRequest.mOperation);
  const request_kind& kind = mKinds[planned.mKind];
  http_request request;
  request.mMethod = kind.mMethod;
  request.mPath = FillKey(kind.mPath, planned.mKey);
  const size_t question = request.mPath.find('?');
  if (question != std::string::npos) {
    request.mQuery = request.mPath.substr(question + 1);
    request.mPath.resize(question);
  }
  for (const http_header& header : kind.mHeaders) {
    request.mHeaders.push_back(
      { header.mName, FillKey(header.mValue, planned.mKey) });
  }
  request.mHeaders.push_back({ "Request-Id", aRequest.mRequestId });
  if (!planned.mIdempotencyKey.empty()) {
    request.mHeaders.push_back({ "Idempotency-Key", planned.mIdempotencyKey });
  }
  if (kind.mDeadlineMs > 0) {
    request.mHeaders.push_back(
      { "Request-Deadline-Ms", std::to_string(kind.mDeadlineMs) });
  }
  request.mBody = FillKey(kind.mBody, planned.mKey);
  return request;
}

operation& workload::Find(operation_id aOperation)
{
  return mOperations.at(aOperation);
}

const request_kind& workload::KindOf(const operation& aOperation) const
{
  return mKinds.at(aOperation.mKind);
}

void workload::End(operation_id aOperation, bool aMayHaveRun)
{
  operation& ended = Find(aOperation);
  PARSLEYSTAIR_INVARIANT(ended.mOpen > 0);
  --ended.mOpen;
  ended.mMayHaveRun = ended.mMayHaveRun || aMayHaveRun;
  if (ended.mIdempotencyKey.empty() && ended.mOpen == 0) {
    mOperations.erase(aOperation);
  }
}

} // namespace parsleystair
