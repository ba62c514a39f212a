#pragma once

#include "Parsleystair/Core/Wakeup.h"

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace parsleystair {

/// Queue of messages from any task to the one task that owns the loop.
/// The owner handles them in the order in which they were sent.
template<typename Message>
class mailbox
{
public:
  using handler = std::function<void(Message)>;

  /// Handles messages on `aLoop`. Call on the owning task.
  mailbox(event_loop& aLoop, handler aHandler)
    : mHandler(std::move(aHandler))
    , mWakeup(aLoop, [this] { HandleAll(); })
  {
  }

  /// Adds a message; may be called by any task while the mailbox exists.
  void Send(Message aMessage)
  {
    {
      const std::lock_guard lock(mMutex);
      mMessages.push_back(std::move(aMessage));
    }
    mWakeup.Signal();
  }

private:
  void HandleAll()
  {
    std::vector<Message> messages;
    {
      const std::lock_guard lock(mMutex);
      messages.swap(mMessages);
    }
    for (Message& message : messages) {
      mHandler(std::move(message));
    }
  }

  handler mHandler;
  std::mutex mMutex;
  std::vector<Message> mMessages;
  wakeup mWakeup;
};

} // namespace parsleystair
