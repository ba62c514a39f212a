#include "Parsleystair/Http/SocketStream.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace parsleystair {

namespace {

/// Stream whose peer has always more to send.
class fast_stream : public stream_handler
{
public:
  explicit fast_stream(event_loop& aLoop)
  {
    int descriptors[2] = { -1, -1 };
    EXPECT_EQ(
      socketpair(
        AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, descriptors),
      0);
    mPeer = descriptors[0];
    mStream = std::make_unique<socket_stream>(
      aLoop, descriptors[1], stream_settings(), *this);
    Fill();
  }
  ~fast_stream() override { close(mPeer); }
  fast_stream(const fast_stream&) = delete;
  fast_stream& operator=(const fast_stream&) = delete;

  void HandleBytes(std::string_view aBytes) override
  {
    mReceived += aBytes.size();
  }
  void HandleEnd(stream_end /*aEnd*/) override {}
  void HandleTimeout() override {}

  void Fill() const
  {
    const std::string bytes(read_share::kMaxBytes, 'x');
    while (send(mPeer, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    }
  }

  /// Returns the number of bytes received since the last call.
  size_t TakeReceived() { return std::exchange(mReceived, 0); }

private:
  int mPeer = -1;
  std::unique_ptr<socket_stream> mStream;
  size_t mReceived = 0;
};

class read_share_test : public testing::Test
{
protected:
  /// Runs turns of the loop with `aStreams` streams, and returns the bytes that
  /// each of them received in the last one.
  std::vector<size_t> ReadInATurn(size_t aStreams)
  {
    constexpr int kTurns = 6;
    std::vector<std::unique_ptr<fast_stream>> streams;
    for (size_t index = 0; index < aStreams; ++index) {
      streams.push_back(std::make_unique<fast_stream>(mLoop));
    }
    std::vector<size_t> received;
    for (int turn = 0; turn < kTurns; ++turn) {
      received.clear();
      event_base_loop(mLoop.Base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
      for (const auto& stream : streams) {
        received.push_back(stream->TakeReceived());
        stream->Fill();
      }
    }
    return received;
  }

  event_loop mLoop;
};

} // namespace

// Guards against peers that send fast and keep the requests of others waiting
// while their bytes are parsed.
TEST_F(read_share_test, ManyFastPeersShareATurn)
{
  constexpr size_t kMaxTurnBytes = 512 * 1024;
  const std::vector<size_t> received = ReadInATurn(100);
  size_t sum = 0;
  for (const size_t bytes : received) {
    EXPECT_GT(bytes, 0U);
    sum += bytes;
  }
  EXPECT_LE(sum, kMaxTurnBytes);
}

// Guards against a share that stays small after the other connections have
// ended.
TEST_F(read_share_test, OnePeerIsReadInLargePieces)
{
  ReadInATurn(100);
  EXPECT_EQ(ReadInATurn(1), std::vector<size_t>{ read_share::kMaxBytes });
}

} // namespace parsleystair
