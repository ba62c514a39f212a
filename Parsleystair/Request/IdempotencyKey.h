#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Settings/Configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace parsleystair {

/// Largest difference between a caller's clock and a router's.
inline constexpr std::chrono::milliseconds kClockSkew = 60s;

/// Largest number of characters in an `Idempotency-Key`.
inline constexpr size_t kMaxIdempotencyKeyLength = 128;

/// Value of an `Idempotency-Key` header in canonical form.
struct idempotency_key
{
  std::string mText;
  /// Time in a UUIDv7 key, in ms since 1970; 0 for other keys.
  uint64_t mTimeMs = 0;

  bool operator==(const idempotency_key&) const = default;
};

/// Time in ms since 1970 in a UUIDv7 (RFC 9562); nothing for other text.
std::optional<uint64_t> UuidV7TimeMs(std::string_view aText);

/// Reads the header's value, with or without quotes. A UUIDv7 is accepted in
/// both formats and becomes lower case. Throws `value_error` when the key is
/// empty, too long, has characters other than visible ASCII, is not a UUIDv7
/// where the rule requires one, or is more than `kClockSkew` in the future.
idempotency_key ParseIdempotencyKey(std::string_view aHeader,
                                    key_format aFormat,
                                    wall_time aNow);

} // namespace parsleystair
