#include "Parsleystair/Gateway/OwnerFeed.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

constexpr uint32_t kOk = 200;
constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kUnavailable = 503;

/// Longest wait for an answer. A silent leader is found by the connection's
/// keep-alive before that.
constexpr duration kQuestionTimeout = 20s;
constexpr duration kRetryTime = 300ms;
/// Questions without an answer after which another router is asked who leads.
constexpr uint32_t kFailuresToAskPeers = 3;

http_connection_settings FeedSettings()
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
    throw parse_error(std::string("not owner records: ") + exception.what());
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
    throw parse_error(std::string("not revisions: ") + exception.what());
  }
}

owner_feed_server::owner_feed_server(http_server& aServer)
  : mServer(aServer)
{
}

void owner_feed_server::HandleQuestion(exchange_id aExchange,
                                       const http_request& aRequest,
                                       const owner_records& aRecords)
{
  try {
    const owner_revisions known = DecodeOwnerRevisions(aRequest.mBody);
    if (!Answer(aExchange, known, aRecords)) {
      mWaiting[aExchange] = known;
    }
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "question_unreadable")
      .Add("peer", aRequest.mRemoteHost)
      .Add("error", exception.what());
    mServer.Respond(aExchange, { kBadRequest, {}, "" });
  }
}

bool owner_feed_server::Answer(exchange_id aExchange,
                               const owner_revisions& aKnown,
                               const owner_records& aRecords)
{
  owner_records newer;
  for (const auto& [service, versioned] : aRecords) {
    const auto known = aKnown.find(service);
    if (known == aKnown.end() || known->second < versioned.mRevision) {
      newer[service] = versioned;
    }
  }
  if (newer.empty()) {
    return false;
  }
  mServer.Respond(aExchange, { kOk, {}, EncodeOwnerRecords(newer) });
  return true;
}

void owner_feed_server::HandleGone(exchange_id aExchange)
{
  mWaiting.erase(aExchange);
}

void owner_feed_server::HandleRecords(const owner_records& aRecords)
{
  std::erase_if(mWaiting, [&](const auto& aWaiting) {
    return Answer(aWaiting.first, aWaiting.second, aRecords);
  });
}

void owner_feed_server::Stop()
{
  for (const auto& [exchange, known] : mWaiting) {
    mServer.Respond(exchange, { kUnavailable, {}, "" });
  }
  mWaiting.clear();
}

void owner_feed_server::Decline(exchange_id aExchange,
                                const std::optional<leader_entry>& aLeader)
{
  mServer.Respond(
    aExchange,
    { kUnavailable, {}, aLeader ? EncodeLeaderEntry(*aLeader) : "" });
}

owner_feed_client::owner_feed_client(event_loop& aLoop,
                                     known_source aKnown,
                                     records_handler aHandler,
                                     uint64_t aSeed)
  : mLoop(aLoop)
  , mKnown(std::move(aKnown))
  , mHandler(std::move(aHandler))
  , mRandom(aSeed)
{
}

void owner_feed_client::SetPeers(std::vector<std::string> aHosts)
{
  mPeers = std::move(aHosts);
}

void owner_feed_client::SetLeader(const std::optional<leader_entry>& aLeader)
{
  if (mLeader == aLeader) {
    return;
  }
  mLeader = aLeader;
  mFailures = 0;
  mTimer.Cancel();
  mConnection.reset();
  if (mLeader) {
    mConnection = std::make_unique<http_connection>(
      mLoop, mLeader->mHost, mLeader->mPort, FeedSettings());
    Ask();
  }
}

duration owner_feed_client::Age(time_point aNow) const
{
  return mAnsweredAt == time_point::min() ? duration::max()
                                          : aNow - mAnsweredAt;
}

void owner_feed_client::Ask()
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/owners";
  request.mBody = EncodeOwnerRevisions(mKnown());
  mConnection->Call(
    request, kQuestionTimeout, [this](const http_result& aResult) {
      HandleAnswer(aResult);
    });
}

void owner_feed_client::AskLater(duration aPause)
{
  mTimer.StartOnce(mLoop, aPause, [this] { Ask(); });
}

void owner_feed_client::HandleAnswer(const http_result& aResult)
{
  if (aResult.mTimedOut) {
    // Nothing changed for that long.
    AskLater(duration::zero());
    return;
  }
  const bool whole = aResult.mStatus == http_status::kAnswered;
  if (whole && aResult.mAnswer.mStatus == kOk) {
    mFailures = 0;
    mAnsweredAt = MonotonicNow();
    HandleRecords(aResult.mAnswer.mBody);
    return;
  }
  ++mFailures;
  if (whole && !aResult.mAnswer.mBody.empty()) {
    FollowHint(aResult.mAnswer.mBody);
  } else if (mFailures >= kFailuresToAskPeers && !mPeers.empty()) {
    AskPeer();
  } else {
    AskLater(kRetryTime);
  }
}

void owner_feed_client::HandleRecords(const std::string& aText)
{
  try {
    mHandler(DecodeOwnerRecords(aText));
    AskLater(duration::zero());
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "owners_unreadable")
      .Add("error", exception.what());
    AskLater(kRetryTime);
  }
}

void owner_feed_client::FollowHint(const std::string& aText)
{
  // The new leader is asked from the loop, as this connection is in use.
  try {
    const leader_entry hint = DecodeLeaderEntry(aText);
    mTimer.StartOnce(mLoop, kRetryTime, [this, hint] {
      if (mLeader != hint) {
        log_line(log_severity::kInfo, "leader_told")
          .Add("vm", hint.mVm.Value())
          .Add("host", hint.mHost);
      }
      AskAt(hint);
    });
  } catch (const parse_error& exception) {
    log_line(log_severity::kWarning, "leader_entry_unreadable")
      .Add("error", exception.what());
    AskLater(kRetryTime);
  }
}

void owner_feed_client::AskAt(const leader_entry& aRouter)
{
  if (mLeader == aRouter) {
    Ask();
  } else {
    SetLeader(aRouter);
  }
}

void owner_feed_client::AskPeer()
{
  std::uniform_int_distribution<size_t> pick(0, mPeers.size() - 1);
  leader_entry peer;
  peer.mHost = mPeers[pick(mRandom)];
  // All routers of a deployment listen on the same ports.
  peer.mPort = mLeader->mPort;
  mTimer.StartOnce(mLoop, kRetryTime, [this, peer] { AskAt(peer); });
}

} // namespace parsleystair
