#pragma once

#include "Parsleystair/Core/EventLoop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace kj {
class AsyncIoStream;
template<typename T>
class Own;
template<typename T>
class Promise;
} // namespace kj

namespace parsleystair {

/// Limits of one connection; zero stands for no limit.
struct stream_limits
{
  /// Longest time without an incoming byte.
  duration mRead = duration::zero();
  /// Longest time in which the peer takes none of the waiting bytes.
  duration mWrite = duration::zero();
};

/// Wraps a connected socket, which the stream then owns.
kj::Own<kj::AsyncIoStream> MakeStream(event_loop& aLoop,
                                      int aDescriptor,
                                      const stream_limits& aLimits);

/// Connects to an IP address. `aOnBytes` is called when bytes arrive. The
/// promise fails with a kj exception.
kj::Promise<kj::Own<kj::AsyncIoStream>> ConnectStream(
  event_loop& aLoop,
  const std::string& aHost,
  uint16_t aPort,
  const stream_limits& aLimits,
  std::function<void()> aOnBytes);

/// Promise that is kept after `aDelay`.
kj::Promise<void> After(event_loop& aLoop, duration aDelay);

} // namespace parsleystair
