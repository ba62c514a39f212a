#include "Parsleystair/Gateway/PrefixSnapshot.h"

#include "Parsleystair/Core/Compression.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Gateway/WatchHistory.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

prefix_reply Read(std::vector<stored_item> aItems, uint64_t aRevision)
{
  return { call_outcome::kDone, std::move(aItems), store_revision(aRevision) };
}

watch_reply Reply(std::vector<item_change> aChanges, uint64_t aRevision)
{
  return { call_outcome::kDone,
           std::move(aChanges),
           store_revision(aRevision) };
}

} // namespace

// Guards against a router that starts with items that were changed or removed.
TEST(PrefixSnapshot, FollowsChanges)
{
  prefix_snapshot snapshot;
  EXPECT_FALSE(snapshot.IsComplete());
  snapshot.HandleRead(Read({ { "a", "1", store_revision(2) },
                             { "b", std::string("\xff\0", 2), {} },
                             { "c", "3", store_revision(4) } },
                           5));
  ASSERT_TRUE(snapshot.IsComplete());
  EXPECT_EQ(DecodePrefixReply(snapshot.Encoded()).mItems.size(), 3u);
  snapshot.HandleReply(store_revision(5),
                       Reply({ { "a", std::nullopt, store_revision(6) },
                               { "c", "4", store_revision(7) },
                               { "d", "5", store_revision(8) } },
                             9));
  ASSERT_TRUE(snapshot.IsComplete());
  const prefix_reply sent = DecodePrefixReply(snapshot.Encoded());
  EXPECT_EQ(sent.mOutcome, call_outcome::kDone);
  EXPECT_EQ(sent.mRevision, store_revision(9));
  const std::vector<stored_item> expected = {
    { "b", std::string("\xff\0", 2), {} },
    { "c", "4", store_revision(7) },
    { "d", "5", store_revision(8) },
  };
  EXPECT_EQ(sent.mItems, expected);
}

// Guards against a snapshot that lacks the changes between two watches, or
// mixes items of the lost and the present history of a restored store.
TEST(PrefixSnapshot, EndsWithAGap)
{
  for (const uint64_t after : { 4, 6 }) {
    prefix_snapshot snapshot;
    snapshot.HandleRead(Read({ { "a", "1", store_revision(2) } }, 5));
    snapshot.HandleReply(store_revision(after), Reply({}, 9));
    EXPECT_FALSE(snapshot.IsComplete());
  }
  prefix_snapshot snapshot;
  snapshot.HandleRead(Read({ { "a", "1", store_revision(2) } }, 5));
  watch_reply restored = Reply({}, 9);
  restored.mRevision = MakeRevision(store_era(2), 9);
  snapshot.HandleReply(store_revision(5), restored);
  EXPECT_FALSE(snapshot.IsComplete());
}

// Guards against a short message that unpacks to more than the machine has.
TEST(PrefixSnapshot, RefusesMessagesThatUnpackToTooMuch)
{
  const std::string zeros = Compress(std::string(9 * 1024 * 1024, '\0'));
  EXPECT_LT(zeros.size(), 100'000u);
  EXPECT_THROW(DecodePrefixReply(zeros), parse_error);
  EXPECT_THROW(DecodeWatchReply(zeros), parse_error);
  // An array of nulls takes sixteen bytes for each of one.
  constexpr size_t kNulls = 7 * 1024 * 1024;
  const std::string nulls = Compress(std::string("\x9a\x00\x70\x00\x00", 5) +
                                     std::string(kNulls, '\xf6'));
  EXPECT_THROW(DecodePrefixReply(nulls), parse_error);
  EXPECT_THROW(DecodeWatchReply(nulls), parse_error);
}

// Guards against a read of a relay whose changes its routers learn of seconds
// later.
TEST(PrefixSnapshot, ShowsTheChangesUntilARead)
{
  prefix_snapshot snapshot;
  EXPECT_FALSE(snapshot.ChangesUntil(Read({}, 9)));
  snapshot.HandleRead(Read({ { "a", "1", store_revision(2) },
                             { "b", "1", store_revision(3) },
                             { "c", "1", store_revision(4) } },
                           5));
  const auto changes =
    snapshot.ChangesUntil(Read({ { "a", "1", store_revision(2) },
                                 { "b", "2", store_revision(7) },
                                 { "d", "1", store_revision(8) } },
                               9));
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->mRevision, store_revision(9));
  const std::vector<item_change> expected{
    { "b", "2", store_revision(7) },
    { "d", "1", store_revision(8) },
    { "c", std::nullopt, store_revision(9) }
  };
  EXPECT_EQ(changes->mChanges, expected);
  EXPECT_FALSE(snapshot.ChangesUntil(Read({}, 4)));
}

// Guards against a malformed response that ends a starting router.
TEST(PrefixSnapshot, RefusesMalformedText)
{
  const std::string whole =
    EncodePrefixReply(Read({ { "a", "1", store_revision(2) } }, 5));
  for (size_t length = 0; length < whole.size(); ++length) {
    EXPECT_THROW(DecodePrefixReply(whole.substr(0, length)), parse_error);
  }
}

} // namespace parsleystair
