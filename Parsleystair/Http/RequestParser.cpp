#include "Parsleystair/Http/MessageParser.h"

#include "Parsleystair/Core/Invariant.h"
#include "Parsleystair/Http/CollectingParser.h"

#include <algorithm>

// Boost.Beast reads the messages: evhttp's own parser takes requests without a
// host, control bytes in values and malformed escapes, and can't be made to
// refuse them. What Beast leaves to its users is checked here.

namespace parsleystair {

namespace {

using boost::beast::http::error;

constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kContentTooLarge = 413;
constexpr uint32_t kHeaderFieldsTooLarge = 431;
constexpr uint32_t kNotImplemented = 501;

bool IsHexDigit(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

/// Tells if each percent sign starts a whole escape (RFC 3986 section 2.1) and
/// all characters may stand in a request target.
bool IsValidTarget(std::string_view aTarget)
{
  for (size_t index = 0; index < aTarget.size(); ++index) {
    const char character = aTarget[index];
    if (character <= ' ' || character == '\x7f' || character == '#') {
      return false;
    }
    if (character != '%') {
      continue;
    }
    if (index + 2 >= aTarget.size() || !IsHexDigit(aTarget[index + 1]) ||
        !IsHexDigit(aTarget[index + 2])) {
      return false;
    }
    index += 2;
  }
  return true;
}

/// Tells if a text may stand in a Host field.
bool IsValidHost(std::string_view aHost)
{
  constexpr std::string_view kForbidden = " \t/?#@\\\"<>,%";
  return aHost.find_first_of(kForbidden) == std::string_view::npos &&
         IsValidValue(aHost);
}

/// Removes "http://host" from the front of an absolute target (RFC 9112
/// section 3.2.2) and returns the host; empty for another form.
std::string TakeAuthority(std::string& aTarget)
{
  constexpr std::string_view kScheme = "http://";
  if (aTarget.size() < kScheme.size() ||
      !SameHeaderName(aTarget.substr(0, kScheme.size()), kScheme)) {
    return "";
  }
  const size_t end = aTarget.find_first_of("/?", kScheme.size());
  std::string host = aTarget.substr(
    kScheme.size(), end == std::string::npos ? end : end - kScheme.size());
  std::string rest = end == std::string::npos ? "" : aTarget.substr(end);
  aTarget = rest.empty() || rest.front() == '?' ? "/" + rest : rest;
  return host;
}

/// Number of fields with a name.
size_t CountFields(const std::vector<http_header>& aHeaders,
                   std::string_view aName)
{
  return static_cast<size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const auto& aHeader) {
      return SameHeaderName(aHeader.mName, aName);
    }));
}

uint32_t StatusOf(const boost::system::error_code& aError)
{
  if (aError == error::header_limit || aError == error::buffer_overflow) {
    return kHeaderFieldsTooLarge;
  }
  if (aError == error::body_limit) {
    return kContentTooLarge;
  }
  return kBadRequest;
}

} // namespace

struct request_parser::state
{
  collecting_parser<true> mParser;
  uint32_t mMaxHeaderBytes = 0;
  bool mHeaderChecked = false;
  uint32_t mFailureStatus = 0;
  std::string mFailureReason;

  void Fail(uint32_t aStatus, std::string aReason)
  {
    mFailureStatus = aStatus;
    mFailureReason = std::move(aReason);
  }

  void CheckHeader();
  void CheckCoding(const std::vector<http_header>& aHeaders);
  void CheckTarget();
};

void request_parser::state::CheckTarget()
{
  const std::string& target = mParser.mTarget;
  const bool asterisk = target == "*" && mParser.mMethod == "OPTIONS";
  const bool known =
    target.front() == '/' || target.starts_with("http://") || asterisk;
  if (mParser.mMethod == "CONNECT") {
    Fail(kNotImplemented, "the method is not supported");
  } else if (!known || !IsValidTarget(target)) {
    Fail(kBadRequest, "malformed request target");
  }
}

void request_parser::state::CheckCoding(
  const std::vector<http_header>& aHeaders)
{
  const auto coding = FindHeader(aHeaders, "transfer-encoding");
  const size_t lengths = CountFields(aHeaders, "content-length");
  const size_t codings = CountFields(aHeaders, "transfer-encoding");
  if (lengths + codings > 1) {
    Fail(kBadRequest, "ambiguous body length");
    return;
  }
  if (!coding) {
    return;
  }
  constexpr int kVersion11 = 11;
  if (mParser.mVersion < kVersion11) {
    Fail(kBadRequest, "transfer coding in an HTTP/1.0 request");
  } else if (!SameHeaderName(*coding, "chunked")) {
    Fail(kNotImplemented, "unknown transfer coding");
  }
}

void request_parser::state::CheckHeader()
{
  mHeaderChecked = true;
  const std::vector<http_header>& headers = mParser.mContent.mHeaders;
  CheckTarget();
  const size_t hosts = CountFields(headers, "host");
  const auto host = FindHeader(headers, "host");
  constexpr int kVersion11 = 11;
  if (hosts > 1 || (hosts == 0 && mParser.mVersion == kVersion11)) {
    Fail(kBadRequest, "a request needs one Host field");
  } else if (host && !IsValidHost(*host)) {
    Fail(kBadRequest, "malformed Host field");
  }
  CheckCoding(headers);
}

request_parser::request_parser(uint32_t aMaxHeaderBytes, uint32_t aMaxBodyBytes)
  : mState(std::make_unique<state>())
{
  mState->mMaxHeaderBytes = aMaxHeaderBytes;
  mState->mParser.header_limit(aMaxHeaderBytes);
  mState->mParser.body_limit(aMaxBodyBytes);
  mState->mParser.eager(false);
}

request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;

size_t request_parser::Feed(std::string_view aBytes)
{
  size_t consumed = 0;
  while (State() == parse_state::kIncomplete) {
    boost::system::error_code failure;
    const size_t used =
      FeedParser(mState->mParser, aBytes.substr(consumed), failure);
    consumed += used;
    if (failure) {
      mState->Fail(StatusOf(failure), failure.message());
      break;
    }
    if (mState->mParser.is_header_done() && !mState->mHeaderChecked) {
      mState->CheckHeader();
      continue;
    }
    if (used == 0) {
      break;
    }
  }
  const bool headerTooLong = !mState->mParser.is_header_done() &&
                             aBytes.size() > mState->mMaxHeaderBytes;
  if (State() == parse_state::kIncomplete && headerTooLong) {
    mState->Fail(kHeaderFieldsTooLarge, "header too large");
  }
  return consumed;
}

parse_state request_parser::State() const
{
  if (mState->mFailureStatus != 0) {
    return parse_state::kFailed;
  }
  return mState->mParser.is_done() && mState->mHeaderChecked
           ? parse_state::kComplete
           : parse_state::kIncomplete;
}

bool request_parser::HasStarted() const
{
  return mState->mParser.got_some();
}

size_t request_parser::HeldBytes() const
{
  return mState->mParser.mContent.HeldBytes();
}

http_request request_parser::Take()
{
  PARSLEYSTAIR_INVARIANT(State() == parse_state::kComplete);
  collecting_parser<true>& parser = mState->mParser;
  http_request request;
  request.mMethod = std::move(parser.mMethod);
  request.mHeaders = std::move(parser.mContent.mHeaders);
  request.mBody = std::move(parser.mContent.mBody);
  request.mTarget = std::move(parser.mTarget);
  const std::string host = TakeAuthority(request.mTarget);
  if (!host.empty()) {
    std::erase_if(request.mHeaders, [](const http_header& aHeader) {
      return SameHeaderName(aHeader.mName, "host");
    });
    request.mHeaders.push_back({ "Host", host });
  }
  const size_t mark = request.mTarget.find('?');
  request.mPath = request.mTarget.substr(0, mark);
  if (mark != std::string::npos) {
    request.mQuery = request.mTarget.substr(mark + 1);
  }
  return request;
}

bool request_parser::EndsConnection() const
{
  return !mState->mParser.keep_alive();
}

bool request_parser::ExpectsContinue() const
{
  if (!mState->mHeaderChecked || State() != parse_state::kIncomplete) {
    return false;
  }
  const auto expect = FindHeader(mState->mParser.mContent.mHeaders, "expect");
  return expect && SameHeaderName(*expect, "100-continue");
}

uint32_t request_parser::FailureStatus() const
{
  return mState->mFailureStatus;
}

std::string request_parser::FailureReason() const
{
  return mState->mFailureReason;
}

} // namespace parsleystair
