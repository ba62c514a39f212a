#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace parsleystair {

/// Longest message between routers after it is unpacked, in bytes. A few
/// kilobytes on the wire unpack to a thousand times as much, and the smallest
/// machines have 160 MB.
inline constexpr size_t kMaxPeerMessageBytes = 8 * 1024 * 1024;

/// Unpacks a message in CBOR and parses it. Throws `parse_error` if it is
/// malformed or has more values than a router sends: a value of one byte takes
/// sixteen or more in memory.
nlohmann::json ReadCborMessage(const std::string& aCompressed);

} // namespace parsleystair
