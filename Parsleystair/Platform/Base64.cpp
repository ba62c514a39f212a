#include "Parsleystair/Platform/Base64.h"

#include "Parsleystair/Core/Error.h"

#include <array>
#include <cstdint>

namespace parsleystair {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t kNoDigit = 0xff;
constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupDigits = 4;
constexpr uint32_t kDigitBits = 6;
constexpr uint32_t kDigitMask = 0x3f;

std::array<uint8_t, 256> DigitValues()
{
  std::array<uint8_t, 256> values{};
  values.fill(kNoDigit);
  for (size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<uint8_t>(kAlphabet[i])] = static_cast<uint8_t>(i);
  }
  return values;
}

/// Bits of up to three bytes, left-aligned in 24 bits.
uint32_t GroupBits(std::string_view aBytes)
{
  uint32_t bits = 0;
  for (size_t i = 0; i < kGroupBytes; ++i) {
    const uint8_t byte =
      i < aBytes.size() ? static_cast<uint8_t>(aBytes[i]) : 0;
    bits = bits << 8 | byte;
  }
  return bits;
}

size_t PaddingOf(std::string_view aText)
{
  if (aText.size() % kGroupDigits != 0) {
    throw parse_error("base64 text has a length that is not a multiple of 4");
  }
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  return padding;
}

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text;
  text.reserve((aBytes.size() + 2) / kGroupBytes * kGroupDigits);
  for (size_t start = 0; start < aBytes.size(); start += kGroupBytes) {
    const std::string_view group = aBytes.substr(start, kGroupBytes);
    const uint32_t bits = GroupBits(group);
    for (uint32_t digit = 0; digit < kGroupDigits; ++digit) {
      const uint32_t shift = kDigitBits * (3 - digit);
      text +=
        digit <= group.size() ? kAlphabet[bits >> shift & kDigitMask] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(std::string_view aText)
{
  static const std::array<uint8_t, 256> kValues = DigitValues();
  const size_t padding = PaddingOf(aText);
  const size_t digits = aText.size() - padding;
  std::string bytes;
  bytes.reserve(aText.size() / kGroupDigits * kGroupBytes);
  uint32_t bits = 0;
  uint32_t bitCount = 0;
  for (size_t i = 0; i < digits; ++i) {
    const uint8_t value = kValues[static_cast<uint8_t>(aText[i])];
    if (value == kNoDigit) {
      throw parse_error("base64 text has a character outside the alphabet");
    }
    bits = (bits << kDigitBits | value) & 0xffffff;
    bitCount += kDigitBits;
    if (bitCount >= 8) {
      bitCount -= 8;
      bytes += static_cast<char>(bits >> bitCount & 0xff);
    }
  }
  return bytes;
}

} // namespace parsleystair
