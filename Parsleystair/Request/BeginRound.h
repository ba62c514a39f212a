#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Peers/Messages.h"
#include "Parsleystair/Peers/PeerClient.h"

#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace parsleystair {

/// The attempt was accepted by the deciding number of holders and may be sent.
struct begin_accepted
{
  bool operator==(const begin_accepted&) const = default;
};

/// The request ran before; this is its answer.
struct begin_finished
{
  http_response mResponse;

  bool operator==(const begin_finished&) const = default;
};

/// The attempt did not run. Another round with a new attempt id may start after
/// the delay.
struct begin_retry
{
  enum class reason
  {
    /// Another attempt of the request may be running.
    kExecutionInProgress,
    /// A holder knows a newer record of the group, which is to be fetched.
    kStaleRecord,
  };

  reason mReason = reason::kExecutionInProgress;
  duration mDelay{};

  bool operator==(const begin_retry&) const = default;
};

/// How one round of begin calls ended.
using begin_verdict = std::variant<begin_accepted,
                                   begin_finished,
                                   begin_retry,
                                   refused_not_run,
                                   refused_may_have_run>;

/// One round of one attempt: asks the group's holders to accept it and reaches
/// exactly one verdict.
class begin_round
{
public:
  /// `aRound` counts the rounds of one request from 0. Each round needs an
  /// attempt id that was never used before. `aMessage.mRevision` is set to the
  /// record's. `aDeadline` is the end of the request. `aOtherSeen` is
  /// `OtherSeen` of the round before.
  begin_round(const group_record& aRecord,
              begin_message aMessage,
              uint32_t aRound,
              time_point aDeadline,
              bool aOtherSeen = false);

  /// To be sent to each of `Holders`.
  [[nodiscard]] const begin_message& Message() const { return mMessage; }
  [[nodiscard]] std::vector<vm_identity> Holders() const;

  /// Verdict before any reply, if the record lists too few holders.
  [[nodiscard]] std::optional<begin_verdict> CheckHolders();

  /// Takes the result of one call. Returns the verdict once, when it is
  /// reached; later and repeated results change nothing.
  std::optional<begin_verdict> HandleResult(
    const vm_identity& aHolder,
    const peer_result<begin_reply>& aResult,
    time_point aNow,
    std::mt19937_64& aRandom);

  /// A holder of this or an earlier round knew another attempt of the request,
  /// so a refusal doesn't say that the request did not run.
  [[nodiscard]] bool OtherSeen() const;

  /// Holders that may have accepted the attempt. They get `WithdrawMessage`
  /// after every verdict but `begin_accepted`, and after that one when the
  /// request was never sent. A call without a result counts as accepted.
  [[nodiscard]] std::vector<vm_identity> PossibleAcceptors() const;
  [[nodiscard]] withdraw_message WithdrawMessage() const;

  /// For all `Holders` when the request was sent.
  [[nodiscard]] finish_message FinishMessage(
    std::optional<http_response> aAnswer) const;

private:
  struct holder_state
  {
    vm_identity mVm;
    bool mJoining = false;
    std::optional<peer_result<begin_reply>> mResult;
  };

  [[nodiscard]] size_t DecidingNumber() const;
  [[nodiscard]] size_t DecidingAcceptances() const;
  [[nodiscard]] bool HasResult(begin_result aResult) const;
  [[nodiscard]] bool AllHaveResults() const;
  [[nodiscard]] std::optional<begin_verdict> Decide(time_point aNow,
                                                    std::mt19937_64& aRandom);
  [[nodiscard]] begin_verdict DecideWithoutMajority(time_point aNow,
                                                    std::mt19937_64& aRandom);
  /// Refusal of this attempt, with regard to other attempts.
  [[nodiscard]] begin_verdict Refuse(refused_not_run aRefusal) const;
  [[nodiscard]] begin_verdict AgainOr(begin_retry::reason aReason,
                                      begin_verdict aAtDeadline,
                                      time_point aNow,
                                      std::mt19937_64& aRandom) const;

  begin_message mMessage;
  uint32_t mRound;
  time_point mDeadline;
  bool mOtherSeen;
  std::vector<holder_state> mHolders;
  bool mDecided = false;
};

} // namespace parsleystair
