#include "StandIns/standin_platform/KeyValueCore.h"
#include "StandIns/standin_platform/KeyValueError.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace parsleystair {

namespace {

const kv_interval kAll{ std::string(1, '\0'), std::string(1, '\0') };

kv_transaction PutOf(const std::string& aKey,
                     const std::string& aValue,
                     uint64_t aLease = 0)
{
  return { {}, { kv_put{ aKey, aValue, aLease } }, {} };
}

kv_compare Compare(kv_compare_target aTarget,
                   kv_compare_result aResult,
                   uint64_t aNumber)
{
  return { aTarget, aResult, "k", aNumber, "" };
}

std::map<std::string, std::string> Contents(const key_value_core& aCore,
                                            uint64_t aRevision)
{
  std::map<std::string, std::string> contents;
  for (const kv_entry& entry : aCore.Range({ kAll, aRevision }).mEntries) {
    contents[entry.mKey] = entry.mValue;
  }
  return contents;
}

} // namespace

// Guards against a transaction whose writes get several revisions, or one that
// takes effect although a condition is false.
TEST(KeyValueCore, TransactionIsOneRevisionOrNothing)
{
  key_value_core core;
  core.Transact({ {}, { kv_put{ "k", "1" }, kv_put{ "l", "2" } }, {} });
  EXPECT_EQ(core.Head(), 2u);
  core.Transact(PutOf("k", "3"));
  using target = kv_compare_target;
  using result = kv_compare_result;
  const kv_compare wrong = Compare(target::kMod, result::kEqual, 2);
  const auto refused = core.Transact(
    { { wrong }, { kv_put{ "k", "9" } }, { kv_range{ { "k", "" } } } });
  EXPECT_FALSE(refused.mSucceeded);
  EXPECT_EQ(std::get<kv_range_result>(refused.mResults.at(0)).mEntries.at(0),
            (kv_entry{ "k", "3", 2, 3, 2, 0 }));
  EXPECT_EQ(core.Head(), 3u);
  EXPECT_TRUE(
    core
      .Transact({ { Compare(target::kVersion, result::kEqual, 2),
                    Compare(target::kCreate, result::kLess, 3),
                    Compare(target::kMod, result::kGreater, 2),
                    { target::kValue, result::kNotEqual, "k", 0, "x" },
                    { target::kMod, result::kEqual, "absent", 0, "" } },
                  { kv_delete{ { "k", "m" } } },
                  {} })
      .mSucceeded);
  EXPECT_TRUE(Contents(core, 0).empty());
  EXPECT_EQ(Contents(core, 3).size(), 2u);
}

// Guards against a refused call that changes part of the store.
TEST(KeyValueCore, RefusedTransactionHasNoEffect)
{
  key_value_core core;
  const std::string tooLong(key_value_core::kMaxValueBytes + 1, 'x');
  const std::vector<std::vector<kv_operation>> refused = {
    { kv_put{ "a", "1" }, kv_put{ "a", "2" } },
    { kv_put{ "a", "1" }, kv_delete{ { "a", "" } } },
    { kv_put{ "a", "1" }, kv_put{ "b", tooLong } },
    { kv_put{ "a", "1" }, kv_put{ "b", "2", 77 } },
    { kv_put{ "a", "1" }, kv_put{ "", "2" } },
    { kv_put{ "a", "1" }, kv_range{ kAll, 99 } },
  };
  for (const auto& operations : refused) {
    EXPECT_THROW(core.Transact({ {}, operations, {} }), key_value_error);
    EXPECT_EQ(core.Head(), 1u);
  }
}

// Guards against reads or watches that silently miss compacted changes.
TEST(KeyValueCore, CompactedRevisionsAreErrors)
{
  key_value_core core(3);
  for (int i = 0; i < 10; ++i) {
    core.Transact(PutOf("k", std::to_string(i)));
  }
  EXPECT_EQ(core.Head(), 11u);
  EXPECT_EQ(core.CompactRevision(), 8u);
  EXPECT_THROW((void)core.Range({ kAll, 7 }), key_value_error);
  EXPECT_THROW((void)core.EventsSince(7, kAll), key_value_error);
  EXPECT_THROW((void)core.Range({ kAll, 12 }), key_value_error);
  EXPECT_THROW(core.Compact(12), key_value_error);
  EXPECT_EQ(core.EventsSince(8, kAll).size(), 4u);
  EXPECT_EQ(Contents(core, 8).at("k"), "6");
}

// Guards against keys that outlive their lease or end with another's.
TEST(KeyValueCore, LeaseEndsWithItsKeys)
{
  key_value_core core;
  const time_point start{};
  const uint64_t kept = core.GrantLease(0, 2s, start);
  const uint64_t ended = core.GrantLease(7, 2s, start);
  core.Transact(PutOf("kept", "1", kept));
  core.Transact(PutOf("ended", "1", ended));
  core.Transact(PutOf("moved", "1", ended));
  core.Transact(PutOf("moved", "2", kept));
  EXPECT_EQ(core.KeepLeaseAlive(kept, start + 1s), duration(2s));
  const uint64_t before = core.Head();
  core.ExpireLeases(start + 2s);
  EXPECT_EQ(
    Contents(core, 0),
    (std::map<std::string, std::string>{ { "kept", "1" }, { "moved", "2" } }));
  const auto events = core.EventsSince(before + 1, kAll);
  ASSERT_EQ(events.size(), 1u);
  EXPECT_TRUE(events[0].IsDeleted());
  EXPECT_EQ(core.KeepLeaseAlive(ended, start + 2s), duration::zero());
  core.LapseLeases();
  EXPECT_TRUE(Contents(core, 0).empty());
  EXPECT_THROW(core.RevokeLease(kept), key_value_error);
}

// Guards against a store whose present, past and events differ from those of a
// plain map with a copy of each revision.
RC_GTEST_PROP(KeyValueCore, MatchesMapWithCopies, ())
{
  key_value_core core;
  std::map<uint64_t, std::map<std::string, std::string>> copies = { { 1, {} } };
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    std::map<std::string, std::string> contents = copies.at(core.Head());
    const std::string key(1, *rc::gen::inRange('a', 'e'));
    const std::string to(1, *rc::gen::inRange('a', 'f'));
    const int kind = *rc::gen::inRange(0, 10);
    if (kind < 6) {
      core.Transact(PutOf(key, std::to_string(i)));
      contents[key] = std::to_string(i);
    } else if (kind < 9) {
      core.Transact({ {}, { kv_delete{ { key, to } } }, {} });
      std::erase_if(contents, [&](const auto& aEntry) {
        return aEntry.first >= key && aEntry.first < to;
      });
    } else {
      core.Compact(*rc::gen::inRange(core.CompactRevision(), core.Head() + 1));
    }
    copies[core.Head()] = contents;
  }
  // Events replayed from the oldest copy lead to the newest.
  auto replayed = copies.at(core.CompactRevision());
  for (const kv_entry& event :
       core.EventsSince(core.CompactRevision() + 1, kAll)) {
    if (event.IsDeleted()) {
      replayed.erase(event.mKey);
    } else {
      replayed[event.mKey] = event.mValue;
    }
  }
  RC_ASSERT(replayed == copies.at(core.Head()));
  for (uint64_t revision = core.CompactRevision(); revision <= core.Head();
       ++revision) {
    RC_ASSERT(Contents(core, revision) == copies.at(revision));
  }
}

} // namespace parsleystair
