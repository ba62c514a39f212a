#include "Parsleystair/Core/Text.h"

#include <cstdint>

namespace parsleystair {

namespace {

constexpr size_t kMaxCharacterBytes = 4;
constexpr uint32_t kContinuationBits = 6;
constexpr uint32_t kContinuationMask = 0x3F;
constexpr uint32_t kFirstSurrogate = 0xD800;
constexpr uint32_t kLastSurrogate = 0xDFFF;
constexpr uint32_t kLastCharacter = 0x10FFFF;
/// Lowest character that needs a number of bytes, by that number.
constexpr uint32_t kLowest[kMaxCharacterBytes + 1] = { 0,
                                                       0,
                                                       0x80,
                                                       0x800,
                                                       0x10000 };

bool IsContinuation(uint8_t aByte)
{
  return (aByte & 0xC0U) == 0x80U;
}

/// Number of bytes of the character that begins with a byte; 0 if none does.
size_t LengthOf(uint8_t aFirst)
{
  if (aFirst < 0x80U) {
    return 1;
  }
  if ((aFirst & 0xE0U) == 0xC0U) {
    return 2;
  }
  if ((aFirst & 0xF0U) == 0xE0U) {
    return 3;
  }
  return (aFirst & 0xF8U) == 0xF0U ? kMaxCharacterBytes : 0;
}

/// Number of bytes of the character at the beginning; 0 if there is none.
size_t FirstCharacterBytes(std::string_view aBytes)
{
  const auto first = static_cast<uint8_t>(aBytes[0]);
  const size_t length = LengthOf(first);
  if (length <= 1) {
    return length;
  }
  if (aBytes.size() < length) {
    return 0;
  }
  // The first byte of an n-byte character has 7 - n bits of it.
  uint32_t character = first & (0x7FU >> length);
  for (size_t index = 1; index < length; ++index) {
    const auto byte = static_cast<uint8_t>(aBytes[index]);
    if (!IsContinuation(byte)) {
      return 0;
    }
    character = (character << kContinuationBits) | (byte & kContinuationMask);
  }
  const bool isSurrogate =
    character >= kFirstSurrogate && character <= kLastSurrogate;
  return character < kLowest[length] || character > kLastCharacter ||
             isSurrogate
           ? 0
           : length;
}

bool IsControlCharacter(char aByte)
{
  constexpr char kDelete = '\x7f';
  return static_cast<uint8_t>(aByte) < ' ' || aByte == kDelete;
}

} // namespace

bool IsUtf8(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const size_t length = FirstCharacterBytes(aBytes);
    if (length == 0) {
      return false;
    }
    aBytes.remove_prefix(length);
  }
  return true;
}

void AppendPrintable(std::string& aText, std::string_view aBytes)
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xF;
  while (!aBytes.empty()) {
    const size_t length = FirstCharacterBytes(aBytes);
    if (length == 0 || IsControlCharacter(aBytes[0])) {
      const auto byte = static_cast<uint8_t>(aBytes[0]);
      aText += "\\x";
      aText += kDigits[byte >> kBitsPerDigit];
      aText += kDigits[byte & kDigitMask];
      aBytes.remove_prefix(1);
      continue;
    }
    aText += aBytes.substr(0, length);
    aBytes.remove_prefix(length);
  }
}

bool IsPrintable(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const size_t length = FirstCharacterBytes(aBytes);
    if (length == 0 || IsControlCharacter(aBytes[0])) {
      return false;
    }
    aBytes.remove_prefix(length);
  }
  return true;
}

} // namespace parsleystair
