#include "Parsleystair/Request/Deadline.h"

#include <algorithm>
#include <charconv>

namespace parsleystair {

std::variant<time_point, refused_not_run> FindDeadline(
  const request_rule& aRule,
  const http_request& aRequest,
  time_point aNow)
{
  constexpr int64_t kMaxMilliseconds = 3'600'000;
  const auto header = FindHeader(aRequest.mHeaders, kDeadlineHeader);
  if (!header) {
    return aNow + aRule.mDeadline;
  }
  int64_t milliseconds = 0;
  const char* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, milliseconds);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     milliseconds >= 1 && milliseconds <= kMaxMilliseconds;
  if (!valid) {
    return refused_not_run{ refusal_reason::kBadRequest,
                            std::string(kDeadlineHeader) +
                              " must be a number from 1 to 3600000",
                            0 };
  }
  const duration wanted = std::chrono::milliseconds(milliseconds);
  return aNow + std::min(wanted, aRule.mDeadline);
}

} // namespace parsleystair
