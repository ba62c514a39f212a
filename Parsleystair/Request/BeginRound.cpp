#include "Parsleystair/Request/BeginRound.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>

namespace parsleystair {

namespace {

/// First upper bound of the delay before another round. One round takes up to
/// two crossings of the region link, 24 ms.
constexpr duration kFirstDelay = 25ms;
constexpr duration kMinDelay = 5ms;
constexpr duration kMaxDelay = 200ms;
constexpr uint32_t kMaxDoublings = 3;
/// Records leave the table as they expire, so space appears slowly.
constexpr uint32_t kFullRetryAfterMs = 1'000;
/// A lost holder is replaced within about a second.
constexpr uint32_t kUnavailableRetryAfterMs = 1'000;

/// Full jitter, so that two attempts that split the holders between them don't
/// meet again in step.
duration DelayOf(uint32_t aRound, std::mt19937_64& aRandom)
{
  const auto factor = 1u << std::min(aRound, kMaxDoublings);
  const duration longest = std::min(kMaxDelay, kFirstDelay * factor);
  std::uniform_int_distribution<int64_t> delay(kMinDelay.count(),
                                               longest.count());
  return duration(delay(aRandom));
}

} // namespace

begin_round::begin_round(const group_record& aRecord,
                         begin_message aMessage,
                         uint32_t aRound,
                         time_point aDeadline,
                         bool aOtherSeen)
  : mMessage(std::move(aMessage))
  , mRound(aRound)
  , mDeadline(aDeadline)
  , mOtherSeen(aOtherSeen)
{
  PARSLEYSTAIR_INVARIANT(mMessage.mGroup == aRecord.mGroup);
  PARSLEYSTAIR_INVARIANT(!mMessage.mExecution.Value().empty());
  mMessage.mRevision = aRecord.mRevision;
  for (const group_holder& holder : aRecord.mHolders) {
    mHolders.push_back(
      { { holder.mVm, holder.mIncarnation }, holder.mJoining, {} });
  }
}

std::vector<vm_identity> begin_round::Holders() const
{
  std::vector<vm_identity> holders;
  for (const holder_state& holder : mHolders) {
    holders.push_back(holder.mVm);
  }
  return holders;
}

std::optional<begin_verdict> begin_round::CheckHolders()
{
  const auto ready = static_cast<size_t>(
    std::count_if(mHolders.begin(), mHolders.end(), [](const auto& aHolder) {
      return !aHolder.mJoining;
    }));
  if (ready >= DecidingNumber()) {
    return std::nullopt;
  }
  PARSLEYSTAIR_INVARIANT(!mDecided);
  mDecided = true;
  return Refuse({ refusal_reason::kRecordsUnavailable,
                  "the group has too few holders",
                  kUnavailableRetryAfterMs });
}

std::optional<begin_verdict> begin_round::HandleResult(
  const vm_identity& aHolder,
  const peer_result<begin_reply>& aResult,
  time_point aNow,
  std::mt19937_64& aRandom)
{
  const auto holder =
    std::find_if(mHolders.begin(), mHolders.end(), [&](const auto& aState) {
      return aState.mVm == aHolder;
    });
  PARSLEYSTAIR_INVARIANT(holder != mHolders.end());
  if (mDecided || holder->mResult) {
    return std::nullopt;
  }
  holder->mResult = aResult;
  std::optional<begin_verdict> verdict = Decide(aNow, aRandom);
  mDecided = verdict.has_value();
  return verdict;
}

bool begin_round::OtherSeen() const
{
  return mOtherSeen || HasResult(begin_result::kDuplicate) ||
         HasResult(begin_result::kFinished);
}

std::vector<vm_identity> begin_round::PossibleAcceptors() const
{
  std::vector<vm_identity> acceptors;
  for (const holder_state& holder : mHolders) {
    const bool answered =
      holder.mResult && holder.mResult->mStatus == peer_status::kReplied;
    const bool notSent =
      holder.mResult && holder.mResult->mStatus == peer_status::kNotSent;
    const bool refused =
      answered && holder.mResult->mReply.mResult != begin_result::kAccepted;
    if (!notSent && !refused) {
      acceptors.push_back(holder.mVm);
    }
  }
  return acceptors;
}

withdraw_message begin_round::WithdrawMessage() const
{
  return { mMessage.mGroup, mMessage.mKey, mMessage.mExecution };
}

finish_message begin_round::FinishMessage(
  std::optional<http_response> aAnswer) const
{
  return {
    mMessage.mGroup, mMessage.mKey, mMessage.mExecution, std::move(aAnswer)
  };
}

/// A strict majority of all listed holders. Joining holders count in the total
/// but their acceptances don't, so with one of three joining the other two
/// decide.
size_t begin_round::DecidingNumber() const
{
  return mHolders.size() / 2 + 1;
}

size_t begin_round::DecidingAcceptances() const
{
  size_t acceptances = 0;
  for (const holder_state& holder : mHolders) {
    if (!holder.mJoining && holder.mResult &&
        holder.mResult->mStatus == peer_status::kReplied &&
        holder.mResult->mReply.mResult == begin_result::kAccepted) {
      ++acceptances;
    }
  }
  return acceptances;
}

bool begin_round::HasResult(begin_result aResult) const
{
  return std::any_of(
    mHolders.begin(), mHolders.end(), [&](const auto& aHolder) {
      return aHolder.mResult &&
             aHolder.mResult->mStatus == peer_status::kReplied &&
             aHolder.mResult->mReply.mResult == aResult;
    });
}

bool begin_round::AllHaveResults() const
{
  return std::all_of(mHolders.begin(), mHolders.end(), [](const auto& aHolder) {
    return aHolder.mResult.has_value();
  });
}

std::optional<begin_verdict> begin_round::Decide(time_point aNow,
                                                 std::mt19937_64& aRandom)
{
  if (DecidingAcceptances() >= DecidingNumber()) {
    if (aNow < mDeadline) {
      return begin_accepted{};
    }
    return refused_not_run{ refusal_reason::kDeadlineExceeded,
                            "accepted after the deadline",
                            0 };
  }
  // One holder's answer is enough: only an attempt that ran has one.
  for (const holder_state& holder : mHolders) {
    if (holder.mResult && holder.mResult->mStatus == peer_status::kReplied &&
        holder.mResult->mReply.mResult == begin_result::kFinished &&
        holder.mResult->mReply.mResponse) {
      return begin_finished{ *holder.mResult->mReply.mResponse };
    }
  }
  if (!AllHaveResults()) {
    return std::nullopt;
  }
  return DecideWithoutMajority(aNow, aRandom);
}

/// Replies that show another attempt come first, because after them the request
/// can't be said not to have run.
begin_verdict begin_round::DecideWithoutMajority(time_point aNow,
                                                 std::mt19937_64& aRandom)
{
  if (HasResult(begin_result::kFinished)) {
    return refused_may_have_run{
      refusal_reason::kIncompleteResponse,
      "an earlier attempt was sent and its answer was not recorded"
    };
  }
  if (HasResult(begin_result::kDuplicate)) {
    return AgainOr(begin_retry::reason::kExecutionInProgress,
                   refused_may_have_run{ refusal_reason::kDuplicateInProgress,
                                         "another attempt has not finished" },
                   aNow,
                   aRandom);
  }
  if (HasResult(begin_result::kExpired)) {
    return refused_may_have_run{
      refusal_reason::kIdempotencyKeyExpired,
      "records of the time of this key are no longer complete"
    };
  }
  if (HasResult(begin_result::kFingerprintMismatch)) {
    return Refuse({ refusal_reason::kIdempotencyKeyReused,
                    "the key was used with other content",
                    0 });
  }
  if (HasResult(begin_result::kStaleRevision)) {
    return AgainOr(begin_retry::reason::kStaleRecord,
                   Refuse({ refusal_reason::kRecordsUnavailable,
                            "the group's holders changed until the deadline",
                            kUnavailableRetryAfterMs }),
                   aNow,
                   aRandom);
  }
  if (HasResult(begin_result::kFull)) {
    return Refuse({ refusal_reason::kRecordsFull,
                    "the record table is full",
                    kFullRetryAfterMs });
  }
  return Refuse({ refusal_reason::kRecordsUnavailable,
                  "too few holders accepted the attempt",
                  kUnavailableRetryAfterMs });
}

begin_verdict begin_round::Refuse(refused_not_run aRefusal) const
{
  if (OtherSeen()) {
    return refused_may_have_run{ refusal_reason::kDuplicateInProgress,
                                 aRefusal.mDetail };
  }
  return aRefusal;
}

begin_verdict begin_round::AgainOr(begin_retry::reason aReason,
                                   begin_verdict aAtDeadline,
                                   time_point aNow,
                                   std::mt19937_64& aRandom) const
{
  const duration delay = DelayOf(mRound, aRandom);
  if (aNow + delay >= mDeadline) {
    return aAtDeadline;
  }
  return begin_retry{ aReason, delay };
}

} // namespace parsleystair
