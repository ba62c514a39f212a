#include "Parsleystair/Request/Classify.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <optional>
#include <string_view>

namespace parsleystair {

namespace {

/// Longest key, in bytes after decoding.
constexpr size_t kMaxKeyBytes = 512;

/// Removes and returns the first segment of a path that starts with a slash.
std::string_view TakeSegment(std::string_view& aPath)
{
  aPath.remove_prefix(1);
  const size_t end = std::min(aPath.find('/'), aPath.size());
  const std::string_view segment = aPath.substr(0, end);
  aPath.remove_prefix(end);
  return segment;
}

bool IsParameter(std::string_view aSegment)
{
  return aSegment.size() > 2 && aSegment.front() == '{' &&
         aSegment.back() == '}';
}

/// Tells if a path has the shape of a template, and finds one parameter in it.
bool MatchPath(std::string_view aTemplate,
               std::string_view aPath,
               std::string_view aParameter,
               std::string_view& aValue)
{
  while (!aTemplate.empty() && !aPath.empty()) {
    const std::string_view expected = TakeSegment(aTemplate);
    const std::string_view segment = TakeSegment(aPath);
    if (!IsParameter(expected)) {
      if (expected != segment) {
        return false;
      }
      continue;
    }
    if (expected.substr(1, expected.size() - 2) == aParameter) {
      aValue = segment;
    }
  }
  return aTemplate.empty() && aPath.empty();
}

/// Different spellings of one key must reach one owner, so keys are decoded.
std::string DecodePercent(std::string_view aText)
{
  size_t length = 0;
  char* decoded = evhttp_uridecode(std::string(aText).c_str(), 0, &length);
  std::string result(decoded == nullptr ? "" : decoded, length);
  std::free(decoded);
  return result;
}

std::optional<std::string> FindKey(const request_rule& aRule,
                                   const http_request& aRequest,
                                   std::string_view aPathValue)
{
  switch (aRule.mKeySource) {
    case key_source::kPath:
      return DecodePercent(aPathValue);
    case key_source::kHeader:
      return FindHeader(aRequest.mHeaders, aRule.mKeyName);
    case key_source::kQuery:
      return FindQueryValue(aRequest.mQuery, aRule.mKeyName);
  }
  return std::nullopt;
}

bool IsUsableKey(const std::string& aKey)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return !aKey.empty() && aKey.size() <= kMaxKeyBytes &&
         std::all_of(aKey.begin(), aKey.end(), [](char aCharacter) {
           const auto byte = static_cast<unsigned char>(aCharacter);
           return byte >= kFirstPrintable && byte != kDelete;
         });
}

refused_not_run Refuse(refusal_reason aReason, std::string aDetail)
{
  return { aReason, std::move(aDetail), 0 };
}

} // namespace

const service_configuration& classified_request::Service() const
{
  return mConfiguration->mServices[mServiceIndex];
}

const request_rule& classified_request::Rule() const
{
  return Service().mRules[mRuleIndex];
}

std::variant<classified_request, refused_not_run> Classify(
  std::shared_ptr<const configuration> aConfiguration,
  const http_request& aRequest)
{
  if (aRequest.mPath.empty() || aRequest.mPath.front() != '/') {
    return Refuse(refusal_reason::kBadRequest, "the path must start with /");
  }
  bool pathMatched = false;
  const auto& services = aConfiguration->mServices;
  for (size_t service = 0; service < services.size(); ++service) {
    const auto& rules = services[service].mRules;
    for (size_t rule = 0; rule < rules.size(); ++rule) {
      std::string_view value;
      if (!MatchPath(
            rules[rule].mPath, aRequest.mPath, rules[rule].mKeyName, value)) {
        continue;
      }
      pathMatched = true;
      if (rules[rule].mMethod != aRequest.mMethod) {
        continue;
      }
      const auto key = FindKey(rules[rule], aRequest, value);
      if (!key || !IsUsableKey(*key)) {
        return Refuse(refusal_reason::kBadRequest,
                      "the key " + rules[rule].mKeyName +
                        " must be 1 to 512 bytes of text");
      }
      classified_request classified;
      classified.mServiceIndex = service;
      classified.mRuleIndex = rule;
      classified.mKey = *key;
      classified.mSlot = { services[service].mName,
                           SlotOf(services[service], *key) };
      classified.mGroup = GroupOf(services[service].mName,
                                  classified.mSlot.mSlot,
                                  aConfiguration->mGroupCount);
      classified.mConfiguration = std::move(aConfiguration);
      return classified;
    }
  }
  if (pathMatched) {
    return Refuse(refusal_reason::kMethodNotAllowed,
                  aRequest.mMethod + " is not allowed here");
  }
  return Refuse(refusal_reason::kUnknownService, "no rule has this path");
}

} // namespace parsleystair
