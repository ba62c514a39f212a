#pragma once

#include "Parsleystair/Http/HttpMessage.h"

#include <string>
#include <vector>

namespace parsleystair {

/// One kind of request in the mix. `{key}` in path, headers and body stands for
/// the request's key.
struct request_kind
{
  std::string mName;
  std::string mMethod;
  /// Path and, after a question mark, query.
  std::string mPath;
  std::vector<http_header> mHeaders;
  std::string mBody;
  /// Weight within the mix.
  double mShare = 1;
  /// Others get a new idempotency key each.
  bool mIdempotent = true;
  /// Share of requests of this kind that repeat an earlier idempotency key at
  /// another router, 0 to 1.
  double mRepeatShare = 0;
  /// `Request-Deadline-Ms`; 0 for none.
  uint32_t mDeadlineMs = 0;

  bool operator==(const request_kind&) const = default;
};

/// Reads `{"requests":[{"name","method","path","share","idempotent",
/// "repeatShare","headers","body","deadlineMs"}]}`; name, method and path are
/// required. Throws `value_error`.
std::vector<request_kind> ParseRequestMix(const std::string& aText);

/// Text with `{key}` replaced.
std::string FillKey(std::string aTemplate, const std::string& aKey);

} // namespace parsleystair
