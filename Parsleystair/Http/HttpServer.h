#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleystair {

/// Names one request that a server has open.
using exchange_id = strong_id<struct exchange_tag, uint64_t>;

struct http_server_settings
{
  /// Longest request line and headers, in bytes.
  uint32_t mMaxHeaderBytes = 16 * 1024;
  /// Longest body, in bytes.
  uint32_t mMaxBodyBytes = 1024 * 1024;
  /// Longest time from the first byte of a request to its last.
  duration mRequestTimeout = 60s;
  /// Longest time that a connection may wait for its next request.
  duration mIdleTimeout = 60s;
  /// Lets several listeners share the port.
  bool mReusePort = false;
};

/// HTTP/1.1 server on one event loop. Serves one request a connection at a
/// time, in order; requests that RFC 9112 leaves ambiguous are refused and
/// their connection is closed.
class http_server
{
public:
  /// Gets each whole request; `Respond` is called once for each id, at once or
  /// later.
  using handler = std::function<void(exchange_id, http_request)>;
  /// Tells that the connection of an open request has gone.
  using close_handler = std::function<void(exchange_id)>;

  http_server(event_loop& aLoop,
              const http_server_settings& aSettings,
              handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  void OnClose(close_handler aHandler);

  /// Listens on an IP address; port 0 takes a free one. Throws `system_error`.
  void Listen(const std::string& aHost, uint16_t aPort);

  /// Port of the listener.
  [[nodiscard]] uint16_t Port() const;

  /// Closes the listener; open connections go on.
  void StopListening();

  /// Answers a request. Does nothing when its connection has gone.
  void Respond(exchange_id aExchange, const http_response& aAnswer);

  /// Closes the connection of a request without an answer.
  void Drop(exchange_id aExchange);

  /// Starts a chunked answer, whose request stays open until `EndStream`.
  /// Does nothing when the connection has gone; so do the next two.
  void StartStream(exchange_id aExchange, const http_response& aHead);
  void SendChunk(exchange_id aExchange, const std::string& aChunk);
  void EndStream(exchange_id aExchange);

  /// Requests that have no answer yet.
  [[nodiscard]] size_t OpenRequests() const;

  /// Replaces the limits and timeouts for requests that start from now on.
  void SetLimits(const http_server_settings& aSettings);

  /// From now on each answer asks the sender to close its connection.
  void CloseAfterResponses();

  /// Closes the connections that wait for a request.
  void CloseIdle();

  /// Tells if a part of an answer has not been handed to the system yet.
  [[nodiscard]] bool HasUnsentOutput() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
