#include "Parsleystair/Peers/RpcLoop.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/Invariant.h"

#include <csignal>
#include <event2/event.h>
#include <exception>
#include <kj/async.h>
#include <utility>

namespace parsleystair {

namespace {

// Promises that run in one go before other events of the loop get their turn.
constexpr unsigned kTurnsPerEvent = 1000;

} // namespace

// Kj's interfaces have no virtual destructor; kj never deletes through them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

struct rpc_loop::state final : public kj::EventPort
{
  explicit state(event_loop& aLoop)
    : mEventLoop(aLoop)
    , mEvent(event_new(aLoop.Base(), -1, 0, &state::HandleEvent, this))
    , mPromises(*this)
    , mScope(mPromises)
  {
    if (mEvent == nullptr) {
      throw system_error("libevent could not create an event");
    }
  }

  ~state()
  {
    // Kj requires an empty queue when its loop ends.
    mPromises.run();
    event_free(mEvent);
  }

  state(const state&) = delete;
  state& operator=(const state&) = delete;

  static void HandleEvent(evutil_socket_t, short, void* aArgument)
  {
    static_cast<state*>(aArgument)->RunPromises();
  }

  void RunPromises()
  {
    mPromises.run(kTurnsPerEvent);
    if (mPromises.isRunnable()) {
      event_active(mEvent, 0, 0);
    }
    if (mFailure != nullptr) {
      std::rethrow_exception(std::exchange(mFailure, nullptr));
    }
  }

  void setRunnable(bool aRunnable) override
  {
    if (aRunnable) {
      event_active(mEvent, 0, 0);
    }
  }

  // Only `Promise::wait` calls these, and nothing here waits for a promise.
  bool wait() override
  {
    FailInvariant("no promise is waited for", __FILE__, __LINE__);
  }
  bool poll() override { return false; }

  event_loop& mEventLoop;
  event* mEvent;
  kj::EventLoop mPromises;
  kj::WaitScope mScope;
  std::exception_ptr mFailure;
};

#pragma GCC diagnostic pop

rpc_loop::rpc_loop(event_loop& aLoop)
  : mState(std::make_unique<state>(aLoop))
{
  // libevent writes without MSG_NOSIGNAL, so a write to a connection that the
  // peer has closed would end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

rpc_loop::~rpc_loop() = default;

event_loop& rpc_loop::Loop() const
{
  return mState->mEventLoop;
}

void rpc_loop::Guard(const std::function<void()>& aFunction)
{
  try {
    aFunction();
  } catch (...) {
    mState->mFailure = std::current_exception();
  }
}

} // namespace parsleystair
