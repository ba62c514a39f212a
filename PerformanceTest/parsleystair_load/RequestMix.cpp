#include "PerformanceTest/parsleystair_load/RequestMix.h"

#include "Parsleystair/Core/Error.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 6> kMethods = { "GET", "POST",   "HEAD",
                                                  "PUT", "DELETE", "PATCH" };
constexpr std::array<const char*, 9> kMembers = {
  "name",        "method",  "path", "share",     "idempotent",
  "repeatShare", "headers", "body", "deadlineMs"
};

/// Members of one kind of request, with the path for errors.
class kind_reader
{
public:
  kind_reader(const json& aObject, std::string aPath)
    : mObject(aObject)
    , mPath(std::move(aPath))
  {
    if (!aObject.is_object()) {
      throw value_error(mPath, aObject.dump(), "an object");
    }
    for (const auto& [name, value] : aObject.items()) {
      if (std::find(kMembers.begin(), kMembers.end(), name) == kMembers.end()) {
        throw value_error(mPath + "." + name,
                          value.dump(),
                          "name, method, path, share, idempotent, "
                          "repeatShare, headers, body, deadlineMs");
      }
    }
  }

  [[nodiscard]] std::string Text(const char* aName, bool aRequired) const
  {
    const json value = mObject.value(aName, json(aRequired ? json() : ""));
    Check(value.is_string() && (!aRequired || value != json("")),
          aName,
          aRequired ? "a text that is not empty" : "a text");
    return value.get<std::string>();
  }

  [[nodiscard]] bool Flag(const char* aName, bool aDefault) const
  {
    const json value = mObject.value(aName, json(aDefault));
    Check(value.is_boolean(), aName, "true, false");
    return value.get<bool>();
  }

  [[nodiscard]] double Number(const char* aName,
                              double aDefault,
                              double aMax,
                              const char* aAllowed) const
  {
    const json value = mObject.value(aName, json(aDefault));
    Check(value.is_number() && value.get<double>() >= 0 &&
            value.get<double>() <= aMax,
          aName,
          aAllowed);
    return value.get<double>();
  }

  [[nodiscard]] std::vector<http_header> Headers() const
  {
    std::vector<http_header> headers;
    const json value = mObject.value("headers", json::object());
    Check(value.is_object(), "headers", "an object of texts");
    for (const auto& [name, text] : value.items()) {
      Check(text.is_string(), "headers", "an object of texts");
      headers.push_back({ name, text.get<std::string>() });
    }
    return headers;
  }

  void Check(bool aHolds, const char* aName, const char* aAllowed) const
  {
    if (!aHolds) {
      const json value = mObject.value(aName, json());
      throw value_error(mPath + "." + aName, value.dump(), aAllowed);
    }
  }

private:
  const json& mObject;
  std::string mPath;
};

request_kind ReadKind(const json& aObject, const std::string& aPath)
{
  constexpr double kMaxShare = 1e6;
  constexpr double kMaxDeadlineMs = 3'600'000;
  const kind_reader reader(aObject, aPath);
  request_kind kind;
  kind.mName = reader.Text("name", true);
  kind.mMethod = reader.Text("method", true);
  reader.Check(std::find(kMethods.begin(), kMethods.end(), kind.mMethod) !=
                 kMethods.end(),
               "method",
               "GET, POST, HEAD, PUT, DELETE, PATCH");
  kind.mPath = reader.Text("path", true);
  reader.Check(kind.mPath[0] == '/', "path", "a text that starts with /");
  kind.mHeaders = reader.Headers();
  kind.mBody = reader.Text("body", false);
  kind.mShare = reader.Number("share", 1, kMaxShare, "0 to 1000000");
  kind.mIdempotent = reader.Flag("idempotent", true);
  kind.mRepeatShare = reader.Number("repeatShare", 0, 1, "0 to 1");
  reader.Check(kind.mRepeatShare == 0 || !kind.mIdempotent,
               "repeatShare",
               "0 for an idempotent kind");
  kind.mDeadlineMs = static_cast<uint32_t>(
    reader.Number("deadlineMs", 0, kMaxDeadlineMs, "0 to 3600000"));
  return kind;
}

} // namespace

std::vector<request_kind> ParseRequestMix(const std::string& aText)
{
  const json body = json::parse(aText, nullptr, false);
  if (!body.is_object() || !body.contains("requests") ||
      !body["requests"].is_array()) {
    throw value_error(
      "mix", aText.substr(0, 40), R"(JSON like {"requests":[{...}]})");
  }
  std::vector<request_kind> kinds;
  double shares = 0;
  for (const json& object : body["requests"]) {
    kinds.push_back(
      ReadKind(object, "mix.requests[" + std::to_string(kinds.size()) + "]"));
    shares += kinds.back().mShare;
  }
  if (shares <= 0) {
    throw value_error(
      "mix.requests", body["requests"].dump(), "a sum of shares above 0");
  }
  return kinds;
}

std::string FillKey(std::string aTemplate, const std::string& aKey)
{
  const std::string placeholder = "{key}";
  for (size_t at = aTemplate.find(placeholder); at != std::string::npos;
       at = aTemplate.find(placeholder, at + aKey.size())) {
    aTemplate.replace(at, placeholder.size(), aKey);
  }
  return aTemplate;
}

} // namespace parsleystair
