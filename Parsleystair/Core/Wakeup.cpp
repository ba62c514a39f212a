#include "Parsleystair/Core/Wakeup.h"

#include "Parsleystair/Core/Error.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace parsleystair {

wakeup::wakeup(event_loop& aLoop, callback aCallback)
  : mCallback(std::move(aCallback))
  , mDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
  , mEvent(nullptr)
{
  if (mDescriptor < 0) {
    throw system_error("eventfd failed");
  }
  mEvent = event_new(
    aLoop.Base(),
    mDescriptor,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aArgument) {
      static_cast<wakeup*>(aArgument)->Handle();
    },
    this);
  if (mEvent == nullptr) {
    close(mDescriptor);
    throw system_error("libevent could not create an event");
  }
  event_add(mEvent, nullptr);
}

wakeup::~wakeup()
{
  event_free(mEvent);
  close(mDescriptor);
}

void wakeup::Signal()
{
  // A full counter means that a call is already due, so EAGAIN is no error.
  eventfd_write(mDescriptor, 1);
}

void wakeup::Handle()
{
  eventfd_t count = 0;
  eventfd_read(mDescriptor, &count);
  mCallback();
}

} // namespace parsleystair
