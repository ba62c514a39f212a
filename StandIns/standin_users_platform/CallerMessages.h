#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpMessage.h"

#include <optional>

namespace parsleystair {

/// A caller's request to `shop.example` on the users' platform. `aTimeLeft`:
/// how long the caller waits. `aKey`: for keyed services.
http_request CallerRequest(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aId,
                           duration aTimeLeft,
                           std::optional<uint32_t> aKey = std::nullopt);

/// A target's own answer to this request.
bool IsSignedAnswer(const http_response& aAnswer, const std::string& aId);

} // namespace parsleystair
