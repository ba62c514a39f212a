#include "Parsleystair/Platform/EtcdMessages.h"

#include "Parsleystair/Core/Error.h"
#include "Parsleystair/Platform/Base64.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

/// Runs a decoder; any error of the JSON library becomes a `parse_error`.
template<typename Decoder>
auto Decode(const std::string& aText, Decoder aDecoder)
{
  try {
    return aDecoder(json::parse(aText));
  } catch (const json::exception& failure) {
    throw parse_error(std::string("answer of the store: ") + failure.what());
  }
}

/// A 64-bit integer: a decimal string, or a number as other writers of the
/// mapping send it.
uint64_t ReadInteger(const json& aValue)
{
  if (aValue.is_number_unsigned()) {
    return aValue.get<uint64_t>();
  }
  const auto& text = aValue.get_ref<const std::string&>();
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data(), end, number);
  if (fault != std::errc() || stop != end) {
    throw parse_error("answer of the store: " + text + " is not an integer");
  }
  return number;
}

store_revision ReadHead(const json& aAnswer)
{
  const store_revision head(ReadInteger(aAnswer.at("header").at("revision")));
  if (head.Value() == 0) {
    throw parse_error("answer of the store: revision 0");
  }
  return head;
}

store_entry ReadEntry(const json& aValue)
{
  store_entry entry;
  entry.mKey = DecodeBase64(aValue.at("key").get_ref<const std::string&>());
  entry.mValue = DecodeBase64(aValue.value("value", std::string()));
  entry.mModRevision = store_revision(ReadInteger(aValue.at("mod_revision")));
  return entry;
}

listed_vm ReadVm(const json& aValue)
{
  listed_vm vm;
  vm.mName = vm_name(aValue.at("name").get<std::string>());
  vm.mHost = aValue.at("host").get<std::string>();
  const auto port = aValue.at("peerPort").get<int64_t>();
  if (port < 1 || port > UINT16_MAX) {
    throw parse_error("VM list: peerPort " + std::to_string(port) +
                      " is outside 1 to 65535");
  }
  vm.mPeerPort = static_cast<uint16_t>(port);
  vm.mFailureDomain =
    failure_domain_name(aValue.at("failureDomain").get<std::string>());
  vm.mLeaving = aValue.value("leaving", false);
  return vm;
}

json EncodeCompare(const store_compare& aCompare)
{
  return { { "key", EncodeBase64(aCompare.mKey) },
           { "target", "MOD" },
           { "result", "EQUAL" },
           { "mod_revision", std::to_string(aCompare.mModRevision.Value()) } };
}

} // namespace

std::string EncodeRangeRequest(const range_request& aRequest)
{
  json body = { { "key", EncodeBase64(aRequest.mFrom) } };
  if (!aRequest.mTo.empty()) {
    body["range_end"] = EncodeBase64(aRequest.mTo);
  }
  if (aRequest.mMinModRevision.Value() > 0) {
    body["min_mod_revision"] = std::to_string(aRequest.mMinModRevision.Value());
  }
  if (aRequest.mKeysOnly) {
    body["keys_only"] = true;
  }
  return body.dump();
}

std::string EncodeTransactionRequest(const transaction_request& aRequest)
{
  json body = { { "compare", json::array() }, { "success", json::array() } };
  for (const store_compare& compare : aRequest.mCompares) {
    body["compare"].push_back(EncodeCompare(compare));
  }
  for (const store_put& put : aRequest.mPuts) {
    const json operation = { { "key", EncodeBase64(put.mKey) },
                             { "value", EncodeBase64(put.mValue) } };
    body["success"].push_back({ { "request_put", operation } });
  }
  for (const std::string& key : aRequest.mDeletes) {
    const json operation = { { "key", EncodeBase64(key) } };
    body["success"].push_back({ { "request_delete_range", operation } });
  }
  return body.dump();
}

range_reply DecodeRangeReply(const std::string& aText)
{
  return Decode(aText, [](const json& aAnswer) {
    range_reply reply;
    reply.mStatus = store_status::kReplied;
    reply.mStoreRevision = ReadHead(aAnswer);
    if (aAnswer.value("more", false)) {
      throw parse_error("answer of the store: part of the keys is missing");
    }
    if (aAnswer.contains("kvs")) {
      for (const json& entry : aAnswer.at("kvs")) {
        reply.mEntries.push_back(ReadEntry(entry));
      }
    }
    return reply;
  });
}

transaction_reply DecodeTransactionReply(const std::string& aText)
{
  return Decode(aText, [](const json& aAnswer) {
    transaction_reply reply;
    reply.mStatus = store_status::kReplied;
    reply.mStoreRevision = ReadHead(aAnswer);
    reply.mSucceeded = aAnswer.value("succeeded", false);
    return reply;
  });
}

vm_list_reply DecodeVmList(const std::string& aText)
{
  return Decode(aText, [](const json& aAnswer) {
    vm_list_reply reply;
    reply.mStatus = store_status::kReplied;
    for (const json& vm : aAnswer.at("vms")) {
      reply.mVms.push_back(ReadVm(vm));
    }
    return reply;
  });
}

} // namespace parsleystair
