#include "Parsleystair/Limits/SharedRetryBudget.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace parsleystair {

namespace {

/// Retries as often as the budgets allow and checks the limit in each window.
void CheckRetriesInEachWindow(const shared_budget_settings& aSettings,
                              size_t aRouters)
{
  constexpr int kWindowSteps = 100;
  std::vector<shared_retry_budget> budgets(aRouters,
                                           shared_retry_budget(aSettings));
  std::mt19937_64 random(20261204);
  std::deque<std::pair<int, int>> window;
  for (int step = 0; step < 2000; ++step) {
    const int requests = step % 300 < 100 ? 20 : 2;
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
      shared_retry_budget& budget = budgets[random() % aRouters];
      budget.AddRequest();
      retries += budget.TryTake() ? 1 : 0;
    }
    window.emplace_back(requests, retries);
    if (window.size() > kWindowSteps) {
      window.pop_front();
    }
    double allowed = aSettings.mExtraRetries;
    int seen = 0;
    for (const auto& [requestCount, retryCount] : window) {
      allowed += aSettings.mRetryRatio * requestCount;
      seen += retryCount;
    }
    ASSERT_LE(seen, allowed) << step;
  }
}

} // namespace

// Guards against retries of all routers together that exceed the limit in some
// window, however requests and failures are distributed. With 89 routers the
// limit was exceeded.
TEST(SharedRetryBudget, KeepsRetriesWithinLimitInEachWindow)
{
  CheckRetriesInEachWindow({ 0.2, 64 }, 12);
  CheckRetriesInEachWindow({ 0.2, 218 }, 89);
  CheckRetriesInEachWindow({ 0.2, 176 }, 68);
}

// Guards against a router with few requests that is never allowed to retry.
TEST(SharedRetryBudget, AllowsRetriesBeforeFirstRequest)
{
  shared_retry_budget budget({ 0.2, 64 });
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
}

} // namespace parsleystair
