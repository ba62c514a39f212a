#pragma once

#include "Parsleystair/Core/Mailbox.h"
#include "Parsleystair/Tasks/Worker.h"

#include <future>
#include <memory>
#include <thread>

namespace parsleystair {

/// A thread with one worker, its event loop and its mailbox.
class worker_task
{
public:
  /// Starts the thread and waits until it listens. Throws `system_error`.
  worker_task(worker_index aIndex,
              const router_settings& aSettings,
              uint64_t aSeed,
              control_inbox& aControl);
  /// Stops the worker at once; requests that are open are cut off.
  ~worker_task();
  worker_task(const worker_task&) = delete;
  worker_task& operator=(const worker_task&) = delete;

  /// May be called by any task.
  void Send(worker_message aMessage);

  /// Port of the callers' listener.
  [[nodiscard]] uint16_t Port() const { return mPort; }

private:
  using inbox = mailbox<worker_message>;

  void Run(worker_index aIndex,
           const router_settings& aSettings,
           uint64_t aSeed,
           control_inbox& aControl,
           std::promise<uint16_t>& aStarted);

  uint16_t mPort = 0;
  event_loop mLoop;
  std::unique_ptr<worker> mWorker;
  std::unique_ptr<inbox> mInbox;
  std::thread mThread;
};

} // namespace parsleystair
