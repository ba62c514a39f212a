#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

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

/// Tells which requests of one connection may be processed at the same time.
class concurrency_policy
{
public:
  virtual ~concurrency_policy() = default;

  /// Returns whether a request may be processed together with others of its
  /// connection. Asked right before the request is handed over.
  [[nodiscard]] virtual bool IsConcurrent(
    const http_request& aRequest) const = 0;
};

/// Counts of a server since its start.
struct http_server_counters
{
  /// Requests handed over while another one of their connection was in
  /// progress.
  uint64_t mPipelined = 0;
  /// Times at which a connection read no further request, because too many
  /// responses were owed, or too many bytes were held.
  uint64_t mRequestStops = 0;
  uint64_t mByteStops = 0;
  /// Connections that ended before the client's system had acknowledged all
  /// responses: the client was lost or did not read, or the process ended.
  uint64_t mAbandoned = 0;

  bool operator==(const http_server_counters&) const = default;
};

/// HTTP/1.1 server on one event loop. Responds to the requests of a connection
/// in their order. Serves one request of a connection at a time, unless a
/// policy allows more. Requests that RFC 9112 leaves ambiguous are refused and
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

  /// Lets the requests that the policy allows be processed at the same time,
  /// for connections accepted from now on. The policy must outlive them.
  void SetConcurrency(const concurrency_policy& aPolicy);

  /// Listens on an IP address; port 0 takes a free one. Throws `system_error`.
  void Listen(const std::string& aHost, uint16_t aPort);

  /// Port of the listener.
  [[nodiscard]] uint16_t Port() const;

  /// Closes the listener; open connections go on.
  void StopListening();

  /// Answers a request. Does nothing when its connection has gone.
  void Respond(exchange_id aExchange, const http_response& aAnswer);

  /// Closes the connection of a request without an answer. Other requests of
  /// the connection end as if the client had closed it.
  void Drop(exchange_id aExchange);

  /// Starts a chunked answer, whose request stays open until `EndStream`.
  /// Does nothing when the connection has gone; so do the next two.
  void StartStream(exchange_id aExchange, const http_response& aHead);
  void SendChunk(exchange_id aExchange, const std::string& aChunk);
  void EndStream(exchange_id aExchange);

  /// Requests that have no answer yet.
  [[nodiscard]] size_t OpenRequests() const;

  /// Requests in progress for which complete responses to later requests of
  /// their connections wait.
  [[nodiscard]] std::vector<exchange_id> BlockingRequests() const;

  [[nodiscard]] const http_server_counters& Counters() const;

  /// Replaces the limits and timeouts for requests that start from now on.
  void SetLimits(const http_server_settings& aSettings);

  /// From now on each answer asks the sender to close its connection, once no
  /// other one is owed on it, and no request is handed over before that.
  void CloseAfterResponses();

  /// Checks how far clients have taken their responses. Called again and again
  /// from the start of a shutdown.
  void CheckDelivery(time_point aNow);

  /// Closes the connections that wait for a request, except those of clients
  /// that still take a response, as of the last `CheckDelivery`.
  void CloseIdle();

  /// Tells if a client may still need its connection to get responses that were
  /// written, as of the last `CheckDelivery`.
  [[nodiscard]] bool IsDelivering(time_point aNow) const;

  /// Ends all connections right before the end of the process, and logs which
  /// clients have not got their responses. Open requests end without a call of
  /// the close handler.
  void Abandon();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
