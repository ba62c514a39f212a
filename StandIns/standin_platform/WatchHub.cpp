#include "StandIns/standin_platform/WatchHub.h"

#include "Parsleystair/Core/Error.h"
#include "StandIns/standin_platform/KeyValueJson.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

namespace {

using json = nlohmann::json;

std::string WriteLine(const json& aResult)
{
  return json{ { "result", aResult } }.dump() + "\n";
}

json ParseCreateRequest(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    throw parse_error("body is not JSON");
  }
  json request = JsonField(body, "create_request");
  if (request.is_null()) {
    throw parse_error("create_request is missing");
  }
  return request;
}

} // namespace

watch_hub::watch_hub(const key_value_core& aCore)
  : mCore(aCore)
{
}

std::string watch_hub::Add(exchange_id aExchange, const std::string& aBody)
{
  const json request = ParseCreateRequest(aBody);
  open_watch added;
  added.mKeys = ParseInterval(request);
  added.mNextRevision = JsonInteger(request, "start_revision");
  if (added.mNextRevision == 0) {
    added.mNextRevision = mCore.Head() + 1;
  }
  mWatches[aExchange] = added;
  return WriteLine(
    { { "header", WriteHeader(mCore.Head()) }, { "created", true } });
}

void watch_hub::Remove(exchange_id aExchange)
{
  mWatches.erase(aExchange);
}

std::vector<watch_output> watch_hub::TakeOutput()
{
  std::vector<watch_output> output;
  for (auto& [exchange, watch] : mWatches) {
    if (watch.mNextRevision < mCore.CompactRevision()) {
      const std::string line = WriteLine(
        { { "header", WriteHeader(mCore.Head()) },
          { "canceled", true },
          { "compact_revision", std::to_string(mCore.CompactRevision()) } });
      output.push_back({ exchange, line, true });
      continue;
    }
    json events = json::array();
    for (const kv_entry& entry :
         mCore.EventsSince(watch.mNextRevision, watch.mKeys)) {
      events.push_back(WriteEvent(entry));
    }
    watch.mNextRevision = std::max(watch.mNextRevision, mCore.Head() + 1);
    if (!events.empty()) {
      const std::string line = WriteLine(
        { { "header", WriteHeader(mCore.Head()) }, { "events", events } });
      output.push_back({ exchange, line, false });
    }
  }
  for (const watch_output& ended : output) {
    if (ended.mEnds) {
      mWatches.erase(ended.mExchange);
    }
  }
  return output;
}

std::vector<exchange_id> watch_hub::RemoveAll()
{
  std::vector<exchange_id> exchanges;
  for (const auto& [exchange, watch] : mWatches) {
    exchanges.push_back(exchange);
  }
  mWatches.clear();
  return exchanges;
}

} // namespace parsleystair
