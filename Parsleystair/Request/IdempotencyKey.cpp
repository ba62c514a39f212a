#include "Parsleystair/Request/IdempotencyKey.h"

#include "Parsleystair/Core/Error.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kVersionIndex = 14;
constexpr size_t kVariantIndex = 19;
/// Hexadecimal digits of the 48 bits that hold the time.
constexpr size_t kTimeDigits = 12;

bool IsDashIndex(size_t aIndex)
{
  return aIndex == 8 || aIndex == 13 || aIndex == 18 || aIndex == 23;
}

/// Value of a hexadecimal digit; -1 for other characters.
int HexValue(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return -1;
}

/// The header is a structured field string in the IETF draft, so callers send
/// it with and without quotes. Both forms name the same request.
std::string_view WithoutQuotes(std::string_view aHeader)
{
  if (aHeader.size() >= 2 && aHeader.front() == '"' && aHeader.back() == '"') {
    return aHeader.substr(1, aHeader.size() - 2);
  }
  return aHeader;
}

bool IsVisibleAscii(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~';
}

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  for (char& character : lower) {
    if (character >= 'A' && character <= 'F') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return lower;
}

[[noreturn]] void Refuse(std::string_view aKey, const char* aAllowed)
{
  // Text that isn't a key is cut, so that an error message stays short.
  throw value_error("Idempotency-Key",
                    std::string(aKey.substr(0, kMaxIdempotencyKeyLength)),
                    aAllowed);
}

} // namespace

std::optional<uint64_t> UuidV7TimeMs(std::string_view aText)
{
  if (aText.size() != kUuidLength || aText[kVersionIndex] != '7') {
    return std::nullopt;
  }
  // The variant of RFC 9562 has the high bits 10.
  const int variant = HexValue(aText[kVariantIndex]);
  if (variant < 0 || (variant >> 2) != 2) {
    return std::nullopt;
  }

  uint64_t timeMs = 0;
  size_t digits = 0;
  for (size_t i = 0; i < kUuidLength; ++i) {
    if (IsDashIndex(i)) {
      if (aText[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const int value = HexValue(aText[i]);
    if (value < 0) {
      return std::nullopt;
    }
    if (digits < kTimeDigits) {
      timeMs = timeMs * 16 + static_cast<uint64_t>(value);
      ++digits;
    }
  }
  return timeMs;
}

idempotency_key ParseIdempotencyKey(std::string_view aHeader,
                                    key_format aFormat,
                                    wall_time aNow)
{
  const std::string_view key = WithoutQuotes(aHeader);
  if (key.empty() || key.size() > kMaxIdempotencyKeyLength) {
    Refuse(key, "1 to 128 characters");
  }
  if (!std::all_of(key.begin(), key.end(), IsVisibleAscii)) {
    Refuse("(binary)", "visible ASCII characters");
  }

  const std::optional<uint64_t> timeMs = UuidV7TimeMs(key);
  if (!timeMs) {
    if (aFormat == key_format::kUuidV7) {
      Refuse(key, "a UUIDv7 (RFC 9562)");
    }
    return { std::string(key), 0 };
  }

  // A key from the future would still count as young after its record expired.
  const auto latest = (aNow + kClockSkew).time_since_epoch().count();
  if (static_cast<int64_t>(*timeMs) > latest) {
    Refuse(key, "a UUIDv7 whose time is at most 60 s in the future");
  }
  return { LowerCase(key), *timeMs };
}

} // namespace parsleystair
