#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Ownership/OwnershipController.h"
#include "Parsleystair/Peers/PeerClient.h"
#include "Parsleystair/Request/BeginRound.h"
#include "Parsleystair/Request/RequestRecordTable.h"
#include "Parsleystair/Tasks/Messages.h"
#include "Parsleystair/Tasks/OwnershipDriver.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace parsleystair {

/// At-most-once for non-idempotent requests: asks the holders of a request's
/// group if it may run, and keeps the records of the groups that this router
/// holds.
class record_driver
{
public:
  using verdict_handler = std::function<void(worker_index, execution_verdict)>;

  record_driver(event_loop& aLoop,
                vm_identity aSelf,
                uint64_t aSeed,
                const ownership_controller& aController,
                peer_client& aPeers,
                peer_resolver aResolver,
                verdict_handler aHandler);

  // Messages of the workers.
  void Handle(const begin_query& aQuery);
  void Handle(const execution_finished& aFinished);
  void Handle(const execution_withdrawn& aWithdrawn);

  // Calls of other routers.
  begin_reply HandleBegin(const begin_message& aMessage);
  void HandleFinish(const finish_message& aMessage);
  void HandleWithdraw(const withdraw_message& aMessage);
  copy_records_reply HandleCopyRecords(const copy_records_message& aMessage);

  /// Takes over a record that the controller has learned.
  void UpdateGroup(const group_record& aRecord);

  /// Called with the time up to which records were lost for good with their
  /// holders; none when the copy is complete.
  using copy_callback = std::function<void(std::optional<wall_time>)>;

  /// Copies the records of a group that this router joins. Without a callback
  /// the copy has to be tried again.
  void CopyRecords(const copy_group_records& aRequest, copy_callback aCallback);

  [[nodiscard]] const request_record_counts& Counts() const
  {
    return mTable.Counts();
  }
  [[nodiscard]] size_t OpenAttempts() const { return mAttempts.size(); }

private:
  /// Replies to the calls of one copy.
  struct open_copy
  {
    group_record mRecord;
    copy_callback mCallback;
    std::vector<copy_records_reply> mCopies;
    size_t mMissing = 0;
    bool mHasLoss = false;
    bool mHasFailure = false;
  };

  void HandleCopy(open_copy& aCopy,
                  const peer_result<copy_records_reply>& aResult);
  void FinishCopy(open_copy& aCopy);

  using attempt_key = std::pair<worker_index, flow_id>;

  struct open_attempt
  {
    begin_message mBegin;
    time_point mDeadline;
    uint32_t mRound = 0;
    /// An earlier round saw another attempt of the request.
    bool mOtherSeen = false;
    std::unique_ptr<begin_round> mAttempt;
    timer mAgain;
    bool mRunning = false;
  };

  void StartRound(const attempt_key& aKey);
  void HandleResult(const attempt_key& aKey,
                    uint32_t aRound,
                    const vm_identity& aHolder,
                    const peer_result<begin_reply>& aResult);
  void Decide(const attempt_key& aKey, const begin_verdict& aVerdict);
  void RunAgain(const attempt_key& aKey, const begin_retry& aAgain);
  void End(const attempt_key& aKey, std::optional<request_outcome> aOutcome);
  void SendWithdrawals(const begin_round& aAttempt);
  void SendFinish(const begin_round& aAttempt,
                  const std::optional<http_response>& aAnswer);
  [[nodiscard]] bool IsSelf(const vm_identity& aVm) const;
  [[nodiscard]] bool IsReadyHolder(const group_record& aRecord) const;
  std::string MakeAttemptId();

  event_loop& mLoop;
  vm_identity mSelf;
  std::mt19937_64 mRandom;
  const ownership_controller& mController;
  peer_client& mPeers;
  peer_resolver mResolver;
  verdict_handler mHandler;
  request_record_table mTable;
  std::map<attempt_key, open_attempt> mAttempts;
};

} // namespace parsleystair
