#include "StandIns/standin_platform/KeyValueService.h"

#include "StandIns/standin_platform/KeyValueError.h"
#include "StandIns/standin_platform/KeyValueJson.h"

#include <array>
#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

constexpr uint64_t kMaxLeaseSeconds = 9'000'000'000;

json HandleRange(key_value_core& aCore, const json& aBody, time_point)
{
  return WriteResult(aCore.Range(ParseRange(aBody)), aCore.Head());
}

json HandleTransaction(key_value_core& aCore, const json& aBody, time_point)
{
  const auto result = aCore.Transact(ParseTransaction(aBody));
  return WriteTransactionResult(result, aCore.Head());
}

/// A put or delete on its own is a transaction without conditions.
json HandleOne(key_value_core& aCore, const kv_operation& aOperation)
{
  const auto result = aCore.Transact({ {}, { aOperation }, {} });
  return WriteResult(result.mResults.at(0), aCore.Head());
}

json HandlePut(key_value_core& aCore, const json& aBody, time_point)
{
  return HandleOne(aCore, ParsePut(aBody));
}

json HandleDelete(key_value_core& aCore, const json& aBody, time_point)
{
  return HandleOne(aCore, kv_delete{ ParseInterval(aBody) });
}

json HandleCompaction(key_value_core& aCore, const json& aBody, time_point)
{
  aCore.Compact(JsonInteger(aBody, "revision"));
  return { { "header", WriteHeader(aCore.Head()) } };
}

json HandleLeaseGrant(key_value_core& aCore, const json& aBody, time_point aNow)
{
  const uint64_t seconds = JsonInteger(aBody, "TTL");
  if (seconds == 0 || seconds > kMaxLeaseSeconds) {
    throw key_value_error(key_value_error::kOutOfRange,
                          "etcdserver: too large or zero lease TTL");
  }
  const uint64_t id = aCore.GrantLease(
    JsonInteger(aBody, "ID"), std::chrono::seconds(seconds), aNow);
  return { { "header", WriteHeader(aCore.Head()) },
           { "ID", std::to_string(id) },
           { "TTL", std::to_string(seconds) } };
}

json HandleLeaseKeepAlive(key_value_core& aCore,
                          const json& aBody,
                          time_point aNow)
{
  const uint64_t id = JsonInteger(aBody, "ID");
  const duration left = aCore.KeepLeaseAlive(id, aNow);
  json result = { { "header", WriteHeader(aCore.Head()) },
                  { "ID", std::to_string(id) } };
  if (left > duration::zero()) {
    const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(left).count();
    result["TTL"] = std::to_string(seconds);
  }
  return { { "result", result } };
}

json HandleLeaseRevoke(key_value_core& aCore, const json& aBody, time_point)
{
  aCore.RevokeLease(JsonInteger(aBody, "ID"));
  return { { "header", WriteHeader(aCore.Head()) } };
}

struct endpoint
{
  const char* mPath;
  bool mIsWrite;
  json (*mHandle)(key_value_core&, const json&, time_point);
};

constexpr std::array<endpoint, 8> kEndpoints = { {
  { "/v3/kv/range", false, HandleRange },
  { "/v3/kv/txn", true, HandleTransaction },
  { "/v3/kv/put", true, HandlePut },
  { "/v3/kv/deleterange", true, HandleDelete },
  { "/v3/kv/compaction", true, HandleCompaction },
  { "/v3/lease/grant", true, HandleLeaseGrant },
  { "/v3/lease/keepalive", true, HandleLeaseKeepAlive },
  { "/v3/lease/revoke", true, HandleLeaseRevoke },
} };

const endpoint* FindEndpoint(const std::string& aPath)
{
  for (const endpoint& candidate : kEndpoints) {
    if (aPath == candidate.mPath) {
      return &candidate;
    }
  }
  return nullptr;
}

} // namespace

key_value_service::key_value_service(key_value_core& aCore)
  : mCore(aCore)
{
}

bool key_value_service::HasPath(const std::string& aPath)
{
  return FindEndpoint(aPath) != nullptr;
}

bool key_value_service::IsWrite(const std::string& aPath)
{
  const endpoint* found = FindEndpoint(aPath);
  return found != nullptr && found->mIsWrite;
}

http_response key_value_service::Handle(const std::string& aPath,
                                        const std::string& aBody,
                                        time_point aNow)
{
  const endpoint* found = FindEndpoint(aPath);
  if (found == nullptr) {
    return ErrorAnswer(key_value_error::kNotFound, "Not Found");
  }
  try {
    return JsonAnswer(200,
                      found->mHandle(mCore, json::parse(aBody), aNow).dump());
  } catch (const key_value_error& refusal) {
    return ErrorAnswer(refusal.Code(), refusal.what());
  } catch (const parse_error& failure) {
    return ErrorAnswer(key_value_error::kInvalidArgument, failure.what());
  } catch (const json::exception& failure) {
    return ErrorAnswer(key_value_error::kInvalidArgument, failure.what());
  }
}

http_response JsonAnswer(uint32_t aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

http_response ErrorAnswer(int aCode, const std::string& aText)
{
  constexpr uint32_t kBadRequest = 400;
  constexpr uint32_t kNotFound = 404;
  const uint32_t status =
    aCode == key_value_error::kNotFound ? kNotFound : kBadRequest;
  // Texts may quote bytes of the request that are not UTF-8.
  return JsonAnswer(status,
                    WriteError(aCode, aText)
                      .dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace parsleystair
