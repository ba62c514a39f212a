#pragma once

#include "Parsleystair/Core/ByteBudget.h"
#include "Parsleystair/Core/ReadShare.h"
#include "Parsleystair/Core/Time.h"

#include <functional>
#include <memory>

struct event_base;
struct timeval;

namespace parsleystair {

/// Same length of time as the system's type.
timeval ToTimeval(duration aDuration);

/// One libevent loop, run by the one task that owns it.
class event_loop
{
public:
  /// Makes the process ignore SIGPIPE. Throws `system_error` when libevent
  /// can't make a loop.
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  [[nodiscard]] event_base* Base() const { return mBase; }

  /// Runs until `Stop` is called on this task.
  void Run();
  void Stop();

  /// Budget of the connections on this loop.
  [[nodiscard]] byte_budget& Bytes() { return mBytes; }

  /// Share of the connections on this loop in what it reads in a turn.
  [[nodiscard]] read_share& Reads() { return mReads; }

  /// Lets the budget drop its excess in the next round of the loop.
  void DropExcessBytesSoon();

private:
  event_base* mBase;
  byte_budget mBytes;
  read_share mReads;
  bool mDropsBytesSoon = false;
};

/// Calls a function again and again, or once, on the loop that owns it.
/// The call ends when the timer object does.
class timer
{
public:
  using callback = std::function<void()>;

  timer();
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  /// Starts calls at a fixed interval. Replaces an earlier start.
  void StartRepeating(event_loop& aLoop,
                      duration aInterval,
                      callback aCallback);

  /// Starts one call after a delay. Replaces an earlier start.
  void StartOnce(event_loop& aLoop, duration aDelay, callback aCallback);

  void Cancel();

private:
  struct state;

  void Start(event_loop& aLoop,
             duration aInterval,
             short aFlags,
             callback aCallback);

  std::unique_ptr<state> mState;
};

} // namespace parsleystair
