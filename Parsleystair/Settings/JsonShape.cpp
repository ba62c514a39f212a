#include "Parsleystair/Settings/JsonShape.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// Longest rendering of a value, in bytes.
constexpr size_t kMaxRenderedBytes = 80;

/// Deepest nesting of a document. Our documents need fewer than ten levels;
/// the bound keeps recursive functions of the JSON library off hostile input.
constexpr int kMaxDepth = 64;

std::string Render(const json& aValue)
{
  if (aValue.is_object()) {
    return "an object with " + std::to_string(aValue.size()) + " members";
  }
  if (aValue.is_array()) {
    return "an array of " + std::to_string(aValue.size());
  }
  std::string text = aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxRenderedBytes) {
    text = text.substr(0, kMaxRenderedBytes) + "...";
  }
  return text;
}

/// Reports members that one object holds twice, and nesting that is too deep.
/// The library would keep the last member and drop the others silently.
class document_checker
{
public:
  bool Accept(int aDepth, json::parse_event_t aEvent, const json& aValue)
  {
    if (aDepth > kMaxDepth) {
      mFault = "nesting deeper than " + std::to_string(kMaxDepth) + " levels";
      return false;
    }
    if (aEvent == json::parse_event_t::object_start) {
      mMembers.emplace_back();
    }
    if (aEvent == json::parse_event_t::object_end) {
      mMembers.pop_back();
    }
    if (aEvent == json::parse_event_t::key &&
        !mMembers.back().insert(aValue.get<std::string>()).second &&
        mFault.empty()) {
      mFault = "the member " + Render(aValue) + " twice in one object";
    }
    return true;
  }

  [[nodiscard]] const std::string& Fault() const { return mFault; }

private:
  std::vector<std::set<std::string>> mMembers;
  std::string mFault;
};

value_problem DocumentProblem(const std::string& aFault)
{
  return { kDocumentPath, aFault, "one JSON object, each member once" };
}

/// Parses a document; the problem is set when it can't be used.
json ParseDocument(const std::string& aText,
                   std::optional<value_problem>& aProblem)
{
  document_checker checker;
  json document;
  try {
    document = json::parse(
      aText, [&](int aDepth, json::parse_event_t aEvent, json& aValue) {
        return checker.Accept(aDepth, aEvent, aValue);
      });
  } catch (const json::parse_error& exception) {
    aProblem = DocumentProblem("text that is no JSON from byte " +
                               std::to_string(exception.byte) + " on");
    return {};
  }
  if (!checker.Fault().empty()) {
    aProblem = DocumentProblem(checker.Fault());
  } else if (!document.is_object()) {
    aProblem = DocumentProblem(Render(document));
  }
  return document;
}

/// Walks a document and its schema in step along the path of one fault.
class shape_cursor
{
public:
  shape_cursor(const json& aDocument, const json& aSchema)
    : mRoot(aSchema)
    , mValue(&aDocument)
    , mSchema(Resolve(&aSchema))
  {
  }

  /// Takes one step of a path of the validator, like "[services]" or "[0]".
  void Enter(const std::string& aStep)
  {
    const std::string name = aStep.substr(1, aStep.size() - 2);
    if (mValue->is_array()) {
      mValue = &mValue->at(std::stoul(name));
      mSchema = Resolve(&mSchema->at("items"));
      mPath += "[" + name + "]";
      return;
    }
    mPath = PathOf(name);
    mValue = &mValue->at(name);
    mSchema = Resolve(&mSchema->at("properties").at(name));
  }

  [[nodiscard]] value_problem ProblemHere() const
  {
    return { mPath.empty() ? kDocumentPath : mPath,
             Render(*mValue),
             Allowed(*mSchema) };
  }

  [[nodiscard]] value_problem MissingProblem(const std::string& aName) const
  {
    const json* schema = Resolve(&mSchema->at("properties").at(aName));
    return { PathOf(aName), "a missing value", Allowed(*schema) };
  }

  [[nodiscard]] std::vector<value_problem> UnknownProblems() const
  {
    const json& known = mSchema->at("properties");
    std::string names;
    for (const auto& member : known.items()) {
      names += names.empty() ? "" : ", ";
      names += member.key();
    }
    std::vector<value_problem> problems;
    for (const auto& member : mValue->items()) {
      if (!known.contains(member.key())) {
        problems.push_back({ PathOf(member.key()),
                             "an unknown member",
                             "only the members " + names });
      }
    }
    return problems;
  }

private:
  [[nodiscard]] std::string PathOf(const std::string& aName) const
  {
    return mPath.empty() ? aName : mPath + "." + aName;
  }

  [[nodiscard]] const json* Resolve(const json* aSchema) const
  {
    while (aSchema->contains("$ref")) {
      const std::string reference = aSchema->at("$ref").get<std::string>();
      aSchema = &mRoot.at(json::json_pointer(reference.substr(1)));
    }
    return aSchema;
  }

  static std::string Allowed(const json& aSchema)
  {
    return aSchema.at("description").get<std::string>();
  }

  const json& mRoot;
  const json* mValue;
  const json* mSchema;
  std::string mPath;
};

/// The name in quotes at the end of an error of the validator.
std::string QuotedName(const std::string& aDescription)
{
  const size_t from = aDescription.find('\'') + 1;
  return aDescription.substr(from, aDescription.rfind('\'') - from);
}

/// The validator repeats each fault for all values around the faulty one.
bool IsRepetition(const std::string& aDescription)
{
  return aDescription.starts_with("Failed to validate");
}

std::vector<value_problem> ProblemsOf(
  const valijson::ValidationResults::Error& aError,
  const json& aDocument,
  const json& aSchema)
{
  shape_cursor cursor(aDocument, aSchema);
  for (size_t i = 1; i < aError.context.size(); ++i) {
    cursor.Enter(aError.context[i]);
  }
  if (aError.description.starts_with("Missing required property")) {
    return { cursor.MissingProblem(QuotedName(aError.description)) };
  }
  if (aError.description.starts_with("Object contains a property")) {
    return cursor.UnknownProblems();
  }
  return { cursor.ProblemHere() };
}

} // namespace

struct json_shape::state
{
  json mDocument;
  valijson::Schema mSchema;
};

json_shape::json_shape(const std::string& aSchema)
{
  auto made = std::make_unique<state>();
  made->mDocument = json::parse(aSchema);
  valijson::SchemaParser parser;
  parser.populateSchema(
    valijson::adapters::NlohmannJsonAdapter(made->mDocument), made->mSchema);
  mState = std::move(made);
}

json_shape::~json_shape() = default;

std::vector<value_problem> json_shape::Check(const std::string& aText) const
{
  std::optional<value_problem> documentProblem;
  const json document = ParseDocument(aText, documentProblem);
  if (documentProblem) {
    return { *documentProblem };
  }

  // Run the validator.
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(document);
  if (validator.validate(mState->mSchema, target, &results)) {
    return {};
  }

  // Turn its errors into problems, each once.
  std::vector<value_problem> problems;
  for (const auto& fault : results) {
    if (IsRepetition(fault.description)) {
      continue;
    }
    for (value_problem& problem :
         ProblemsOf(fault, document, mState->mDocument)) {
      problems.push_back(std::move(problem));
    }
  }
  std::stable_sort(problems.begin(),
                   problems.end(),
                   [](const value_problem& aLeft, const value_problem& aRight) {
                     return aLeft.mPath < aRight.mPath;
                   });
  problems.erase(std::unique(problems.begin(), problems.end()), problems.end());
  return problems;
}

std::string RenderValue(const std::string& aJsonText)
{
  return Render(json::parse(aJsonText));
}

} // namespace parsleystair
