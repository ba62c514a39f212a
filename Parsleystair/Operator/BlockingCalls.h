#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Platform/EtcdStore.h"
#include "Parsleystair/Settings/RouterSettings.h"

#include <string>

namespace parsleystair {

/// Calls to the platform's store that return when they have ended; the command
/// does one thing at a time.
class blocking_store
{
public:
  /// `aLimit` is the time that the whole command may take.
  blocking_store(event_loop& aLoop,
                 const socket_address& aAddress,
                 duration aLimit);

  range_reply Range(const range_request& aRequest);
  transaction_reply Transact(const transaction_request& aRequest);

  /// Like `Range`. Throws `command_error` when the platform doesn't answer.
  range_reply Read(const range_request& aRequest);

private:
  event_loop& mLoop;
  socket_address mAddress;
  etcd_store mStore;
};

/// Longest call to a router.
inline constexpr duration kRouterTimeout = 5s;

/// Reads from a router's operators' address.
class blocking_router
{
public:
  blocking_router(event_loop& aLoop,
                  const socket_address& aAddress,
                  duration aTimeout = kRouterTimeout);

  http_result Get(const std::string& aPath, const std::string& aQuery);

  /// Body of an answer with status 200, or with 404 when `aFound` is given and
  /// then false. Throws `command_error` for anything else.
  std::string Read(const std::string& aPath,
                   const std::string& aQuery = "",
                   bool* aFound = nullptr);

private:
  event_loop& mLoop;
  socket_address mAddress;
  duration mTimeout;
  http_connection mConnection;
};

/// Returns after a time.
void Pause(event_loop& aLoop, duration aTime);

/// Like `127.0.0.1:80` or `[::1]:80`.
std::string Describe(const socket_address& aAddress);

} // namespace parsleystair
