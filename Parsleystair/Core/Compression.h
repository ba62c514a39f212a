#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace parsleystair {

/// Compresses bytes. Short ones are kept as they are, after a byte that says
/// so.
std::string Compress(std::string_view aBytes);

/// Reverses `Compress`. `aMaxBytes`: largest result. Throws `parse_error` if
/// the bytes are malformed or the result is larger.
std::string Decompress(std::string_view aBytes, size_t aMaxBytes);

} // namespace parsleystair
