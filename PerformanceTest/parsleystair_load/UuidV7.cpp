#include "PerformanceTest/parsleystair_load/UuidV7.h"

#include <array>
#include <cstdio>

namespace parsleystair {

std::string MakeUuidV7(wall_time aNow, std::mt19937_64& aRandom)
{
  constexpr uint64_t kVersion = 0x7000;
  constexpr uint64_t kVariant = 0x8000;
  const auto milliseconds =
    static_cast<unsigned long long>(aNow.time_since_epoch().count());
  const uint64_t high = aRandom();
  const uint64_t low = aRandom();
  std::array<char, 37> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%08llx-%04llx-%04llx-%04llx-%012llx",
    milliseconds >> 16 & 0xffffffff,
    milliseconds & 0xffff,
    static_cast<unsigned long long>(kVersion | (high & 0x0fff)),
    static_cast<unsigned long long>(kVariant | (high >> 32 & 0x3fff)),
    static_cast<unsigned long long>(low & 0xffffffffffff));
  return text.data();
}

} // namespace parsleystair
