#pragma once

#include <string>
#include <vector>

namespace parsleystair {

/// What a path of a rule may be, for error messages.
inline constexpr const char* kPathPatternAllowed =
  "'/' and segments of 1 to 128 letters, digits, '-', '_', '.', '~' or "
  "one {name}, at most 16, each {name} once";

/// The requests that a rule is for: a method and a path in which `{name}`
/// stands for one segment that may be anything.
struct request_pattern
{
  std::string mMethod;
  /// Text of each segment; of a variable one `{name}`.
  std::vector<std::string> mSegments;

  bool operator==(const request_pattern&) const = default;
};

/// Whether a text is a path as `kPathPatternAllowed` says.
bool IsPathPattern(const std::string& aPath);

/// Splits a path that `IsPathPattern`.
request_pattern MakeRequestPattern(const std::string& aMethod,
                                   const std::string& aPath);

/// Whether the pattern has the variable segment `{aName}`.
bool HasVariable(const request_pattern& aPattern, const std::string& aName);

/// Whether one request matches both patterns.
bool Overlap(const request_pattern& aLeft, const request_pattern& aRight);

/// Whether each request that matches `aInner` matches `aOuter`.
bool Covers(const request_pattern& aOuter, const request_pattern& aInner);

} // namespace parsleystair
