#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Gateway/ElectionController.h"
#include "Parsleystair/Gateway/PeerReport.h"
#include "Parsleystair/Http/HttpConnection.h"

#include <functional>
#include <map>
#include <memory>

namespace parsleystair {

struct survey_response;

/// Executes the decisions of an `election_controller`: calls the store and asks
/// former leaders to abdicate.
class leader_election
{
public:
  using change_handler = std::function<void()>;

  leader_election(event_loop& aLoop,
                  coordination_store& aStore,
                  const election_settings& aSettings,
                  uint64_t aSeed);
  leader_election(const leader_election&) = delete;
  leader_election& operator=(const leader_election&) = delete;

  /// Called when this router starts or stops leading.
  void OnChange(change_handler aHandler);
  /// Called for each confirmation of the leadership by the store.
  void OnLeadershipConfirmed(change_handler aHandler);
  /// Called when no former leader sends orders any more.
  void OnFormerLeadersGone(change_handler aHandler);
  /// Called when `RecoveryDeadline` or `MayWriteRecords` changes while this
  /// router leads and recovers.
  void OnRecoveryChange(change_handler aHandler);
  /// Called when the store replies to this leader again after a renewal without
  /// a reply.
  void OnStoreSilenceEnd(change_handler aHandler);

  /// Provides the body of requests for ownership records.
  using survey_provider = std::function<std::string()>;
  /// Applies the records of a response to such a request, and returns the rest
  /// of it; nothing if the response can't be read.
  using survey_handler =
    std::function<std::optional<survey_response>(const std::string&)>;
  void OnSurvey(survey_provider aProvider, survey_handler aHandler);

  /// The store has come back from an older copy in the era `aEra`.
  void HandleEra(const store_era& aEra);
  /// `aRouters`: all live routers, as the leader knows them now.
  void HandleRouters(const router_list& aRouters);
  /// Text for reports to other routers and their responses; empty in the first
  /// era. See `election_controller::LostGrants`.
  [[nodiscard]] std::optional<std::string> LostGrantsText(
    time_point aNow) const;
  /// Handles such a text of another router. Unreadable ones are ignored.
  void HandleLostGrants(const std::string& aText);
  /// This router has written all ownership records in the present era.
  void HandleRecordsWritten();

  /// Name of the leader key in the present era.
  [[nodiscard]] std::string LeaderKey() const
  {
    return mController.LeaderKey();
  }
  /// See `election_controller::RecoveryDeadline`.
  [[nodiscard]] time_point RecoveryDeadline() const
  {
    return mController.RecoveryDeadline();
  }
  /// See `election_controller::MayWriteRecords`.
  [[nodiscard]] bool MayWriteRecords() const
  {
    return mController.MayWriteRecords();
  }
  /// What this router tells the sender of an abdication request.
  [[nodiscard]] abdication_reply AbdicationReply(const http_request& aRequest,
                                                 time_point aNow) const;

  /// Handles the present state of the leader key in the store; `aItem` is empty
  /// if the key doesn't exist.
  void HandleKey(const std::optional<stored_item>& aItem);

  /// Responds to another router's request to abdicate. On return this router
  /// leads in no term before the one of the request.
  void HandleAbdicationRequest(const http_request& aRequest);

  /// Whether an abdication request asks for ownership records; its body names
  /// those that the sender knows.
  [[nodiscard]] static bool AsksRecords(const http_request& aRequest);

  /// Stops leading because another router leads in a later term.
  void StepDown();

  /// Stops leading and never campaigns again.
  void Resign();

  [[nodiscard]] bool IsLeading() const { return mController.IsLeading(); }
  [[nodiscard]] const leadership& Leadership() const
  {
    return mController.Leadership();
  }
  [[nodiscard]] bool AreFormerLeadersGone() const
  {
    return mController.AreFormerLeadersGone();
  }
  /// Write condition that holds only while this router leads.
  [[nodiscard]] item_condition Condition() const
  {
    return mController.Condition();
  }
  /// The recorded leader: this router or another one.
  [[nodiscard]] const std::optional<leader_entry>& Leader() const
  {
    return mController.Leader();
  }

private:
  /// Executes the actions that are due and reports what has changed.
  void Step();
  void ReportChanges();
  void ReportRecovery();
  /// Notes whether the store replied to a renewal that was sent at `aSentAt`.
  void HandleRenewalOutcome(call_outcome aOutcome, time_point aSentAt);
  void Execute(const read_terms& aAction);
  void Execute(const open_lease& aAction);
  void Execute(const write_leader& aAction);
  void Execute(const renew_lease& aAction);
  void Execute(const end_lease& aAction);
  void Execute(const request_abdication& aAction);
  void Execute(const write_terms& aAction);

  event_loop& mLoop;
  coordination_store& mStore;
  election_settings mSettings;
  election_controller mController;
  change_handler mChangeHandler;
  change_handler mConfirmedHandler;
  change_handler mFormerLeadersGoneHandler;
  change_handler mRecoveryHandler = [] {};
  change_handler mStoreSilenceEndHandler = [] {};
  survey_provider mSurveyProvider;
  survey_handler mSurveyHandler;
  /// State as last reported to the handlers.
  bool mReportedLeading = false;
  time_point mReportedConfirmation = time_point::min();
  /// Time at which the last renewal was sent that got a reply.
  time_point mAnsweredRenewalSentAt = time_point::min();
  /// A renewal got no reply, and none that was sent later has got one.
  bool mIsStoreSilent = false;
  bool mReportedFormerLeadersGone = false;
  time_point mReportedRecoveryDeadline = time_point::min();
  bool mReportedRecordsWritable = false;
  /// Pending requests to former leaders, by address.
  std::map<std::string, std::unique_ptr<http_connection>> mAbdicationRequests;
  timer mTimer;
};

} // namespace parsleystair
