#include "Parsleystair/Tasks/WorkerTask.h"

namespace parsleystair {

worker_task::worker_task(worker_index aIndex,
                         const router_settings& aSettings,
                         uint64_t aSeed,
                         control_inbox& aControl)
{
  std::promise<uint16_t> started;
  std::future<uint16_t> port = started.get_future();
  mThread = std::thread(
    [&, aIndex, aSeed] { Run(aIndex, aSettings, aSeed, aControl, started); });
  try {
    mPort = port.get();
  } catch (...) {
    mThread.join();
    throw;
  }
}

worker_task::~worker_task()
{
  Send(stop_order{});
  mThread.join();
}

void worker_task::Send(worker_message aMessage)
{
  mInbox->Send(std::move(aMessage));
}

void worker_task::Run(worker_index aIndex,
                      const router_settings& aSettings,
                      uint64_t aSeed,
                      control_inbox& aControl,
                      std::promise<uint16_t>& aStarted)
{
  try {
    mWorker =
      std::make_unique<worker>(mLoop, aIndex, aSettings, aSeed, aControl);
    mInbox = std::make_unique<inbox>(mLoop, [this](worker_message aMessage) {
      mWorker->Handle(std::move(aMessage));
    });
  } catch (...) {
    aStarted.set_exception(std::current_exception());
    return;
  }
  // The promise belongs to the constructor, which ends after this call.
  aStarted.set_value(mWorker->Port());
  mLoop.Run();
  mWorker.reset();
}

} // namespace parsleystair
