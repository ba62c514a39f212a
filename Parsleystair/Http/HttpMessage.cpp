#include "Parsleystair/Http/HttpMessage.h"

#include <algorithm>
#include <array>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

namespace parsleystair {

namespace {

/// RFC 9110 section 7.6.1, and the length, which is written anew.
constexpr std::array<std::string_view, 10> kHopByHopNames = {
  "connection",          "keep-alive", "proxy-authenticate",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "proxy-connection",
  "content-length",
};

/// Header names that the value of a `Connection` header lists.
std::vector<std::string> ConnectionOptions(
  const std::vector<http_header>& aHeaders)
{
  std::vector<std::string> names;
  for (const http_header& header : aHeaders) {
    if (!SameHeaderName(header.mName, "connection")) {
      continue;
    }
    std::string name;
    for (const char character : header.mValue + ",") {
      if (character == ',') {
        names.push_back(name);
        name.clear();
      } else if (character != ' ' && character != '\t') {
        name += character;
      }
    }
  }
  return names;
}

} // namespace

std::optional<std::string> FindHeader(const std::vector<http_header>& aHeaders,
                                      std::string_view aName)
{
  for (const http_header& header : aHeaders) {
    if (SameHeaderName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindSingleHeader(
  const std::vector<http_header>& aHeaders,
  std::string_view aName)
{
  const std::string* first = nullptr;
  std::optional<std::string> joined;
  for (const http_header& header : aHeaders) {
    if (!SameHeaderName(header.mName, aName)) {
      continue;
    }
    if (first == nullptr) {
      first = &header.mValue;
      joined = header.mValue;
    } else if (header.mValue != *first) {
      *joined += ", " + header.mValue;
    }
  }
  return joined;
}

std::optional<std::string> FindQueryValue(const std::string& aQuery,
                                          const std::string& aName)
{
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(aQuery.c_str(), &parameters) != 0) {
    return std::nullopt;
  }
  std::optional<std::string> found;
  if (const char* value = evhttp_find_header(&parameters, aName.c_str())) {
    found = value;
  }
  evhttp_clear_headers(&parameters);
  return found;
}

bool SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         evutil_ascii_strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) ==
           0;
}

bool IsHopByHop(std::string_view aName)
{
  return std::any_of(kHopByHopNames.begin(),
                     kHopByHopNames.end(),
                     [&](std::string_view aHopByHop) {
                       return SameHeaderName(aName, aHopByHop);
                     });
}

std::vector<http_header> EndToEndHeaders(
  const std::vector<http_header>& aHeaders)
{
  const std::vector<std::string> options = ConnectionOptions(aHeaders);
  std::vector<http_header> kept;
  kept.reserve(aHeaders.size());
  for (const http_header& header : aHeaders) {
    const bool named = std::any_of(
      options.begin(), options.end(), [&](const std::string& aOption) {
        return SameHeaderName(header.mName, aOption);
      });
    if (!named && !IsHopByHop(header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

} // namespace parsleystair
