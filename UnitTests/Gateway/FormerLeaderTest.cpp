#include "OwnershipFixture.h"

#include <nlohmann/json.hpp>

// Former leaders that go on renewing grants while another router leads, and
// what its successors must wait for.

namespace parsleystair {

namespace {

class former_leader_test : public ownership_test
{};

} // namespace

// Guards against a new leader that asks only the last former leader. The store
// turns the first leader away, so it renews grants for some time; its successor
// is killed, and another process at the successor's address says that the
// successor has ended.
TEST_F(former_leader_test, ThirdLeaderWaitsForFirstLeadersGrants)
{
  gateway_instance& first =
    StartGateway("first", "127.0.0.1", 0, mUnanswering.Port());
  ASSERT_TRUE(WaitForOwners());
  StartGateway("second");
  StartGateway("third");
  ASSERT_TRUE(WaitFor("the others observe the first leader", [&] {
    return Observes("second", "first") && Observes("third", "first");
  }));

  ReachOnlyFrom("keyed-1", "first");
  Note("the store turns the first leader away");
  first.mStore->SetFaults(
    [](store_call, const std::string&) { return store_fault::kRefused; });
  ASSERT_TRUE(WaitFor("a second leader leads",
                      [&] { return Leads("second") || Leads("third"); }));
  const std::string second = Leads("second") ? "second" : "third";
  const std::string third = second == "second" ? "third" : "second";
  ASSERT_TRUE(WaitFor("the other router observes it",
                      [&] { return Observes(third, second); }));
  const uint16_t secondPort = mGateways.at(second).mSettings.mPeers.mPort;
  StopGateway(second);
  Note("the second leader was killed");
  StartGateway("later", "127.0.0.1", secondPort);

  ASSERT_TRUE(WaitFor("a third leader leads",
                      [&] { return Leads(third) || Leads("later"); }));
  EXPECT_TRUE(WaitForKeysToMove("keyed-1"));
}

// Guards against a router that takes the time at which it learns that it leads
// as a confirmation of its leadership. The reply to its write of the leader key
// is lost and its watch is slow, so a successor is elected before.
TEST_F(former_leader_test, LateNewsOfAnElectionConfirmsNothing)
{
  const uint16_t initialPort = StartGateway("initial").mSettings.mPeers.mPort;
  ASSERT_TRUE(WaitForOwners());
  gateway_instance& late = StartGateway("late");
  ASSERT_TRUE(WaitFor("the late router observes the initial leader",
                      [&] { return Observes("late", "initial"); }));
  bool written = false;
  late.mStore->SetFaults([&](store_call aCall, const std::string& aKey) {
    if (aKey == kLeaderItem && aCall == store_call::kWrite) {
      written = true;
      return store_fault::kReplyLost;
    }
    if (aKey == kLeaderItem && aCall == store_call::kWatch && written) {
      return store_fault::kReplyHeld;
    }
    const bool refused = aCall == store_call::kRenewLease ||
                         (aCall == store_call::kOpenLease && written);
    return refused ? store_fault::kRefused : store_fault::kNone;
  });
  StopGateway("initial");
  Note("the initial leader was killed");
  // The process that replaces it says so, and doesn't campaign itself.
  StartGateway("later", "127.0.0.1", initialPort)
    .mStore->SetFaults([](store_call aCall, const std::string&) {
      return aCall == store_call::kOpenLease ? store_fault::kRefused
                                             : store_fault::kNone;
    });
  ASSERT_TRUE(WaitFor("the late router is recorded as the leader",
                      [&] { return IsRecordedLeader("late"); }));
  ASSERT_FALSE(Leads("late"));
  StartGateway("successor");
  ASSERT_TRUE(WaitFor("the successor observes the late router",
                      [&] { return Observes("successor", "late"); }));
  ASSERT_TRUE(
    WaitFor("the successor leads", [&] { return Leads("successor"); }));
  ASSERT_TRUE(WaitForOwners());
  ASSERT_FALSE(Leads("late"));

  ReachOnlyFrom("keyed-1", "late");
  Note("the late router learns that it was elected");
  late.mStore->ReleaseAll();
  EXPECT_TRUE(WaitForKeysToMove("keyed-1"));
}

// Guards against a former leader that reads a record of its successor and
// renews the grants in it. The successor takes the fences that it recorded
// itself to be granted by itself alone, and waits for its own grants.
TEST_F(former_leader_test, FormerLeaderGrantsNothingOfASuccessorsRecord)
{
  gateway_instance& first =
    StartGateway("first", "127.0.0.1", 0, mUnanswering.Port());
  ASSERT_TRUE(WaitForOwners());
  StartGateway("successor");
  ASSERT_TRUE(WaitFor("the successor observes the first leader",
                      [&] { return Observes("successor", "first"); }));
  uint32_t movedKey = 0;
  while (!mTargets.at("keyed-2")->Holds(movedKey)) {
    movedKey += kKeyStep;
    ASSERT_LE(movedKey, kLastKey);
  }
  // The store turns the first leader away, but answers one read of the records
  // late.
  bool targetsHeld = false;
  first.mStore->SetFaults([&](store_call aCall, const std::string& aKey) {
    if (aKey == kRecordsPrefix && aCall == store_call::kRead) {
      return store_fault::kHeld;
    }
    if (aCall == store_call::kWatch && (aKey == kLeaderItem || targetsHeld)) {
      return store_fault::kReplyHeld;
    }
    const bool refused = aCall == store_call::kRenewLease ||
                         aCall == store_call::kOpenLease ||
                         aCall == store_call::kWrite;
    return refused ? store_fault::kRefused : store_fault::kNone;
  });
  SetDraining("keyed-2");
  ASSERT_TRUE(WaitFor("the first leader reads the records",
                      [&] { return first.mStore->HeldCount() > 0; }));
  ASSERT_TRUE(
    WaitFor("the successor leads", [&] { return Leads("successor"); }));
  ASSERT_TRUE(WaitFor("the successor has moved the keys of keyed-2", [&] {
    const auto holders = Holders(movedKey);
    return !IsRecordedOwner("keyed-2") && holders.size() == 1 &&
           holders[0] != "keyed-2";
  }));
  const std::string owner = Holders(movedKey).front();
  ASSERT_TRUE(Leads("first"));

  targetsHeld = true;
  Note("the first leader receives the records");
  first.mStore->ReleaseFirst();
  ReachOnlyFrom(owner, "first");
  SetDraining(owner);
  EXPECT_TRUE(WaitForKeysToMove(owner));
}

// Guards against a leader that renews another lease than the one of the leader
// key. Its first write of the key is executed late, after it has opened a
// second lease; the renewals of that lease confirm nothing when the key's lease
// has ended.
TEST_F(former_leader_test, RenewalOfAnotherLeaseConfirmsNothing)
{
  StartGateway("initial");
  ASSERT_TRUE(WaitForOwners());
  gateway_instance& first =
    StartGateway("first", "127.0.0.1", 0, mUnanswering.Port());
  ASSERT_TRUE(WaitFor("the router observes the initial leader",
                      [&] { return Observes("first", "initial"); }));
  uint32_t writes = 0;
  const auto& firstStore = *first.mStore;
  first.mStore->SetFaults([&](store_call aCall, const std::string& aKey) {
    if (aKey == kLeaderItem && aCall == store_call::kWrite) {
      ++writes;
      return store_fault::kExecutedLate;
    }
    // The router learns of its first write, and of nothing after it.
    const bool isLeaderWatch =
      aKey == kLeaderItem && aCall == store_call::kWatch;
    if (isLeaderWatch && firstStore.LateCount() > 0 &&
        !IsRecordedLeader("first")) {
      return store_fault::kReplyHeld;
    }
    return aCall == store_call::kOpenLease && writes >= 2
             ? store_fault::kRefused
             : store_fault::kNone;
  });
  StopGateway("initial");
  Note("the initial leader was killed");
  ASSERT_TRUE(WaitFor("the router has written the leader key twice",
                      [&] { return writes == 2; }));
  first.mStore->ReleaseFirst();
  ASSERT_TRUE(WaitFor("the first write is executed",
                      [&] { return firstStore.LateCount() == 1; }));
  ReachOnlyFrom("keyed-1", "first");
  StartGateway("successor");
  ASSERT_TRUE(
    WaitFor("the successor leads", [&] { return Leads("successor"); }));
  EXPECT_TRUE(WaitForKeysToMove("keyed-1"));
}

// Guards against grants that a router sends after it has said that it
// abdicated, because they waited for the replies to earlier ones.
TEST_F(former_leader_test, AbdicatedRouterSendsNoQueuedGrants)
{
  constexpr uint32_t kRanges = 6;
  nlohmann::json ranges = nlohmann::json::array();
  for (uint32_t range = 0; range < kRanges; ++range) {
    ranges.push_back({ (kLastKey + 1) * range / kRanges,
                       (kLastKey + 1) * (range + 1) / kRanges - 1,
                       "keyed-1",
                       1000,
                       range + 1,
                       "" });
  }
  mKv.Put(kRecordItem,
          nlohmann::json{ { "nextFence", kRanges + 1 }, { "ranges", ranges } }
            .dump());
  uint32_t grants = 0;
  keyed_target& target = *mTargets.at("keyed-1");
  target.OnOrder([&](const std::string&, const http_request&) { ++grants; });
  target.SetOrdersHeld(true);
  const gateway_instance& first = StartGateway("first");
  ASSERT_TRUE(WaitFor("grants are in flight", [&] { return grants > 0; }));
  RunFor(50ms);
  // The others are queued.
  const uint32_t grantsBefore = grants;
  ASSERT_LT(grantsBefore, kRanges);

  first.mStore->SetFaults([](store_call aCall, const std::string&) {
    return aCall == store_call::kOpenLease ? store_fault::kRefused
                                           : store_fault::kNone;
  });
  http_connection connection(mLoop, "127.0.0.1", first.mSettings.mPeers.mPort);
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/abdicate";
  request.mBody = std::to_string(nlohmann::json::parse(mKv.Get(kLeaderItem))
                                   .at("incarnation")
                                   .get<uint64_t>());
  std::optional<http_result> result;
  connection.Call(request, kTimeout, [&](const http_result& aResult) {
    result = aResult;
    target.SetOrdersHeld(false);
  });
  ASSERT_TRUE(WaitFor("the router has abdicated", [&] {
    return result && result->mResponse.mStatus == 200;
  }));
  RunFor(1s);
  EXPECT_EQ(grants, grantsBefore);
}

} // namespace parsleystair
