#include "Parsleystair/Gateway/LeaderElection.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

/// A lost leader is replaced after this; grants hold for longer than the lease
/// and a renewal interval together.
constexpr duration kLeaseTime = 1500ms;
constexpr duration kRenewInterval = 500ms;
/// Routers stand within this time after the key was removed, so that most of
/// them see another's entry before they write their own.
constexpr duration kStandSpread = 150ms;
constexpr duration kRetryTime = 500ms;

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
    throw parse_error(std::string("not a leader entry: ") + exception.what());
  }
}

leader_election::leader_election(event_loop& aLoop,
                                 coordination_store& aStore,
                                 std::string aKey,
                                 leader_entry aSelf,
                                 duration aStandDelay,
                                 uint64_t aSeed)
  : mLoop(aLoop)
  , mStore(aStore)
  , mKey(std::move(aKey))
  , mSelf(std::move(aSelf))
  , mStandDelay(aStandDelay)
  , mRandom(aSeed)
{
}

void leader_election::OnChange(change_handler aHandler)
{
  mChange = std::move(aHandler);
}

void leader_election::OnProof(proof_handler aHandler)
{
  mProof = std::move(aHandler);
}

void leader_election::HandleKey(const std::optional<stored_item>& aItem)
{
  mKnown = true;
  mKeyExists = aItem.has_value();
  if (!aItem) {
    mLeader.reset();
    if (mLeading) {
      StopLeading("the key was removed");
    }
    std::uniform_int_distribution<int64_t> delay(0, kStandSpread.count());
    StandLater(mStandDelay + duration(delay(mRandom)));
    return;
  }
  try {
    mLeader = DecodeLeaderEntry(aItem->mValue);
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "leader_entry_unreadable")
      .Add("error", exception.what());
    mLeader.reset();
  }
  const bool own = mLeader && *mLeader == mSelf;
  if (mLeader && !own) {
    mFormer = mLeader;
  }
  if (own && !mLeading && mStanding) {
    // The answer to the write was lost or is slower than the watch.
    StartLeading(aItem->mRevision);
  } else if (!own && mLeading) {
    StopLeading("another router leads");
  }
}

void leader_election::Abdicate()
{
  if (mLeading) {
    StopLeading("another router leads");
    mKeyExists = true;
  }
}

void leader_election::Leave()
{
  mLeft = true;
  mTimer.Cancel();
  if (!mLeading) {
    return;
  }
  StopLeading("shutdown");
  mStore.EndLease(mLease, [](const lease_reply&) {});
}

void leader_election::StandLater(duration aDelay)
{
  if (mLeft || mLeading) {
    return;
  }
  mTimer.StartOnce(mLoop, aDelay, [this] { Stand(); });
}

void leader_election::Stand()
{
  if (mLeft || mLeading || mKeyExists || !mKnown) {
    return;
  }
  OpenLease();
}

void leader_election::OpenLease()
{
  mAsked = MonotonicNow();
  mStore.OpenLease(kLeaseTime, [this](const lease_reply& aReply) {
    if (aReply.mOutcome != call_outcome::kDone) {
      StandLater(kRetryTime);
      return;
    }
    mLease = aReply.mLease;
    WriteKey();
  });
}

void leader_election::WriteKey()
{
  mStanding = true;
  conditional_write write;
  write.mConditions = { { mKey, store_revision(0) } };
  write.mWrites = { { mKey, EncodeLeaderEntry(mSelf), mLease } };
  mStore.Write(write,
               [this](const write_reply& aReply) { HandleWritten(aReply); });
}

void leader_election::HandleWritten(const write_reply& aReply)
{
  if (mLeading || mLeft) {
    return;
  }
  if (aReply.mOutcome == call_outcome::kDone) {
    StartLeading(aReply.mRevision);
    return;
  }
  // With an unknown outcome the watch shows the key if it was written.
  mStanding = aReply.mOutcome == call_outcome::kUnknown;
  StandLater(kRetryTime);
}

void leader_election::StartLeading(store_revision aRevision)
{
  mLeading = true;
  mStanding = false;
  mKeyExists = true;
  mLeader = mSelf;
  mRevision = aRevision;
  log_line(log_severity::kInfo, "leading_started")
    .Add("revision", mRevision.Value())
    .Add("lease", mLease.Value());
  mTimer.StartRepeating(mLoop, kRenewInterval, [this] { Renew(); });
  mChange();
}

void leader_election::StopLeading(const char* aReason)
{
  mLeading = false;
  mStanding = false;
  mTimer.Cancel();
  log_line(log_severity::kInfo, "leading_ended")
    .Add("reason", aReason)
    .Add("revision", mRevision.Value());
  mChange();
}

void leader_election::Renew()
{
  const time_point asked = MonotonicNow();
  mStore.RenewLease(mLease, [this, asked](const lease_reply& aReply) {
    HandleRenewed(aReply, asked);
  });
}

void leader_election::HandleRenewed(const lease_reply& aReply,
                                    time_point aAsked)
{
  if (!mLeading) {
    return;
  }
  if (aReply.mOutcome == call_outcome::kDone) {
    mProof(aAsked);
  } else if (aReply.mOutcome == call_outcome::kGone) {
    mKeyExists = false;
    StopLeading("the lease ended");
    StandLater(kStandSpread);
  }
}

} // namespace parsleystair
