#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Http/HttpConnection.h"
#include "Parsleystair/Http/LossDetector.h"
#include "UnitTests/Support/RawPeer.h"

#include <future>
#include <thread>

namespace parsleystair {

namespace {

/// How a peer's connection ends.
enum class end_kind
{
  kClose,
  /// The peer closes its sending side and reads on.
  kFinishSending,
  kReset,
  /// The system gives up a peer that takes no bytes.
  kSystemTimeout,
};

enum class request_part
{
  /// The peer has read the whole request.
  kRead,
  /// The peer's system has the whole request, the peer has read nothing of it.
  kUnread,
  /// A part of the request is not sent, as the peer takes no more bytes.
  kPartlySent,
};

enum class response_part
{
  kNothing,
  kHead,
  kHeadAndSomeBody,
};

enum class framing
{
  kLength,
  kChunks,
  kNone,
};

constexpr duration kUserTimeout = 1s;
/// Longer than the time that events on loopback take.
constexpr duration kSettleTime = 30ms;

std::string ResponseText(response_part aPart, framing aFraming)
{
  if (aPart == response_part::kNothing) {
    return "";
  }
  std::string text = "HTTP/1.1 200 OK\r\n";
  text += aFraming == framing::kLength   ? "Content-Length: 100\r\n"
          : aFraming == framing::kChunks ? "Transfer-Encoding: chunked\r\n"
                                         : "";
  text += "\r\n";
  if (aPart == response_part::kHeadAndSomeBody) {
    text += aFraming == framing::kChunks ? "64\r\npart" : "part";
  }
  return text;
}

struct end_case
{
  end_kind mEnd;
  request_part mRequest;
  response_part mResponse;
  framing mFraming;
  /// The client's loop stands still from before the response until the end.
  bool mStandsStill;

  /// Whether the client can know that the response is whole.
  [[nodiscard]] bool IsWhole() const
  {
    const bool isOrderly =
      (mEnd == end_kind::kClose && mRequest == request_part::kRead) ||
      (mEnd == end_kind::kFinishSending &&
       mRequest != request_part::kPartlySent);
    return isOrderly && mFraming == framing::kNone &&
           mResponse != response_part::kNothing;
  }

  [[nodiscard]] std::string Description() const
  {
    return "end " + std::to_string(static_cast<int>(mEnd)) + ", request " +
           std::to_string(static_cast<int>(mRequest)) + ", response " +
           std::to_string(static_cast<int>(mResponse)) + ", framing " +
           std::to_string(static_cast<int>(mFraming)) +
           (mStandsStill ? ", loop stands still" : "");
  }
};

std::vector<end_case> AllEndCases()
{
  std::vector<end_case> cases;
  for (const auto end : { end_kind::kClose,
                          end_kind::kFinishSending,
                          end_kind::kReset,
                          end_kind::kSystemTimeout }) {
    for (const auto request : { request_part::kRead,
                                request_part::kUnread,
                                request_part::kPartlySent }) {
      // The system only times out while bytes wait for the peer.
      if (end == end_kind::kSystemTimeout &&
          request != request_part::kPartlySent) {
        continue;
      }
      for (const auto response : { response_part::kNothing,
                                   response_part::kHead,
                                   response_part::kHeadAndSomeBody }) {
        for (const auto framing :
             { framing::kLength, framing::kChunks, framing::kNone }) {
          for (const bool standsStill : { false, true }) {
            cases.push_back({ end, request, response, framing, standsStill });
          }
        }
      }
    }
  }
  return cases;
}

void RunFor(event_loop& aLoop, duration aTime)
{
  timer end;
  end.StartOnce(aLoop, aTime, [&] { aLoop.Stop(); });
  aLoop.Run();
}

void EndConnection(raw_peer& aPeer, end_kind aEnd)
{
  switch (aEnd) {
    case end_kind::kClose:
      aPeer.Close();
      break;
    case end_kind::kFinishSending:
      aPeer.FinishSending();
      break;
    case end_kind::kReset:
      aPeer.Reset();
      break;
    case end_kind::kSystemTimeout:
      std::this_thread::sleep_for(kUserTimeout * 3);
      break;
  }
  std::this_thread::sleep_for(kSettleTime);
}

http_result PlayCase(const end_case& aCase)
{
  event_loop loop;
  raw_peer peer;
  http_connection_settings settings;
  settings.mAcceptsUnframedResponses = true;
  if (aCase.mEnd == end_kind::kSystemTimeout) {
    settings.mStream.mUserTimeout = kUserTimeout;
  }
  http_connection connection(loop, "127.0.0.1", peer.Port(), settings);
  http_request request;
  request.mMethod = "POST";
  request.mPath = "/";
  const size_t bytes =
    aCase.mRequest == request_part::kPartlySent ? 16 * 1024 * 1024 : 100;
  request.mBody = std::string(bytes, 'b');
  std::optional<http_result> result;
  connection.Call(request, 10s, [&](http_result aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  RunFor(loop, kSettleTime);
  peer.Accept();
  if (aCase.mRequest == request_part::kRead) {
    peer.ReadArrived();
  }
  peer.Send(ResponseText(aCase.mResponse, aCase.mFraming));
  if (!aCase.mStandsStill) {
    RunFor(loop, kSettleTime);
  }
  EndConnection(peer, aCase.mEnd);
  if (!result) {
    loop.Run();
  }
  return *result;
}

/// Records what a stream tells its owner.
struct recording_handler : stream_handler
{
  void HandleBytes(std::string_view aBytes) override { mBytes += aBytes; }
  void HandleEnd(stream_end aEnd) override
  {
    mEnd = mEnd.value_or(aEnd);
    mLoop.Stop();
  }
  void HandleTimeout() override {}

  explicit recording_handler(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  event_loop& mLoop;
  std::string mBytes;
  std::optional<stream_end> mEnd;
};

} // namespace

// Guards against a part of a response that is taken for a whole one. An error
// of a connection is reported by its system only once: a write that gets it
// leaves an end to the next read that looks like an orderly one, and ends a
// response without a length.
TEST(ConnectionEnd, OnlyAnOrderlyEndCompletesAResponse)
{
  // The cases wait most of the time.
  std::vector<std::future<http_result>> results;
  const std::vector<end_case> cases = AllEndCases();
  for (const end_case& each : cases) {
    results.push_back(
      std::async(std::launch::async, [&each] { return PlayCase(each); }));
  }
  for (size_t index = 0; index < cases.size(); ++index) {
    const end_case& each = cases[index];
    SCOPED_TRACE(each.Description());
    const http_result result = results[index].get();
    EXPECT_EQ(result.mStatus,
              each.IsWhole() ? http_status::kResponded
                             : http_status::kNoResponse);
    EXPECT_FALSE(result.mTimedOut);
    if (!each.IsWhole()) {
      EXPECT_EQ(result.mFailure,
                each.mResponse == response_part::kNothing
                  ? http_failure::kClosed
                  : http_failure::kCut);
    }
  }
}

// Guards against a reset whose error is taken by a write, or by a look at the
// input that has arrived, and that reads as an orderly end from then on. The
// streams of callers, targets, routers and the store are all of this class.
TEST(ConnectionEnd, ResetIsNoOrderlyEndInAnyOrderOfCalls)
{
  enum class taker
  {
    kRead,
    kWrite,
    kLook,
  };
  for (const bool isReset : { false, true }) {
    for (const taker first : { taker::kRead, taker::kWrite, taker::kLook }) {
      SCOPED_TRACE(std::to_string(static_cast<int>(first)) +
                   (isReset ? ", reset" : ", orderly"));
      event_loop loop;
      raw_peer peer;
      recording_handler handler(loop);
      socket_stream stream(loop, "127.0.0.1", peer.Port(), {}, handler);
      RunFor(loop, kSettleTime);
      peer.Accept();
      EndConnection(peer,
                    isReset ? end_kind::kReset : end_kind::kFinishSending);
      if (first == taker::kWrite) {
        stream.Write("bytes");
      } else if (first == taker::kLook) {
        EXPECT_TRUE(stream.HasEnded());
      }
      loop.Run();
      EXPECT_EQ(handler.mEnd,
                isReset ? stream_end::kBroken : stream_end::kClosed);
    }
  }
}

// Guards against a target that is taken for lost because it answers before it
// reads a long request: its system acknowledges all that it is sent, and takes
// no more bytes.
TEST(ConnectionEnd, PeerThatDoesNotReadForAWhileIsNotLost)
{
  constexpr size_t kBytes = 16 * 1024 * 1024;
  event_loop loop;
  raw_peer peer;
  recording_handler handler(loop);
  socket_stream stream(
    loop, "127.0.0.1", peer.Port(), { 2s, 0ms, 200ms }, handler);
  stream.Write(std::string(kBytes, 'b'));
  RunFor(loop, kSettleTime);
  peer.Accept();
  RunFor(loop, 2500ms);
  EXPECT_FALSE(handler.mEnd);
  size_t received = 0;
  const time_point end = MonotonicNow() + 5s;
  while (received < kBytes && !handler.mEnd && MonotonicNow() < end) {
    received += peer.ReadArrived();
    RunFor(loop, 1ms);
  }
  EXPECT_EQ(received, kBytes);
  EXPECT_FALSE(handler.mEnd);
}

// Guards against a peer that counts as lost while it acknowledges what it is
// sent, and against a lost one that is not noticed in time.
TEST(LossDetector, OnlyMissingAcknowledgementsThatAreDueCount)
{
  constexpr duration kLimit = 1s;
  constexpr duration kLong = 1h;
  struct detector_case
  {
    const char* mName;
    /// Signs of each check, one every interval. `mSinceAcknowledgement` of the
    /// first is the time until the first check; it grows with each check unless
    /// `mAcknowledges`.
    peer_signs mSigns;
    bool mAcknowledges;
    bool mIsLost;
  };
  const std::vector<detector_case> cases = {
    { "lost with bytes in flight", { 3, 0, 10ms }, false, true },
    { "lost after an idle time", { 3, 0, kLong }, false, true },
    { "lost while it was full", { 0, 2, 600ms }, false, true },
    { "slow with bytes in flight", { 3, 0, 100ms }, true, false },
    { "full, last probe answered", { 0, 0, kLong }, false, false },
    { "full, one probe unanswered", { 0, 1, 900ms }, false, false },
  };
  for (const detector_case& each : cases) {
    SCOPED_TRACE(each.mName);
    loss_detector detector(kLimit);
    const duration interval = detector.CheckInterval();
    const time_point start{ 2 * kLong };
    peer_signs signs = each.mSigns;
    bool isLost = false;
    duration lostAfter{};
    for (time_point now = start; now < start + 5s && !isLost; now += interval) {
      isLost = detector.Check(signs, now);
      lostAfter = now - start;
      signs.mSinceAcknowledgement += each.mAcknowledges ? 0ms : interval;
    }
    EXPECT_EQ(isLost, each.mIsLost);
    if (isLost) {
      EXPECT_GE(lostAfter, kLimit);
      EXPECT_LE(lostAfter, kLimit + 2 * interval);
    }
  }
}

} // namespace parsleystair
