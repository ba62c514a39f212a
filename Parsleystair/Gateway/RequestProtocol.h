#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/KeyRanges/RangeActions.h"

#include <functional>
#include <optional>

namespace parsleystair {

/// What a caller's request says besides its method, path and body.
struct request_terms
{
  /// Names this attempt of the caller; empty if absent.
  std::string mRequestId;
  /// Time for which the caller waits.
  std::optional<duration> mTimeLeft;
  /// Key number, for services that are divided by key.
  std::optional<uint32_t> mKey;
};

/// What a target's answer says besides its status and body.
struct answer_terms
{
  /// Request that the answer belongs to; empty if it doesn't say.
  std::string mRequestId;
  /// The target vouches for status and body.
  bool mSigned = false;
  /// The target did not run the request, and never will.
  bool mNotRun = false;
  /// The target does not hold the request's key, or is another one than
  /// expected.
  bool mMisdirected = false;
  /// Another target than the expected one answered.
  bool mWrongTarget = false;
  /// The body is not in the encoding that was asked for.
  bool mEncoded = false;
  /// Time for which the target keeps the idle connection open.
  std::optional<duration> mKeepAlive;
};

/// Why a request ends without a target's answer.
enum class refusal_kind
{
  /// The request has not run and never will.
  kNotRun,
  kUnknownRoute,
  /// The request may have run; no usable answer came.
  kNoAnswer,
  /// The request may have run; its time is over.
  kTimeOver,
};

struct refusal
{
  refusal_kind mKind = refusal_kind::kNotRun;
  /// Reason for logs and for the body.
  std::string mReason;
  /// When a new attempt makes sense; zero to say nothing.
  duration mRetryAfter{};
};

/// How callers and targets spell what the router needs to know of requests.
class request_protocol
{
public:
  virtual ~request_protocol() = default;

  [[nodiscard]] virtual request_terms ReadRequest(
    const http_request& aRequest) const = 0;

  /// The request as `aTarget` gets it. Hop-by-hop fields are left out.
  [[nodiscard]] virtual http_request ForwardedRequest(
    const http_request& aRequest,
    const target_name& aTarget,
    duration aTimeLeft) const = 0;

  [[nodiscard]] virtual answer_terms ReadAnswer(
    const http_answer& aAnswer,
    const target_name& aExpected) const = 0;

  /// A health check; its answer tells by status and target if `aTarget` is
  /// healthy.
  [[nodiscard]] virtual http_request HealthCheck(
    const std::string& aPath) const = 0;
  [[nodiscard]] virtual bool IsHealthy(const http_answer& aAnswer,
                                       const target_name& aTarget) const = 0;

  [[nodiscard]] virtual http_answer RefusalAnswer(
    const refusal& aRefusal,
    const std::string& aRequestId) const = 0;
};

/// How targets take orders about the keys that they hold.
class order_protocol
{
public:
  virtual ~order_protocol() = default;

  [[nodiscard]] virtual http_request GrantRequest(
    const grant_order& aOrder) const = 0;
  [[nodiscard]] virtual http_request ReleaseRequest(
    const release_order& aOrder) const = 0;
  [[nodiscard]] virtual order_end ReadOrderAnswer(
    const http_answer& aAnswer) const = 0;
  /// State that the target hands over with a release; empty if there is none.
  [[nodiscard]] virtual std::string ReadHandover(
    const http_answer& aAnswer) const = 0;
};

} // namespace parsleystair
