#pragma once

#include "Parsleystair/Core/Ids.h"
#include "Parsleystair/Http/HttpMessage.h"

namespace parsleystair {

/// Header with the caller's own name for a request; given back on the answer.
inline constexpr const char* kRequestIdHeader = "Request-Id";

/// Header with which a target gets the caller's name for a request.
inline constexpr const char* kCallerRequestIdHeader = "Caller-Request-Id";

/// Header that names the caller. A platform that knows its callers sets it;
/// without it the sender's address counts.
inline constexpr const char* kCallerHeader = "Caller-Id";

/// Hash of method, path, query and body.
uint64_t FingerprintOf(const http_request& aRequest);

/// Caller whose share of a full target the request counts towards.
caller_name CallerOf(const http_request& aRequest);

/// The `Request-Id` header if it has 1 to 128 visible characters, else empty.
std::string GivenRequestId(const http_request& aRequest);

} // namespace parsleystair
