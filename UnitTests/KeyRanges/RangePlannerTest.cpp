#include "Parsleystair/KeyRanges/RangePlanner.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/KeyRanges/LoadReport.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

std::vector<owner_candidate> Candidates(size_t aCount)
{
  std::vector<owner_candidate> candidates;
  for (size_t i = 0; i < aCount; ++i) {
    candidates.push_back({ target_name("t" + std::to_string(i)), 1, 0 });
  }
  return candidates;
}

range_record RecordOf(const std::vector<planned_range>& aPlan)
{
  range_record record;
  record.mNextFence = 2;
  for (const planned_range& each : aPlan) {
    AssignKeys(record, { each.mKeys, { each.mNewOwner, 1 }, fence(1), "" });
  }
  return record;
}

} // namespace

// Guards against keys that are assigned to no owner or to two owners.
TEST(RangePlanner, GivesEachKeyToOneOwner)
{
  const key_load load;
  auto candidates = Candidates(7);
  const auto plan = PlanOwners({ 0, kMaxKeyNumber }, load, candidates);
  uint32_t next = 0;
  for (const planned_range& each : plan) {
    EXPECT_EQ(each.mKeys.mFirst, next);
    next = each.mKeys.mLast + 1;
  }
  EXPECT_EQ(next, kMaxKeyNumber + 1);
  EXPECT_EQ(plan.size(), 7u);
}

// Guards against assigning all busy keys to one owner.
TEST(RangePlanner, BusyKeysAreSpread)
{
  key_load load;
  key_counts counts;
  for (uint32_t bucket = 100; bucket < 160; ++bucket) {
    counts[key_bucket(bucket)] = 20;
  }
  load.Add(counts, time_point(1h));
  auto candidates = Candidates(6);
  PlanOwners({ 0, kMaxKeyNumber }, load, candidates);
  for (const owner_candidate& each : candidates) {
    EXPECT_NEAR(each.mWeight, 200, 60);
  }
}

// Guards against moves caused by random differences between small counts.
TEST(RangePlanner, IgnoresSmallDifferences)
{
  key_load load;
  auto candidates = Candidates(2);
  const auto plan = PlanOwners({ 0, kMaxKeyNumber }, load, candidates);
  load.Add({ { key_bucket(10), 12 }, { key_bucket(8000), 20 } },
           time_point(1h));
  const range_record record = RecordOf(plan);
  for (owner_candidate& each : candidates) {
    each.mWeight = 0;
    for (const owned_range& range : record.mRanges) {
      each.mWeight +=
        range.mOwner.mName == each.mName ? load.WeightOf(range.mKeys) : 0;
    }
  }
  EXPECT_FALSE(PlanBalanceMove(record, load, candidates));
}

// Guards against a new owner that receives no keys, and against a move that
// adds load to the most loaded owner.
TEST(RangePlanner, FillsEmptyOwner)
{
  key_load load;
  key_counts counts;
  for (uint32_t bucket = 0; bucket < key_load::kBucketCount; bucket += 64) {
    counts[key_bucket(bucket)] = 10;
  }
  load.Add(counts, time_point(1h));
  auto candidates = Candidates(3);
  const range_record record =
    RecordOf(PlanOwners({ 0, kMaxKeyNumber }, load, candidates));
  candidates.push_back({ target_name("new"), 1, 0 });
  const auto move = PlanBalanceMove(record, load, candidates);
  ASSERT_TRUE(move.has_value());
  EXPECT_EQ(move->mNewOwner, target_name("new"));
  EXPECT_GT(load.WeightOf(move->mKeys), 50);
}

// Guards against an owner that stays overloaded because the most loaded owner
// can't be relieved: a single key causes all of that owner's load.
TEST(RangePlanner, RelievesTheNextOwnerWhenTheFirstHasOneBusyKey)
{
  key_load load;
  key_counts counts;
  counts[key_bucket(0)] = 500;
  for (uint32_t bucket = 3000; bucket < 3010; ++bucket) {
    counts[key_bucket(bucket)] = 30;
  }
  load.Add(counts, time_point(1h));
  range_record record;
  AssignKeys(record, { { 0, 7 }, { target_name("t0"), 1 }, fence(1), "" });
  AssignKeys(record, { { 8, 40000 }, { target_name("t1"), 1 }, fence(1), "" });
  AssignKeys(
    record,
    { { 40001, kMaxKeyNumber }, { target_name("t2"), 1 }, fence(1), "" });
  auto candidates = Candidates(3);
  candidates[0].mWeight = 500;
  candidates[1].mWeight = 300;
  candidates[2].mWeight = 10;
  const auto move = PlanBalanceMove(record, load, candidates);
  ASSERT_TRUE(move.has_value());
  EXPECT_EQ(move->mNewOwner, target_name("t2"));
  EXPECT_TRUE(move->mKeys.mFirst >= 8 && move->mKeys.mLast <= 40000);
}

// Guards against records that encoding and decoding change.
TEST(RangeRecord, RoundTripsThroughEncoding)
{
  range_record record;
  record.mNextFence = 9;
  AssignKeys(record, { { 0, 99 }, { target_name("a"), 5 }, fence(3), "state" });
  AssignKeys(record, { { 50, 60 }, { target_name("b"), 6 }, fence(8), "" });
  EXPECT_EQ(DecodeRangeRecord(EncodeRangeRecord(record)), record);
  ASSERT_EQ(record.mRanges.size(), 3u);
  EXPECT_EQ(FindRange(record, 55)->mOwner.mName, target_name("b"));
  EXPECT_EQ(FindRange(record, 61)->mOwner.mName, target_name("a"));
  EXPECT_EQ(FindRange(record, 100), nullptr);
  EXPECT_THROW(DecodeRangeRecord("{}"), parse_error);
  EXPECT_THROW(
    DecodeRangeRecord(R"({"nextFence":1,"ranges":[[5,2,"a",1,0,""]]})"),
    parse_error);
}

// Guards against load reports that encoding and decoding change.
TEST(LoadReport, RoundTripsThroughEncoding)
{
  load_report report;
  report[service_name("s")] = { { { key_bucket(3), 4 } },
                                { { target_name("t"), { 20, 30 } } } };
  EXPECT_EQ(DecodeLoadReport(EncodeLoadReport(report)), report);
  EXPECT_THROW(DecodeLoadReport("[1]"), parse_error);
}

} // namespace parsleystair
