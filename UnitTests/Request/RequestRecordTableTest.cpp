#include "Parsleystair/Request/RequestRecordTable.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

const time_point kStart{ 1h };
const wall_time kWallStart{ 1'800'000'000s };

vm_identity Vm(const char* aName)
{
  return { vm_name(aName), incarnation(1) };
}

group_record Record(uint64_t aRevision, const char* aJoining = "")
{
  group_record record;
  record.mRevision = store_revision(aRevision);
  for (const char* name : { "a", "b", "c" }) {
    record.mHolders.push_back(
      { vm_name(name), incarnation(1), std::string(name) == aJoining });
  }
  return record;
}

begin_message Begin(const char* aKey, const char* aAttempt)
{
  begin_message message;
  message.mRevision = store_revision(1);
  message.mKey = { service_name("s"), rule_name("r"), aKey };
  message.mExecution = execution_id(aAttempt);
  message.mFingerprint = 1;
  message.mKeyTimeMs =
    static_cast<uint64_t>(kWallStart.time_since_epoch().count());
  return message;
}

class request_record_table_test : public testing::Test
{
protected:
  request_record_table_test() { mTable.UpdateGroup(mRecord, true, kStart); }

  begin_result Ask(const begin_message& aMessage, duration aLater = 0s)
  {
    const auto wall =
      kWallStart +
      std::chrono::duration_cast<std::chrono::milliseconds>(aLater);
    return mTable.HandleBegin(aMessage, mRecord, kStart + aLater, wall).mResult;
  }

  request_record_limits mLimits{ 2, 100'000, 600s };
  request_record_table mTable{ Vm("a"), mLimits };
  group_record mRecord = Record(1);
};

} // namespace

// Guards against a second attempt that is accepted, or a repeat that is
// refused.
TEST_F(request_record_table_test, AcceptsOnlyTheFirstAttempt)
{
  EXPECT_EQ(Ask(Begin("k", "1")), begin_result::kAccepted);
  EXPECT_EQ(Ask(Begin("k", "1")), begin_result::kAccepted);
  EXPECT_EQ(Ask(Begin("k", "2")), begin_result::kDuplicate);
  begin_message other = Begin("k", "3");
  other.mFingerprint = 2;
  EXPECT_EQ(Ask(other), begin_result::kFingerprintMismatch);
}

// Guards against a late withdrawal that frees a request that ran, and against
// an answer that is lost or kept beyond 16 KB.
TEST_F(request_record_table_test, KeepsFinishedRecords)
{
  const begin_message first = Begin("k", "1");
  const begin_message large = Begin("l", "2");
  Ask(first);
  Ask(large);
  mTable.HandleWithdraw({ {}, first.mKey, execution_id("9") }, kStart);
  const http_response answer{ 200, { { "A", "b" } }, "body" };
  mTable.HandleFinish({ {}, first.mKey, first.mExecution, answer }, kStart);
  mTable.HandleWithdraw({ {}, first.mKey, first.mExecution }, kStart);
  const begin_reply reply =
    mTable.HandleBegin(Begin("k", "3"), mRecord, kStart, kWallStart);
  EXPECT_EQ(reply,
            (begin_reply{ begin_result::kFinished, first.mExecution, answer }));

  const http_response tooLarge{ 200, {}, std::string(16 * 1024 + 1, 'x') };
  mTable.HandleFinish({ {}, large.mKey, large.mExecution, tooLarge }, kStart);
  const begin_reply unknown =
    mTable.HandleBegin(Begin("l", "4"), mRecord, kStart, kWallStart);
  EXPECT_EQ(unknown.mResult, begin_result::kFinished);
  EXPECT_FALSE(unknown.mResponse.has_value());
}

// Guards against live records dropped for new ones, and against counts that
// drift so that the table stays full.
TEST_F(request_record_table_test, RefusesWhenFullUntilRecordsEnd)
{
  EXPECT_EQ(Ask(Begin("k", "1")), begin_result::kAccepted);
  EXPECT_EQ(Ask(Begin("l", "2")), begin_result::kAccepted);
  EXPECT_EQ(Ask(Begin("m", "3")), begin_result::kFull);
  EXPECT_EQ(Ask(Begin("k", "4")), begin_result::kDuplicate);
  mTable.HandleWithdraw({ {}, Begin("k", "1").mKey, execution_id("1") },
                        kStart);
  EXPECT_EQ(Ask(Begin("m", "3")), begin_result::kAccepted);
  Ask(Begin("n", "5"), 700s);
  EXPECT_EQ(mTable.Counts().mRecords, 0u);
  EXPECT_EQ(mTable.Counts().mBytes, 0u);
}

// Guards against a key that is taken as new after its record expired.
TEST_F(request_record_table_test, RefusesKeysOlderThanTheRecords)
{
  Ask(Begin("k", "1"));
  EXPECT_EQ(Ask(Begin("k", "2"), 541s), begin_result::kDuplicate);
  EXPECT_EQ(Ask(Begin("l", "3"), 540s), begin_result::kAccepted);
  EXPECT_EQ(Ask(Begin("m", "4"), 541s), begin_result::kExpired);
  EXPECT_EQ(Ask(Begin("n", "5"), -61s), begin_result::kExpired);
}

// Guards against holders that answer for records they don't have.
TEST_F(request_record_table_test, IsReadyOnlyWithCompleteCopies)
{
  request_record_table joiner(Vm("c"), mLimits);
  const group_record joining = Record(2, "c");
  const auto begin = [&](uint64_t aRevision) {
    begin_message message = Begin("k", "2");
    message.mRevision = store_revision(aRevision);
    return joiner.HandleBegin(message, joining, kStart, kWallStart).mResult;
  };
  EXPECT_EQ(begin(2), begin_result::kNotReady);

  Ask(Begin("k", "1"));
  const copy_records_reply copy =
    mTable.HandleCopyRecords({ joining }, mRecord, kStart);
  EXPECT_TRUE(copy.mReady);
  EXPECT_EQ(Ask(Begin("l", "2")), begin_result::kStaleRevision);
  EXPECT_FALSE(joiner.InstallCopies(joining, { copy }, kStart));
  EXPECT_FALSE(joiner.InstallCopies(Record(1), { copy, copy }, kStart));
  EXPECT_TRUE(joiner.InstallCopies(joining, { copy, copy }, kStart));
  EXPECT_EQ(begin(2), begin_result::kDuplicate);
  EXPECT_EQ(begin(1), begin_result::kStaleRevision);

  // A restarted process has none of the records of its predecessor.
  request_record_table restarted({ vm_name("a"), incarnation(2) }, mLimits);
  EXPECT_EQ(
    restarted.HandleBegin(Begin("k", "2"), mRecord, kStart, kWallStart).mResult,
    begin_result::kNotReady);
  EXPECT_FALSE(
    restarted.HandleCopyRecords({ joining }, mRecord, kStart).mReady);
}

// Guards against requests from before a loss that the group's record tells of.
TEST_F(request_record_table_test, LossInTheRecordRefusesOlderKeys)
{
  const int64_t startMs = kWallStart.time_since_epoch().count();
  group_record lost = Record(2);
  lost.mRecordsLostUntilMs = static_cast<uint64_t>(startMs) - 60'000;
  mTable.UpdateGroup(lost, true, kStart);
  begin_message older = Begin("old", "1");
  older.mRevision = store_revision(2);
  older.mKeyTimeMs = static_cast<uint64_t>(startMs) - 1;
  begin_message newer = Begin("new", "2");
  newer.mRevision = store_revision(2);
  EXPECT_EQ(mTable.HandleBegin(older, lost, kStart, kWallStart).mResult,
            begin_result::kExpired);
  EXPECT_EQ(mTable.HandleBegin(newer, lost, kStart, kWallStart).mResult,
            begin_result::kAccepted);
  EXPECT_TRUE(mTable.HandleCopyRecords({ lost }, lost, kStart).mReady);
}

// Guards against requests from before the loss of two holders that run again.
TEST_F(request_record_table_test, ForcedHolderRefusesOlderKeys)
{
  request_record_table joiner(Vm("c"), mLimits);
  group_record joining = Record(1, "c");
  joiner.UpdateGroup(joining, false, kStart);
  joiner.MarkReadySince(group_index(), kWallStart - 60s, kStart);
  const auto begin =
    [&](const char* aKey, int64_t aKeyTimeMs, duration aLater) {
      begin_message message = Begin(aKey, aKey);
      message.mKeyTimeMs = static_cast<uint64_t>(aKeyTimeMs);
      return joiner.HandleBegin(message, joining, kStart + aLater, kWallStart)
        .mResult;
    };
  const int64_t startMs = kWallStart.time_since_epoch().count();
  EXPECT_EQ(begin("old", startMs - 1, 0s), begin_result::kExpired);
  EXPECT_EQ(begin("new", startMs, 0s), begin_result::kAccepted);
  EXPECT_EQ(begin("any", 0, 600s), begin_result::kExpired);
  EXPECT_EQ(begin("any", 0, 660s), begin_result::kAccepted);
}

} // namespace parsleystair
