#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace parsleystair {

/// How far a parser has come with its message.
enum class parse_state
{
  kIncomplete,
  kComplete,
  /// The bytes are not a message; nothing more can be read from the stream.
  kFailed,
};

/// Incremental parser of HTTP/1.1 requests that refuses what RFC 9112 and
/// RFC 9110 leave no meaning to, so that no two programs on the way can see
/// different requests in the same bytes.
class request_parser
{
public:
  /// Both limits are in bytes.
  request_parser(uint32_t aMaxHeaderBytes, uint32_t aMaxBodyBytes);
  ~request_parser();
  request_parser(request_parser&&) noexcept;
  request_parser& operator=(request_parser&&) noexcept;

  /// Reads from the start of the bytes that are not consumed yet. Returns the
  /// number consumed; the rest is offered again together with what follows.
  size_t Feed(std::string_view aBytes);

  [[nodiscard]] parse_state State() const;

  /// True once any byte of the message was consumed.
  [[nodiscard]] bool HasStarted() const;

  /// Memory that the request takes, in bytes.
  [[nodiscard]] size_t HeldBytes() const;

  /// The whole request. Call once, in state kComplete.
  http_request Take();

  /// The sender closes the connection after this request.
  [[nodiscard]] bool EndsConnection() const;

  /// The sender waits for `100 Continue` before it sends the body.
  [[nodiscard]] bool ExpectsContinue() const;

  /// Status and reason that answer a request in state kFailed.
  [[nodiscard]] uint32_t FailureStatus() const;
  [[nodiscard]] std::string FailureReason() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Incremental parser of HTTP/1.1 answers. Interim answers (1xx) are skipped.
/// The bytes that are no body are limited, so that the parser fails on a sender
/// that sends heads, chunk headers or trailers without end.
class answer_parser
{
public:
  /// `aToHead`: the answer has no body, as it belongs to a HEAD request.
  answer_parser(uint32_t aMaxBodyBytes, bool aToHead);
  ~answer_parser();
  answer_parser(answer_parser&&) noexcept;
  answer_parser& operator=(answer_parser&&) noexcept;

  /// As for `request_parser`.
  size_t Feed(std::string_view aBytes);

  /// The stream has ended in order; completes an answer without a length and
  /// fails any other.
  void FeedEnd();

  [[nodiscard]] parse_state State() const;
  [[nodiscard]] bool HasStarted() const;

  /// The parser has failed because the body is longer than allowed.
  [[nodiscard]] bool IsTooLong() const;

  /// The answer has no length of its own and ends with its connection.
  [[nodiscard]] bool EndsWithStream() const;

  /// The connection can't carry another request.
  [[nodiscard]] bool EndsConnection() const;

  /// Status and headers, once all of them have arrived.
  [[nodiscard]] std::optional<http_response> Head() const;

  /// Memory that the answer takes, in bytes.
  [[nodiscard]] size_t HeldBytes() const;

  /// The whole answer. Call once, in state kComplete.
  http_response Take();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace parsleystair
