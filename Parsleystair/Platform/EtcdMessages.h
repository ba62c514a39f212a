#pragma once

#include "Parsleystair/Platform/PlatformStore.h"

#include <string>

namespace parsleystair {

/// Bodies of etcd's v3 JSON mapping: keys and values in base64, 64-bit integers
/// as decimal strings, absent fields for zero values.

/// Body of `POST /v3/kv/range`.
std::string EncodeRangeRequest(const range_request& aRequest);

/// Body of `POST /v3/kv/txn`.
std::string EncodeTransactionRequest(const transaction_request& aRequest);

/// Throws `parse_error` when the text is not a whole answer.
range_reply DecodeRangeReply(const std::string& aText);

/// Throws `parse_error` when the text is not a whole answer.
transaction_reply DecodeTransactionReply(const std::string& aText);

/// Reads the answer to `GET /vms`. Throws `parse_error`.
vm_list_reply DecodeVmList(const std::string& aText);

} // namespace parsleystair
