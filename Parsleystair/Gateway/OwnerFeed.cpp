#include "Parsleystair/Gateway/OwnerFeed.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"
#include "Parsleystair/Gateway/PeerMessage.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kServiceUnavailable = 503;

/// Timeout of a long poll. A leader that stopped responding is detected earlier
/// by the connection's TCP keep-alive.
constexpr duration kPollTimeout = 20s;
constexpr duration kRetryDelay = 300ms;
/// Failed polls after which another router is asked who leads.
constexpr uint32_t kFailedPollsBeforePeers = 3;

http_connection_settings FeedConnectionSettings()
{
  http_connection_settings settings;
  settings.mConnectTimeout = 500ms;
  settings.mStream.mKeepAlive = 1s;
  settings.mStream.mUserTimeout = 1s;
  return settings;
}

} // namespace

std::string EncodeOwnerRecords(const owner_records& aRecords)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, versioned] : aRecords) {
    json[service.Value()] = { { "revision", versioned.mRevision.Value() },
                              { "record",
                                EncodeRangeRecord(versioned.mRecord) } };
  }
  return json.dump();
}

owner_records DecodeOwnerRecords(const std::string& aText)
{
  try {
    owner_records records;
    const nlohmann::json json = nlohmann::json::parse(aText);
    for (const auto& [service, value] : json.items()) {
      records[service_name(service)] = {
        store_revision(value.at("revision").get<uint64_t>()),
        DecodeRangeRecord(value.at("record").get<std::string>())
      };
    }
    return records;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid owner records: ") +
                      exception.what());
  }
}

std::string EncodeOwnerRevisions(const owner_revisions& aRevisions)
{
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [service, revision] : aRevisions) {
    json[service.Value()] = revision.Value();
  }
  return json.dump();
}

owner_revisions DecodeOwnerRevisions(const std::string& aText)
{
  try {
    owner_revisions revisions;
    const nlohmann::json json = nlohmann::json::parse(aText);
    for (const auto& [service, revision] : json.items()) {
      revisions[service_name(service)] =
        store_revision(revision.get<uint64_t>());
    }
    return revisions;
  } catch (const nlohmann::json::exception& exception) {
    throw parse_error(std::string("invalid owner revisions: ") +
                      exception.what());
  }
}

owner_records NewerRecords(const owner_records& aRecords,
                           const owner_revisions& aKnown)
{
  owner_records newer;
  for (const auto& [service, versioned] : aRecords) {
    const auto known = aKnown.find(service);
    if (known == aKnown.end() || known->second < versioned.mRevision) {
      newer[service] = versioned;
    }
  }
  return newer;
}

owner_feed_server::owner_feed_server(http_server& aServer)
  : mServer(aServer)
{
}

void owner_feed_server::HandlePoll(exchange_id aExchange,
                                   const http_request& aRequest,
                                   const owner_records& aRecords)
{
  try {
    const owner_revisions known = DecodeOwnerRevisions(aRequest.mBody);
    if (!SendNewerRecords(aExchange, known, aRecords)) {
      mPendingPolls[aExchange] = known;
    }
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "question_unreadable")
      .Add("peer", aRequest.mRemoteHost)
      .Add("error", exception.what());
    mServer.Respond(aExchange, { kBadRequest, {}, "" });
  }
}

bool owner_feed_server::SendNewerRecords(exchange_id aExchange,
                                         const owner_revisions& aKnownRevisions,
                                         const owner_records& aRecords)
{
  const owner_records newer = NewerRecords(aRecords, aKnownRevisions);
  if (newer.empty()) {
    return false;
  }
  if (newer != mEncodedRecords) {
    mEncodedRecords = newer;
    mEncoded = Compress(EncodeOwnerRecords(newer));
  }
  mServer.Respond(aExchange, { kOk, {}, mEncoded });
  return true;
}

void owner_feed_server::HandleDisconnect(exchange_id aExchange)
{
  mPendingPolls.erase(aExchange);
}

void owner_feed_server::HandleRecords(const owner_records& aRecords)
{
  std::erase_if(mPendingPolls, [&](const auto& aPoll) {
    return SendNewerRecords(aPoll.first, aPoll.second, aRecords);
  });
}

void owner_feed_server::Stop()
{
  for (const auto& [exchange, known] : mPendingPolls) {
    mServer.Respond(exchange, { kServiceUnavailable, {}, "" });
  }
  mPendingPolls.clear();
}

void owner_feed_server::RedirectToLeader(
  exchange_id aExchange,
  const std::optional<leader_entry>& aLeader)
{
  mServer.Respond(
    aExchange,
    { kServiceUnavailable, {}, aLeader ? EncodeLeaderEntry(*aLeader) : "" });
}

owner_feed_client::owner_feed_client(event_loop& aLoop,
                                     revisions_provider aKnownRevisions,
                                     records_handler aHandler,
                                     uint64_t aSeed)
  : mLoop(aLoop)
  , mKnownRevisions(std::move(aKnownRevisions))
  , mRecordsHandler(std::move(aHandler))
  , mRandom(aSeed)
{
}

void owner_feed_client::SetPeers(std::vector<std::string> aHosts)
{
  mPeers = std::move(aHosts);
}

void owner_feed_client::SetSource(const std::optional<leader_entry>& aLeader)
{
  if (mSource == aLeader) {
    return;
  }
  mSource = aLeader;
  mFailedPolls = 0;
  mTimer.Cancel();
  mConnection.reset();
  if (mSource) {
    mConnection = std::make_unique<http_connection>(
      mLoop, mSource->mHost, mSource->mPort, FeedConnectionSettings());
    Poll();
  }
}

bool owner_feed_client::IsFailing() const
{
  return !mSource || mFailedPolls > 0;
}

duration owner_feed_client::Age(time_point aNow) const
{
  return mLastResponseAt == time_point::min() ? duration::max()
                                              : aNow - mLastResponseAt;
}

void owner_feed_client::Poll()
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/owners";
  request.mBody = EncodeOwnerRevisions(mKnownRevisions());
  mConnection->Call(request, kPollTimeout, [this](const http_result& aResult) {
    HandleResponse(aResult);
  });
}

void owner_feed_client::SchedulePoll(duration aDelay)
{
  mTimer.StartOnce(mLoop, aDelay, [this] { Poll(); });
}

void owner_feed_client::HandleResponse(const http_result& aResult)
{
  if (aResult.mTimedOut) {
    // No record changed during the long poll.
    SchedulePoll(duration::zero());
    return;
  }
  const bool complete = aResult.mStatus == http_status::kResponded;
  if (complete && aResult.mResponse.mStatus == kOk) {
    mFailedPolls = 0;
    mLastResponseAt = MonotonicNow();
    HandleRecords(aResult.mResponse.mBody);
    return;
  }
  ++mFailedPolls;
  if (complete && !aResult.mResponse.mBody.empty()) {
    FollowRedirect(aResult.mResponse.mBody);
  } else if (mFailedPolls >= kFailedPollsBeforePeers && !mPeers.empty()) {
    SchedulePeerPoll();
  } else {
    SchedulePoll(kRetryDelay);
  }
}

void owner_feed_client::HandleRecords(const std::string& aText)
{
  try {
    mRecordsHandler(
      DecodeOwnerRecords(Decompress(aText, kMaxPeerMessageBytes)));
    SchedulePoll(duration::zero());
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "owners_unreadable")
      .Add("error", exception.what());
    SchedulePoll(kRetryDelay);
  }
}

void owner_feed_client::FollowRedirect(const std::string& aText)
{
  // Polls the new leader from the event loop, as the current connection is
  // still in use here.
  try {
    const leader_entry leader = DecodeLeaderEntry(aText);
    mTimer.StartOnce(mLoop, kRetryDelay, [this, leader] {
      if (mSource != leader) {
        log_line(log_severity::kInfo, "leader_told")
          .Add("vm", leader.mVm.Value())
          .Add("host", leader.mHost);
      }
      PollRouter(leader);
    });
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "leader_entry_unreadable")
      .Add("error", exception.what());
    SchedulePoll(kRetryDelay);
  }
}

void owner_feed_client::PollRouter(const leader_entry& aRouter)
{
  if (mSource == aRouter) {
    Poll();
  } else {
    SetSource(aRouter);
  }
}

void owner_feed_client::SchedulePeerPoll()
{
  std::uniform_int_distribution<size_t> pick(0, mPeers.size() - 1);
  leader_entry peer;
  peer.mHost = mPeers[pick(mRandom)];
  // All routers of a deployment listen on the same ports.
  peer.mPort = mSource->mPort;
  mTimer.StartOnce(mLoop, kRetryDelay, [this, peer] { PollRouter(peer); });
}

} // namespace parsleystair
