#include "Parsleystair/Settings/RequestPattern.h"

#include <algorithm>
#include <set>

namespace parsleystair {

namespace {

constexpr size_t kMaxSegments = 16;
constexpr size_t kMaxSegmentBytes = 128;

constexpr const char* kSegmentCharacters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                           "abcdefghijklmnopqrstuvwxyz"
                                           "0123456789-_.~";

bool IsVariable(const std::string& aSegment)
{
  return aSegment.starts_with('{');
}

bool HasOnlySegmentCharacters(const std::string& aText)
{
  return !aText.empty() &&
         aText.find_first_not_of(kSegmentCharacters) == std::string::npos;
}

bool IsSegment(const std::string& aSegment)
{
  if (aSegment.size() > kMaxSegmentBytes) {
    return false;
  }
  if (IsVariable(aSegment)) {
    return aSegment.ends_with('}') && aSegment.size() > 2 &&
           HasOnlySegmentCharacters(aSegment.substr(1, aSegment.size() - 2));
  }
  // Servers and clients remove "." and "..", so no request has them.
  return HasOnlySegmentCharacters(aSegment) && aSegment != "." &&
         aSegment != "..";
}

std::vector<std::string> Split(const std::string& aPath)
{
  std::vector<std::string> segments;
  size_t from = 1;
  while (from <= aPath.size()) {
    const size_t to = std::min(aPath.find('/', from), aPath.size());
    segments.push_back(aPath.substr(from, to - from));
    from = to + 1;
  }
  return segments;
}

/// Compares segment by segment with `aMatch(left, right)`.
template<typename Match>
bool AllSegments(const request_pattern& aLeft,
                 const request_pattern& aRight,
                 const Match& aMatch)
{
  return aLeft.mMethod == aRight.mMethod && std::equal(aLeft.mSegments.begin(),
                                                       aLeft.mSegments.end(),
                                                       aRight.mSegments.begin(),
                                                       aRight.mSegments.end(),
                                                       aMatch);
}

} // namespace

bool IsPathPattern(const std::string& aPath)
{
  if (!aPath.starts_with('/')) {
    return false;
  }
  if (aPath == "/") {
    return true;
  }
  const std::vector<std::string> segments = Split(aPath);
  std::set<std::string> variables;
  for (const std::string& segment : segments) {
    if (!IsSegment(segment)) {
      return false;
    }
    if (IsVariable(segment) && !variables.insert(segment).second) {
      return false;
    }
  }
  return segments.size() <= kMaxSegments;
}

request_pattern MakeRequestPattern(const std::string& aMethod,
                                   const std::string& aPath)
{
  return { aMethod, Split(aPath) };
}

bool HasVariable(const request_pattern& aPattern, const std::string& aName)
{
  const auto& segments = aPattern.mSegments;
  return std::find(segments.begin(), segments.end(), "{" + aName + "}") !=
         segments.end();
}

bool Overlap(const request_pattern& aLeft, const request_pattern& aRight)
{
  return AllSegments(
    aLeft, aRight, [](const std::string& aOne, const std::string& aOther) {
      return IsVariable(aOne) || IsVariable(aOther) || aOne == aOther;
    });
}

bool Covers(const request_pattern& aOuter, const request_pattern& aInner)
{
  return AllSegments(
    aOuter, aInner, [](const std::string& aOne, const std::string& aOther) {
      return IsVariable(aOne) || aOne == aOther;
    });
}

} // namespace parsleystair
