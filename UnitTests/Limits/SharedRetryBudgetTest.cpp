#include "Parsleystair/Limits/SharedRetryBudget.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace parsleystair {

// Guards against repeats of all routers together that pass the limit in some
// window, however requests and failures are spread.
TEST(SharedRetryBudget, KeepsTheLimitInEachWindow)
{
  const shared_budget_settings settings{ 0.2, 64 };
  constexpr size_t kRouters = 12;
  constexpr int kWindowSteps = 100;
  std::vector<shared_retry_budget> budgets(kRouters,
                                           shared_retry_budget(settings));
  std::mt19937_64 random(20261204);
  std::deque<std::pair<int, int>> window;
  for (int step = 0; step < 2000; ++step) {
    const int requests = step % 300 < 100 ? 20 : 2;
    int repeats = 0;
    for (int i = 0; i < requests; ++i) {
      shared_retry_budget& budget = budgets[random() % kRouters];
      budget.AddRequest();
      repeats += budget.TryTake() ? 1 : 0;
    }
    window.emplace_back(requests, repeats);
    if (window.size() > kWindowSteps) {
      window.pop_front();
    }
    double allowed = settings.mSlack;
    int seen = 0;
    for (const auto& [asked, repeated] : window) {
      allowed += settings.mRatio * asked;
      seen += repeated;
    }
    ASSERT_LE(seen, allowed) << step;
  }
}

// Guards against a router with few requests that may never repeat one.
TEST(SharedRetryBudget, AllowsSomeRepeatsAtTheStart)
{
  shared_retry_budget budget({ 0.2, 64 });
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
}

} // namespace parsleystair
