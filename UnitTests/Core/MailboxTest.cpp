#include "Parsleystair/Core/Mailbox.h"

#include <gtest/gtest.h>
#include <thread>

namespace parsleystair {

// Guards against messages that are lost or change order between tasks.
TEST(Mailbox, DeliversAllMessagesInOrder)
{
  constexpr int kMessages = 10'000;
  event_loop loop;
  std::vector<int> received;
  mailbox<int> inbox(loop, [&](int aMessage) {
    received.push_back(aMessage);
    if (aMessage == kMessages - 1) {
      loop.Stop();
    }
  });

  std::thread sender([&] {
    for (int i = 0; i < kMessages; ++i) {
      inbox.Send(i);
    }
  });
  loop.Run();
  sender.join();

  ASSERT_EQ(received.size(), static_cast<size_t>(kMessages));
  EXPECT_TRUE(std::is_sorted(received.begin(), received.end()));
}

// Guards against a timer that outlives its cancellation from its own callback.
TEST(Timer, MayCancelItselfWhileItRuns)
{
  event_loop loop;
  timer repeating;
  timer stop;
  int calls = 0;
  repeating.StartRepeating(loop, 1ms, [&] {
    ++calls;
    repeating.Cancel();
    stop.StartOnce(loop, 5ms, [&] { loop.Stop(); });
  });
  loop.Run();
  EXPECT_EQ(calls, 1);
}

} // namespace parsleystair
