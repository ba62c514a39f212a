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

/// What is known of one try at a target after it ended.
enum class attempt_status
{
  /// The whole answer arrived.
  kResponded,
  /// The target said that it did not run the request, and never will.
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
  /// The connection was found silent and closed.
  bool mSilent = false;
};

/// Names one try within a pool.
using pool_attempt_id = strong_id<struct try_tag, uint64_t>;

/// A worker's connections to one target. Finds connections that have lost
/// their path by asking the target, over a new connection, about the oldest
/// unanswered request.
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

  /// Looks for silent connections. Call every few milliseconds.
  void CheckSilence(time_point aNow);

  /// Calls back with true when a new connection is refused, which proves that
  /// no process listens.
  void CheckRefused(std::function<void(bool)> aCallback);

  /// True when no try and no probe is open.
  [[nodiscard]] bool IsIdle() const
  {
    return mTries.empty() && mProbes.empty();
  }
  [[nodiscard]] size_t InFlight() const { return mTries.size(); }

private:
  using connection_pointer = std::unique_ptr<http_connection>;

  struct open_try
  {
    connection_pointer mConnection;
    std::string mRequestId;
    time_point mSentAt;
    time_point mProbeAt;
    bool mProbing = false;
    /// When a probe found that the request has finished at the target.
    std::optional<time_point> mFinishedSeen;
    callback mCallback;
  };

  connection_pointer TakeConnection();
  void Finish(pool_attempt_id aTry, http_result aResult);
  void FinishSilent(pool_attempt_id aTry, bool aProvenNotRun);
  void StartProbe(pool_attempt_id aTry, time_point aNow);
  void HandleProbe(pool_attempt_id aTry, time_point aNow, const http_result& aResult);
  void CloseFinished(time_point aNow);
  void CancelUnknown(pool_attempt_id aTry);
  void CallOnce(const std::string& aMethod,
                const std::string& aPath,
                http_connection::callback aCallback);
  [[nodiscard]] duration SilenceLimit() const;

  event_loop& mLoop;
  std::string mHost;
  uint16_t mPort;
  uint32_t mMaxIdle;
  uint64_t mNextTry = 1;
  uint64_t mNextProbe = 1;
  latency_window mLatency;
  std::vector<connection_pointer> mIdle;
  std::map<pool_attempt_id, open_try> mTries;
  std::map<uint64_t, connection_pointer> mProbes;
};

} // namespace parsleystair
