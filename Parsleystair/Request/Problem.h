#pragma once

#include "Parsleystair/Request/Outcome.h"

#include <string>
#include <string_view>

namespace parsleystair {

/// Name of a refusal in the callers' protocol.
std::string_view ReasonText(refusal_reason aReason);

/// Name of the reason of an outcome; empty for an answer.
std::string_view RefusalReason(const request_outcome& aOutcome);

/// Value of the member `outcome`: "not-run", "may-have-run" or "ran".
std::string_view OutcomeText(const request_outcome& aOutcome);

/// Answer for the caller: the target's, or a refusal as RFC 9457 problem
/// details. Adds the `Request-Id` header.
http_response ToHttpResponse(const request_outcome& aOutcome,
                             const std::string& aRequestId);

} // namespace parsleystair
