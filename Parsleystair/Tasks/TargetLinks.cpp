#include "Parsleystair/Tasks/TargetLinks.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Log.h"

namespace parsleystair {

namespace {

/// A grant without an answer for this long counts as lost. Shorter than the
/// silence after which a target is suspected.
constexpr duration kGrantTimeout = 200ms;
/// Calls to one target at a time, so that one lost answer doesn't hold up the
/// next renewal.
constexpr size_t kMaxConnections = 3;
constexpr uint32_t kMaxReplyBytes = 1024 * 1024;
constexpr uint32_t kOk = 200;

} // namespace

target_links::target_links(event_loop& aLoop)
  : mLoop(aLoop)
{
}

void target_links::SetConfiguration(
  std::shared_ptr<const configuration> aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
}

http_connection* target_links::FreeConnection(const target_id& aTarget)
{
  const service_configuration* service =
    mConfiguration == nullptr ? nullptr
                              : mConfiguration->FindService(aTarget.mService);
  const target_configuration* target =
    service == nullptr ? nullptr : FindTarget(*service, aTarget.mTarget);
  if (target == nullptr) {
    return nullptr;
  }
  link& to = mLinks[aTarget];
  if (to.mHost != target->mHost || to.mPort != target->mPort) {
    to = { target->mHost, target->mPort, {} };
  }
  for (const auto& connection : to.mConnections) {
    if (!connection->IsBusy()) {
      return connection.get();
    }
  }
  if (to.mConnections.size() >= kMaxConnections) {
    return nullptr;
  }
  to.mConnections.push_back(std::make_unique<http_connection>(
    mLoop,
    to.mHost,
    to.mPort,
    http_connection_settings{ .mMaxBodyBytes = kMaxReplyBytes }));
  return to.mConnections.back().get();
}

void target_links::Call(const target_id& aTarget,
                        const http_request& aRequest,
                        http_connection::callback aCallback)
{
  http_connection* connection = FreeConnection(aTarget);
  if (connection == nullptr) {
    http_result result;
    result.mStatus = http_status::kNotSent;
    aCallback(std::move(result));
    return;
  }
  connection->Call(aRequest, kGrantTimeout, std::move(aCallback));
}

void target_links::SendGrants(const target_id& aTarget,
                              const grant_message& aMessage,
                              grant_callback aCallback)
{
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/grants";
  request.mBody = EncodeGrantMessage(aMessage);
  Call(aTarget,
       request,
       [aTarget, done = std::move(aCallback)](const http_result& aResult) {
         if (aResult.mStatus != http_status::kResponded ||
             aResult.mResponse.mStatus != kOk) {
           done(std::nullopt);
           return;
         }
         std::optional<grant_reply> reply;
         try {
           reply = DecodeGrantReply(aResult.mResponse.mBody);
         } catch (const parse_error& exception) {
           log_line(log_severity::kWarning, "bad_grant_reply")
             .Add("target", aTarget.mTarget.Value())
             .Add("error", exception.what());
         }
         done(std::move(reply));
       });
}

void target_links::Probe(const target_id& aTarget, probe_callback aCallback)
{
  http_request request;
  request.mMethod = "GET";
  request.mPath = "/health";
  Call(aTarget,
       request,
       [done = std::move(aCallback)](const http_result& aResult) {
         done(aResult.mStatus == http_status::kResponded);
       });
}

} // namespace parsleystair
