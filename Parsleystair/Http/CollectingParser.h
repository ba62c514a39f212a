#pragma once

#include "Parsleystair/Core/ByteBudget.h"
#include "Parsleystair/Http/HttpMessage.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Boost.Beast's parser as the sources of this module use it. Slow to compile:
/// not for headers.

namespace parsleystair {

namespace beast = boost::beast;

inline std::string ToString(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Tells if a field value has no control characters but tabs.
inline bool IsValidValue(std::string_view aValue)
{
  return std::none_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return (byte < ' ' && byte != '\t') || byte == 0x7f;
  });
}

/// Fields and body that both kinds of message collect.
struct message_content
{
  std::vector<http_header> mHeaders;
  std::string mBody;

  /// Memory of the body and the fields; fields are limited, so a rough size is
  /// enough for them.
  [[nodiscard]] size_t HeldBytes() const
  {
    constexpr size_t kFieldBytes = 128;
    return HeapBytes(mBody) + mHeaders.size() * kFieldBytes;
  }
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
  /// Number of chunks that are not empty.
  uint64_t mChunks = 0;

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
      aError = beast::http::error::bad_value;
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

  void on_chunk_header_impl(uint64_t aSize,
                            beast::string_view /*aExtensions*/,
                            error_code& /*aError*/) override
  {
    mChunks += aSize > 0 ? 1 : 0;
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
  if (aError == beast::http::error::need_more) {
    aError = {};
  }
  return used;
}

} // namespace parsleystair
