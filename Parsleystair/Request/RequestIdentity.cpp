#include "Parsleystair/Request/RequestIdentity.h"

#include "Parsleystair/Core/Hash.h"

#include <algorithm>

namespace parsleystair {

namespace {

constexpr size_t kMaxRequestIdBytes = 128;

bool IsVisible(char aCharacter)
{
  constexpr char kFirstVisible = '!';
  constexpr char kLastVisible = '~';
  return aCharacter >= kFirstVisible && aCharacter <= kLastVisible;
}

} // namespace

uint64_t FingerprintOf(const http_request& aRequest)
{
  std::string bytes = aRequest.mMethod;
  bytes += ' ';
  bytes += aRequest.mPath;
  bytes += '?';
  bytes += aRequest.mQuery;
  bytes += '\0';
  bytes += aRequest.mBody;
  return Hash64(bytes);
}

caller_name CallerOf(const http_request& aRequest)
{
  return caller_name(FindHeader(aRequest.mHeaders, kCallerHeader)
                       .value_or(aRequest.mRemoteHost));
}

std::string GivenRequestId(const http_request& aRequest)
{
  const auto given = FindHeader(aRequest.mHeaders, kRequestIdHeader);
  const bool usable = given && !given->empty() &&
                      given->size() <= kMaxRequestIdBytes &&
                      std::all_of(given->begin(), given->end(), IsVisible);
  return usable ? *given : "";
}

} // namespace parsleystair
