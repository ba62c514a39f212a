#pragma once

#include <algorithm>
#include <cstddef>

namespace parsleystair {

/// Divides what a loop reads in one turn among the connections whose peers send
/// faster than it reads. Parsing takes time in proportion to the bytes, so that
/// many such connections would otherwise keep all others waiting.
class read_share
{
public:
  /// Most bytes that one connection reads in a turn.
  static constexpr size_t kMaxBytes = 64 * 1024;

  /// Bytes that a connection may read now.
  [[nodiscard]] size_t Bytes() const
  {
    constexpr size_t kTurnBytes = 256 * 1024;
    constexpr size_t kMinBytes = 1024;
    return std::clamp(
      kTurnBytes / std::max<size_t>(mFullReaders, 1), kMinBytes, kMaxBytes);
  }

  /// A connection began, or ended, to receive all that it may read.
  void AddFullReader() { ++mFullReaders; }
  void RemoveFullReader() { --mFullReaders; }

private:
  size_t mFullReaders = 0;
};

} // namespace parsleystair
