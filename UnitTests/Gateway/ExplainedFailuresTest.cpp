#include "GatewayFixture.h"
#include "Parsleystair/LogReading/RequestChain.h"
#include "UnitTests/Support/LogCapture.h"

#include <gmock/gmock.h>

// Tests of the three procedures in docs/OPERATIONS.md that find the cause of a
// failed request from its id and the log alone.

namespace parsleystair {

namespace {

const chain_line* FindEvent(const std::vector<chain_line>& aChain,
                            const std::string& aEvent)
{
  const auto found =
    std::find_if(aChain.begin(), aChain.end(), [&](const chain_line& aLine) {
      return aLine.mRecord.mEvent == aEvent;
    });
  return found == aChain.end() ? nullptr : &*found;
}

class explained_failures_test : public gateway_test
{
protected:
  http_request KeyRequest(const std::string& aId)
  {
    http_request request = Request("GET", "/history/a", aId);
    request.mHeaders.push_back({ "X-Shard-Key", "100" });
    return request;
  }

  /// Name of the target that holds the key of `KeyRequest`.
  [[nodiscard]] std::string Owner() const
  {
    return mTargets.at("keyed-1")->Holds(100) ? "keyed-1" : "keyed-2";
  }
};

} // namespace

// Guards against a request rejected for lack of capacity whose log does not
// show which owner was full, or which owner record the key was routed by.
TEST_F(explained_failures_test, RefusedThoughCapacityWasThere)
{
  log_capture log;
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  const std::string owner = Owner();
  mTargets.at(owner)->SetFull(true);
  EXPECT_EQ(Call(gateway, KeyRequest("r-full")).mResponse.mStatus, 503U);

  const auto chain = FindRequestChain(log.End(), "r-full");
  const chain_line* refused = FindEvent(chain, "request_refused");
  ASSERT_NE(refused, nullptr);
  EXPECT_TRUE(refused->mRecord.Has("reason", "the owner has no room"));
  EXPECT_TRUE(refused->mRecord.Has("outcome", "not-run"));
  const chain_line* shed = FindEvent(chain, "try_not_run");
  ASSERT_NE(shed, nullptr);
  EXPECT_TRUE(shed->mRecord.Has("target", owner));
  const chain_line* owners = FindEvent(chain, "owners_changed");
  ASSERT_NE(owners, nullptr);
  EXPECT_EQ(owners->mAbout, "owners of keyed");
}

// Guards against an unknown outcome whose log does not show which target
// received the request, and whether the lost connection was new or reused.
TEST_F(explained_failures_test, UnsafeRequestWithUnknownOutcome)
{
  log_capture log;
  const gateway_instance& gateway = StartGateway("a");
  mTargets.at("orders-1")->SetDropsResponses(true);
  mTargets.at("orders-2")->SetDropsResponses(true);
  EXPECT_EQ(
    Call(gateway, Request("POST", "/order/7", "r-lost")).mResponse.mStatus,
    502U);

  const auto chain = FindRequestChain(log.End(), "r-lost");
  const chain_line* failed = FindEvent(chain, "try_failed");
  ASSERT_NE(failed, nullptr);
  EXPECT_TRUE(
    failed->mRecord.Has("failure", "connection lost before the answer"));
  EXPECT_TRUE(failed->mRecord.Has("reused", "false"));
  const chain_line* refused = FindEvent(chain, "request_refused");
  ASSERT_NE(refused, nullptr);
  EXPECT_TRUE(refused->mRecord.Has("outcome", "no-answer"));
  EXPECT_TRUE(refused->mRecord.Has("tries", "1"));
  EXPECT_EQ(FindEvent(chain, "request_repeated"), nullptr);
}

// Guards against a request rejected for lack of an owner whose log does not
// show which target was removed.
TEST_F(explained_failures_test, KeyThatNobodyServes)
{
  log_capture log;
  const gateway_instance& gateway = StartGateway("a");
  WaitForKeyOwner(gateway);
  const std::string owner = Owner();
  mTargets.erase(owner);
  mKv.Remove("servers/" + owner);
  RunFor(300ms);
  EXPECT_EQ(Call(gateway, KeyRequest("r-none")).mResponse.mStatus, 503U);

  const auto chain = FindRequestChain(log.End(), "r-none");
  const chain_line* waits = FindEvent(chain, "request_waits");
  ASSERT_NE(waits, nullptr);
  EXPECT_TRUE(waits->mRecord.Has("owner", owner));
  const chain_line* removed = FindEvent(chain, "target_removed");
  ASSERT_NE(removed, nullptr);
  EXPECT_EQ(removed->mAbout, "target " + owner);
  const chain_line* refused = FindEvent(chain, "request_refused");
  ASSERT_NE(refused, nullptr);
  EXPECT_TRUE(refused->mRecord.Has("reason", "no owner of the key"));
}

// Guards against completed requests that are missing from the totals in the
// log.
TEST_F(explained_failures_test, SumsRequestsThatEndWell)
{
  log_capture log;
  const gateway_instance& gateway = StartGateway("a");
  for (int i = 0; i < 5; ++i) {
    const std::string id = "r-" + std::to_string(i);
    EXPECT_EQ(Call(gateway, Request("GET", "/read/x", id)).mResponse.mStatus,
              200U);
  }
  RunFor(1500ms);
  uint64_t answered = 0;
  for (const log_record& record : log.End()) {
    if (record.mEvent == "requests_ended" && record.Has("service", "plain")) {
      answered += record.Number("answered");
    }
  }
  EXPECT_EQ(answered, 5U);
}

} // namespace parsleystair
