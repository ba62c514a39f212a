#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/Http/HttpConnection.h"

#include <map>
#include <unordered_map>

namespace parsleystair {

/// Names one call to a target.
using call_id = strong_id<struct call_tag, uint64_t>;

/// Connections of one router to all targets, kept open between calls.
class target_connections
{
public:
  using callback = http_connection::callback;
  using answer_filter = http_connection::answer_filter;

  /// `aDefaultKeepAlive`: idle time of a connection whose target doesn't say
  /// how long it keeps it.
  target_connections(event_loop& aLoop,
                     const http_connection_settings& aSettings,
                     duration aDefaultKeepAlive);

  /// Sends a request over an idle connection or a new one.
  call_id Call(const discovered_target& aTarget,
               const http_request& aRequest,
               duration aTimeout,
               time_point aNow,
               callback aCallback,
               answer_filter aFilter);

  /// Ends a call without its callback and closes its connection, by which most
  /// targets drop the request.
  void Cancel(call_id aCall);

  /// How long idle connections of a target may be used; from its answers.
  void SetKeepAlive(const target_name& aTarget, duration aTime);

  /// Closes idle connections that are too old, and those of targets that are
  /// gone or leaving.
  void Sweep(const target_directory& aDirectory, time_point aNow);

  /// Tells if a call now would open a connection beyond a limit.
  [[nodiscard]] bool IsAtLimit(const target_name& aTarget, size_t aLimit) const;

  /// Removes the idle connections of a target that broke since their last call
  /// and tells if there were any: the target may have restarted.
  bool DropBroken(const target_name& aTarget, time_point aNow);

  /// Forgets targets that are no longer known.
  void Retain(const target_directory& aDirectory);

  [[nodiscard]] uint64_t Opened() const { return mOpened; }
  [[nodiscard]] uint64_t Reused() const { return mReused; }

private:
  struct idle_connection
  {
    std::unique_ptr<http_connection> mConnection;
    time_point mIdleSince;
  };

  struct pool
  {
    std::string mHost;
    uint16_t mPort = 0;
    duration mKeepAlive;
    size_t mActiveCalls = 0;
    std::vector<idle_connection> mIdle;
  };

  struct active_call
  {
    target_name mTarget;
    std::unique_ptr<http_connection> mConnection;
    callback mCallback;
  };

  std::unique_ptr<http_connection> TakeConnection(
    const discovered_target& aTarget,
    time_point aNow);
  void HandleResult(call_id aCall, http_result aResult);

  event_loop& mLoop;
  http_connection_settings mSettings;
  duration mDefaultKeepAlive;
  uint64_t mNextCall = 1;
  uint64_t mOpened = 0;
  uint64_t mReused = 0;
  std::unordered_map<target_name, pool> mPools;
  std::unordered_map<call_id, active_call> mCalls;
};

} // namespace parsleystair
