#pragma once

#include <cstdint>
#include <string_view>

namespace parsleystair {

/// xxh3 hash of 64 bits; the same on every machine and in every release.
uint64_t Hash64(std::string_view aBytes);

} // namespace parsleystair
