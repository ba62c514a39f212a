#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <memory>
#include <string>
#include <string_view>

struct sockaddr;

namespace parsleystair {

class loss_detector;

/// Why a stream ended.
enum class stream_end
{
  /// The peer closed its side in order.
  kClosed,
  /// A connection could not be made, so nothing was sent.
  kNotConnected,
  /// The connection broke.
  kBroken,
};

/// Gets the events of one stream. Each function may destroy the stream.
class stream_handler
{
public:
  virtual ~stream_handler() = default;

  virtual void HandleBytes(std::string_view aBytes) = 0;
  virtual void HandleEnd(stream_end aEnd) = 0;
  /// The time set by `socket_stream::StartTimer` is over.
  virtual void HandleTimeout() = 0;
  /// A connection that was started is accepted; must not destroy the stream.
  virtual void HandleConnected() {}
  /// Output that had to wait has been handed to the system completely.
  virtual void HandleAllSent() {}
};

struct stream_settings
{
  /// Idle time before the system probes a silent peer; 0 for no probes.
  duration mKeepAlive{};
  /// Longest time that sent bytes may stay unacknowledged, also by a peer that
  /// is there and doesn't read; 0 for the system's default. The system sends
  /// none of them later, even if this process stands still.
  duration mUserTimeout{};
  /// Time after which a peer counts as lost that leaves what is sent to it
  /// unacknowledged, unless it is only full (`loss_detector`); 0 for the
  /// system's default.
  duration mLossTimeout{};
};

/// One TCP connection on an event loop.
class socket_stream
{
public:
  /// Takes over a connected socket.
  socket_stream(event_loop& aLoop,
                int aDescriptor,
                const stream_settings& aSettings,
                stream_handler& aHandler);

  /// Starts a connection to an IP address; it failed when `HandleEnd` says so.
  socket_stream(event_loop& aLoop,
                const std::string& aHost,
                uint16_t aPort,
                const stream_settings& aSettings,
                stream_handler& aHandler);

  ~socket_stream();
  socket_stream(const socket_stream&) = delete;
  socket_stream& operator=(const socket_stream&) = delete;

  /// Sends bytes, at once as far as the system takes them. If it hasn't taken
  /// all bytes of all calls before `aUntil`, the rest is dropped and the stream
  /// breaks.
  void Write(std::string_view aBytes, time_point aUntil = time_point::max());

  /// Closes the sending side after all bytes are sent.
  void FinishWriting();

  /// Bytes that the system has not taken yet.
  [[nodiscard]] size_t Unsent() const;

  /// Memory of the bytes that the system has not taken yet.
  [[nodiscard]] size_t HeldBytes() const;

  /// Bytes written that the peer has not acknowledged yet, sent or not.
  [[nodiscard]] size_t Unacknowledged() const;

  /// Tells if the peer's system has acknowledged all bytes written; false if
  /// this system can't tell.
  [[nodiscard]] bool IsAllAcknowledged() const;

  /// Checks if the peer is lost while bytes written are not acknowledged.
  /// Returns false if this system can't tell.
  [[nodiscard]] bool IsLost(loss_detector& aDetector, time_point aNow) const;

  /// Reads and drops what has arrived, up to a bound. A close with unread bytes
  /// would reset the connection, and the peer could lose what was sent to it.
  void DropInput();

  /// Tells if bytes, or the end of the stream, have arrived and are not read
  /// yet.
  [[nodiscard]] bool HasInput() const;

  /// Tells if the end of the stream has arrived and is not read yet, and no
  /// bytes before it.
  [[nodiscard]] bool HasEnded() const;

  /// Calls `HandleTimeout` once after a delay; replaces an earlier start.
  void StartTimer(duration aDelay);
  void CancelTimer();

  /// Stops and resumes reading; used to bound what a peer can make us store.
  void SetReading(bool aReading);

  /// Makes the close reset the connection, so that bytes on their way are
  /// dropped.
  void ResetOnClose();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
