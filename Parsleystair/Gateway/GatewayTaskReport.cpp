#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <nlohmann/json.hpp>

// What a gateway tells operators of itself.

namespace parsleystair {

namespace {

void AppendMetric(std::string& aText,
                  const std::string& aName,
                  const char* aType,
                  double aValue)
{
  aText += "# TYPE parsleystair_" + aName + " " + aType + "\n";
  aText += "parsleystair_" + aName + " " + nlohmann::json(aValue).dump() + "\n";
}

void AppendLabelled(std::string& aText,
                    const std::string& aName,
                    const char* aLabel,
                    const char* aLabelValue,
                    uint64_t aValue)
{
  aText += "parsleystair_" + aName + "{" + aLabel + "=\"" + aLabelValue +
           "\"} " + std::to_string(aValue) + "\n";
}

void AppendHistogram(std::string& aText,
                     const std::string& aName,
                     const std::vector<latency_bucket>& aBuckets)
{
  aText += "# TYPE parsleystair_" + aName + " histogram\n";
  uint64_t total = 0;
  for (const latency_bucket& bucket : aBuckets) {
    total += bucket.mCount;
    const bool last = bucket.mUpperBound == duration::max();
    const std::string bound =
      last ? "+Inf" : nlohmann::json(ToSeconds(bucket.mUpperBound)).dump();
    aText += "parsleystair_" + aName + "_bucket{le=\"" + bound + "\"} " +
             std::to_string(total) + "\n";
  }
  aText += "parsleystair_" + aName + "_count " + std::to_string(total) + "\n";
}

void AppendSums(std::string& aText, const request_sums& aSums)
{
  aText += "# TYPE parsleystair_requests_ended_total counter\n";
  for (const auto& [service, counts] : aSums.Totals()) {
    for (const request_end end : kRequestEnds) {
      aText += "parsleystair_requests_ended_total{service=\"" +
               service.Value() + "\",outcome=\"" +
               std::string(RequestEndName(end)) + "\"} " +
               std::to_string(counts.Of(end)) + "\n";
    }
  }
  aText += "# TYPE parsleystair_requests_refused_total counter\n";
  for (const auto& [reason, count] : aSums.Reasons()) {
    AppendLabelled(
      aText, "requests_refused_total", "reason", reason.c_str(), count);
  }
}

} // namespace

std::string gateway_task::MetricsText() const
{
  const forwarder_counters& counts = mForwarder.Counters();
  std::string text;
  AppendMetric(text,
               "requests_received_total",
               "counter",
               static_cast<double>(counts.mReceived));
  AppendSums(text, mForwarder.Sums());
  text += "# TYPE parsleystair_tries_total counter\n";
  const std::string tries = "tries_total";
  AppendLabelled(text, tries, "result", "sent", counts.mTries);
  AppendLabelled(
    text, tries, "result", "not-connected", counts.mTriesNotConnected);
  AppendLabelled(text, tries, "result", "not-run", counts.mTriesShed);
  AppendLabelled(text, tries, "result", "no-answer", counts.mTriesNoAnswer);
  AppendLabelled(text, tries, "result", "failed", counts.mTriesFailed);
  text += "# TYPE parsleystair_repeats_total counter\n";
  AppendLabelled(text, "repeats_total", "kind", "all", counts.mRetries);
  AppendLabelled(text, "repeats_total", "kind", "hedge", counts.mHedges);
  AppendLabelled(
    text, "repeats_total", "kind", "no-budget", counts.mBudgetEmpty);
  const target_connections& connections = mForwarder.Connections();
  text += "# TYPE parsleystair_connections_total counter\n";
  AppendLabelled(
    text, "connections_total", "use", "opened", connections.Opened());
  AppendLabelled(
    text, "connections_total", "use", "reused", connections.Reused());
  const coordination_counters& store = mPlatform.mStore.Counters();
  text += "# TYPE parsleystair_store_calls_total counter\n";
  AppendLabelled(text, "store_calls_total", "outcome", "done", store.mDone);
  AppendLabelled(
    text, "store_calls_total", "outcome", "refused", store.mRefused);
  AppendLabelled(
    text, "store_calls_total", "outcome", "unanswered", store.mUnknown);
  const range_driver_counters& orders = mRanges.Counters();
  text += "# TYPE parsleystair_orders_total counter\n";
  AppendLabelled(text, "orders_total", "kind", "grant", orders.mGrants);
  AppendLabelled(
    text, "orders_total", "kind", "grant-failed", orders.mGrantsFailed);
  AppendLabelled(text, "orders_total", "kind", "release", orders.mReleases);
  AppendLabelled(
    text, "orders_total", "kind", "release-failed", orders.mReleasesFailed);
  AppendLabelled(text, "orders_total", "kind", "record", orders.mRecordWrites);
  AppendMetric(
    text,
    "configuration_version",
    "gauge",
    mView.mRoutes == nullptr
      ? 0
      : static_cast<double>(mView.mRoutes->Configuration().mVersion));
  AppendMetric(text, "leading", "gauge", mElection.IsLeading() ? 1 : 0);
  AppendMetric(
    text, "open_requests", "gauge", static_cast<double>(mForwarder.Open()));
  AppendMetric(text,
               "targets",
               "gauge",
               static_cast<double>(mView.mDirectory.All().size()));
  AppendHistogram(text, "request_seconds", mForwarder.Latency().Buckets());
  return text;
}

std::string gateway_task::DumpText() const
{
  const time_point now = MonotonicNow();
  nlohmann::json targets = nlohmann::json::object();
  for (const auto& [name, known] : mView.mDirectory.All()) {
    targets[name.Value()] = {
      { "service", known.mTarget.mService.Value() },
      { "host", known.mTarget.mHost },
      { "port", known.mTarget.mPort },
      { "draining", known.mTarget.mDraining },
      { "entryMissing", known.mMissingUntil.has_value() },
      { "inFlight", mForwarder.Balancer().InFlight(name) },
      { "setAside", mForwarder.Balancer().IsSetAside(name) },
      { "silent", mForwarder.Balancer().IsSilent(name, now) },
    };
  }
  nlohmann::json ranges = nlohmann::json::object();
  for (const auto& [service, record] : mView.mRanges) {
    ranges[service.Value()] = nlohmann::json::parse(EncodeRangeRecord(record));
  }
  const auto& leader = mElection.Leader();
  const nlohmann::json dump = {
    { "vm", mSettings.mVm.Value() },
    { "ready", IsReady() },
    { "shuttingDown", mShutdownAt.has_value() },
    { "configurationVersion",
      mView.mRoutes == nullptr ? 0 : mView.mRoutes->Configuration().mVersion },
    { "leader", leader ? leader->mVm.Value() : "" },
    { "leading", mElection.IsLeading() },
    { "relay", mRelays.Current(now).value_or("") },
    { "isRelay", mRelays.IsRelay(now) },
    { "routers", mRouters.size() },
    { "openRequests", mForwarder.Open() },
    { "openMoves", mRanges.OpenMoves() },
    { "targets", std::move(targets) },
    { "ranges", std::move(ranges) },
  };
  return dump.dump(2) + "\n";
}

} // namespace parsleystair
