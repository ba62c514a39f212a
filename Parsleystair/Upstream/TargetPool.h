#pragma once

#include "Parsleystair/Core/EventLoop.h"
#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Upstream/LatencyWindow.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace parsleystair {

/// Outcome of one attempt, as far as the router can determine it.
enum class attempt_status
{
  /// The complete response arrived.
  kResponded,
  /// The target reported that it did not run the request and never will.
  kRejectedNotRun,
  /// No byte was sent.
  kNotSent,
  /// The target may have run the request.
  kUnknown,
};

struct attempt_result
{
  attempt_status mStatus = attempt_status::kUnknown;
  /// Set for kResponded and kRejectedNotRun.
  http_response mResponse;
  bool mTimedOut = false;
  /// The connection was closed because no response arrived on it although a
  /// check showed that the request had finished, or the target cancelled the
  /// request, which it had not run.
  bool mSilent = false;
};

/// Identifies one attempt within a pool.
using pool_attempt_id = strong_id<struct pool_attempt_tag, uint64_t>;

/// A worker's connections to one target. Detects silent connections, which no
/// longer reach the target, by asking the target over a new connection for the
/// state of a request whose response is late.
class target_pool
{
public:
  using callback = std::function<void(attempt_result)>;

  target_pool(event_loop& aLoop,
              std::string aHost,
              uint16_t aPort,
              uint32_t aMaxIdle);
  ~target_pool();
  target_pool(const target_pool&) = delete;
  target_pool& operator=(const target_pool&) = delete;

  /// Sends a request over an idle connection or a new one.
  pool_attempt_id Send(const http_request& aRequest,
                       const std::string& aRequestId,
                       duration aTimeout,
                       time_point aNow,
                       callback aCallback);

  /// Detects and closes silent connections. Call every few milliseconds.
  void CheckSilence(time_point aNow);

  /// Calls back with true when a new connection is refused, which confirms that
  /// no process listens on the target's port.
  void CheckRefused(std::function<void(bool)> aCallback);

  /// True when no attempt and no check is in flight.
  [[nodiscard]] bool IsIdle() const
  {
    return mAttempts.empty() && mCheckConnections.empty();
  }
  [[nodiscard]] size_t InFlight() const { return mAttempts.size(); }

private:
  using connection_pointer = std::unique_ptr<http_connection>;

  struct pending_attempt
  {
    connection_pointer mConnection;
    std::string mRequestId;
    time_point mSentAt;
    time_point mCheckAt;
    bool mChecking = false;
    /// Time at which a check found that the request has finished at the target.
    std::optional<time_point> mFinishedSeenAt;
    callback mCallback;
  };

  connection_pointer TakeConnection();
  void Finish(pool_attempt_id aAttempt, http_result aResult);
  void FinishSilent(pool_attempt_id aAttempt, bool aConfirmedNotRun);
  void StartConnectionCheck(pool_attempt_id aAttempt, time_point aNow);
  void HandleConnectionCheck(pool_attempt_id aAttempt,
                             time_point aNow,
                             const http_result& aResult);
  void CloseFinished(time_point aNow);
  void CancelUnknown(pool_attempt_id aAttempt);
  void CallOnce(const std::string& aMethod,
                const std::string& aPath,
                http_connection::callback aCallback);
  [[nodiscard]] duration SilenceLimit() const;

  event_loop& mLoop;
  std::string mHost;
  uint16_t mPort;
  uint32_t mMaxIdle;
  uint64_t mNextAttempt = 1;
  uint64_t mNextCheck = 1;
  latency_window mLatency;
  std::vector<connection_pointer> mIdle;
  std::map<pool_attempt_id, pending_attempt> mAttempts;
  std::map<uint64_t, connection_pointer> mCheckConnections;
};

} // namespace parsleystair
