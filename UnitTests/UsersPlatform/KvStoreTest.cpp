#include "platform/KvStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpServer.h"
#include "StandIns/standin_users_platform/KvServer.h"

#include <gtest/gtest.h>

namespace parsleystair {

namespace {

/// Server that sends the response to a read in pieces.
class slow_response_server
{
public:
  slow_response_server(event_loop& aLoop,
                       duration aPieceInterval,
                       size_t aPieces)
    : mLoop(aLoop)
    , mPieceInterval(aPieceInterval)
    , mPiecesLeft(aPieces)
    , mServer(aLoop, {}, [this](exchange_id aExchange, const http_request&) {
      mServer.StartStream(aExchange, { 200, {}, "" });
      mServer.SendChunk(aExchange, R"({"items":[],"store_revision":7)");
      mTimer.StartRepeating(
        mLoop, mPieceInterval, [this, aExchange] { SendPiece(aExchange); });
    })
  {
    mServer.Listen("127.0.0.1", 0);
  }

  [[nodiscard]] uint16_t Port() const { return mServer.Port(); }

private:
  void SendPiece(exchange_id aExchange)
  {
    if (mPiecesLeft-- > 0) {
      mServer.SendChunk(aExchange, std::string(10, ' '));
      return;
    }
    mTimer.Cancel();
    mServer.SendChunk(aExchange, "}");
    mServer.EndStream(aExchange);
  }

  event_loop& mLoop;
  duration mPieceInterval;
  size_t mPiecesLeft;
  http_server mServer;
  timer mTimer;
};

call_outcome ReadOutcome(event_loop& aLoop, uint16_t aPort)
{
  platform::kv_store store(aLoop, "127.0.0.1", aPort);
  call_outcome outcome = call_outcome::kConflict;
  store.ReadPrefix("op/", [&](const prefix_reply& aReply) {
    outcome = aReply.mOutcome;
    aLoop.Stop();
  });
  aLoop.Run();
  return outcome;
}

/// A store that can be restored from a copy, and a client of it.
class restored_kv_store : public testing::Test
{
protected:
  restored_kv_store()
    : mServer(mLoop)
  {
    mServer.Listen("127.0.0.1", 0);
    mStore.emplace(mLoop, "127.0.0.1", mServer.Port());
    mStore->OnEraChange(
      [this](const store_era& aEra) { mEras.push_back(aEra); });
  }

  prefix_reply Read()
  {
    prefix_reply read;
    mStore->ReadPrefix("a", [&](const prefix_reply& aReply) {
      read = aReply;
      mLoop.Stop();
    });
    mLoop.Run();
    return read;
  }

  watch_reply Watch(store_revision aAfter)
  {
    watch_reply watched;
    mStore->Watch("a", aAfter, 100ms, [&](const watch_reply& aReply) {
      watched = aReply;
      mLoop.Stop();
    });
    mLoop.Run();
    return watched;
  }

  write_reply Write(const std::string& aKey, store_revision aExpected)
  {
    conditional_write write;
    write.mConditions = { { aKey, aExpected } };
    write.mWrites = { { aKey, "value", lease_id(0) } };
    write_reply written;
    mStore->Write(write, [&](const write_reply& aReply) {
      written = aReply;
      mLoop.Stop();
    });
    mLoop.Run();
    return written;
  }

  event_loop mLoop;
  kv_server mServer;
  std::optional<platform::kv_store> mStore;
  std::vector<store_era> mEras;
};

} // namespace

// Guards against reads that time out and restart forever when all routers
// restart at once and saturate the link to the store.
TEST(KvStore, AcceptsASlowResponse)
{
  event_loop loop;
  const slow_response_server server(loop, 300ms, 6);
  EXPECT_EQ(ReadOutcome(loop, server.Port()), call_outcome::kDone);
}

// Guards against a read that waits forever for the rest of a response.
TEST(KvStore, FailsAStalledResponse)
{
  event_loop loop;
  const slow_response_server server(loop, 10s, 1);
  const time_point start = MonotonicNow();
  EXPECT_EQ(ReadOutcome(loop, server.Port()), call_outcome::kUnknown);
  EXPECT_LT(MonotonicNow() - start, 2s);
}

// Guards against revisions of a restored store that are taken for older ones.
TEST_F(restored_kv_store, RevisionsOfALaterEraAreHigher)
{
  mServer.Save();
  mServer.Put("a", "1");
  const store_revision lost = Read().mRevision;
  mServer.Restore();
  const prefix_reply read = Read();
  EXPECT_GT(read.mRevision, lost);
  EXPECT_LT(NumberOf(read.mRevision), NumberOf(lost));
  EXPECT_EQ(mEras, std::vector{ store_era(2) });
  EXPECT_EQ(mStore->Era(), store_era(2));
}

// Guards against changes that a watch misses because its revision exists again
// after a restore.
TEST_F(restored_kv_store, WatchFromAnEarlierEraIsGone)
{
  mServer.Save();
  mServer.Put("a", "1");
  const store_revision lost = Read().mRevision;
  mServer.Restore();
  mServer.Put("a", "2");
  mServer.Put("b", "3");
  // The first watch shows the new era, the second is sent in it.
  EXPECT_EQ(Watch(lost).mOutcome, call_outcome::kGone);
  EXPECT_EQ(Watch(lost).mOutcome, call_outcome::kGone);
  EXPECT_EQ(Watch(Read().mRevision).mOutcome, call_outcome::kDone);
}

// Guards against a write that takes effect because its condition holds by
// accident: the revision was assigned again after a restore.
TEST_F(restored_kv_store, ConditionOnARevisionOfAnEarlierEraDoesNotHold)
{
  mServer.Save();
  mServer.Put("a", "lost");
  const store_revision lost = Read().mItems.at(0).mRevision;
  mServer.Restore();
  mServer.Put("a", "other");
  const store_revision current = Read().mItems.at(0).mRevision;
  ASSERT_EQ(NumberOf(current), NumberOf(lost));
  EXPECT_EQ(Write("a", lost).mOutcome, call_outcome::kConflict);
  EXPECT_EQ(mServer.Get("a"), "other");
  EXPECT_EQ(Write("a", current).mOutcome, call_outcome::kDone);
}

// Guards against a write that was decided before a restore and counts as done
// after it.
TEST_F(restored_kv_store, OutcomeOfAWriteAcrossARestoreIsUnknown)
{
  Read();
  mServer.Save();
  mServer.Restore();
  EXPECT_EQ(Write("a", store_revision(0)).mOutcome, call_outcome::kUnknown);
}

// Guards against an answer from before a restore that arrives after it.
TEST(KvStore, AnswerOfAnEarlierEraChangesNothing)
{
  event_loop loop;
  uint32_t answers = 0;
  http_server server(loop, {}, [&](exchange_id aExchange, const http_request&) {
    const std::string era = ++answers == 1 ? "3" : "2";
    server.Respond(
      aExchange,
      { 200, { { "Store-Era", era } }, R"({"items":[],"store_revision":7})" });
  });
  server.Listen("127.0.0.1", 0);
  platform::kv_store store(loop, "127.0.0.1", server.Port());
  std::vector<call_outcome> outcomes;
  const auto read = [&] {
    store.ReadPrefix("op/", [&](const prefix_reply& aReply) {
      outcomes.push_back(aReply.mOutcome);
      loop.Stop();
    });
    loop.Run();
  };
  read();
  read();
  EXPECT_EQ(outcomes,
            (std::vector{ call_outcome::kDone, call_outcome::kUnknown }));
  EXPECT_EQ(store.Era(), store_era(3));
}

} // namespace parsleystair
