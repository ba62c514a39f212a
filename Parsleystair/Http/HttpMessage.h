#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleystair {

/// Header of an HTTP message.
struct http_header
{
  std::string mName;
  std::string mValue;

  bool operator==(const http_header&) const = default;
};

/// A whole answer; one that was cut short is never stored in this type.
struct http_response
{
  uint32_t mStatus = 0;
  std::vector<http_header> mHeaders;
  std::string mBody;

  bool operator==(const http_response&) const = default;
};

/// A whole HTTP request.
struct http_request
{
  /// Method in capitals.
  std::string mMethod;
  /// Path as sent, without the query.
  std::string mPath;
  /// Query as sent, without the question mark.
  std::string mQuery;
  std::vector<http_header> mHeaders;
  std::string mBody;
  /// IP address of the sender; not set in requests that are made here.
  std::string mRemoteHost;
  /// TCP port of the sender; with the address it names the connection.
  uint16_t mRemotePort = 0;
  /// Request target as received, with the query; empty in requests that are
  /// made here of `mPath` and `mQuery`.
  std::string mTarget;

  bool operator==(const http_request&) const = default;
};

/// First value of a header, whose name is compared without case; none if
/// absent.
std::optional<std::string> FindHeader(const std::vector<http_header>& aHeaders,
                                      std::string_view aName);

/// Value of a header that has one value. Differing values of a repeated header
/// are joined as RFC 9110 section 5.2 says, which equals none of them; none if
/// absent.
std::optional<std::string> FindSingleHeader(
  const std::vector<http_header>& aHeaders,
  std::string_view aName);

/// First value of a query parameter, decoded; none if absent.
std::optional<std::string> FindQueryValue(const std::string& aQuery,
                                          const std::string& aName);

/// Tells if two header names are equal without case.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Tells if a header concerns one connection only and is never passed on.
bool IsHopByHop(std::string_view aName);

/// Headers without the hop-by-hop ones and those that `Connection` names.
std::vector<http_header> EndToEndHeaders(
  const std::vector<http_header>& aHeaders);

} // namespace parsleystair
