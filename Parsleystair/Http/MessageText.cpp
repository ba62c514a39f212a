#include "Parsleystair/Http/MessageText.h"

#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace parsleystair {

namespace {

constexpr uint32_t kNoContent = 204;
constexpr uint32_t kNotModified = 304;

/// Headers that this module writes itself.
bool IsFramingField(std::string_view aName)
{
  return SameHeaderName(aName, "content-length") ||
         SameHeaderName(aName, "transfer-encoding") ||
         SameHeaderName(aName, "connection");
}

void AppendField(std::string& aText,
                 std::string_view aName,
                 std::string_view aValue)
{
  aText += aName;
  aText += ": ";
  // A line break would start a field of its own.
  for (const char character : aValue) {
    aText += character == '\r' || character == '\n' ? ' ' : character;
  }
  aText += "\r\n";
}

void AppendFields(std::string& aText, const std::vector<http_header>& aHeaders)
{
  for (const http_header& header : aHeaders) {
    if (!IsFramingField(header.mName)) {
      AppendField(aText, header.mName, header.mValue);
    }
  }
}

std::string StatusLine(uint32_t aStatus)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aStatus));
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  text.append(reason.data(), reason.size());
  return text + "\r\n";
}

std::string HeadText(const http_response& aAnswer, bool aClose)
{
  std::string text = StatusLine(aAnswer.mStatus);
  AppendFields(text, aAnswer.mHeaders);
  if (aClose) {
    AppendField(text, "Connection", "close");
  }
  return text;
}

} // namespace

std::string AnswerText(const http_response& aAnswer,
                       bool aClose,
                       bool aHeadOnly)
{
  std::string text = HeadText(aAnswer, aClose);
  const bool bodiless =
    aAnswer.mStatus == kNoContent || aAnswer.mStatus == kNotModified;
  if (!bodiless) {
    AppendField(text, "Content-Length", std::to_string(aAnswer.mBody.size()));
  }
  text += "\r\n";
  if (!bodiless && !aHeadOnly) {
    text += aAnswer.mBody;
  }
  return text;
}

std::string StreamHeadText(const http_response& aHead, bool aClose)
{
  std::string text = HeadText(aHead, aClose);
  AppendField(text, "Transfer-Encoding", "chunked");
  return text + "\r\n";
}

std::string ChunkText(const std::string& aChunk)
{
  constexpr int kHexadecimal = 16;
  constexpr size_t kMaxDigits = 16;
  char digits[kMaxDigits]; // NOLINT: filled by to_chars
  const auto result =
    std::to_chars(digits, digits + kMaxDigits, aChunk.size(), kHexadecimal);
  std::string text(digits, result.ptr);
  text += "\r\n";
  text += aChunk;
  return text + "\r\n";
}

std::string RequestText(const http_request& aRequest, const std::string& aHost)
{
  std::string text = aRequest.mMethod + " ";
  if (!aRequest.mTarget.empty()) {
    text += aRequest.mTarget;
  } else {
    text += aRequest.mPath;
    text += aRequest.mQuery.empty() ? "" : "?" + aRequest.mQuery;
  }
  text += " HTTP/1.1\r\n";
  if (!FindHeader(aRequest.mHeaders, "host")) {
    AppendField(text, "Host", aHost);
  }
  AppendFields(text, aRequest.mHeaders);
  // A request without a body has no length, unless its method expects one
  // (RFC 9110 section 8.6).
  const bool expectsBody = aRequest.mMethod == "POST" ||
                           aRequest.mMethod == "PUT" ||
                           aRequest.mMethod == "PATCH";
  if (expectsBody || !aRequest.mBody.empty()) {
    AppendField(text, "Content-Length", std::to_string(aRequest.mBody.size()));
  }
  return text + "\r\n" + aRequest.mBody;
}

} // namespace parsleystair
