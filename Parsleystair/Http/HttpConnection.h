#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/Http/SocketStream.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleystair {

/// What is known of an HTTP call after it ended.
enum class http_status
{
  /// The whole answer arrived.
  kResponded,
  /// No byte was sent: no connection could be made, or not in time.
  kNotSent,
  /// The request may have been sent, and no whole answer arrived.
  kNoResponse,
};

/// How a call without a whole answer failed.
enum class http_failure
{
  kNone,
  /// The connection was refused or not accepted in time.
  kConnect,
  /// The call's time was over, or the caller aborted it.
  kAborted,
  /// The connection ended before the first byte of an answer.
  kClosed,
  /// The connection ended within an answer.
  kCut,
  /// The bytes are no answer, or an answer to another request.
  kMalformed,
  /// The answer is longer than `http_connection_settings::mMaxBodyBytes`, or
  /// than the process may hold beside others.
  kTooLong,
};

struct http_result
{
  http_status mStatus = http_status::kNoResponse;
  http_response mResponse;
  /// The call ended because its time was over.
  bool mTimedOut = false;
  http_failure mFailure = http_failure::kNone;
  /// The call used a connection that an earlier call had opened.
  bool mReused = false;
  /// The peer's system had acknowledged the whole request when the call ended.
  /// Otherwise the network may deliver the request later.
  bool mAcknowledged = false;
};

/// Times after which nothing of a request is sent.
struct send_limits
{
  time_point mSendUntil = time_point::max();
  /// The same for a call that opens a connection.
  time_point mConnectUntil = time_point::max();
};

struct http_connection_settings
{
  /// Longest answer, in bytes.
  uint32_t mMaxBodyBytes = 8 * 1024 * 1024;
  /// Longest time for a new connection to be accepted.
  duration mConnectTimeout = 5s;
  /// Takes an answer without a length as whole when its connection ends in
  /// order and the peer has received the whole request. Otherwise such an
  /// answer counts as cut.
  bool mAcceptsUnframedResponses = false;
  /// When set, an answer that has begun may take longer than the call's time,
  /// as long as bytes arrive at least this often.
  std::optional<duration> mSilenceTimeout;
  /// Longest time of such an answer from its first byte to its last.
  duration mTransferTimeout = 30s;
  /// How a silent peer is detected.
  stream_settings mStream;
};

/// One client connection, connected at the first call and kept open, that
/// carries one call at a time. Bytes that no call waits for close it, also if
/// they are not read yet when the next call is made.
class http_connection
{
public:
  using callback = std::function<void(http_result)>;
  /// Tells if an answer belongs to the call. Others are skipped, and the
  /// connection is closed after the call. `aIsFirst`: the answer is the first
  /// on its connection, so it can't be a copy of an earlier one.
  using response_filter =
    std::function<bool(const http_response&, bool aIsFirst)>;

  http_connection(event_loop& aLoop,
                  std::string aHost,
                  uint16_t aPort,
                  const http_connection_settings& aSettings = {});
  /// An open call ends without its callback.
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /// Makes a call; none may be open. The callback is called once, later, and
  /// may destroy this object. If the request could not be sent within the
  /// limits, it is not sent at all, and the call times out.
  void Call(const http_request& aRequest,
            duration aTimeout,
            callback aCallback,
            response_filter aFilter = nullptr,
            const send_limits& aLimits = {});

  [[nodiscard]] bool IsBusy() const;

  /// Tells if anything of the open call's request may have been sent.
  [[nodiscard]] bool HasSent() const;

  /// True while an earlier call's connection can carry another call.
  [[nodiscard]] bool IsOpen() const;

  /// Ends an open call with the given result and closes the connection.
  void Abort(bool aTimedOut);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace parsleystair
