#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace parsleystair {

/// Identifies the content of a request: its caller, method, host, target and
/// body. Two attempts of one caller have the same fingerprint.
struct content_fingerprint
{
  /// Hash of everything except the body.
  uint64_t mHead = 0;
  uint64_t mBody = 0;

  auto operator<=>(const content_fingerprint&) const = default;
};

/// `content_fingerprint::mHead` of a request. The cost doesn't depend on the
/// size of the body.
uint64_t HeadFingerprintOf(const http_request& aRequest);

content_fingerprint ContentFingerprintOf(const http_request& aRequest);

/// 32 hexadecimal digits, for logs and operators.
std::string FormatFingerprint(const content_fingerprint& aContent);

/// Nothing if the text is not one of `FormatFingerprint`.
std::optional<content_fingerprint> ParseFingerprint(const std::string& aText);

} // namespace parsleystair
