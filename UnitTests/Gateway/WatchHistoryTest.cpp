#include "Parsleystair/Gateway/WatchHistory.h"

#include <gtest/gtest.h>

// What a router keeps of the store's changes for other routers is bounded by
// bytes and keys, whatever the number of changes.

namespace parsleystair {

namespace {

item_change Change(const std::string& aKey,
                   uint64_t aRevision,
                   size_t aBytes,
                   char aByte = 'x')
{
  return { aKey, std::string(aBytes, aByte), store_revision(aRevision) };
}

watch_reply Reply(std::vector<item_change> aChanges, uint64_t aRevision)
{
  return { call_outcome::kDone,
           std::move(aChanges),
           store_revision(aRevision) };
}

} // namespace

// Guards against memory that grows with each change of a value, until all
// routers are over their limit at the same time.
TEST(WatchHistoryBytes, DoNotGrowWithTheChangesOfAKey)
{
  watch_history history;
  const time_point now{ 100s };
  uint64_t revision = 5;
  history.HandleReply(store_revision(4), Reply({}, revision), now);
  size_t afterFew = 0;
  constexpr uint64_t kFew = 100;
  constexpr uint64_t kChanges = 10'000;
  constexpr size_t kBytes = 1'000'000;
  for (uint64_t change = 1; change <= kChanges; ++change) {
    const store_revision after(revision++);
    history.HandleReply(
      after, Reply({ Change("config", revision, kBytes) }, revision), now);
    if (change == kFew) {
      afterFew = history.Bytes();
    }
  }
  EXPECT_LE(history.Bytes(), afterFew + afterFew / 10);
  // A router that is behind by any of the changes gets the latest one.
  const auto changes = history.ChangesAfter(store_revision(5)).mChanges;
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].mRevision, store_revision(revision));
}

// Guards against the loss of a change of one key beside many of another, and
// against changes out of their order.
TEST(WatchHistoryBytes, KeepTheLatestChangeOfEachKey)
{
  watch_history history;
  const time_point now{ 100s };
  history.HandleReply(store_revision(4),
                      Reply({ Change("a", 5, 1, '1'),
                              Change("b", 6, 1, '2'),
                              Change("a", 7, 1, '3'),
                              { "c", std::nullopt, store_revision(8) } },
                            8),
                      now);
  const std::vector<item_change> latest{
    Change("b", 6, 1, '2'),
    Change("a", 7, 1, '3'),
    { "c", std::nullopt, store_revision(8) }
  };
  EXPECT_EQ(history.ChangesAfter(store_revision(4)).mChanges, latest);
  EXPECT_EQ(history.ChangesAfter(store_revision(6)).mChanges.size(), 2U);
  EXPECT_EQ(history.ChangesAfter(store_revision(7)).mChanges.size(), 1U);
  EXPECT_TRUE(history.Covers(store_revision(4), now));
}

// Guards against a message of the relay that no router takes because of its
// length, and against changes that are left out silently in its place.
TEST(WatchHistoryBytes, FitIntoOneMessage)
{
  watch_history history;
  const time_point now{ 100s };
  std::vector<item_change> changes;
  constexpr uint64_t kKeys = 40;
  constexpr size_t kBytes = 400'000;
  for (uint64_t key = 1; key <= kKeys; ++key) {
    changes.push_back(Change(std::to_string(key), 4 + key, kBytes));
  }
  history.HandleReply(store_revision(4), Reply(changes, 4 + kKeys), now);
  EXPECT_FALSE(history.Covers(store_revision(4), now));
  ASSERT_TRUE(history.Covers(store_revision(3 + kKeys), now));
  uint64_t oldest = 4 + kKeys;
  while (history.Covers(store_revision(oldest - 1), now)) {
    --oldest;
  }
  const watch_reply all = history.ChangesAfter(store_revision(oldest));
  EXPECT_EQ(all.mChanges.size(), 4 + kKeys - oldest);
  EXPECT_GT(all.mChanges.size(), 1U);
  EXPECT_EQ(DecodeWatchReply(EncodeWatchReply({ all, 1ms })).mReply.mChanges,
            all.mChanges);
}

// Guards against a change that is left out silently: a read shows changes in
// the order of their keys, and one that falls out may be later than those kept.
TEST(WatchHistoryBytes, CoverNoRevisionBeforeALaterChangeThatFellOut)
{
  watch_history history;
  const time_point now{ 100s };
  constexpr size_t kBytes = 3'000'000;
  history.HandleReply(
    store_revision(4),
    Reply({ Change("a", 9, kBytes), Change("b", 6, kBytes) }, 9),
    now);
  EXPECT_FALSE(history.Covers(store_revision(8), now));
  history.HandleReply(
    store_revision(9), Reply({ Change("c", 10, kBytes) }, 10), now);
  EXPECT_FALSE(history.Covers(store_revision(8), now));
  EXPECT_TRUE(history.Covers(store_revision(9), now));
}

} // namespace parsleystair
