#include "Parsleystair/Platform/EtcdStore.h"
#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_platform/PlatformServer.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// The timeout is longer than any test, so that a busy machine fails none.
etcd_store_settings StoreSettings(uint16_t aPort)
{
  etcd_store_settings settings;
  settings.mPort = aPort;
  settings.mTimeout = 60s;
  settings.mFirstBackoff = 1ms;
  settings.mMaxBackoff = 5ms;
  return settings;
}

platform_server_settings ServerSettings()
{
  platform_server_settings settings;
  settings.mPort = 0;
  settings.mListLag = 0ms;
  return settings;
}

transaction_request PutAt(const std::string& aValue, uint64_t aRevision)
{
  return { { { "key", store_revision(aRevision) } },
           { { "key", aValue } },
           {} };
}

/// A client and the stand-in on one loop.
class etcd_store_test : public testing::Test
{
protected:
  etcd_store_test() { UseStore(StoreSettings(mServer.Port())); }

  void UseStore(const etcd_store_settings& aSettings)
  {
    mStore = std::make_unique<etcd_store>(mLoop, aSettings);
  }

  /// For tests in which a call gets no answer.
  void UseShortTimeout()
  {
    etcd_store_settings settings = StoreSettings(mServer.Port());
    settings.mTimeout = 100ms;
    UseStore(settings);
  }

  void Fault(const std::string& aBody)
  {
    mServer.ChangeFaults(ParseFaultChange(aBody));
  }

  range_reply Range(const range_request& aRequest)
  {
    return Wait<range_reply>(
      [&](auto aCallback) { mStore->Range(aRequest, aCallback); });
  }

  transaction_reply Transact(const transaction_request& aRequest)
  {
    return Wait<transaction_reply>(
      [&](auto aCallback) { mStore->Transact(aRequest, aCallback); });
  }

  vm_list_reply ListVms()
  {
    return Wait<vm_list_reply>(
      [&](auto aCallback) { mStore->ListVms(aCallback); });
  }

  /// Runs the loop for a while.
  void Sleep(duration aDuration)
  {
    timer end;
    end.StartOnce(mLoop, aDuration, [this] { mLoop.Stop(); });
    mLoop.Run();
  }

  /// Reads again until the store answers, as a poll does.
  range_reply ReadUntilAnswered()
  {
    for (;;) {
      Sleep(5ms);
      range_reply reply = Range({ "key", "", {}, false });
      if (reply.mStatus == store_status::kReplied) {
        return reply;
      }
    }
  }

  template<typename Reply, typename Starter>
  Reply Wait(Starter aStarter)
  {
    int calls = 0;
    Reply reply;
    aStarter([&](Reply aReply) {
      reply = std::move(aReply);
      ++calls;
      mLoop.Stop();
    });
    EXPECT_EQ(calls, 0) << "the callback ran inside the call";
    mLoop.Run();
    EXPECT_EQ(calls, 1);
    return reply;
  }

  event_loop mLoop;
  platform_server mServer{ mLoop, ServerSettings() };
  std::unique_ptr<etcd_store> mStore;
};

} // namespace

// Guards against a poll that misses a change or reads keys it did not ask for.
TEST_F(etcd_store_test, ReadsOnlyNewerKeysOfTheRange)
{
  const std::string bytes("\0\xff zero", 7);
  const auto first = Transact({ {}, { { "a/1", bytes }, { "b", "x" } }, {} });
  const auto second = Transact({ {}, { { "a/2", "y" } }, {} });
  EXPECT_EQ(second.mStoreRevision.Value(), first.mStoreRevision.Value() + 1);
  EXPECT_EQ(
    Range({ "a/", "a0", {}, false }).mEntries,
    (std::vector<store_entry>{ { "a/1", bytes, first.mStoreRevision },
                               { "a/2", "y", second.mStoreRevision } }));
  EXPECT_EQ(Range({ "a/", "a0", second.mStoreRevision, true }).mEntries,
            (std::vector<store_entry>{ { "a/2", "", second.mStoreRevision } }));
  EXPECT_TRUE(Transact({ {}, {}, { "a/2" } }).mSucceeded);
  EXPECT_TRUE(Range({ "a/2", "", {}, false }).mEntries.empty());
}

// Guards against two writers that both win a compare-and-swap.
TEST_F(etcd_store_test, OneOfManyRacingWritersWins)
{
  constexpr int kWriters = 20;
  int ended = 0;
  int won = 0;
  for (int i = 0; i < kWriters; ++i) {
    mStore->Transact(PutAt(std::to_string(i), 0),
                     [&](transaction_reply aReply) {
                       EXPECT_EQ(aReply.mStatus, store_status::kReplied);
                       won += aReply.mSucceeded ? 1 : 0;
                       if (++ended == kWriters) {
                         mLoop.Stop();
                       }
                     });
  }
  mLoop.Run();
  EXPECT_EQ(won, 1);
}

// Guards against a write that took effect and is reported as failed.
TEST_F(etcd_store_test, WriteWithLostAnswerIsUnknownAndFoundByReading)
{
  Fault(R"({"loseAnswers":1})");
  EXPECT_EQ(Transact(PutAt("v", 0)).mStatus, store_status::kUnknown);
  const range_reply found = ReadUntilAnswered();
  ASSERT_EQ(found.mEntries.size(), 1u);
  EXPECT_EQ(found.mEntries[0].mValue, "v");
}

// Guards against an outage that counts as "not sent" or that is never found to
// be over.
TEST_F(etcd_store_test, OutageIsUnknownAndItsEndIsFound)
{
  UseShortTimeout();
  Fault(R"({"outage":true})");
  EXPECT_EQ(Transact(PutAt("v", 0)).mStatus, store_status::kUnknown);
  EXPECT_TRUE(mStore->IsFailing());
  Fault(R"({"outage":false})");
  EXPECT_TRUE(ReadUntilAnswered().mEntries.empty());
  EXPECT_FALSE(mStore->IsFailing());
}

// Guards against a closed port that makes a write wait to be settled.
TEST_F(etcd_store_test, RefusedConnectionIsNotSent)
{
  Fault(R"({"refuse":true})");
  EXPECT_EQ(Transact(PutAt("v", 0)).mStatus, store_status::kNotSent);
  Fault(R"({"refuse":false})");
  EXPECT_TRUE(ReadUntilAnswered().mEntries.empty());
}

// Guards against a call that waits longer than its timeout, and against the
// belief that a write which timed out has no effect later.
TEST_F(etcd_store_test, SlowWriteIsUnknownAndMayTakeEffectLater)
{
  UseShortTimeout();
  Fault(R"({"delayMs":2000})");
  EXPECT_EQ(Transact(PutAt("v", 0)).mStatus, store_status::kUnknown);
  EXPECT_EQ(mServer.Core().Head(), 1u);
  while (mServer.Core().Head() == 1) {
    Sleep(10ms);
  }
  Fault(R"({"delayMs":0})");
  EXPECT_EQ(ReadUntilAnswered().mEntries.size(), 1u);
}

// Guards against a VM that grows its share of the platform's calls, and against
// reads that use up the writes' share.
TEST_F(etcd_store_test, CallsOverTheCapAreNotSent)
{
  etcd_store_settings settings = StoreSettings(mServer.Port());
  settings.mReadsPerSecond = 0.001;
  settings.mReadBurst = 3;
  UseStore(settings);
  int refused = 0;
  for (int i = 0; i < 5; ++i) {
    const range_reply reply = Range({ "key", "", {}, false });
    refused += reply.mStatus == store_status::kNotSent ? 1 : 0;
  }
  EXPECT_EQ(refused, 2);
  EXPECT_EQ(mStore->Counters().mRefusedByCap, 2u);
  EXPECT_FALSE(mStore->IsFailing());
  EXPECT_TRUE(Transact(PutAt("v", 0)).mSucceeded);
}

// Guards against a value that the platform refuses after it crossed the link.
TEST_F(etcd_store_test, TooLongValueIsNotSent)
{
  const std::string longest(etcd_store::kMaxValueBytes, 'x');
  EXPECT_TRUE(Transact(PutAt(longest, 0)).mSucceeded);
  EXPECT_EQ(Range({ "key", "", {}, false }).mEntries.at(0).mValue, longest);
  EXPECT_EQ(Transact(PutAt(longest + "x", 2)).mStatus, store_status::kNotSent);
  EXPECT_EQ(mStore->Counters().mRefusedTooLarge, 1u);
}

// Guards against counters that don't add up to the calls.
TEST_F(etcd_store_test, CountersAddUp)
{
  Transact(PutAt("v", 0));
  Range({ "key", "", {}, false });
  ListVms();
  Fault(R"({"loseAnswers":1.0})");
  Range({ "key", "", {}, false });
  Fault(R"({"refuse":true})");
  Sleep(5ms);
  Range({ "key", "", {}, false });
  const store_counters& counters = mStore->Counters();
  EXPECT_EQ(counters.mReads, 3u);
  EXPECT_EQ(counters.mAnswered, 3u);
  EXPECT_EQ(counters.mUnknown, 1u);
  EXPECT_EQ(counters.mNotSent, 1u);
  EXPECT_EQ(counters.mMalformed, 0u);
  EXPECT_GT(counters.mBytesSent, 0u);
  EXPECT_GT(counters.mBytesReceived, 0u);
}

// Guards against a VM list that shows changes at once, and against lost fields.
TEST_F(etcd_store_test, VmListLagsBehind)
{
  const listed_vm vm{
    vm_name("a1"), "127.0.0.1", 7000, failure_domain_name("asti-a"), true
  };
  mServer.Vms().Put(vm, 0ms, MonotonicNow());
  EXPECT_EQ(ListVms().mVms, std::vector<listed_vm>{ vm });
  Fault(R"({"lagMs":600000})");
  EXPECT_TRUE(ListVms().mVms.empty());
}

// Guards against a crash on answers that aren't the store's, and against such
// an answer that counts as a result.
TEST(EtcdStore, UnusableAnswersAreUnknownAndCounted)
{
  event_loop loop;
  http_response answer;
  http_server server(loop, {}, [&](exchange_id aId, const http_request&) {
    server.Respond(aId, answer);
  });
  server.Listen("127.0.0.1", 0);
  etcd_store_settings settings = StoreSettings(server.Port());
  settings.mMaxBackoff = settings.mFirstBackoff = 1us;
  etcd_store store(loop, settings);
  const std::string entry = R"({"header":{"revision":"3"},"kvs":[{"key":)";
  uint64_t malformed = 0;
  for (const auto& [status, body] :
       std::vector<std::pair<uint32_t, std::string>>{
         { 200, "" },
         { 200, "<html>" },
         { 200, "[]" },
         { 200, R"({"header":{}})" },
         { 200, R"({"header":{"revision":"-1"}})" },
         { 200, R"({"header":{"revision":"0"}})" },
         { 200, R"({"header":{"revision":"99999999999999999999"}})" },
         { 200, R"({"header":{"revision":"3"},"kvs":5})" },
         { 200, R"({"header":{"revision":"3"},"more":true})" },
         { 200, entry + R"("a","mod_revision":"1"}]})" },
         { 200, entry + R"("YQ==","mod_revision":"x"}]})" },
         { 200, entry + R"("YQ=="}]})" },
         { 503, R"({"header":{"revision":"3"}})" } }) {
    answer = { status, {}, body };
    range_reply reply;
    timer wait;
    wait.StartOnce(loop, 1ms, [&] {
      store.Range({ "a", "", {}, false }, [&](range_reply aReply) {
        reply = std::move(aReply);
        loop.Stop();
      });
    });
    loop.Run();
    EXPECT_EQ(reply.mStatus, store_status::kUnknown) << body;
    EXPECT_EQ(store.Counters().mMalformed, ++malformed) << body;
  }
}

} // namespace parsleystair
