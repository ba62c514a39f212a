#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <functional>

struct event;

namespace parsleystair {

/// Lets any task make the owner of a loop call one function soon.
class wakeup
{
public:
  using callback = std::function<void()>;

  /// Throws `system_error` when no eventfd can be had.
  wakeup(event_loop& aLoop, callback aCallback);
  ~wakeup();
  wakeup(const wakeup&) = delete;
  wakeup& operator=(const wakeup&) = delete;

  /// May be called by any task. Several signals may lead to one call.
  void Signal();

private:
  void Handle();

  callback mCallback;
  int mDescriptor;
  event* mEvent;
};

} // namespace parsleystair
