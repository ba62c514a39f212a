#include "Parsleystair/Core/Error.h"
#include "Parsleystair/KeyRanges/Handover.h"

#include <gtest/gtest.h>

// A record in the store decides who owns which keys. Other programs and earlier
// releases may have written it, and it must fit into one value of the store.

namespace parsleystair {

namespace {

/// Longest value that the store takes, in bytes.
constexpr size_t kMaxValueBytes = 1024 * 1024;

/// Text of a record with one range.
std::string RecordWith(const std::string& aHandover,
                       const std::string& aOwner = "t-1")
{
  return R"({"nextFence":8,"ranges":[[0,99,")" + aOwner + R"(",1000,7,")" +
         aHandover + R"("]],"term":3})";
}

owned_range Range(uint32_t aFirst,
                  uint64_t aFence,
                  const std::string& aHandover)
{
  return {
    { aFirst, aFirst }, { target_name("t-1"), 1 }, fence(aFence), aHandover
  };
}

} // namespace

// Guards against a record that can't be read because of its handovers: a new
// leader that doesn't know the owners can't keep the keys at one target each.
TEST(RangeRecord, OwnershipIsReadWithoutAnUnusableHandover)
{
  for (const std::string& handover :
       { std::string("\xff\x80"),
         std::string("5c0e\xc3"),
         std::string("\xed\xa0\x80"),
         std::string("a\x01z"),
         std::string("\\ud800"),
         std::string("\\u0007"),
         std::string("\\\"\xff"),
         std::string("a b"),
         std::string(kMaxHandoverBytes + 1, 'a') }) {
    const std::string text = RecordWith(handover);
    range_record record;
    ASSERT_NO_THROW(record = DecodeRangeRecord(text)) << text.substr(0, 80);
    ASSERT_EQ(record.mRanges.size(), 1U);
    EXPECT_EQ(record.mRanges[0].mHandover, "");
    EXPECT_EQ(record.mRanges[0].mOwner.mName, target_name("t-1"));
    EXPECT_EQ(record.mRanges[0].mFence, fence(7));
    EXPECT_EQ(record.mNextFence, 8U);
    EXPECT_EQ(DecodeRangeRecord(EncodeRangeRecord(record)), record);
  }
}

// Guards against a name of an owner that looks like another one without the
// bytes that can't be read.
TEST(RangeRecord, UnreadableOwnerIsNoOtherTarget)
{
  const range_record record = DecodeRangeRecord(RecordWith("5c0e", "t\xff-1"));
  ASSERT_EQ(record.mRanges.size(), 1U);
  EXPECT_EQ(record.mRanges[0].mOwner.mName, target_name("t -1"));
  EXPECT_EQ(record.mRanges[0].mHandover, "5c0e");
}

// Guards against handovers by which the store refuses the record for its
// length, so that no key of the service can move any more.
TEST(RangeRecord, HandoversNeverMakeItTooLong)
{
  range_record record;
  const std::string longest(kMaxHandoverBytes, 'a');
  constexpr uint32_t kRanges = 8192;
  for (uint32_t index = 0; index < kRanges; ++index) {
    record.mRanges.push_back(Range(index, index + 1, longest));
  }
  record.mNextFence = kRanges + 1;
  LimitHandovers(record, kMaxRecordHandoverBytes);
  EXPECT_LE(EncodeRangeRecord(record).size(), kMaxValueBytes);
  EXPECT_EQ(record.mRanges.size(), kRanges);
}

// Guards against the loss of the handover that was written last, which its
// owner has not got yet.
TEST(RangeRecord, HandoversOfTheOldestFencesGoFirst)
{
  range_record record;
  record.mRanges = { Range(0, 5, "aaaa"),
                     Range(1, 3, "bbbb"),
                     Range(2, 4, "cccc") };
  LimitHandovers(record, 12);
  EXPECT_EQ(record.mRanges[1].mHandover, "bbbb");
  LimitHandovers(record, 8);
  EXPECT_EQ(record.mRanges[0].mHandover, "aaaa");
  EXPECT_EQ(record.mRanges[1].mHandover, "");
  EXPECT_EQ(record.mRanges[2].mHandover, "cccc");
  LimitHandovers(record, 7);
  EXPECT_EQ(record.mRanges[0].mHandover, "aaaa");
  EXPECT_EQ(record.mRanges[2].mHandover, "");
}

} // namespace parsleystair
