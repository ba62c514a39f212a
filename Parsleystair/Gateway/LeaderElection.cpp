#include "Parsleystair/Gateway/LeaderElection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/RecordSurvey.h"

#include <charconv>

namespace parsleystair {

namespace {

/// Time after which a lost leader is replaced. Grants are valid for longer than
/// this lease and a renewal interval together.
constexpr duration kLeaseTtl = 1500ms;
constexpr duration kAbdicationTimeout = 300ms;
constexpr uint32_t kOk = 200;
constexpr const char* kTermParameter = "term";
/// Marks a request whose body names the ownership records that its sender
/// knows, and that is to be answered with newer ones.
constexpr const char* kRecordsParameter = "records";

std::string AddressText(const leader_entry& aEntry)
{
  return aEntry.mHost + ":" + std::to_string(aEntry.mPort);
}

std::string DescribeLeaders(const std::vector<leader_entry>& aLeaders)
{
  std::string text;
  for (const leader_entry& each : aLeaders) {
    text += (text.empty() ? "" : ",") + each.mVm.Value() + "/" +
            std::to_string(each.mTerm.Value());
  }
  return text;
}

/// Term in the query of an abdication request; empty if a router without terms
/// sent it.
std::optional<term_number> ReadTerm(const http_request& aRequest)
{
  const auto text = FindQueryValue(aRequest.mQuery, kTermParameter);
  if (!text) {
    return std::nullopt;
  }
  uint64_t term = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, term);
  return result.ec == std::errc() && result.ptr == end
           ? std::optional(term_number(term))
           : std::nullopt;
}

} // namespace

leader_election::leader_election(event_loop& aLoop,
                                 coordination_store& aStore,
                                 const election_settings& aSettings,
                                 uint64_t aSeed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mSettings(aSettings)
  , mController(aSettings, aSeed)
{
}

void leader_election::OnChange(change_handler aHandler)
{
  mChangeHandler = std::move(aHandler);
}

void leader_election::OnLeadershipConfirmed(change_handler aHandler)
{
  mConfirmedHandler = std::move(aHandler);
}

void leader_election::OnFormerLeadersGone(change_handler aHandler)
{
  mFormerLeadersGoneHandler = std::move(aHandler);
}

void leader_election::OnRecoveryChange(change_handler aHandler)
{
  mRecoveryHandler = std::move(aHandler);
}

void leader_election::OnStoreSilenceEnd(change_handler aHandler)
{
  mStoreSilenceEndHandler = std::move(aHandler);
}

void leader_election::OnSurvey(survey_provider aProvider,
                               survey_handler aHandler)
{
  mSurveyProvider = std::move(aProvider);
  mSurveyHandler = std::move(aHandler);
}

void leader_election::HandleEra(const store_era& aEra)
{
  mController.HandleEra(aEra, MonotonicNow());
  Step();
}

void leader_election::HandleRouters(const router_list& aRouters)
{
  std::vector<std::string> hosts;
  for (const router_entry& router : aRouters) {
    hosts.push_back(router.mHost);
  }
  mController.HandleRouters(hosts, MonotonicNow());
}

std::optional<std::string> leader_election::LostGrantsText(
  time_point aNow) const
{
  const auto told = mController.LostGrants(aNow);
  return told ? std::optional(EncodeLostGrants(*told)) : std::nullopt;
}

void leader_election::HandleLostGrants(const std::string& aText)
{
  if (const auto told = DecodeLostGrants(aText)) {
    mController.HandleLostGrants(*told, MonotonicNow());
    ReportChanges();
  }
}

void leader_election::HandleRecordsWritten()
{
  mController.HandleRecordsWritten();
}

void leader_election::HandleKey(const std::optional<stored_item>& aItem)
{
  mController.HandleKey(aItem, MonotonicNow());
  Step();
}

bool leader_election::AsksRecords(const http_request& aRequest)
{
  return FindQueryValue(aRequest.mQuery, kRecordsParameter).has_value();
}

void leader_election::HandleAbdicationRequest(const http_request& aRequest)
{
  const std::optional<term_number> term = ReadTerm(aRequest);
  // A router without terms names the process that is to abdicate.
  const bool isNamed =
    aRequest.mBody == std::to_string(mSettings.mSelf.mIncarnation.Value());
  if (term || isNamed) {
    mController.StepDown(term);
    Step();
  }
}

abdication_reply leader_election::AbdicationReply(const http_request& aRequest,
                                                  time_point aNow) const
{
  const term_number before = ReadTerm(aRequest).value_or(term_number(0));
  return { mController.ForgottenGrantsExpireIn(aNow),
           mController.LostGrantsExpireIn(before, aNow),
           mController.KnownRouters(aNow) };
}

void leader_election::StepDown()
{
  mController.StepDown(std::nullopt);
  Step();
}

void leader_election::Resign()
{
  mController.Resign();
  Step();
}

void leader_election::Step()
{
  const time_point now = MonotonicNow();
  ReportChanges();
  for (const election_action& action : mController.Step(now)) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
  // The time at which former leaders are gone may have passed in this step.
  ReportChanges();
  if (const auto next = mController.NextStepTime()) {
    mTimer.StartOnce(
      mLoop, std::max(*next - now, duration::zero()), [this] { Step(); });
  } else {
    mTimer.Cancel();
  }
}

void leader_election::ReportChanges()
{
  const leadership& current = mController.Leadership();
  const bool isLeading = mController.IsLeading();
  if (mReportedLeading && !isLeading) {
    mReportedLeading = false;
    mAbdicationRequests.clear();
    log_line(log_severity::kInfo, "leading_ended")
      .Add("reason", mController.EndReason())
      .Add("revision", mController.Revision().Value())
      .Add("term", current.mTerm.Value());
    mChangeHandler();
  }
  if (!isLeading) {
    return;
  }
  if (!mReportedLeading) {
    mReportedLeading = true;
    mReportedConfirmation = time_point::min();
    mReportedFormerLeadersGone = false;
    mReportedRecoveryDeadline = time_point::min();
    mReportedRecordsWritable = false;
    log_line(log_severity::kInfo, "leading_started")
      .Add("revision", mController.Revision().Value())
      .Add("lease", mController.Leader()->mLease.Value())
      .Add("term", current.mTerm.Value())
      .Add("former", DescribeLeaders(mController.FormerLeaders()))
      .Add("recovers", current.mRecovers);
    mChangeHandler();
  }
  if (mReportedConfirmation < current.mConfirmedAt) {
    mReportedConfirmation = current.mConfirmedAt;
    mConfirmedHandler();
  }
  if (!mReportedFormerLeadersGone && mController.AreFormerLeadersGone()) {
    mReportedFormerLeadersGone = true;
    if (const auto end = mController.RecoveryEnd()) {
      log_line(log_severity::kInfo, "records_recovered")
        .Add("term", current.mTerm.Value())
        .Add("after_us", int64_t{ (MonotonicNow() - current.mSince).count() })
        .Add("wait_us",
             int64_t{ std::max(*end - MonotonicNow(), duration()).count() });
    }
    mFormerLeadersGoneHandler();
  }
  ReportRecovery();
}

void leader_election::ReportRecovery()
{
  const leadership& current = mController.Leadership();
  const time_point deadline = mController.RecoveryDeadline();
  const bool isWritable = mController.MayWriteRecords();
  if (!current.mRecovers || (mReportedRecoveryDeadline == deadline &&
                             mReportedRecordsWritable == isWritable)) {
    return;
  }
  mReportedRecoveryDeadline = deadline;
  mReportedRecordsWritable = isWritable;
  log_line(log_severity::kInfo, "recovery_deadline")
    .Add("term", current.mTerm.Value())
    .Add("in_us",
         int64_t{ std::max(deadline - MonotonicNow(), duration()).count() })
    .Add("writable", isWritable);
  mRecoveryHandler();
}

void leader_election::Execute(const read_terms& aAction)
{
  mStore.ReadPrefix(aAction.mPrefix, [this](const prefix_reply& aReply) {
    mController.HandleTermsRead(aReply.mOutcome, aReply.mItems, MonotonicNow());
    Step();
  });
}

void leader_election::Execute(const open_lease& /*aAction*/)
{
  mStore.OpenLease(kLeaseTtl, [this](const lease_reply& aReply) {
    mController.HandleLeaseOpened(aReply, MonotonicNow());
    Step();
  });
}

void leader_election::Execute(const write_leader& aAction)
{
  const time_point sentAt = MonotonicNow();
  const leader_entry entry = aAction.mEntry;
  mStore.Write(
    aAction.mWrite, [this, sentAt, entry](const write_reply& aReply) {
      mController.HandleLeaderWritten(entry, aReply, sentAt, MonotonicNow());
      Step();
    });
}

void leader_election::Execute(const renew_lease& aAction)
{
  const time_point sentAt = MonotonicNow();
  mStore.RenewLease(aAction.mLease,
                    [this, aAction, sentAt](const lease_reply& aReply) {
                      HandleRenewalOutcome(aReply.mOutcome, sentAt);
                      mController.HandleLeaseRenewed(
                        aAction, aReply.mOutcome, sentAt, MonotonicNow());
                      Step();
                    });
}

void leader_election::HandleRenewalOutcome(call_outcome aOutcome,
                                           time_point aSentAt)
{
  if (aOutcome == call_outcome::kDone || aOutcome == call_outcome::kGone) {
    mAnsweredRenewalSentAt = std::max(mAnsweredRenewalSentAt, aSentAt);
  } else {
    mIsStoreSilent = true;
  }
  // A later renewal may get its reply before an earlier one fails.
  if (mIsStoreSilent && mAnsweredRenewalSentAt >= aSentAt) {
    mIsStoreSilent = false;
    mStoreSilenceEndHandler();
  }
}

void leader_election::Execute(const end_lease& aAction)
{
  mStore.EndLease(aAction.mLease, [](const lease_reply&) {});
}

void leader_election::Execute(const request_abdication& aAction)
{
  const leader_entry& former = aAction.mLeader;
  auto& connection = mAbdicationRequests[AddressText(former)];
  connection = std::make_unique<http_connection>(
    mLoop, former.mHost, former.mPort, http_connection_settings{});
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/abdicate";
  request.mQuery =
    kTermParameter + ("=" + std::to_string(aAction.mBefore.Value()));
  request.mBody = std::to_string(former.mIncarnation.Value());
  if (aAction.mAsksRecords) {
    request.mQuery += std::string("&") + kRecordsParameter + "=1";
    request.mBody = mSurveyProvider();
  }
  connection->Call(
    request, kAbdicationTimeout, [this, aAction](const http_result& aResult) {
      // The extracted node keeps the connection alive until its callback
      // returns.
      const auto node =
        mAbdicationRequests.extract(AddressText(aAction.mLeader));
      // A refused connection doesn't prove that the former leader has ended: a
      // network partition may look the same.
      if (aResult.mStatus != http_status::kResponded ||
          aResult.mResponse.mStatus != kOk) {
        log_line(log_severity::kInfo, "former_leader_silent")
          .Add("vm", aAction.mLeader.mVm.Value())
          .Add("former_term", aAction.mLeader.mTerm.Value())
          .Add("term", aAction.mBefore.Value());
        return;
      }
      log_line(log_severity::kInfo, "former_leader_gone")
        .Add("vm", aAction.mLeader.mVm.Value())
        .Add("former_term", aAction.mLeader.mTerm.Value())
        .Add("term", aAction.mBefore.Value());
      abdication_reply reply;
      if (aAction.mAsksRecords) {
        const auto told = mSurveyHandler(aResult.mResponse.mBody);
        if (!told) {
          // Its records and routers are unknown, as if it had not responded.
          return;
        }
        reply = told->mReply;
      }
      mController.HandleAbdicated(aAction, reply, MonotonicNow());
      Step();
    });
}

void leader_election::Execute(const write_terms& aAction)
{
  const term_number term = mController.Leadership().mTerm;
  mStore.Write(aAction.mWrite, [this, term](const write_reply& aReply) {
    if (term == mController.Leadership().mTerm) {
      mController.HandleTermsWritten(aReply);
      Step();
    }
  });
}

} // namespace parsleystair
