#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Discovery/TargetDirectory.h"
#include "Parsleystair/Gateway/FenceConnections.h"
#include "Parsleystair/Http/HttpConnection.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace parsleystair {

/// Identifies one call to a target.
using call_id = strong_id<struct call_tag, uint64_t>;

/// Connection that a call may use.
enum class connection_choice
{
  /// An idle connection, or a new one if no idle connection is usable.
  kAny,
  /// The same, but leaves at least one connection idle.
  kSpare,
  /// A new connection, on which no earlier response can be repeated. It takes
  /// the place of an idle one.
  kNew,
};

struct call_options
{
  connection_choice mConnection = connection_choice::kAny;
  /// Time after which nothing of the request is sent.
  time_point mSendUntil = time_point::max();
  /// The same for a call that opens a connection.
  time_point mConnectUntil = time_point::max();
  /// Idle connections that the call may use; nothing for all.
  std::optional<connection_bound> mBound;

  bool operator==(const call_options&) const = default;
};

/// Pools of HTTP connections from one router to its targets. Connections stay
/// open between calls and are reused.
class target_connections
{
public:
  using callback = http_connection::callback;
  using response_filter = http_connection::response_filter;

  /// `aDefaultKeepAlive`: keep-alive time of idle connections to a target for
  /// which `SetKeepAlive` was not called.
  target_connections(event_loop& aLoop,
                     const http_connection_settings& aSettings,
                     duration aDefaultKeepAlive);

  /// Sends a request over a connection of the chosen kind.
  call_id Call(const discovered_target& aTarget,
               const http_request& aRequest,
               duration aTimeout,
               time_point aNow,
               callback aCallback,
               response_filter aFilter,
               const call_options& aOptions = {});

  /// Cancels a call without calling its callback and closes its connection.
  /// Most targets drop a request when its connection closes.
  void Cancel(call_id aCall);
  /// Whether anything of a call's request may have been sent.
  [[nodiscard]] bool HasSent(call_id aCall) const;
  /// The connection that carries a call.
  [[nodiscard]] target_connection_id ConnectionOf(call_id aCall) const;
  /// Whether the next call to the target with `aBound` reuses a connection.
  [[nodiscard]] bool HasOpenConnection(
    const discovered_target& aTarget,
    time_point aNow,
    const std::optional<connection_bound>& aBound = std::nullopt) const;

  /// Cancels all calls. Nothing of their requests is sent any more. Returns the
  /// number of calls.
  size_t CancelAll();

  /// Sets the keep-alive time of idle connections to a target, as stated in the
  /// target's responses. Ignored if the target has no pool.
  void SetKeepAlive(const target_name& aTarget, duration aTime);

  /// Idle connections to a target that are kept.
  using idle_limit = std::function<size_t(const known_target&)>;

  /// Closes idle connections that are broken, expired or in excess, and those
  /// to targets that are unknown or draining. Then calls
  /// `RemoveUnknownTargets`.
  void Sweep(const target_directory& aDirectory,
             const idle_limit& aIdleLimit,
             time_point aNow);

  /// Returns whether a call to a target would exceed a limit of connections: no
  /// connection is idle and at least `aLimit` calls are active.
  [[nodiscard]] bool IsAtLimit(const target_name& aTarget, size_t aLimit) const;

  /// Removes the idle connections to a target that broke since their last call.
  /// Returns whether there were any, in which case the target may have
  /// restarted.
  bool CloseBroken(const target_name& aTarget, time_point aNow);

  /// Removes the pools of targets that are not in the directory and have no
  /// active calls.
  void RemoveUnknownTargets(const target_directory& aDirectory);

  [[nodiscard]] uint64_t Opened() const { return mOpened; }
  [[nodiscard]] uint64_t Reused() const { return mReused; }

private:
  struct idle_connection
  {
    std::unique_ptr<http_connection> mConnection;
    time_point mIdleSince;
    target_connection_id mId;
    /// Time of the first response on the connection.
    time_point mFirstResponse;
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
    /// Address of the connection; the target may have another one by now.
    std::string mHost;
    uint16_t mPort = 0;
    std::unique_ptr<http_connection> mConnection;
    target_connection_id mId;
    std::optional<time_point> mFirstResponse;
    callback mCallback;
  };

  /// Gives a call an idle connection or a new one.
  void TakeConnection(active_call& aCall,
                      const discovered_target& aTarget,
                      time_point aNow,
                      const call_options& aOptions);
  void HandleResult(call_id aCall, http_result aResult);
  [[nodiscard]] static bool IsReusable(const pool& aPool,
                                       const idle_connection& aIdle,
                                       time_point aNow);
  [[nodiscard]] static bool IsAllowed(const idle_connection& aIdle,
                                      const call_options& aOptions);

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
