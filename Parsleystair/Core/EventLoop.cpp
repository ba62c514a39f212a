#include "Parsleystair/Core/EventLoop.h"

#include "Parsleystair/Core/Error.h"

#include <csignal>
#include <event2/event.h>
#include <sys/time.h>
#include <utility>

namespace parsleystair {

timeval ToTimeval(duration aDuration)
{
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval value{};
  value.tv_sec = aDuration.count() / kMicrosecondsPerSecond;
  value.tv_usec = aDuration.count() % kMicrosecondsPerSecond;
  return value;
}

namespace {

/// Limit of the bytes that connections hold, unless a program sets another.
constexpr size_t kDefaultByteLimit = 64 * 1024 * 1024;

/// Collects changes of watched sockets until the next wait: a connection that
/// is read and written in turn else costs several system calls a request.
/// Sockets are never duplicated here, which this mode does not allow.
event_base* NewBase()
{
  event_config* config = event_config_new();
  if (config == nullptr) {
    return nullptr;
  }
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

} // namespace

event_loop::event_loop()
  : mBase(NewBase())
  , mBytes(kDefaultByteLimit)
{
  if (mBase == nullptr) {
    throw system_error("libevent could not create an event loop");
  }
  // libevent writes to sockets without MSG_NOSIGNAL, so that a peer that closes
  // its connection would otherwise end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
  // Connections that were closed are freed by the loop (HttpConnection.cpp);
  // those of the last round would leak.
  event_base_loop(mBase, EVLOOP_NONBLOCK);
  event_base_free(mBase);
}

void event_loop::Run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::Stop()
{
  event_base_loopbreak(mBase);
}

void event_loop::DropExcessBytesSoon()
{
  if (std::exchange(mDropsBytesSoon, true)) {
    return;
  }
  const timeval now{};
  event_base_once(
    mBase,
    -1,
    EV_TIMEOUT,
    [](evutil_socket_t, short, void* aArgument) {
      auto* loop = static_cast<event_loop*>(aArgument);
      loop->mDropsBytesSoon = false;
      loop->mBytes.DropExcess();
    },
    this,
    &now);
}

struct timer::state
{
  event* mEvent = nullptr;
  callback mCallback;

  ~state()
  {
    if (mEvent != nullptr) {
      event_free(mEvent);
    }
  }
};

timer::timer() = default;
timer::~timer() = default;

void timer::StartRepeating(event_loop& aLoop,
                           duration aInterval,
                           callback aCallback)
{
  Start(aLoop, aInterval, EV_PERSIST, std::move(aCallback));
}

void timer::StartOnce(event_loop& aLoop, duration aDelay, callback aCallback)
{
  Start(aLoop, aDelay, 0, std::move(aCallback));
}

void timer::Start(event_loop& aLoop,
                  duration aInterval,
                  short aFlags,
                  callback aCallback)
{
  mState = std::make_unique<state>();
  mState->mCallback = std::move(aCallback);
  mState->mEvent = event_new(
    aLoop.Base(),
    -1,
    aFlags,
    [](evutil_socket_t, short, void* aArgument) {
      // The callback may replace or cancel its own timer, so a copy is called.
      const callback function = static_cast<state*>(aArgument)->mCallback;
      function();
    },
    mState.get());
  if (mState->mEvent == nullptr) {
    throw system_error("libevent could not create a timer");
  }
  const timeval interval = ToTimeval(aInterval);
  event_add(mState->mEvent, &interval);
}

void timer::Cancel()
{
  mState.reset();
}

} // namespace parsleystair
