#include "Parsleystair/Gateway/ElectionController.h"

#include "Parsleystair/Gateway/RecordSurvey.h"

#include <gtest/gtest.h>

#include <map>

namespace parsleystair {

namespace {

leader_entry Router(const std::string& aName)
{
  leader_entry entry;
  entry.mVm = vm_name(aName);
  entry.mIncarnation = incarnation(std::hash<std::string>()(aName));
  entry.mHost = aName;
  entry.mPort = 1;
  return entry;
}

election_settings Settings(const std::string& aName)
{
  election_settings settings;
  settings.mLeaderKey = "leader";
  settings.mTermsKey = "terms";
  settings.mSelf = Router(aName);
  return settings;
}

/// Store with the two keys of the election. Each test delivers the replies.
class election_controller_test : public testing::Test
{
protected:
  [[nodiscard]] std::optional<stored_item> Find(const std::string& aKey) const
  {
    const auto found = mItems.find(aKey);
    return found == mItems.end() ? std::nullopt : std::optional(found->second);
  }

  /// The leader's lease ends.
  void RemoveLeaderKey() { mItems.erase("leader"); }

  write_reply Write(const conditional_write& aWrite)
  {
    for (const item_condition& each : aWrite.mConditions) {
      const auto item = Find(each.mKey);
      const auto revision = item ? item->mRevision : store_revision(0);
      if (revision != each.mRevision) {
        return { call_outcome::kConflict, {} };
      }
    }
    const store_revision revision(++mRevision);
    for (const item_write& each : aWrite.mWrites) {
      mItems[each.mKey] = { each.mKey, each.mValue, revision };
    }
    return { call_outcome::kDone, revision };
  }

  std::vector<stored_item> StoredTermsItems() const
  {
    std::vector<stored_item> items;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with("terms")) {
        items.push_back(item);
      }
    }
    return items;
  }

  leader_terms StoredTerms() const
  {
    const auto item = Find("terms");
    return item ? DecodeLeaderTerms(item->mValue) : leader_terms();
  }

  template<typename Action>
  static std::vector<Action> Only(const std::vector<election_action>& aActions)
  {
    std::vector<Action> found;
    for (const election_action& each : aActions) {
      if (const auto* action = std::get_if<Action>(&each)) {
        found.push_back(*action);
      }
    }
    return found;
  }

  /// Lets the router see that there is no leader, and returns its write of the
  /// leader key.
  write_leader Campaign(election_controller& aRouter)
  {
    aRouter.HandleKey(std::nullopt, mNow);
    mNow += 2s;
    const auto reads = Only<read_terms>(aRouter.Step(mNow));
    EXPECT_EQ(reads.size(), 1u);
    aRouter.HandleTermsRead(call_outcome::kDone, StoredTermsItems(), mNow);
    lease_reply lease;
    lease.mOutcome = call_outcome::kDone;
    lease.mLease = lease_id(++mLease);
    aRouter.HandleLeaseOpened(lease, mNow);
    const auto writes = Only<write_leader>(aRouter.Step(mNow));
    EXPECT_EQ(writes.size(), 1u);
    return writes.empty() ? write_leader() : writes[0];
  }

  /// The router gets the list of live routers for as long as grants last.
  void FollowRouters(election_controller& aRouter,
                     const std::vector<std::string>& aHosts)
  {
    const election_settings settings;
    const time_point end =
      mNow + settings.mMaxRenewalTime + settings.mGrantLifetime + 1s;
    for (; mNow < end; mNow += 1s) {
      aRouter.HandleRouters(aHosts, mNow);
    }
  }

  /// Makes the router the leader.
  void Elect(election_controller& aRouter)
  {
    const write_leader written = Campaign(aRouter);
    aRouter.HandleLeaderWritten(
      written.mEntry, Write(written.mWrite), mNow, mNow);
    EXPECT_TRUE(aRouter.IsLeading());
  }

  std::vector<request_abdication> AbdicationRequests(
    election_controller& aRouter)
  {
    return Only<request_abdication>(aRouter.Step(mNow));
  }

  time_point mNow{ 1h };
  uint64_t mRevision = 10;
  uint64_t mLease = 0;
  std::map<std::string, stored_item> mItems;
  election_controller mFirst{ Settings("a"), 1 };
  election_controller mSecond{ Settings("b"), 2 };
  election_controller mThird{ Settings("c"), 3 };
};

} // namespace

// Guards against a new leader that waits for the last former leader only, while
// an earlier one still renews grants.
TEST_F(election_controller_test, WaitsForEveryFormerLeader)
{
  Elect(mFirst);
  EXPECT_TRUE(mFirst.AreFormerLeadersGone());
  RemoveLeaderKey();
  Elect(mSecond);
  EXPECT_FALSE(mSecond.AreFormerLeadersGone());
  RemoveLeaderKey();
  Elect(mThird);
  const auto requests = AbdicationRequests(mThird);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].mLeader.mVm, vm_name("a"));
  EXPECT_EQ(requests[1].mLeader.mVm, vm_name("b"));
  mThird.HandleAbdicated(requests[1], {}, mNow);
  EXPECT_FALSE(mThird.AreFormerLeadersGone());
  mThird.HandleAbdicated(requests[0], {}, mNow);
  EXPECT_TRUE(mThird.AreFormerLeadersGone());
}

// Guards against former leaders that are forgotten while they may still send
// orders, and against a list of them that only grows.
TEST_F(election_controller_test, RemovesFormerLeadersWhenTheyAreGone)
{
  Elect(mFirst);
  RemoveLeaderKey();
  Elect(mSecond);
  const time_point end = mNow + Settings("b").mMaxRenewalTime;
  while (mNow < end) {
    EXPECT_TRUE(Only<write_terms>(mSecond.Step(mNow)).empty());
    mNow += 100ms;
  }
  EXPECT_EQ(StoredTerms().mLeaders.size(), 2u);
  std::vector<write_terms> writes;
  for (int i = 0; i < 10 && writes.empty(); ++i) {
    mNow += 100ms;
    writes = Only<write_terms>(mSecond.Step(mNow));
  }
  ASSERT_EQ(writes.size(), 1u);
  mSecond.HandleTermsWritten(Write(writes[0].mWrite));
  ASSERT_EQ(StoredTerms().mLeaders.size(), 1u);
  EXPECT_EQ(StoredTerms().mLeaders[0].mVm, vm_name("b"));
  EXPECT_EQ(StoredTerms().mNext, term_number(3));
}

// Guards against a leader that is missing in the terms of its successor because
// both read the terms before either wrote them.
TEST_F(election_controller_test, WriteFailsIfTheTermsHaveChanged)
{
  const write_leader early = Campaign(mFirst);
  Elect(mSecond);
  RemoveLeaderKey();
  EXPECT_EQ(Write(early.mWrite).mOutcome, call_outcome::kConflict);
}

// Guards against a leadership that is confirmed by renewals of another lease
// than the one that the leader key is bound to.
TEST_F(election_controller_test, LateEntryOfAnEarlierCampaignIsNotLed)
{
  const write_leader early = Campaign(mFirst);
  mFirst.HandleLeaderWritten(
    early.mEntry, { call_outcome::kUnknown, {} }, mNow, mNow);
  mNow += 500ms;
  const write_leader late = Campaign(mFirst);
  ASSERT_NE(early.mEntry.mLease, late.mEntry.mLease);
  Write(early.mWrite);
  mFirst.HandleKey(Find("leader"), mNow);
  EXPECT_FALSE(mFirst.IsLeading());
  const auto ended = Only<end_lease>(mFirst.Step(mNow));
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].mLease, early.mEntry.mLease);
}

// Guards against grants that are renewed because the entry of the leader key
// was read, which doesn't prove that the entry still exists.
TEST_F(election_controller_test, ReadEntryDoesNotConfirmTheLeadership)
{
  const write_leader written = Campaign(mFirst);
  mFirst.HandleLeaderWritten(
    written.mEntry, { call_outcome::kUnknown, {} }, mNow, mNow);
  Write(written.mWrite);
  mNow += 300ms;
  mFirst.HandleKey(Find("leader"), mNow);
  ASSERT_TRUE(mFirst.IsLeading());
  EXPECT_EQ(mFirst.Leadership().mConfirmedAt, time_point::min());
  const auto renewals = Only<renew_lease>(mFirst.Step(mNow));
  ASSERT_EQ(renewals.size(), 1u);
  EXPECT_EQ(renewals[0].mLease, written.mEntry.mLease);
  mFirst.HandleLeaseRenewed(renewals[0], call_outcome::kDone, mNow, mNow);
  EXPECT_EQ(mFirst.Leadership().mConfirmedAt, mNow);
}

// Guards against a router that leads after it has abdicated, because the watch
// delivers an earlier state of the leader key.
TEST_F(election_controller_test, AbdicatedRouterIsNotMadeLeaderByALateWatch)
{
  const write_leader written = Campaign(mFirst);
  mFirst.HandleLeaderWritten(
    written.mEntry, { call_outcome::kUnknown, {} }, mNow, mNow);
  Write(written.mWrite);
  const auto seenLate = Find("leader");
  RemoveLeaderKey();
  Elect(mSecond);
  ASSERT_EQ(AbdicationRequests(mSecond).size(), 1u);
  mFirst.StepDown(mSecond.Leadership().mTerm);
  mFirst.HandleKey(seenLate, mNow);
  EXPECT_FALSE(mFirst.IsLeading());
}

// Guards against a router that leads after it has abdicated, because the reply
// to its write arrives after its lease has ended.
TEST_F(election_controller_test, AbdicatedRouterIsNotMadeLeaderByALateReply)
{
  const time_point sentAt = mNow;
  const write_leader written = Campaign(mFirst);
  const write_reply late = Write(written.mWrite);
  RemoveLeaderKey();
  Elect(mSecond);
  mFirst.StepDown(mSecond.Leadership().mTerm);
  mFirst.HandleLeaderWritten(written.mEntry, late, sentAt, mNow);
  EXPECT_FALSE(mFirst.IsLeading());
}

// Guards against a new leadership that is ended by a request of a router whose
// leadership was before it.
TEST_F(election_controller_test, LateAbdicationRequestDoesNotEndALaterTerm)
{
  Elect(mFirst);
  RemoveLeaderKey();
  Elect(mSecond);
  const term_number before = mSecond.Leadership().mTerm;
  RemoveLeaderKey();
  mFirst.StepDown(before);
  Elect(mFirst);
  mFirst.StepDown(before);
  EXPECT_TRUE(mFirst.IsLeading());
}

// Guards against a former leader that is missing in the terms because it runs a
// version that doesn't write them.
TEST_F(election_controller_test, AsksALeaderThatWroteNoTerm)
{
  mItems["leader"] = { "leader",
                       R"({"vm":"old","incarnation":7,"host":"old","port":1})",
                       store_revision(++mRevision) };
  mFirst.HandleKey(Find("leader"), mNow);
  RemoveLeaderKey();
  Elect(mFirst);
  const auto requests = AbdicationRequests(mFirst);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].mLeader.mVm, vm_name("old"));
}

// Guards against a leader that goes on by what a restored store says, while
// routers that the store has forgotten may hold other records.
TEST_F(election_controller_test, FirstLeaderAfterARestoreAsksEveryRouter)
{
  FollowRouters(mFirst, { "a", "b", "c" });
  mItems.clear();
  mFirst.HandleEra(store_era(2), mNow);
  Elect(mFirst);
  EXPECT_EQ(mFirst.Leadership().mTerm,
            term_number(FirstNumberOf(store_era(2))));
  EXPECT_TRUE(mFirst.Leadership().mRecovers);
  const auto requests = AbdicationRequests(mFirst);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_TRUE(requests[0].mAsksRecords);
  mFirst.HandleAbdicated(requests[0], {}, mNow);
  mFirst.Step(mNow);
  EXPECT_FALSE(mFirst.RecoveryEnd().has_value());
  mFirst.HandleAbdicated(requests[1], {}, mNow);
  mFirst.Step(mNow);
  EXPECT_EQ(mFirst.RecoveryEnd(), mNow);
}

// Guards against a router that answers for records that an earlier process at
// its address had granted.
TEST_F(election_controller_test, WaitsForGrantsOfRoutersThatForgotTheirs)
{
  FollowRouters(mFirst, { "a", "b" });
  mFirst.HandleEra(store_era(2), mNow);
  Elect(mFirst);
  const duration lifetime = range_settings().MaxFormerGrantLifetime();
  const auto requests = AbdicationRequests(mFirst);
  ASSERT_EQ(requests.size(), 1u);
  mFirst.HandleAbdicated(requests[0], { lifetime, {}, {} }, mNow);
  mFirst.Step(mNow);
  EXPECT_EQ(mFirst.RecoveryEnd(),
            mNow + range_settings().MaxFormerGrantLifetime());
}

// Guards against a router that doesn't know which routers may have led: one
// that has started only after the copy was made.
TEST_F(election_controller_test, NewRouterWaitsForUnknownLeadersAfterARestore)
{
  election_settings settings = Settings("a");
  settings.mStartedAt = mNow;
  election_controller started(settings, 1);
  started.HandleRouters({ "a" }, mNow);
  started.HandleEra(store_era(2), mNow);
  const time_point lostGrantsEnd =
    mNow + settings.mMaxRenewalTime + settings.mGrantLifetime;
  mNow += 3s;
  Elect(started);
  for (; mNow < lostGrantsEnd; mNow += 500ms) {
    started.Step(mNow);
    EXPECT_GE(started.RecoveryDeadline(), lostGrantsEnd);
    EXPECT_FALSE(started.MayWriteRecords());
    const bool mayLeadersSend = mNow < lostGrantsEnd - settings.mGrantLifetime;
    EXPECT_EQ(started.AreFormerLeadersGone(), !mayLeadersSend);
  }
  EXPECT_EQ(started.RecoveryDeadline(), lostGrantsEnd);
}

// Guards against keys that stay away longer with each leader after a restore,
// because each one waits again for what can't happen any more.
TEST_F(election_controller_test, RecoveryEndsInTimeWhicheverRouterLeads)
{
  FollowRouters(mFirst, { "a", "b", "c", "lost" });
  FollowRouters(mSecond, { "a", "b", "c", "lost" });
  const time_point lostGrantsEnd =
    mNow + Settings("a").mMaxRenewalTime + Settings("a").mGrantLifetime;
  mFirst.HandleEra(store_era(2), mNow);
  mSecond.HandleEra(store_era(2), mNow);
  for (int leader = 0; leader < 4; ++leader) {
    election_controller& router = leader % 2 == 0 ? mFirst : mSecond;
    Elect(router);
    router.Step(mNow);
    EXPECT_EQ(router.RecoveryDeadline(), lostGrantsEnd);
    router.StepDown(std::nullopt);
    mItems.erase("leader@2");
  }
}

// Guards against a young router that waits for its own time since the restore
// though others have known of it for longer.
TEST_F(election_controller_test, YoungRouterCountsFromTheRestoreThatOthersSaw)
{
  mFirst.HandleEra(store_era(2), mNow);
  const time_point lostGrantsEnd =
    mNow + Settings("a").mMaxRenewalTime + Settings("a").mGrantLifetime;
  mNow += 6s;
  mSecond.HandleEra(store_era(2), mNow);
  mSecond.HandleRouters({ "a", "b" }, mNow);
  Elect(mSecond);
  const auto requests = AbdicationRequests(mSecond);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_GT(mSecond.RecoveryDeadline(), lostGrantsEnd);
  const term_number term = mSecond.Leadership().mTerm;
  mSecond.HandleAbdicated(
    requests[0], { {}, mFirst.LostGrantsExpireIn(term, mNow), {} }, mNow);
  EXPECT_EQ(mSecond.RecoveryDeadline(), lostGrantsEnd);
}

// Guards against a count that begins anew at a router which has started after
// the restore, though reports reached it before all that saw it had ended.
TEST_F(election_controller_test, StartedRouterCountsFromTheRestoreInReports)
{
  mFirst.HandleEra(store_era(2), mNow);
  const time_point lostGrantsEnd =
    mNow + Settings("a").mMaxRenewalTime + Settings("a").mGrantLifetime;
  mNow += 4s;
  mSecond.HandleEra(store_era(2), mNow);
  const auto report = mFirst.LostGrants(mNow);
  ASSERT_TRUE(report.has_value());
  mNow += 300ms;
  mSecond.HandleLostGrants(*report, mNow);
  mNow += 4s;
  mThird.HandleEra(store_era(2), mNow);
  mThird.HandleLostGrants(mSecond.LostGrants(mNow).value(), mNow);
  mThird.HandleRouters({ "a", "b", "c" }, mNow);
  Elect(mThird);
  EXPECT_EQ(mThird.RecoveryDeadline(), lostGrantsEnd + 300ms);
}

// Guards against a leader that goes on waiting for its own count when a report
// tells a shorter one during its recovery.
TEST_F(election_controller_test, LeaderTakesTheShorterCountOfAReport)
{
  FollowRouters(mSecond, { "a", "b", "lost" });
  mFirst.HandleEra(store_era(2), mNow);
  const time_point lostGrantsEnd =
    mNow + Settings("a").mMaxRenewalTime + Settings("a").mGrantLifetime;
  mNow += 3s;
  mSecond.HandleEra(store_era(2), mNow);
  Elect(mSecond);
  const time_point ownEnd = mSecond.RecoveryDeadline();
  EXPECT_GT(ownEnd, lostGrantsEnd);
  mSecond.HandleLostGrants(mFirst.LostGrants(mNow).value(), mNow);
  EXPECT_EQ(mSecond.RecoveryDeadline(), lostGrantsEnd);
  mSecond.HandleLostGrants({ store_era(2), 1h }, mNow);
  EXPECT_EQ(mSecond.RecoveryDeadline(), lostGrantsEnd);
}

// Guards against grants of the era before that are taken for expired because
// those of an earlier or later era have, or because the store wasn't restored.
TEST_F(election_controller_test, CountsOfOtherErasAreIgnored)
{
  EXPECT_EQ(mFirst.LostGrants(mNow), std::nullopt);
  mFirst.HandleLostGrants({ kFirstEra, {} }, mNow);
  EXPECT_EQ(mFirst.LostGrants(mNow), std::nullopt);
  mFirst.HandleEra(store_era(2), mNow);
  mFirst.HandleEra(store_era(3), mNow);
  const auto own = mFirst.LostGrants(mNow);
  for (const uint64_t era : { 1, 2, 4 }) {
    mFirst.HandleLostGrants({ store_era(era), {} }, mNow);
    EXPECT_EQ(mFirst.LostGrants(mNow), own);
  }
}

// Guards against a count that can't be read and is taken for a short one.
TEST(lost_grants_test, OnlyReadableCountsAreTaken)
{
  const lost_grants told{ store_era(7), 14'656'000us };
  EXPECT_EQ(EncodeLostGrants(told), "7 14656000");
  EXPECT_EQ(DecodeLostGrants("7 14656000"), told);
  EXPECT_EQ(DecodeLostGrants("7 0"), (lost_grants{ store_era(7), {} }));
  for (const char* text : { "",
                            "7",
                            "7 ",
                            " 7 1",
                            "7  1",
                            "7 1 ",
                            "7 1x",
                            "7 -1",
                            "-7 1",
                            "7 1.5",
                            "x 1",
                            "7 3600000001",
                            "7 18446744073709551615",
                            "7 18446744073709551616",
                            "18446744073709551616 1" }) {
    EXPECT_EQ(DecodeLostGrants(text), std::nullopt) << text;
  }
}

// Guards against a successor that asks all routers again after its predecessor
// has asked them and waits only for grants of a restarted router.
TEST_F(election_controller_test, SuccessorWaitsOnlyForTheRestOfARecovery)
{
  constexpr duration kForgotten = 5s;
  FollowRouters(mSecond, { "a", "b" });
  FollowRouters(mFirst, { "a", "b" });
  mFirst.HandleEra(store_era(2), mNow);
  mSecond.HandleEra(store_era(2), mNow);
  Elect(mFirst);
  const auto requests = AbdicationRequests(mFirst);
  ASSERT_EQ(requests.size(), 1u);
  mFirst.HandleAbdicated(requests[0], { kForgotten, {}, {} }, mNow);
  const time_point end = mNow + kForgotten;
  EXPECT_EQ(mFirst.RecoveryDeadline(), end);
  EXPECT_TRUE(mFirst.MayWriteRecords());
  mNow += 1s;
  EXPECT_TRUE(Only<write_terms>(mFirst.Step(mNow)).empty());
  mFirst.HandleRecordsWritten();
  mNow += 500ms;
  const auto writes = Only<write_terms>(mFirst.Step(mNow));
  ASSERT_EQ(writes.size(), 1u);
  mFirst.HandleTermsWritten(Write(writes[0].mWrite));
  mItems.erase("leader@2");
  const time_point readAfter = mNow;
  Elect(mSecond);
  EXPECT_TRUE(mSecond.Leadership().mRecovers);
  EXPECT_GE(mSecond.RecoveryDeadline(), end);
  EXPECT_LE(mSecond.RecoveryDeadline(), end + (mNow - readAfter));
  EXPECT_TRUE(mSecond.MayWriteRecords());
}

// Guards against a successor that counts on records that its predecessor has
// not written: the predecessor heard the last router while its write of the
// terms was pending.
TEST_F(election_controller_test, LateAnswerDoesNotShortenTheToldRecovery)
{
  Elect(mFirst);
  FollowRouters(mFirst, { "a", "b" });
  mFirst.HandleEra(store_era(2), mNow);
  mItems.erase("leader");
  Elect(mFirst);
  std::vector<write_terms> writes;
  request_abdication asked;
  for (int i = 0; i < 40 && writes.empty(); ++i) {
    mNow += 250ms;
    const auto actions = mFirst.Step(mNow);
    writes = Only<write_terms>(actions);
    for (const auto& request : Only<request_abdication>(actions)) {
      asked = request;
    }
  }
  ASSERT_EQ(writes.size(), 1u);
  const term_number term = mFirst.Leadership().mTerm;
  const auto told = mFirst.LostGrantsExpireIn(term, mNow);
  mFirst.HandleAbdicated(asked, {}, mNow);
  EXPECT_EQ(mFirst.RecoveryDeadline(), mNow);
  mFirst.HandleTermsWritten(Write(writes[0].mWrite));
  EXPECT_EQ(mFirst.LostGrantsExpireIn(term, mNow), told);
}

// Guards against records that are written before all routers have told theirs,
// and a successor that takes what it is told since for complete.
TEST_F(election_controller_test, AnswersDoNotShortenARecoveryWithWrittenRecords)
{
  FollowRouters(mFirst, { "a", "b" });
  FollowRouters(mSecond, { "a", "b" });
  Elect(mFirst);
  mFirst.HandleEra(store_era(2), mNow);
  const time_point restored = mNow;
  mSecond.HandleEra(store_era(2), mNow);
  mItems.erase("leader");
  Elect(mFirst);
  ASSERT_TRUE(mFirst.Leadership().mContinues);
  std::vector<write_terms> writes;
  while (writes.empty() && mNow < restored + Settings("a").mMaxRenewalTime) {
    EXPECT_FALSE(mFirst.MayWriteRecords());
    mNow += 250ms;
    writes = Only<write_terms>(mFirst.Step(mNow));
  }
  ASSERT_EQ(writes.size(), 1u);
  mFirst.HandleTermsWritten(Write(writes[0].mWrite));
  EXPECT_TRUE(mFirst.MayWriteRecords());
  mItems.erase("leader@2");
  Elect(mSecond);
  for (const auto& request : AbdicationRequests(mSecond)) {
    mSecond.HandleAbdicated(request, {}, mNow);
  }
  EXPECT_EQ(mSecond.RecoveryDeadline(),
            restored + Settings("a").mMaxRenewalTime +
              Settings("a").mGrantLifetime);
}

// Guards against a second leader after a restore that trusts the records though
// the first one ended before it had recovered them.
TEST_F(election_controller_test, SuccessorRecoversUntilRecordsAreWritten)
{
  FollowRouters(mFirst, { "a", "b" });
  FollowRouters(mSecond, { "a", "b" });
  mFirst.HandleEra(store_era(2), mNow);
  mSecond.HandleEra(store_era(2), mNow);
  Elect(mFirst);
  mItems.erase("leader@2");
  mSecond.HandleRouters({ "a", "b" }, mNow);
  Elect(mSecond);
  EXPECT_TRUE(mSecond.Leadership().mRecovers);
  EXPECT_FALSE(mSecond.Leadership().mContinues);
  const auto requests = AbdicationRequests(mSecond);
  ASSERT_EQ(requests.size(), 1u);
  mSecond.HandleAbdicated(requests[0], {}, mNow);
  mNow += 1s;
  EXPECT_TRUE(Only<write_terms>(mSecond.Step(mNow)).empty());
  mSecond.HandleRecordsWritten();
  mNow += 1s;
  const auto writes = Only<write_terms>(mSecond.Step(mNow));
  ASSERT_EQ(writes.size(), 1u);
  mSecond.HandleTermsWritten(Write(writes[0].mWrite));
  mItems.erase("leader@2");
  mThird.HandleEra(store_era(2), mNow);
  Elect(mThird);
  EXPECT_FALSE(mThird.Leadership().mRecovers);
}

} // namespace parsleystair
