#include "Parsleystair/Http/MessageParser.h"

#include "Parsleystair/Core/Invariant.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

// Boost.Beast reads the messages: evhttp's own parser takes requests without a
// host, control bytes in values and malformed escapes, and can't be made to
// refuse them. What Beast leaves to its users is checked here.

namespace parsleystair {

namespace {

namespace beast = boost::beast;
using beast::http::error;

constexpr uint32_t kBadRequest = 400;
constexpr uint32_t kContentTooLarge = 413;
constexpr uint32_t kHeaderFieldsTooLarge = 431;
constexpr uint32_t kNotImplemented = 501;

constexpr uint32_t kFirstFinalStatus = 200;
/// Longest header of an answer, in bytes; above what servers send in practice.
constexpr uint32_t kMaxAnswerHeaderBytes = 64 * 1024;

std::string ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

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

/// Tells if a field value has no control characters but tabs.
bool IsValidValue(std::string_view aValue)
{
  return std::none_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return (byte < ' ' && byte != '\t') || byte == 0x7f;
  });
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

/// Fields and body that both kinds of message collect.
struct message_content
{
  std::vector<http_header> mHeaders;
  std::string mBody;
};

/// Collects the parts of a message that Beast reports. `IsRequest` selects the
/// kind of message.
template<bool IsRequest>
class collecting_parser : public beast::http::basic_parser<IsRequest>
{
public:
  std::string mMethod;
  std::string mTarget;
  uint32_t mStatus = 0;
  int mVersion = 0;
  message_content mContent;

private:
  using error_code = boost::system::error_code;

  void on_request_impl(beast::http::verb /*aVerb*/,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int aVersion,
                       error_code& /*aError*/) override
  {
    mMethod = ToString(aMethod);
    mTarget = ToString(aTarget);
    mVersion = aVersion;
  }

  void on_response_impl(int aCode,
                        beast::string_view /*aReason*/,
                        int aVersion,
                        error_code& /*aError*/) override
  {
    mStatus = static_cast<uint32_t>(aCode);
    mVersion = aVersion;
  }

  void on_field_impl(beast::http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     error_code& aError) override
  {
    mContent.mHeaders.push_back({ ToString(aName), ToString(aValue) });
    if (!IsValidValue(mContent.mHeaders.back().mValue)) {
      aError = error::bad_value;
    }
  }

  void on_header_impl(error_code& /*aError*/) override {}

  void on_body_init_impl(boost::optional<uint64_t> const& /*aLength*/,
                         error_code& /*aError*/) override
  {
  }

  std::size_t on_body_impl(beast::string_view aBody,
                           error_code& /*aError*/) override
  {
    mContent.mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_chunk_header_impl(uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            error_code& /*aError*/) override
  {
  }

  std::size_t on_chunk_body_impl(uint64_t /*aRemaining*/,
                                 beast::string_view aBody,
                                 error_code& /*aError*/) override
  {
    mContent.mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_finish_impl(error_code& /*aError*/) override {}
};

/// Number of fields with a name.
size_t CountFields(const std::vector<http_header>& aHeaders,
                   std::string_view aName)
{
  return static_cast<size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const auto& aHeader) {
      return SameHeaderName(aHeader.mName, aName);
    }));
}

/// Feeds a parser; returns the bytes consumed and sets the error of bytes that
/// are no message.
template<bool IsRequest>
size_t FeedParser(collecting_parser<IsRequest>& aParser,
                  std::string_view aBytes,
                  boost::system::error_code& aError)
{
  aError = {};
  if (aBytes.empty()) {
    return 0;
  }
  const size_t used =
    aParser.put(boost::asio::buffer(aBytes.data(), aBytes.size()), aError);
  if (aError == error::need_more) {
    aError = {};
  }
  return used;
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

struct answer_parser::state
{
  std::unique_ptr<collecting_parser<false>> mParser;
  uint32_t mMaxBodyBytes = 0;
  bool mToHead = false;
  bool mFailed = false;
  bool mStarted = false;

  void Start()
  {
    mParser = std::make_unique<collecting_parser<false>>();
    mParser->header_limit(kMaxAnswerHeaderBytes);
    mParser->body_limit(mMaxBodyBytes);
    mParser->eager(false);
    mParser->skip(mToHead);
  }
};

answer_parser::answer_parser(uint32_t aMaxBodyBytes, bool aToHead)
  : mState(std::make_unique<state>())
{
  mState->mMaxBodyBytes = aMaxBodyBytes;
  mState->mToHead = aToHead;
  mState->Start();
}

answer_parser::~answer_parser() = default;
answer_parser::answer_parser(answer_parser&&) noexcept = default;
answer_parser& answer_parser::operator=(answer_parser&&) noexcept = default;

size_t answer_parser::Feed(std::string_view aBytes)
{
  size_t consumed = 0;
  while (State() == parse_state::kIncomplete) {
    boost::system::error_code failure;
    const size_t used =
      FeedParser(*mState->mParser, aBytes.substr(consumed), failure);
    consumed += used;
    mState->mStarted = mState->mStarted || !aBytes.empty();
    if (failure) {
      mState->mFailed = true;
      break;
    }
    const bool interim = mState->mParser->is_done() &&
                         mState->mParser->mStatus < kFirstFinalStatus;
    if (interim) {
      mState->Start();
      continue;
    }
    if (used == 0) {
      break;
    }
  }
  return consumed;
}

void answer_parser::FeedEnd()
{
  if (State() != parse_state::kIncomplete) {
    return;
  }
  boost::system::error_code failure;
  mState->mParser->put_eof(failure);
  mState->mFailed = static_cast<bool>(failure) || !mState->mParser->is_done();
}

parse_state answer_parser::State() const
{
  if (mState->mFailed) {
    return parse_state::kFailed;
  }
  const bool done =
    mState->mParser->is_done() && mState->mParser->mStatus >= kFirstFinalStatus;
  return done ? parse_state::kComplete : parse_state::kIncomplete;
}

bool answer_parser::HasStarted() const
{
  return mState->mStarted;
}

bool answer_parser::EndsWithStream() const
{
  return mState->mParser->is_header_done() && mState->mParser->need_eof();
}

bool answer_parser::EndsConnection() const
{
  return !mState->mParser->keep_alive();
}

http_answer answer_parser::Take()
{
  PARSLEYSTAIR_INVARIANT(State() == parse_state::kComplete);
  collecting_parser<false>& parser = *mState->mParser;
  return { parser.mStatus,
           std::move(parser.mContent.mHeaders),
           std::move(parser.mContent.mBody) };
}

} // namespace parsleystair
