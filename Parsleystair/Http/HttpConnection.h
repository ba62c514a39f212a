#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleystair {

/// What is known of an HTTP call after it ended.
enum class http_status
{
  /// The whole answer arrived.
  kAnswered,
  /// No connection could be made, so no byte was sent.
  kNotSent,
  /// The request may have been sent, and no whole answer arrived.
  kNoAnswer,
};

struct http_result
{
  http_status mStatus = http_status::kNoAnswer;
  http_answer mAnswer;
  /// The call ended because its time was over.
  bool mTimedOut = false;
};

/// One client connection, connected at the first call and kept open, that
/// carries one call at a time.
class http_connection
{
public:
  using callback = std::function<void(http_result)>;

  /// Longest answer, in bytes.
  static constexpr uint32_t kDefaultMaxBodyBytes = 8 * 1024 * 1024;

  http_connection(event_loop& aLoop,
                  std::string aHost,
                  uint16_t aPort,
                  uint32_t aMaxBodyBytes = kDefaultMaxBodyBytes);
  /// An open call ends without its callback.
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  /// Makes a call; none may be open. The callback is called once, later, and
  /// may destroy this object.
  void Call(const http_request& aRequest,
            duration aTimeout,
            callback aCallback);

  [[nodiscard]] bool IsBusy() const;

  /// Ends an open call with the given result and closes the connection.
  void Abort(bool aTimedOut);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace parsleystair
