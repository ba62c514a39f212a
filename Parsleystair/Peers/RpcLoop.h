#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <functional>
#include <memory>

namespace parsleystair {

/// Runs Cap'n Proto's promises inside an `event_loop`. A task has at most one;
/// clients and servers of the task share it and end before it.
class rpc_loop
{
public:
  /// Call on the task that owns `aLoop`, which outlives this object. Throws
  /// `system_error` when libevent can't create an event. Makes the process
  /// ignore SIGPIPE.
  explicit rpc_loop(event_loop& aLoop);
  ~rpc_loop();
  rpc_loop(const rpc_loop&) = delete;
  rpc_loop& operator=(const rpc_loop&) = delete;

  [[nodiscard]] event_loop& Loop() const;

  /// Calls `aFunction` from inside a promise. An exception that it throws is
  /// thrown again from the event loop, since a promise would swallow it.
  void Guard(const std::function<void()>& aFunction);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
