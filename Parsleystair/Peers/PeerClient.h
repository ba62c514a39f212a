#pragma once

#include "Parsleystair/Peers/Messages.h"

#include <functional>

namespace parsleystair {

/// What is known of a call to a peer after it ended.
enum class peer_status
{
  kReplied,
  /// The call never left this process.
  kNotSent,
  /// No answer came in time; the peer may have handled the call.
  kUnknown,
};

/// Address of a peer.
struct peer_address
{
  vm_name mVm;
  std::string mHost;
  uint16_t mPort = 0;

  auto operator<=>(const peer_address&) const = default;
};

/// Reply of a peer; `mReply` is meaningful when `mStatus` is kReplied.
template<typename Reply>
struct peer_result
{
  peer_status mStatus = peer_status::kUnknown;
  Reply mReply{};
};

/// Reply without content.
struct acknowledgement
{
  bool operator==(const acknowledgement&) const = default;
};

/// Calls to other routers. Each call ends with exactly one call of its
/// callback, on the task that made it.
class peer_client
{
public:
  template<typename Reply>
  using callback = std::function<void(peer_result<Reply>)>;

  virtual ~peer_client() = default;

  virtual void Heartbeat(const peer_address& aPeer,
                         const heartbeat_message& aMessage,
                         callback<heartbeat_message> aCallback) = 0;
  virtual void Confirm(const peer_address& aPeer,
                       const confirm_message& aMessage,
                       callback<confirm_result> aCallback) = 0;
  virtual void Announce(const peer_address& aPeer,
                        const announce_message& aMessage,
                        callback<acknowledgement> aCallback) = 0;
  virtual void Begin(const peer_address& aPeer,
                     const begin_message& aMessage,
                     callback<begin_reply> aCallback) = 0;
  virtual void Finish(const peer_address& aPeer,
                      const finish_message& aMessage,
                      callback<acknowledgement> aCallback) = 0;
  virtual void Withdraw(const peer_address& aPeer,
                        const withdraw_message& aMessage,
                        callback<acknowledgement> aCallback) = 0;
  virtual void CopyRecords(const peer_address& aPeer,
                           const copy_records_message& aMessage,
                           callback<copy_records_reply> aCallback) = 0;
  virtual void FetchConfiguration(const peer_address& aPeer,
                                  callback<configuration_reply> aCallback) = 0;
  virtual void FetchGroups(const peer_address& aPeer,
                           callback<groups_reply> aCallback) = 0;
};

/// Answers calls of other routers, at once, on the task that owns the server.
class peer_handler
{
public:
  virtual ~peer_handler() = default;

  virtual heartbeat_message HandleHeartbeat(
    const heartbeat_message& aMessage) = 0;
  virtual confirm_result HandleConfirmRequest(
    const confirm_message& aMessage) = 0;
  virtual void HandleAnnouncement(const announce_message& aMessage) = 0;
  virtual begin_reply HandleBegin(const begin_message& aMessage) = 0;
  virtual void HandleFinish(const finish_message& aMessage) = 0;
  virtual void HandleWithdraw(const withdraw_message& aMessage) = 0;
  virtual copy_records_reply HandleCopyRecords(
    const copy_records_message& aMessage) = 0;
  virtual configuration_reply HandleFetchConfigurationRequest() = 0;
  virtual groups_reply HandleFetchGroupsRequest() = 0;
};

} // namespace parsleystair
