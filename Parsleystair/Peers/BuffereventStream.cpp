#include "Parsleystair/Peers/BuffereventStream.h"

#include "Parsleystair/Core/SystemAddress.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/vector.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace parsleystair {

namespace {

// Bytes read ahead of the reader. A message is copied out as it arrives, so
// this bounds the memory of a connection besides the message itself.
constexpr size_t kReadAheadBytes = 256 * 1024;

// Waiting output at which a connection is given up: two of the largest
// messages. The peer isn't reading then.
constexpr size_t kMaxOutputBytes = 8 * 1024 * 1024;

timeval ToTimeval(duration aDuration)
{
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval value{};
  value.tv_sec = aDuration.count() / kMicrosecondsPerSecond;
  value.tv_usec = aDuration.count() % kMicrosecondsPerSecond;
  return value;
}

// Kj's interfaces have no virtual destructor; kj never deletes through them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// kj's byte stream over a bufferevent.
class bufferevent_stream final : public kj::AsyncIoStream
{
public:
  bufferevent_stream(event_loop& aLoop,
                     int aDescriptor,
                     const stream_limits& aLimits,
                     std::function<void()> aOnBytes)
    : mOnBytes(std::move(aOnBytes))
    , mBuffer(bufferevent_socket_new(aLoop.Base(),
                                     aDescriptor,
                                     BEV_OPT_CLOSE_ON_FREE))
  {
    KJ_REQUIRE(mBuffer != nullptr, "libevent could not create a bufferevent");
    bufferevent_setcb(mBuffer, HandleRead, HandleWrite, HandleEvent, this);
    bufferevent_setwatermark(mBuffer, EV_READ, 0, kReadAheadBytes);
    const timeval read = ToTimeval(aLimits.mRead);
    const timeval write = ToTimeval(aLimits.mWrite);
    bufferevent_set_timeouts(mBuffer,
                             aLimits.mRead > duration::zero() ? &read : nullptr,
                             aLimits.mWrite > duration::zero() ? &write
                                                               : nullptr);
  }

  ~bufferevent_stream() noexcept(false)
  {
    bufferevent_setcb(mBuffer, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(mBuffer);
  }

  KJ_DISALLOW_COPY(bufferevent_stream);

  /// Starts reading on a connected socket.
  void Start()
  {
    // Calls and replies are small, and Nagle's algorithm would hold them back.
    const int enabled = 1;
    ::setsockopt(bufferevent_getfd(mBuffer),
                 IPPROTO_TCP,
                 TCP_NODELAY,
                 &enabled,
                 sizeof(enabled));
    bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  }

  kj::Promise<void> Connect(const std::string& aHost, uint16_t aPort)
  {
    system_address address = ParseSystemAddress(aHost, aPort);
    auto pair = kj::newPromiseAndFulfiller<void>();
    mConnected = kj::mv(pair.fulfiller);
    if (bufferevent_socket_connect(mBuffer, address.Get(), address.mLength) !=
        0) {
      return KJ_EXCEPTION(DISCONNECTED, "connecting failed");
    }
    return kj::mv(pair.promise);
  }

  kj::Promise<size_t> tryRead(void* aBuffer,
                              size_t aMinBytes,
                              size_t aMaxBytes) override
  {
    KJ_REQUIRE(mReader.get() == nullptr, "one read at a time");
    mReadBuffer = static_cast<char*>(aBuffer);
    mReadMin = aMinBytes;
    mReadMax = aMaxBytes;
    mReadCount = 0;
    TakeInput();
    if (mReadCount >= mReadMin || mEnded) {
      return mReadCount;
    }
    if (mFailed) {
      return KJ_EXCEPTION(DISCONNECTED, "connection lost");
    }
    auto pair = kj::newPromiseAndFulfiller<size_t>();
    mReader = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    return WriteBytes(aBuffer, aSize);
  }

  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    for (const kj::ArrayPtr<const kj::byte>& piece : aPieces) {
      if (mFailed) {
        break;
      }
      bufferevent_write(mBuffer, piece.begin(), piece.size());
    }
    return WriteBytes(nullptr, 0);
  }

  kj::Promise<void> whenWriteDisconnected() override
  {
    if (mFailed) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    mDisconnectWaiters.add(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }

  void shutdownWrite() override
  {
    mShutdownRequested = true;
    ShutdownWhenDrained();
  }

private:
  static void HandleRead(bufferevent*, void* aArgument)
  {
    auto& stream = *static_cast<bufferevent_stream*>(aArgument);
    if (stream.mOnBytes) {
      stream.mOnBytes();
    }
    stream.ContinueRead();
  }

  static void HandleWrite(bufferevent*, void* aArgument)
  {
    static_cast<bufferevent_stream*>(aArgument)->ShutdownWhenDrained();
  }

  static void HandleEvent(bufferevent*, short aEvents, void* aArgument)
  {
    auto& stream = *static_cast<bufferevent_stream*>(aArgument);
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      stream.Start();
      stream.mConnected->fulfill();
      return;
    }
    if ((aEvents & BEV_EVENT_EOF) != 0) {
      stream.mEnded = true;
      stream.ContinueRead();
      return;
    }
    stream.Fail();
  }

  void TakeInput()
  {
    evbuffer* input = bufferevent_get_input(mBuffer);
    const int count =
      evbuffer_remove(input, mReadBuffer + mReadCount, mReadMax - mReadCount);
    mReadCount += static_cast<size_t>(std::max(count, 0));
  }

  void ContinueRead()
  {
    if (mReader.get() == nullptr) {
      return;
    }
    // The promise may have been dropped, and its buffer with it.
    if (!mReader->isWaiting()) {
      mReader = nullptr;
      return;
    }
    TakeInput();
    if (mReadCount >= mReadMin || mEnded) {
      auto reader = kj::mv(mReader);
      reader->fulfill(kj::cp(mReadCount));
    }
  }

  kj::Promise<void> WriteBytes(const void* aBuffer, size_t aSize)
  {
    if (!mFailed && aSize > 0) {
      bufferevent_write(mBuffer, aBuffer, aSize);
    }
    const evbuffer* output = bufferevent_get_output(mBuffer);
    if (evbuffer_get_length(output) > kMaxOutputBytes) {
      Fail();
    }
    if (mFailed) {
      return KJ_EXCEPTION(DISCONNECTED, "connection lost");
    }
    return kj::READY_NOW;
  }

  void ShutdownWhenDrained()
  {
    const evbuffer* output = bufferevent_get_output(mBuffer);
    if (mShutdownRequested && evbuffer_get_length(output) == 0) {
      ::shutdown(bufferevent_getfd(mBuffer), SHUT_WR);
    }
  }

  void Fail()
  {
    mFailed = true;
    bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
    const auto exception = KJ_EXCEPTION(DISCONNECTED, "connection lost");
    if (mConnected.get() != nullptr) {
      mConnected->reject(kj::cp(exception));
    }
    if (mReader.get() != nullptr) {
      auto reader = kj::mv(mReader);
      reader->reject(kj::cp(exception));
    }
    for (auto& waiter : mDisconnectWaiters) {
      waiter->fulfill();
    }
    mDisconnectWaiters.clear();
  }

  std::function<void()> mOnBytes;
  bufferevent* mBuffer;
  kj::Own<kj::PromiseFulfiller<void>> mConnected;
  kj::Own<kj::PromiseFulfiller<size_t>> mReader;
  kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> mDisconnectWaiters;
  char* mReadBuffer = nullptr;
  size_t mReadMin = 0;
  size_t mReadMax = 0;
  size_t mReadCount = 0;
  bool mEnded = false;
  bool mFailed = false;
  bool mShutdownRequested = false;
};

#pragma GCC diagnostic pop

/// Keeps a promise when its timer ends.
class delay
{
public:
  delay(kj::PromiseFulfiller<void>& aFulfiller,
        event_loop& aLoop,
        duration aDelay)
  {
    mTimer.StartOnce(aLoop, aDelay, [&aFulfiller] { aFulfiller.fulfill(); });
  }

private:
  timer mTimer;
};

} // namespace

kj::Own<kj::AsyncIoStream> MakeStream(event_loop& aLoop,
                                      int aDescriptor,
                                      const stream_limits& aLimits)
{
  auto stream =
    kj::heap<bufferevent_stream>(aLoop, aDescriptor, aLimits, nullptr);
  stream->Start();
  return stream;
}

kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectStream(
  event_loop& aLoop,
  const std::string& aHost,
  uint16_t aPort,
  const stream_limits& aLimits,
  std::function<void()> aOnBytes)
{
  constexpr int kNoDescriptor = -1;
  auto stream = kj::heap<bufferevent_stream>(
    aLoop, kNoDescriptor, aLimits, std::move(aOnBytes));
  auto connected = stream->Connect(aHost, aPort);
  return connected.then(
    [stream = kj::mv(stream)]() mutable -> kj::Own<kj::AsyncIoStream> {
      return kj::mv(stream);
    });
}

kj::Promise<void> After(event_loop& aLoop, duration aDelay)
{
  return kj::newAdaptedPromise<void, delay>(aLoop, aDelay);
}

} // namespace parsleystair
