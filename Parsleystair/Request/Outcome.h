#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <cstdint>
#include <string>
#include <variant>

namespace parsleystair {

/// Why a request was refused. The text forms are part of the callers' protocol.
enum class refusal_reason
{
  kBadRequest,
  kUnknownService,
  kMethodNotAllowed,
  kMissingIdempotencyKey,
  kBadIdempotencyKey,
  kIdempotencyKeyReused,
  kIdempotencyKeyExpired,
  kDuplicateInProgress,
  kRecordsUnavailable,
  kRecordsFull,
  kNoOwner,
  kOwnerUnreachable,
  kNoAuthority,
  kOverloaded,
  kDeadlineExceeded,
  kCrashingRequest,
  kIncompleteResponse,
  kShuttingDown,
};

/// The target's whole answer.
struct responded
{
  http_response mResponse;
  /// The answer was recorded for an earlier try of the same request.
  bool mReplayed = false;

  bool operator==(const responded&) const = default;
};

/// No target ran the request, and none will.
struct refused_not_run
{
  refusal_reason mReason = refusal_reason::kBadRequest;
  std::string mDetail;
  /// When another try may succeed, in ms; 0 when that is not known.
  uint32_t mRetryAfterMs = 0;

  bool operator==(const refused_not_run&) const = default;
};

/// A target may have run the request, or may still be running it.
struct refused_may_have_run
{
  refusal_reason mReason = refusal_reason::kIncompleteResponse;
  std::string mDetail;

  bool operator==(const refused_may_have_run&) const = default;
};

/// How a request ends; each request has exactly one.
using request_outcome =
  std::variant<responded, refused_not_run, refused_may_have_run>;

} // namespace parsleystair
