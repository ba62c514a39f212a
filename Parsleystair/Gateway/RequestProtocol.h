#pragma once

#include "Parsleystair/Balancing/TargetLoad.h"
#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/KeyRanges/RangeActions.h"

#include <functional>
#include <optional>

namespace parsleystair {

/// Terms of a caller's request, apart from its method, path and body.
struct request_metadata
{
  /// Identifies this attempt of the caller; empty if absent.
  std::string mRequestId;
  /// Time for which the caller still waits for a response.
  std::optional<duration> mTimeLeft;
  /// Key number, for services whose keys are divided among targets.
  std::optional<uint32_t> mKey;
};

/// Terms of a target's response, apart from its status and body.
struct response_metadata
{
  /// Identifier of the request that the response belongs to; empty if absent.
  std::string mRequestId;
  /// The response is signed by the target, which covers status and body.
  bool mSigned = false;
  /// The target did not run the request, and never will.
  bool mNotRun = false;
  /// The target does not hold the request's key, or it is not the expected
  /// target.
  bool mMisdirected = false;
  /// The response came from a target other than the expected one.
  bool mWrongTarget = false;
  /// The body is in an encoding that was not requested.
  bool mEncoded = false;
  /// Time for which the target keeps the idle connection open.
  std::optional<duration> mKeepAlive;
  /// Load of the target; nothing if it states none or an invalid one.
  std::optional<target_load> mLoad;
  /// Rest of the target's slow start; nothing if it states none.
  std::optional<duration> mSlowStart;
};

/// Why a caller's request is refused instead of getting a target's response.
enum class refusal_kind
{
  /// The request has not run and never will.
  kNotRun,
  kUnknownRoute,
  /// The request may have run; no usable response was received.
  kNoResponse,
  /// The request may have run; its deadline was exceeded.
  kDeadlineExceeded,
};

struct refusal
{
  refusal_kind mKind = refusal_kind::kNotRun;
  /// Reason, for the log and the body of the response.
  std::string mReason;
  /// Time after which the caller may retry; zero if none is stated.
  duration mRetryAfter{};
};

/// Encoding of the request and response terms that the router exchanges with
/// callers and targets.
class request_protocol
{
public:
  virtual ~request_protocol() = default;

  [[nodiscard]] virtual request_metadata ReadRequest(
    const http_request& aRequest) const = 0;

  /// Returns the request to send to `aTarget`, without hop-by-hop headers.
  [[nodiscard]] virtual http_request ForwardedRequest(
    const http_request& aRequest,
    const target_name& aTarget,
    duration aTimeLeft) const = 0;

  [[nodiscard]] virtual response_metadata ReadResponse(
    const http_response& aAnswer,
    const target_name& aExpected) const = 0;

  /// Returns a health check request. `IsHealthy` tells from the status and the
  /// target of the response if `aTarget` is healthy.
  [[nodiscard]] virtual http_request HealthCheck(
    const std::string& aPath) const = 0;
  [[nodiscard]] virtual bool IsHealthy(const http_response& aAnswer,
                                       const target_name& aTarget) const = 0;

  /// Whether `aTarget` says in a response that it leaves. A response of another
  /// target tells nothing.
  [[nodiscard]] virtual bool IsLeaving(const http_response& aAnswer,
                                       const target_name& aTarget) const = 0;

  [[nodiscard]] virtual http_response RefusalResponse(
    const refusal& aRefusal,
    const std::string& aRequestId) const = 0;
};

/// Terms of a target's response to an order.
struct order_response
{
  order_result mResult = order_result::kRejected;
  /// Identifier of the order that the response belongs to; empty if absent.
  std::string mRequestId;
  /// State that the target hands over when it releases a range; empty if there
  /// is none that can be used.
  std::string mHandover;
  /// The response states a handover that can't be used.
  bool mHasUnusableHandover = false;
};

/// Encoding of the orders by which targets are granted key ranges and release
/// them.
class order_protocol
{
public:
  virtual ~order_protocol() = default;

  /// `aRequestId`: identifier that the target echoes in its response.
  [[nodiscard]] virtual http_request GrantRequest(
    const grant_order& aOrder,
    const std::string& aRequestId) const = 0;
  [[nodiscard]] virtual http_request ReleaseRequest(
    const release_order& aOrder,
    const std::string& aRequestId) const = 0;
  [[nodiscard]] virtual order_response ReadOrderResponse(
    const http_response& aAnswer) const = 0;
  /// See `request_protocol::IsLeaving`.
  [[nodiscard]] virtual bool IsLeaving(const http_response& aAnswer,
                                       const target_name& aTarget) const = 0;
};

} // namespace parsleystair
