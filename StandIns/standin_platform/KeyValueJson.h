#pragma once

#include "StandIns/standin_platform/KeyValueTypes.h"

#include <nlohmann/json_fwd.hpp>

namespace parsleystair {

/// etcd's v3 JSON mapping, seen from the server. Requests may name fields in
/// snake_case or camelCase, as with etcd. The parsers throw `parse_error`.

/// Value of a field by its name in snake_case; null when absent.
nlohmann::json JsonField(const nlohmann::json& aObject,
                         const std::string& aName);

/// A 64-bit integer, as a decimal string or a number; 0 when absent.
uint64_t JsonInteger(const nlohmann::json& aObject, const std::string& aName);

kv_interval ParseInterval(const nlohmann::json& aBody);
kv_range ParseRange(const nlohmann::json& aBody);
kv_put ParsePut(const nlohmann::json& aBody);
kv_transaction ParseTransaction(const nlohmann::json& aBody);

/// `header` of an answer.
nlohmann::json WriteHeader(uint64_t aHead);

/// `kvs` entry; a deleted key has no value.
nlohmann::json WriteEntry(const kv_entry& aEntry);

/// Body of an answer.
nlohmann::json WriteResult(const kv_operation_result& aResult, uint64_t aHead);
nlohmann::json WriteTransactionResult(const kv_transaction_result& aResult,
                                      uint64_t aHead);

/// One `events` entry of a watch.
nlohmann::json WriteEvent(const kv_entry& aEntry);

/// Body of an error.
nlohmann::json WriteError(int aCode, const std::string& aText);

} // namespace parsleystair
