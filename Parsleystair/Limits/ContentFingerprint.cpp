#include "Parsleystair/Limits/ContentFingerprint.h"

#include "Parsleystair/Core/Hash.h"

#include <charconv>
#include <cstdio>

namespace parsleystair {

namespace {

constexpr size_t kHashDigits = 16;
constexpr int kHexadecimal = 16;

std::optional<uint64_t> ParseHash(std::string_view aDigits)
{
  uint64_t hash = 0;
  const char* end = aDigits.data() + aDigits.size();
  const auto result = std::from_chars(aDigits.data(), end, hash, kHexadecimal);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return hash;
}

} // namespace

uint64_t HeadFingerprintOf(const http_request& aRequest)
{
  std::string bytes = aRequest.mRemoteHost;
  bytes += '\0';
  bytes += aRequest.mMethod;
  bytes += '\0';
  bytes += FindHeader(aRequest.mHeaders, "host").value_or("");
  bytes += '\0';
  bytes += aRequest.mPath;
  bytes += '?';
  bytes += aRequest.mQuery;
  return Hash64(bytes);
}

content_fingerprint ContentFingerprintOf(const http_request& aRequest)
{
  return { HeadFingerprintOf(aRequest), Hash64(aRequest.mBody) };
}

std::string FormatFingerprint(const content_fingerprint& aContent)
{
  char text[2 * kHashDigits + 1]; // NOLINT: filled by snprintf
  std::snprintf(text,
                sizeof(text),
                "%016llx%016llx",
                static_cast<unsigned long long>(aContent.mHead),
                static_cast<unsigned long long>(aContent.mBody));
  return text;
}

std::optional<content_fingerprint> ParseFingerprint(const std::string& aText)
{
  if (aText.size() != 2 * kHashDigits) {
    return std::nullopt;
  }
  const std::string_view digits = aText;
  const auto head = ParseHash(digits.substr(0, kHashDigits));
  const auto body = ParseHash(digits.substr(kHashDigits));
  if (!head || !body) {
    return std::nullopt;
  }
  return content_fingerprint{ *head, *body };
}

} // namespace parsleystair
