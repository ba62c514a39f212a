#include "Parsleystair/Gateway/LeaderElection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// Time after which a lost leader is replaced. Grants are valid for longer than
/// this lease and a renewal interval together.
constexpr duration kLeaseTtl = 1500ms;
constexpr duration kRenewInterval = 500ms;
/// Upper bound of the random delay between the removal of the leader key and a
/// router's campaign, so that most routers see another router's entry before
/// they write their own.
constexpr duration kCampaignJitter = 150ms;
constexpr duration kRetryDelay = 500ms;

} // namespace

std::string EncodeLeaderEntry(const leader_entry& aEntry)
{
  return nlohmann::json{
    { "vm", aEntry.mVm.Value() },
    { "incarnation", aEntry.mIncarnation.Value() },
    { "host", aEntry.mHost },
    { "port", aEntry.mPort }
  }.dump();
}

leader_entry DecodeLeaderEntry(const std::string& aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    return { vm_name(json.at("vm").get<std::string>()),
             incarnation(json.at("incarnation").get<uint64_t>()),
             json.at("host").get<std::string>(),
             json.at("port").get<uint16_t>() };
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid leader entry: ") + exception.what());
  }
}

leader_election::leader_election(event_loop& aLoop,
                                 coordination_store& aStore,
                                 std::string aKey,
                                 leader_entry aSelf,
                                 duration aCampaignDelay,
                                 uint64_t aSeed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mKey(std::move(aKey))
  , mSelf(std::move(aSelf))
  , mCampaignDelay(aCampaignDelay)
  , mRandom(aSeed)
{
}

void leader_election::OnChange(change_handler aHandler)
{
  mChangeHandler = std::move(aHandler);
}

void leader_election::OnLeadershipConfirmed(lease_confirmed_handler aHandler)
{
  mLeaseConfirmedHandler = std::move(aHandler);
}

void leader_election::HandleKey(const std::optional<stored_item>& aItem)
{
  mKeyObserved = true;
  mKeyExists = aItem.has_value();
  if (!aItem) {
    mLeader.reset();
    if (mLeading) {
      StopLeading("the leader key was removed");
    }
    std::uniform_int_distribution<int64_t> jitter(0, kCampaignJitter.count());
    ScheduleCampaign(mCampaignDelay + duration(jitter(mRandom)));
    return;
  }
  try {
    mLeader = DecodeLeaderEntry(aItem->mValue);
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "leader_entry_unreadable")
      .Add("error", exception.what());
    mLeader.reset();
  }
  const bool isSelf = mLeader && *mLeader == mSelf;
  if (mLeader && !isSelf) {
    mFormerLeader = mLeader;
  }
  if (isSelf && !mLeading && mKeyWritePending) {
    // The reply to the write was lost or is slower than the watch.
    StartLeading(aItem->mRevision);
  } else if (!isSelf && mLeading) {
    StopLeading("another router is the leader");
  }
}

void leader_election::StepDown()
{
  if (mLeading) {
    StopLeading("another router is the leader");
    mKeyExists = true;
  }
}

void leader_election::Resign()
{
  mResigned = true;
  mTimer.Cancel();
  if (!mLeading) {
    return;
  }
  StopLeading("shutdown");
  mStore.EndLease(mLease, [](const lease_reply&) {});
}

void leader_election::ScheduleCampaign(duration aDelay)
{
  if (mResigned || mLeading) {
    return;
  }
  mTimer.StartOnce(mLoop, aDelay, [this] { Campaign(); });
}

void leader_election::Campaign()
{
  if (mResigned || mLeading || mKeyExists || !mKeyObserved) {
    return;
  }
  OpenLease();
}

void leader_election::OpenLease()
{
  mLeaseRequestedAt = MonotonicNow();
  mStore.OpenLease(kLeaseTtl, [this](const lease_reply& aReply) {
    if (aReply.mOutcome != call_outcome::kDone) {
      ScheduleCampaign(kRetryDelay);
      return;
    }
    mLease = aReply.mLease;
    WriteKey();
  });
}

void leader_election::WriteKey()
{
  mKeyWritePending = true;
  conditional_write write;
  write.mConditions = { { mKey, store_revision(0) } };
  write.mWrites = { { mKey, EncodeLeaderEntry(mSelf), mLease } };
  mStore.Write(write,
               [this](const write_reply& aReply) { HandleKeyWritten(aReply); });
}

void leader_election::HandleKeyWritten(const write_reply& aReply)
{
  if (mLeading || mResigned) {
    return;
  }
  if (aReply.mOutcome == call_outcome::kDone) {
    StartLeading(aReply.mRevision);
    return;
  }
  // If the outcome is unknown, the watch reports the key if it was written.
  mKeyWritePending = aReply.mOutcome == call_outcome::kUnknown;
  ScheduleCampaign(kRetryDelay);
}

void leader_election::StartLeading(store_revision aRevision)
{
  mLeading = true;
  mKeyWritePending = false;
  mKeyExists = true;
  mLeader = mSelf;
  mRevision = aRevision;
  log_line(log_severity::kInfo, "leading_started")
    .Add("revision", mRevision.Value())
    .Add("lease", mLease.Value());
  mTimer.StartRepeating(mLoop, kRenewInterval, [this] { RenewOwnLease(); });
  mChangeHandler();
}

void leader_election::StopLeading(const char* aReason)
{
  mLeading = false;
  mKeyWritePending = false;
  mTimer.Cancel();
  log_line(log_severity::kInfo, "leading_ended")
    .Add("reason", aReason)
    .Add("revision", mRevision.Value());
  mChangeHandler();
}

void leader_election::RenewOwnLease()
{
  const time_point sentAt = MonotonicNow();
  mStore.RenewLease(mLease, [this, sentAt](const lease_reply& aReply) {
    HandleLeaseRenewed(aReply, sentAt);
  });
}

void leader_election::HandleLeaseRenewed(const lease_reply& aReply,
                                         time_point aSentAt)
{
  if (!mLeading) {
    return;
  }
  if (aReply.mOutcome == call_outcome::kDone) {
    mLeaseConfirmedHandler(aSentAt);
  } else if (aReply.mOutcome == call_outcome::kGone) {
    mKeyExists = false;
    StopLeading("the lease no longer exists");
    ScheduleCampaign(kCampaignJitter);
  }
}

} // namespace parsleystair
