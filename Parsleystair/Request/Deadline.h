#pragma once

#include "Parsleystair/Core/Time.h"
#include "Parsleystair/Http/HttpMessage.h"
#include "Parsleystair/Request/Outcome.h"
#include "Parsleystair/Settings/Configuration.h"

#include <variant>

namespace parsleystair {

/// Name of the header with the time that a caller gives a request, in ms.
inline constexpr const char* kDeadlineHeader = "Request-Deadline-Ms";

/// Time until which a request must be answered: the rule's, or the caller's if
/// that is sooner. Refuses a header that is no number from 1 to 3,600,000.
std::variant<time_point, refused_not_run> FindDeadline(
  const request_rule& aRule,
  const http_request& aRequest,
  time_point aNow);

} // namespace parsleystair
