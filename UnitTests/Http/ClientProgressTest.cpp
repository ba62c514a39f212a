#include "Parsleystair/Http/ClientProgress.h"

#include <gtest/gtest.h>

namespace parsleystair {

// Guards against a client that counts as slow after one sample, which may fall
// between an answer and its acknowledgement, or as done before any sample.
TEST(ClientProgress, OnlyASecondSampleShowsASlowClient)
{
  const time_point start{};
  client_progress progress;
  EXPECT_FALSE(progress.IsTaken());
  progress.HandleOutput();
  progress.Sample(100, start);
  EXPECT_FALSE(progress.IsTaken());
  EXPECT_FALSE(progress.IsSlow());
  progress.Sample(0, start + 1s);
  EXPECT_TRUE(progress.IsTaken());
  EXPECT_FALSE(progress.IsSlow());
  progress.HandleOutput();
  EXPECT_FALSE(progress.IsTaken());
  progress.Sample(100, start + 2s);
  progress.Sample(100, start + 3s);
  EXPECT_TRUE(progress.IsSlow());
}

// Guards against a client that is taken for stalled though it reads, and one
// that is taken for reading because nothing was sampled.
TEST(ClientProgress, TimeRunsFromTheLastAcknowledgement)
{
  const time_point start{};
  client_progress progress;
  progress.HandleOutput();
  EXPECT_EQ(progress.Unchanged(start + 9s), 0s);
  progress.Sample(100, start);
  progress.Sample(100, start + 2s);
  EXPECT_EQ(progress.Unchanged(start + 2s), 2s);
  progress.Sample(99, start + 3s);
  EXPECT_EQ(progress.Unchanged(start + 3s), 0s);
  progress.Sample(0, start + 4s);
  progress.Sample(0, start + 6s);
  EXPECT_EQ(progress.Unchanged(start + 6s), 2s);
}

// Guards against further output that makes a slow client count as a fast one,
// and against a client that counts as slow for ever.
TEST(ClientProgress, ClientIsSlowUntilItHasTakenEverything)
{
  const time_point start{};
  client_progress progress;
  progress.HandleOutput();
  progress.Sample(100, start);
  progress.Sample(90, start + 1s);
  progress.HandleOutput();
  EXPECT_TRUE(progress.IsSlow());
  progress.Sample(0, start + 2s);
  EXPECT_TRUE(progress.IsSlow());
  progress.HandleOutput();
  EXPECT_FALSE(progress.IsSlow());
}

} // namespace parsleystair
