#include "Parsleystair/Tasks/RecordDriver.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr duration kNoRecordDelay = 20ms;
constexpr uint32_t kRetryAfterMs = 1000;

} // namespace

record_driver::record_driver(event_loop& aLoop,
                             vm_identity aSelf,
                             uint64_t aSeed,
                             const ownership_controller& aController,
                             peer_client& aPeers,
                             peer_resolver aResolver,
                             verdict_handler aHandler)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mRandom(aSeed)
  , mController(aController)
  , mPeers(aPeers)
  , mResolver(std::move(aResolver))
  , mHandler(std::move(aHandler))
  , mTable(mSelf, {})
{
}

std::string record_driver::MakeAttemptId()
{
  return std::to_string(mSelf.mIncarnation.Value()) + "-" +
         std::to_string(mRandom()) + std::to_string(mRandom());
}

bool record_driver::IsSelf(const vm_identity& aVm) const
{
  return aVm == mSelf;
}

bool record_driver::IsReadyHolder(const group_record& aRecord) const
{
  // A process that is listed under its own incarnation, and not as joining, has
  // seen every request since it was listed: it was there when the group was
  // created, or it copied the records before it stopped joining.
  return std::any_of(aRecord.mHolders.begin(),
                     aRecord.mHolders.end(),
                     [&](const group_holder& aHolder) {
                       return aHolder.mVm == mSelf.mName &&
                              aHolder.mIncarnation == mSelf.mIncarnation &&
                              !aHolder.mJoining;
                     });
}

void record_driver::UpdateGroup(const group_record& aRecord)
{
  mTable.UpdateGroup(aRecord, IsReadyHolder(aRecord), MonotonicNow());
}

void record_driver::Handle(const begin_query& aQuery)
{
  const attempt_key key(aQuery.mWorker, aQuery.mFlow);
  open_attempt& opened = mAttempts[key];
  opened.mBegin = aQuery.mBegin;
  opened.mDeadline = aQuery.mDeadline;
  StartRound(key);
}

void record_driver::StartRound(const attempt_key& aKey)
{
  open_attempt& opened = mAttempts.at(aKey);
  const group_record* record = mController.FindRecord(opened.mBegin.mGroup);
  if (record == nullptr) {
    RunAgain(aKey, { begin_retry::reason::kStaleRecord, kNoRecordDelay });
    return;
  }
  // Each round has an attempt id of its own, since holders may still have the
  // last one when its withdrawal is late.
  opened.mBegin.mExecution = execution_id(MakeAttemptId());
  const uint32_t round = opened.mRound;
  opened.mAttempt = std::make_unique<begin_round>(
    *record, opened.mBegin, round, opened.mDeadline, opened.mOtherSeen);
  if (const auto verdict = opened.mAttempt->CheckHolders()) {
    Decide(aKey, *verdict);
    return;
  }
  const begin_message message = opened.mAttempt->Message();
  for (const vm_identity& holder : opened.mAttempt->Holders()) {
    // An answer of this router itself may have decided already.
    const auto found = mAttempts.find(aKey);
    if (found == mAttempts.end() || found->second.mRound != round ||
        found->second.mRunning) {
      return;
    }
    if (IsSelf(holder)) {
      HandleResult(
        aKey, round, holder, { peer_status::kReplied, HandleBegin(message) });
      continue;
    }
    const auto address = mResolver(holder.mName);
    if (!address) {
      HandleResult(aKey, round, holder, { peer_status::kNotSent, {} });
      continue;
    }
    mPeers.Begin(
      *address,
      message,
      [this, aKey, round, holder](const peer_result<begin_reply>& aResult) {
        HandleResult(aKey, round, holder, aResult);
      });
  }
}

void record_driver::HandleResult(const attempt_key& aKey,
                                 uint32_t aRound,
                                 const vm_identity& aHolder,
                                 const peer_result<begin_reply>& aResult)
{
  const auto found = mAttempts.find(aKey);
  const bool isCurrent = found != mAttempts.end() &&
                         found->second.mRound == aRound &&
                         found->second.mAttempt != nullptr;
  if (!isCurrent) {
    return;
  }
  const auto verdict = found->second.mAttempt->HandleResult(
    aHolder, aResult, MonotonicNow(), mRandom);
  if (verdict) {
    Decide(aKey, *verdict);
  }
}

void record_driver::Decide(const attempt_key& aKey,
                           const begin_verdict& aVerdict)
{
  open_attempt& opened = mAttempts.at(aKey);
  if (std::holds_alternative<begin_accepted>(aVerdict)) {
    opened.mRunning = true;
    mHandler(aKey.first, { aKey.second, std::nullopt });
    return;
  }
  SendWithdrawals(*opened.mAttempt);
  if (const auto* again = std::get_if<begin_retry>(&aVerdict)) {
    RunAgain(aKey, *again);
  } else if (const auto* repeat = std::get_if<begin_finished>(&aVerdict)) {
    End(aKey, responded{ repeat->mResponse, true });
  } else if (const auto* notRun = std::get_if<refused_not_run>(&aVerdict)) {
    End(aKey, *notRun);
  } else {
    End(aKey, std::get<refused_may_have_run>(aVerdict));
  }
}

void record_driver::RunAgain(const attempt_key& aKey, const begin_retry& aAgain)
{
  open_attempt& opened = mAttempts.at(aKey);
  if (opened.mAttempt != nullptr) {
    opened.mOtherSeen = opened.mAttempt->OtherSeen();
  }
  if (MonotonicNow() + aAgain.mDelay >= opened.mDeadline) {
    const refused_not_run refusal{ refusal_reason::kRecordsUnavailable,
                                   "the routers that keep the request's record "
                                   "did not agree in time",
                                   kRetryAfterMs };
    // A request of which another attempt was seen may have run.
    if (opened.mOtherSeen) {
      End(aKey, refused_may_have_run{ refusal.mReason, refusal.mDetail });
    } else {
      End(aKey, refusal);
    }
    return;
  }
  ++opened.mRound;
  opened.mAttempt.reset();
  opened.mAgain.StartOnce(
    mLoop, aAgain.mDelay, [this, aKey] { StartRound(aKey); });
}

void record_driver::End(const attempt_key& aKey,
                        std::optional<request_outcome> aOutcome)
{
  mAttempts.erase(aKey);
  mHandler(aKey.first, { aKey.second, std::move(aOutcome) });
}

void record_driver::Handle(const execution_finished& aFinished)
{
  auto node = mAttempts.extract({ aFinished.mWorker, aFinished.mFlow });
  if (!node.empty() && node.mapped().mRunning) {
    SendFinish(*node.mapped().mAttempt, aFinished.mResponse);
  }
}

void record_driver::Handle(const execution_withdrawn& aWithdrawn)
{
  auto node = mAttempts.extract({ aWithdrawn.mWorker, aWithdrawn.mFlow });
  if (!node.empty() && node.mapped().mAttempt != nullptr) {
    SendWithdrawals(*node.mapped().mAttempt);
  }
}

void record_driver::SendWithdrawals(const begin_round& aAttempt)
{
  const withdraw_message message = aAttempt.WithdrawMessage();
  for (const vm_identity& holder : aAttempt.PossibleAcceptors()) {
    if (IsSelf(holder)) {
      HandleWithdraw(message);
    } else if (const auto address = mResolver(holder.mName)) {
      mPeers.Withdraw(
        *address, message, [](const peer_result<acknowledgement>&) {});
    }
  }
}

void record_driver::SendFinish(const begin_round& aAttempt,
                               const std::optional<http_response>& aAnswer)
{
  const finish_message message = aAttempt.FinishMessage(aAnswer);
  for (const vm_identity& holder : aAttempt.Holders()) {
    if (IsSelf(holder)) {
      HandleFinish(message);
    } else if (const auto address = mResolver(holder.mName)) {
      mPeers.Finish(
        *address, message, [](const peer_result<acknowledgement>&) {});
    }
  }
}

begin_reply record_driver::HandleBegin(const begin_message& aMessage)
{
  const group_record* record = mController.FindRecord(aMessage.mGroup);
  if (record == nullptr) {
    return { begin_result::kNotReady, {}, std::nullopt };
  }
  UpdateGroup(*record);
  return mTable.HandleBegin(aMessage, *record, MonotonicNow(), WallNow());
}

void record_driver::HandleFinish(const finish_message& aMessage)
{
  mTable.HandleFinish(aMessage, MonotonicNow());
}

void record_driver::HandleWithdraw(const withdraw_message& aMessage)
{
  mTable.HandleWithdraw(aMessage, MonotonicNow());
}

copy_records_reply record_driver::HandleCopyRecords(
  const copy_records_message& aMessage)
{
  const group_record* record = mController.FindRecord(aMessage.mRecord.mGroup);
  if (record == nullptr) {
    return {};
  }
  return mTable.HandleCopyRecords(aMessage, *record, MonotonicNow());
}

void record_driver::CopyRecords(const copy_group_records& aRequest,
                                copy_callback aCallback)
{
  UpdateGroup(aRequest.mRecord);
  const auto copy = std::make_shared<open_copy>();
  copy->mRecord = aRequest.mRecord;
  copy->mCallback = std::move(aCallback);
  copy->mMissing = aRequest.mHolders.size();
  for (const vm_name& holder : aRequest.mHolders) {
    const auto address = mResolver(holder);
    if (mController.IsTerminated(holder, MonotonicNow())) {
      peer_result<copy_records_reply> gone{ peer_status::kReplied, {} };
      gone.mReply.mLost = true;
      HandleCopy(*copy, gone);
    } else if (!address) {
      HandleCopy(*copy, { peer_status::kNotSent, {} });
    } else {
      mPeers.CopyRecords(
        *address,
        { copy->mRecord },
        [this, copy](const peer_result<copy_records_reply>& aResult) {
          HandleCopy(*copy, aResult);
        });
    }
  }
}

void record_driver::HandleCopy(open_copy& aCopy,
                               const peer_result<copy_records_reply>& aResult)
{
  const copy_records_reply& reply = aResult.mReply;
  if (aResult.mStatus == peer_status::kReplied && reply.mReady) {
    aCopy.mCopies.push_back(reply);
  } else if (aResult.mStatus == peer_status::kReplied && reply.mLost) {
    aCopy.mHasLoss = true;
  } else {
    aCopy.mHasFailure = true;
  }
  --aCopy.mMissing;
  if (aCopy.mMissing == 0 && !aCopy.mHasFailure) {
    FinishCopy(aCopy);
  }
}

void record_driver::FinishCopy(open_copy& aCopy)
{
  const time_point now = MonotonicNow();
  if (mTable.InstallCopies(aCopy.mRecord, aCopy.mCopies, now)) {
    aCopy.mCallback(std::nullopt);
    return;
  }
  if (!aCopy.mHasLoss) {
    return;
  }
  // An attempt that only lost holders had accepted can't be found any more, so
  // requests from before now are refused as possibly run.
  log_line(log_severity::kWarning, "request_records_lost")
    .Add("group", uint64_t{ aCopy.mRecord.mGroup.Value() });
  const wall_time lostUntil = WallNow();
  mTable.MarkReadySince(aCopy.mRecord.mGroup, lostUntil, now);
  aCopy.mCallback(lostUntil);
}

} // namespace parsleystair
