#include "Parsleystair/Limits/PriorityShares.h"

#include <gtest/gtest.h>

#include <random>

namespace parsleystair {

// Guards against refusals that depend on priorities where all requests have the
// same one, or where nothing is known.
TEST(PriorityShares, OnePriorityGetsTheWholeShare)
{
  priority_shares shares;
  EXPECT_EQ(shares.ShareOf(0.3, 1), 0.3);
  for (int i = 0; i < 10; ++i) {
    shares.Add(1);
  }
  EXPECT_NEAR(shares.ShareOf(0.3, 1), 0.3, 1e-9);
  EXPECT_NEAR(shares.ShareOf(1, 1), 1, 1e-9);
  EXPECT_EQ(shares.ShareOf(0.3, 7), 0.3);
}

// Guards against urgent requests that are refused before less urgent ones, a
// priority that is starved, and a sum that exceeds what the owner can serve.
TEST(PriorityShares, UrgentRequestsAreAdmittedFirst)
{
  priority_shares shares;
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> draw(0, 1);
  constexpr int kRequests = 20'000;
  constexpr double kShare = 0.5;
  std::map<uint32_t, int> received;
  std::map<uint32_t, int> admitted;
  for (int i = 0; i < kRequests; ++i) {
    const double kind = draw(random);
    const uint32_t priority = kind < 0.3 ? 0 : (kind < 0.7 ? 1 : 4'000'000'000);
    shares.Add(priority);
    ++received[priority];
    admitted[priority] += draw(random) < shares.ShareOf(kShare, priority);
  }
  EXPECT_GT(admitted[0], received[0] * 95 / 100);
  EXPECT_GT(admitted[1], received[1] * 40 / 100);
  EXPECT_LT(admitted[1], received[1] * 60 / 100);
  EXPECT_GT(admitted[4'000'000'000], received[4'000'000'000] * 4 / 100);
  const int sum = admitted[0] + admitted[1] + admitted[4'000'000'000];
  EXPECT_NEAR(sum, kShare * kRequests, 0.05 * kRequests);
}

} // namespace parsleystair
