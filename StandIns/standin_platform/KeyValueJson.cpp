#include "StandIns/standin_platform/KeyValueJson.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Platform/Base64.h"

#include <array>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

std::string CamelCase(const std::string& aName)
{
  std::string camel;
  bool capital = false;
  for (const char character : aName) {
    if (character == '_') {
      capital = true;
      continue;
    }
    camel += capital ? static_cast<char>(std::toupper(character)) : character;
    capital = false;
  }
  return camel;
}

std::string JsonBytes(const json& aObject, const std::string& aName)
{
  const json value = JsonField(aObject, aName);
  if (value.is_null()) {
    return "";
  }
  if (!value.is_string()) {
    throw parse_error(aName + " is not a base64 string");
  }
  return DecodeBase64(value.get_ref<const std::string&>());
}

bool JsonFlag(const json& aObject, const std::string& aName)
{
  const json value = JsonField(aObject, aName);
  if (!value.is_null() && !value.is_boolean()) {
    throw parse_error(aName + " is not true or false");
  }
  return value.is_boolean() && value.get<bool>();
}

/// Index of a member of an enumeration, whose first member is the default.
template<size_t Size>
size_t JsonChoice(const json& aObject,
                  const std::string& aName,
                  const std::array<const char*, Size>& aChoices)
{
  const json value = JsonField(aObject, aName);
  if (value.is_null()) {
    return 0;
  }
  for (size_t i = 0; i < Size; ++i) {
    if (value == aChoices[i] || value == i) {
      return i;
    }
  }
  throw parse_error(aName + " is not known: " + value.dump());
}

kv_compare ParseCompare(const json& aBody)
{
  constexpr std::array<const char*, 4> kTargets = {
    "VERSION", "CREATE", "MOD", "VALUE"
  };
  constexpr std::array<const char*, 4> kResults = {
    "EQUAL", "GREATER", "LESS", "NOT_EQUAL"
  };
  constexpr std::array<const char*, 3> kNumbers = { "version",
                                                    "create_revision",
                                                    "mod_revision" };
  kv_compare compare;
  const size_t target = JsonChoice(aBody, "target", kTargets);
  compare.mTarget = static_cast<kv_compare_target>(target);
  compare.mResult =
    static_cast<kv_compare_result>(JsonChoice(aBody, "result", kResults));
  compare.mKey = JsonBytes(aBody, "key");
  if (target < kNumbers.size()) {
    compare.mNumber = JsonInteger(aBody, kNumbers[target]);
  } else {
    compare.mValue = JsonBytes(aBody, "value");
  }
  return compare;
}

kv_operation ParseOperation(const json& aBody)
{
  if (const json put = JsonField(aBody, "request_put"); !put.is_null()) {
    return ParsePut(put);
  }
  if (const json range = JsonField(aBody, "request_range"); !range.is_null()) {
    return ParseRange(range);
  }
  const json deletion = JsonField(aBody, "request_delete_range");
  if (deletion.is_null()) {
    throw parse_error("operation is not known: " + aBody.dump());
  }
  return kv_delete{ ParseInterval(deletion) };
}

std::vector<kv_operation> ParseOperations(const json& aBody)
{
  std::vector<kv_operation> operations;
  for (const json& operation : aBody) {
    operations.push_back(ParseOperation(operation));
  }
  return operations;
}

/// Sets an integer field, which is absent when 0.
void SetInteger(json& aObject, const char* aName, uint64_t aValue)
{
  if (aValue != 0) {
    aObject[aName] = std::to_string(aValue);
  }
}

json WriteRangeResult(const kv_range_result& aResult)
{
  json body = json::object();
  for (const kv_entry& entry : aResult.mEntries) {
    body["kvs"].push_back(WriteEntry(entry));
  }
  if (aResult.mMore) {
    body["more"] = true;
  }
  SetInteger(body, "count", aResult.mCount);
  return body;
}

const char* ResponseName(const kv_operation_result& aResult)
{
  if (std::holds_alternative<kv_range_result>(aResult)) {
    return "response_range";
  }
  return std::holds_alternative<kv_put_result>(aResult)
           ? "response_put"
           : "response_delete_range";
}

} // namespace

json JsonField(const json& aObject, const std::string& aName)
{
  if (!aObject.is_object()) {
    throw parse_error("not a JSON object: " + aObject.dump());
  }
  for (const std::string& name : { aName, CamelCase(aName) }) {
    if (const auto found = aObject.find(name); found != aObject.end()) {
      return *found;
    }
  }
  return nullptr;
}

uint64_t JsonInteger(const json& aObject, const std::string& aName)
{
  const json value = JsonField(aObject, aName);
  if (value.is_null()) {
    return 0;
  }
  if (value.is_number_unsigned()) {
    return value.get<uint64_t>();
  }
  uint64_t number = 0;
  const std::string text = value.is_string() ? value.get<std::string>() : "";
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  if (fault != std::errc() || stop != end) {
    throw parse_error(aName + " is not an integer: " + value.dump());
  }
  return number;
}

kv_interval ParseInterval(const json& aBody)
{
  return { JsonBytes(aBody, "key"), JsonBytes(aBody, "range_end") };
}

kv_range ParseRange(const json& aBody)
{
  kv_range range;
  range.mKeys = ParseInterval(aBody);
  range.mRevision = JsonInteger(aBody, "revision");
  range.mMinModRevision = JsonInteger(aBody, "min_mod_revision");
  range.mLimit = JsonInteger(aBody, "limit");
  range.mKeysOnly = JsonFlag(aBody, "keys_only");
  range.mCountOnly = JsonFlag(aBody, "count_only");
  return range;
}

kv_put ParsePut(const json& aBody)
{
  return { JsonBytes(aBody, "key"),
           JsonBytes(aBody, "value"),
           JsonInteger(aBody, "lease") };
}

kv_transaction ParseTransaction(const json& aBody)
{
  kv_transaction transaction;
  for (const json& compare : JsonField(aBody, "compare")) {
    transaction.mCompares.push_back(ParseCompare(compare));
  }
  transaction.mSuccess = ParseOperations(JsonField(aBody, "success"));
  transaction.mFailure = ParseOperations(JsonField(aBody, "failure"));
  return transaction;
}

json WriteHeader(uint64_t aHead)
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(aHead) },
           { "raft_term", "1" } };
}

json WriteEntry(const kv_entry& aEntry)
{
  json body = { { "key", EncodeBase64(aEntry.mKey) } };
  SetInteger(body, "create_revision", aEntry.mCreateRevision);
  SetInteger(body, "mod_revision", aEntry.mModRevision);
  SetInteger(body, "version", aEntry.mVersion);
  SetInteger(body, "lease", aEntry.mLease);
  if (!aEntry.mValue.empty()) {
    body["value"] = EncodeBase64(aEntry.mValue);
  }
  return body;
}

json WriteResult(const kv_operation_result& aResult, uint64_t aHead)
{
  json body = json::object();
  if (const auto* range = std::get_if<kv_range_result>(&aResult)) {
    body = WriteRangeResult(*range);
  }
  if (const auto* deletion = std::get_if<kv_delete_result>(&aResult)) {
    SetInteger(body, "deleted", deletion->mDeleted);
  }
  body["header"] = WriteHeader(aHead);
  return body;
}

json WriteTransactionResult(const kv_transaction_result& aResult,
                            uint64_t aHead)
{
  json body = { { "header", WriteHeader(aHead) } };
  if (aResult.mSucceeded) {
    body["succeeded"] = true;
  }
  for (const kv_operation_result& result : aResult.mResults) {
    body["responses"].push_back(
      { { ResponseName(result), WriteResult(result, aHead) } });
  }
  return body;
}

json WriteEvent(const kv_entry& aEntry)
{
  json event = { { "kv", WriteEntry(aEntry) } };
  if (aEntry.IsDeleted()) {
    event["type"] = "DELETE";
  }
  return event;
}

json WriteError(int aCode, const std::string& aText)
{
  return { { "error", aText }, { "message", aText }, { "code", aCode } };
}

} // namespace parsleystair
