#include "Parsleystair/Http/SocketStream.h"

#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Core/SystemAddress.h"
#include "Parsleystair/Http/LossDetector.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace parsleystair {

namespace {

/// Probes of an idle peer without an answer after which the system gives it up.
constexpr int kKeepAliveProbes = 1;

/// Memory that a stream keeps for its next output.
constexpr size_t kKeptOutputBytes = 16 * 1024;

/// What has arrived on a stream and is not read yet.
enum class input_state
{
  kNone,
  kBytes,
  kEnd,
};

void SetOption(int aDescriptor, int aLevel, int aName, int aValue)
{
  // A system without the option keeps its default, which only detects a lost
  // peer later.
  setsockopt(aDescriptor, aLevel, aName, &aValue, sizeof(aValue));
}

void ApplySettings(int aDescriptor, const stream_settings& aSettings)
{
  SetOption(aDescriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  if (aSettings.mKeepAlive > duration::zero()) {
    const auto seconds = static_cast<int>(std::max<int64_t>(
      1,
      std::chrono::duration_cast<std::chrono::seconds>(aSettings.mKeepAlive)
        .count()));
    SetOption(aDescriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    SetOption(aDescriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  }
  if (aSettings.mUserTimeout > duration::zero()) {
    const auto milliseconds =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                         aSettings.mUserTimeout)
                         .count());
    SetOption(aDescriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
  }
}

/// Bytes sent on a socket that the peer's system has not acknowledged; nothing
/// if the system can't tell.
std::optional<size_t> QueuedBytes(int aDescriptor)
{
  int queued = 0;
  if (aDescriptor < 0 || ioctl(aDescriptor, SIOCOUTQ, &queued) != 0) {
    return std::nullopt;
  }
  return static_cast<size_t>(queued);
}

/// What the system knows of the peer; nothing if the system can't tell.
std::optional<peer_signs> ReadPeerSigns(int aDescriptor)
{
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (getsockopt(aDescriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return std::nullopt;
  }
  return peer_signs{ info.tcpi_unacked,
                     info.tcpi_probes,
                     std::chrono::milliseconds(info.tcpi_last_ack_recv) };
}

/// Opens a socket and starts to connect it; -1 when that fails at once.
int StartConnect(const std::string& aHost, uint16_t aPort)
{
  auto address = FindSystemAddress(aHost, aPort);
  if (!address) {
    return -1;
  }
  const int descriptor = socket(
    address->mStorage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int result = connect(
    descriptor, address->Get(), static_cast<socklen_t>(address->mLength));
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

} // namespace

struct socket_stream::state
{
  read_share& mReads;
  stream_handler& mHandler;
  int mDescriptor = -1;
  bool mConnecting = false;
  bool mBroken = false;
  /// A call has taken the socket's error, which the system reports only once.
  /// Reads return what arrived before, and then an end that looks orderly.
  bool mHasFailed = false;
  bool mFinishing = false;
  /// The last read returned all that was allowed.
  bool mIsFullReader = false;
  std::string mOutput;
  /// Time after which nothing of `mOutput` is sent.
  time_point mWriteUntil = time_point::max();
  event* mReadEvent = nullptr;
  event* mWriteEvent = nullptr;
  event* mTimer = nullptr;
  /// Checks if the peer is lost, while bytes are not acknowledged.
  event* mLossTimer = nullptr;
  std::optional<loss_detector> mLossDetector;

  state(event_loop& aLoop, stream_handler& aHandler)
    : mReads(aLoop.Reads())
    , mHandler(aHandler)
  {
  }
  ~state();

  void Start(event_loop& aLoop, const stream_settings& aSettings);
  void Read();
  void SetFullReader(bool aIsFull);
  void HandleWritable();
  void Flush();
  void FailLater();
  void BreakLater();
  [[nodiscard]] bool IsWriteLimitOver() const;
  [[nodiscard]] input_state PeekInput();
  bool FinishConnect();
  void WatchForLoss();
  void CheckForLoss();
};

input_state socket_stream::state::PeekInput()
{
  if (mConnecting || mDescriptor < 0) {
    return input_state::kNone;
  }
  char byte = 0;
  const ssize_t count =
    recv(mDescriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return input_state::kBytes;
  }
  const bool isOpen = count < 0 && (errno == EAGAIN || errno == EINTR);
  mHasFailed = mHasFailed || (count < 0 && !isOpen);
  return isOpen ? input_state::kNone : input_state::kEnd;
}

socket_stream::state::~state()
{
  SetFullReader(false);
  for (event* each : { mReadEvent, mWriteEvent, mTimer, mLossTimer }) {
    if (each != nullptr) {
      event_free(each);
    }
  }
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

void socket_stream::state::Start(event_loop& aLoop,
                                 const stream_settings& aSettings)
{
  mReadEvent = event_new(
    aLoop.Base(),
    mDescriptor,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aArgument) {
      static_cast<state*>(aArgument)->Read();
    },
    this);
  mWriteEvent = event_new(
    aLoop.Base(),
    mDescriptor,
    EV_WRITE,
    [](evutil_socket_t, short, void* aArgument) {
      static_cast<state*>(aArgument)->HandleWritable();
    },
    this);
  mTimer = event_new(
    aLoop.Base(),
    -1,
    0,
    [](evutil_socket_t, short, void* aArgument) {
      static_cast<state*>(aArgument)->mHandler.HandleTimeout();
    },
    this);
  mLossTimer = event_new(
    aLoop.Base(),
    -1,
    0,
    [](evutil_socket_t, short, void* aArgument) {
      static_cast<state*>(aArgument)->CheckForLoss();
    },
    this);
  if (mReadEvent == nullptr || mWriteEvent == nullptr || mTimer == nullptr ||
      mLossTimer == nullptr) {
    throw system_error("libevent could not create an event");
  }
  if (aSettings.mLossTimeout > duration::zero()) {
    mLossDetector.emplace(aSettings.mLossTimeout);
  }
  if (mDescriptor < 0) {
    FailLater();
    return;
  }
  event_add(mConnecting ? mWriteEvent : mReadEvent, nullptr);
}

void socket_stream::state::Read()
{
  if (mBroken) {
    mHandler.HandleEnd(mConnecting ? stream_end::kNotConnected
                                   : stream_end::kBroken);
    return;
  }
  std::array<char, read_share::kMaxBytes> buffer; // NOLINT: filled by recv
  const size_t allowed = mReads.Bytes();
  const ssize_t count = recv(mDescriptor, buffer.data(), allowed, 0);
  SetFullReader(count == static_cast<ssize_t>(allowed));
  if (count > 0) {
    mHandler.HandleBytes({ buffer.data(), static_cast<size_t>(count) });
    return;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  event_del(mReadEvent);
  const bool isOrderly = count == 0 && !mHasFailed;
  mHandler.HandleEnd(isOrderly ? stream_end::kClosed : stream_end::kBroken);
}

void socket_stream::state::SetFullReader(bool aIsFull)
{
  if (std::exchange(mIsFullReader, aIsFull) == aIsFull) {
    return;
  }
  if (aIsFull) {
    mReads.AddFullReader();
  } else {
    mReads.RemoveFullReader();
  }
}

bool socket_stream::state::FinishConnect()
{
  int failure = 0;
  socklen_t length = sizeof(failure);
  getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &failure, &length);
  if (failure != 0) {
    mHandler.HandleEnd(stream_end::kNotConnected);
    return false;
  }
  mConnecting = false;
  event_add(mReadEvent, nullptr);
  mHandler.HandleConnected();
  return true;
}

void socket_stream::state::HandleWritable()
{
  if (mConnecting && !FinishConnect()) {
    return;
  }
  Flush();
  if (mOutput.empty() && !mBroken) {
    mHandler.HandleAllSent();
  }
}

void socket_stream::state::Flush()
{
  while (!mOutput.empty() && !mConnecting && !mBroken) {
    if (IsWriteLimitOver()) {
      BreakLater();
      return;
    }
    const ssize_t count =
      send(mDescriptor, mOutput.data(), mOutput.size(), MSG_NOSIGNAL);
    if (count >= 0) {
      mOutput.erase(0, static_cast<size_t>(count));
      WatchForLoss();
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN) {
      FailLater();
      return;
    }
    event_add(mWriteEvent, nullptr);
    return;
  }
  if (mOutput.empty() && mOutput.capacity() > kKeptOutputBytes) {
    // An assignment of an empty string would keep the memory.
    std::string().swap(mOutput);
  }
  if (mFinishing && mOutput.empty() && !mConnecting && !mBroken) {
    shutdown(mDescriptor, SHUT_WR);
  }
}

void socket_stream::state::FailLater()
{
  // The owner is told from the loop, never from inside its own call. What the
  // peer sent before the break can still be read first.
  const bool readable = !mConnecting && mDescriptor >= 0;
  mBroken = !readable;
  mHasFailed = true;
  mOutput.clear();
  event_active(mReadEvent, EV_READ, 0);
}

void socket_stream::state::BreakLater()
{
  mBroken = true;
  mOutput.clear();
  event_active(mReadEvent, EV_READ, 0);
}

void socket_stream::state::WatchForLoss()
{
  if (mLossDetector && event_pending(mLossTimer, EV_TIMEOUT, nullptr) == 0) {
    const timeval delay = ToTimeval(mLossDetector->CheckInterval());
    event_add(mLossTimer, &delay);
  }
}

void socket_stream::state::CheckForLoss()
{
  const auto signs = ReadPeerSigns(mDescriptor);
  if (mBroken || mHasFailed || !signs) {
    return;
  }
  if (mLossDetector->Check(*signs, MonotonicNow())) {
    BreakLater();
    return;
  }
  if (!mOutput.empty() || QueuedBytes(mDescriptor).value_or(0) > 0) {
    WatchForLoss();
  }
}

bool socket_stream::state::IsWriteLimitOver() const
{
  return mWriteUntil != time_point::max() && MonotonicNow() >= mWriteUntil;
}

socket_stream::socket_stream(event_loop& aLoop,
                             int aDescriptor,
                             const stream_settings& aSettings,
                             stream_handler& aHandler)
  : mState(std::make_unique<state>(aLoop, aHandler))
{
  mState->mDescriptor = aDescriptor;
  ApplySettings(aDescriptor, aSettings);
  mState->Start(aLoop, aSettings);
}

socket_stream::socket_stream(event_loop& aLoop,
                             const std::string& aHost,
                             uint16_t aPort,
                             const stream_settings& aSettings,
                             stream_handler& aHandler)
  : mState(std::make_unique<state>(aLoop, aHandler))
{
  mState->mConnecting = true;
  mState->mDescriptor = StartConnect(aHost, aPort);
  if (mState->mDescriptor >= 0) {
    ApplySettings(mState->mDescriptor, aSettings);
  }
  mState->Start(aLoop, aSettings);
}

socket_stream::~socket_stream() = default;

void socket_stream::Write(std::string_view aBytes, time_point aUntil)
{
  mState->mWriteUntil = aUntil;
  mState->mOutput += aBytes;
  // While a write event waits, it sends what was added.
  if (event_pending(mState->mWriteEvent, EV_WRITE, nullptr) == 0) {
    mState->Flush();
  }
}

void socket_stream::FinishWriting()
{
  mState->mFinishing = true;
  if (mState->mOutput.empty()) {
    mState->Flush();
  }
}

size_t socket_stream::Unsent() const
{
  return mState->mOutput.size();
}

size_t socket_stream::HeldBytes() const
{
  return HeapBytes(mState->mOutput);
}

size_t socket_stream::Unacknowledged() const
{
  return Unsent() + QueuedBytes(mState->mDescriptor).value_or(0);
}

bool socket_stream::IsAllAcknowledged() const
{
  return !mState->mConnecting && Unsent() == 0 &&
         QueuedBytes(mState->mDescriptor) == size_t{ 0 };
}

bool socket_stream::IsLost(loss_detector& aDetector, time_point aNow) const
{
  const auto signs = ReadPeerSigns(mState->mDescriptor);
  return signs && aDetector.Check(*signs, aNow);
}

void socket_stream::DropInput()
{
  constexpr size_t kMaxReads = 64;
  std::array<char, read_share::kMaxBytes> buffer; // NOLINT: filled by recv
  for (size_t reads = 0; reads < kMaxReads; ++reads) {
    if (recv(mState->mDescriptor, buffer.data(), buffer.size(), MSG_DONTWAIT) <=
        0) {
      return;
    }
  }
}

bool socket_stream::HasInput() const
{
  return mState->PeekInput() != input_state::kNone;
}

bool socket_stream::HasEnded() const
{
  return mState->PeekInput() == input_state::kEnd;
}

void socket_stream::StartTimer(duration aDelay)
{
  const timeval delay = ToTimeval(std::max(aDelay, duration::zero()));
  event_add(mState->mTimer, &delay);
}

void socket_stream::CancelTimer()
{
  event_del(mState->mTimer);
}

void socket_stream::SetReading(bool aReading)
{
  if (mState->mConnecting || mState->mBroken) {
    return;
  }
  if (aReading) {
    event_add(mState->mReadEvent, nullptr);
  } else {
    event_del(mState->mReadEvent);
    mState->SetFullReader(false);
  }
}

void socket_stream::ResetOnClose()
{
  if (mState->mDescriptor >= 0) {
    const linger none{ 1, 0 };
    setsockopt(mState->mDescriptor, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
  }
}

} // namespace parsleystair
