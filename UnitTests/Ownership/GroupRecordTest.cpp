#include "Parsleystair/Ownership/GroupRecord.h"
#include "Parsleystair/Core/Error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleystair {

namespace {

group_record MakeLargeRecord(uint32_t aSlots)
{
  group_record record{ group_index(7), store_revision(9), {}, {} };
  record.mHolders = { { vm_name("a"), incarnation(~uint64_t{ 0 }), false },
                      { vm_name("b"), incarnation(2), true } };
  for (uint32_t i = 0; i < aSlots; ++i) {
    slot_ownership& slot =
      record.mSlots[{ service_name("recipes"), slot_index(i * 64) }];
    slot.mOwner = target_name("target-" + std::to_string(i % 10));
    slot.mFence = fence(1'000'000 + i % 100);
    slot.mSinceMs = 1'790'000'000'000 + i % 100;
  }
  return record;
}

} // namespace

// Guards against fields that are lost or altered by encoding and decoding.
RC_GTEST_PROP(GroupRecord, SurvivesEncoding, ())
{
  group_record record{ group_index(*rc::gen::arbitrary<uint32_t>()),
                       store_revision(*rc::gen::arbitrary<uint64_t>()),
                       {},
                       {} };
  const auto name = rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    record.mHolders.push_back({ vm_name(*name),
                                incarnation(*rc::gen::arbitrary<uint64_t>()),
                                *rc::gen::arbitrary<bool>() });
  }
  for (int i = *rc::gen::inRange(0, 30); i > 0; --i) {
    const slot_id slot{ service_name(*name),
                        slot_index(*rc::gen::inRange(0U, 131'072U)) };
    slot_ownership& ownership = record.mSlots[slot];
    ownership.mOwner = target_name(*name);
    ownership.mFence = fence(*rc::gen::arbitrary<uint64_t>());
    ownership.mSinceMs = *rc::gen::arbitrary<uint64_t>();
    if (*rc::gen::arbitrary<bool>()) {
      ownership.mMove =
        slot_move{ target_name(*name),
                   static_cast<move_reason>(*rc::gen::inRange(0, 5)) };
    }
  }
  RC_ASSERT(DecodeGroupRecord(EncodeGroupRecord(record), record.mRevision) ==
            record);
}

// Guards against a corrupted record that is accepted as valid.
RC_GTEST_PROP(GroupRecord, RefusesDamage, ())
{
  const group_record record = MakeLargeRecord(20);
  std::string text = EncodeGroupRecord(record);
  const size_t at = *rc::gen::inRange<size_t>(0, text.size());
  text[at] = *rc::gen::distinctFrom(rc::gen::inRange<char>(' ', '~'), text[at]);
  RC_ASSERT_THROWS_AS(DecodeGroupRecord(text, record.mRevision), parse_error);
}

// Guards against records that exceed the store's limit on values at the target
// scale of 65,536 slots in 64 groups.
TEST(GroupRecord, TakesAboutTwelveBytesASlot)
{
  constexpr uint32_t kSlots = 1024;
  const std::string text = EncodeGroupRecord(MakeLargeRecord(kSlots));
  RecordProperty("bytes", static_cast<int>(text.size()));
  EXPECT_LT(text.size(), kSlots * 14);
}

} // namespace parsleystair
