#include "platform/KvStore.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpServer.h"

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

} // namespace parsleystair
