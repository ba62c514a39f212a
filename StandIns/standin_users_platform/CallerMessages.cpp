#include "StandIns/standin_users_platform/CallerMessages.h"

namespace parsleystair {

http_request CallerRequest(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aId,
                           duration aTimeLeft,
                           std::optional<uint32_t> aKey)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeLeft);
  http_request request;
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mHeaders = { { "Host", "shop.example" },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms", std::to_string(left.count()) } };
  if (aKey) {
    request.mHeaders.push_back({ "X-Shard-Key", std::to_string(*aKey) });
  }
  return request;
}

bool IsSignedAnswer(const http_response& aAnswer, const std::string& aId)
{
  return FindHeader(aAnswer.mHeaders, "X-Request-Id") == aId &&
         FindHeader(aAnswer.mHeaders, "X-Response-Signature").has_value();
}

} // namespace parsleystair
