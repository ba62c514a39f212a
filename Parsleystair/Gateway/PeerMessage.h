#pragma once

#include <cstddef>

namespace parsleystair {

/// Longest message between routers after it is unpacked, in bytes. A few
/// kilobytes on the wire unpack to a thousand times as much, and the smallest
/// machines have 160 MB.
inline constexpr size_t kMaxPeerMessageBytes = 8 * 1024 * 1024;

} // namespace parsleystair
