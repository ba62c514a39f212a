#include "Parsleystair/Core/Clock.h"
#include "Parsleystair/Core/JsonText.h"
#include "Parsleystair/Gateway/GatewayTask.h"

#include <algorithm>
#include <nlohmann/json.hpp>

// Metrics and the state dump of a gateway, for operators.

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

/// Escapes the value of a label as the Prometheus text format says.
std::string EscapeLabel(const std::string& aValue)
{
  std::string escaped;
  for (const char character : aValue) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

void AppendLabelledMetric(std::string& aText,
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

void AppendRequestStatistics(std::string& aText,
                             const request_statistics& aStatistics)
{
  aText += "# TYPE parsleystair_requests_ended_total counter\n";
  for (const auto& [service, counts] : aStatistics.Totals()) {
    for (const request_outcome outcome : kRequestOutcomes) {
      aText += "parsleystair_requests_ended_total{service=\"" +
               EscapeLabel(service.Value()) + "\",outcome=\"" +
               std::string(RequestOutcomeName(outcome)) + "\"} " +
               std::to_string(counts.Of(outcome)) + "\n";
    }
  }
  aText += "# TYPE parsleystair_requests_refused_total counter\n";
  for (const auto& [reason, count] : aStatistics.RefusalReasons()) {
    AppendLabelledMetric(
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
  AppendRequestStatistics(text, mForwarder.Statistics());
  AppendMetric(text,
               "connection_bytes",
               "gauge",
               static_cast<double>(mLoop.Bytes().Total()));
  AppendMetric(text,
               "connections_dropped_total",
               "counter",
               static_cast<double>(mLoop.Bytes().Drops()));
  const http_server_counters& callers = mCallerServer.Counters();
  AppendMetric(text,
               "pipelined_requests_total",
               "counter",
               static_cast<double>(callers.mPipelined));
  AppendMetric(text,
               "responses_abandoned_total",
               "counter",
               static_cast<double>(callers.mAbandoned));
  text += "# TYPE parsleystair_pipeline_stops_total counter\n";
  const std::string stops = "pipeline_stops_total";
  AppendLabelledMetric(
    text, stops, "reason", "requests", callers.mRequestStops);
  AppendLabelledMetric(text, stops, "reason", "bytes", callers.mByteStops);
  text += "# TYPE parsleystair_tries_total counter\n";
  const std::string tries = "tries_total";
  AppendLabelledMetric(text, tries, "result", "sent", counts.mAttempts);
  AppendLabelledMetric(
    text, tries, "result", "not-connected", counts.mAttemptsNotConnected);
  AppendLabelledMetric(
    text, tries, "result", "not-run", counts.mAttemptsNotRun);
  AppendLabelledMetric(
    text, tries, "result", "no-answer", counts.mAttemptsWithoutResponse);
  AppendLabelledMetric(text, tries, "result", "failed", counts.mAttemptsFailed);
  text += "# TYPE parsleystair_repeats_total counter\n";
  AppendLabelledMetric(text, "repeats_total", "kind", "all", counts.mRetries);
  AppendLabelledMetric(text, "repeats_total", "kind", "hedge", counts.mHedges);
  AppendLabelledMetric(
    text, "repeats_total", "kind", "no-budget", counts.mRetriesOverBudget);
  text += "# TYPE parsleystair_slow_start_requests_total counter\n";
  AppendLabelledMetric(
    text, "slow_start_requests_total", "result", "sent", counts.mSlowStartSent);
  AppendLabelledMetric(text,
                       "slow_start_requests_total",
                       "result",
                       "refused",
                       counts.mSlowStartRefused);
  AppendMetric(text,
               "slow_starts_implausible_total",
               "counter",
               static_cast<double>(mView.mDirectory.ImplausibleSlowStarts()));
  AppendMetric(text,
               "overload_refusals_total",
               "counter",
               static_cast<double>(counts.mOverloadRefusals));
  AppendMetric(text,
               "overloads",
               "gauge",
               static_cast<double>(mForwarder.Overloads().Overloaded()));
  const crash_guard& guard = mForwarder.CrashGuard();
  AppendMetric(text,
               "content_crashes_total",
               "counter",
               static_cast<double>(guard.Crashes()));
  AppendMetric(text,
               "content_refusals_total",
               "counter",
               static_cast<double>(guard.Refusals()));
  AppendMetric(text,
               "content_records",
               "gauge",
               static_cast<double>(guard.Records(MonotonicNow()).size()));
  const target_connections& connections = mForwarder.Connections();
  text += "# TYPE parsleystair_connections_total counter\n";
  AppendLabelledMetric(
    text, "connections_total", "use", "opened", connections.Opened());
  AppendLabelledMetric(
    text, "connections_total", "use", "reused", connections.Reused());
  AppendLabelledMetric(
    text, "connections_total", "use", "refused", counts.mConnectionsRefused);
  const coordination_counters& store = mPlatform.mStore.Counters();
  text += "# TYPE parsleystair_store_calls_total counter\n";
  AppendLabelledMetric(
    text, "store_calls_total", "outcome", "done", store.mDone);
  AppendLabelledMetric(
    text, "store_calls_total", "outcome", "refused", store.mRefused);
  AppendLabelledMetric(
    text, "store_calls_total", "outcome", "unanswered", store.mUnknown);
  text += "# TYPE parsleystair_store_calls_by_kind_total counter\n";
  const std::string calls = "store_calls_by_kind_total";
  AppendLabelledMetric(text, calls, "kind", "read", store.mReads);
  AppendLabelledMetric(text, calls, "kind", "watch", store.mWatches);
  AppendLabelledMetric(text, calls, "kind", "write", store.mWrites);
  AppendLabelledMetric(
    text, calls, "kind", "lease-renewal", store.mLeaseRenewals);
  AppendLabelledMetric(
    text, calls, "kind", "lease-change", store.mLeaseChanges);
  const range_driver_counters& orders = mRangeDriver.Counters();
  text += "# TYPE parsleystair_orders_total counter\n";
  AppendLabelledMetric(text, "orders_total", "kind", "grant", orders.mGrants);
  AppendLabelledMetric(
    text, "orders_total", "kind", "grant-failed", orders.mGrantsFailed);
  AppendLabelledMetric(
    text, "orders_total", "kind", "release", orders.mReleases);
  AppendLabelledMetric(
    text, "orders_total", "kind", "release-failed", orders.mReleasesFailed);
  AppendLabelledMetric(
    text, "orders_total", "kind", "record", orders.mRecordWrites);
  AppendLabelledMetric(
    text, "orders_total", "kind", "grant-too-late", orders.mGrantsTooLate);
  AppendMetric(text,
               "unusable_handovers_total",
               "counter",
               static_cast<double>(orders.mUnusableHandovers));
  text += "# TYPE parsleystair_moves_total counter\n";
  for (const ready_reason why : { ready_reason::kReleased,
                                  ready_reason::kGrantExpired,
                                  ready_reason::kNoOwner,
                                  ready_reason::kFenceChange }) {
    const auto moves = orders.mMoves.find(why);
    AppendLabelledMetric(text,
                         "moves_total",
                         "why",
                         ReadyReasonName(why),
                         moves == orders.mMoves.end() ? 0 : moves->second);
  }
  AppendMetric(text,
               "configuration_version",
               "gauge",
               static_cast<double>(ConfigurationVersion()));
  AppendMetric(text,
               "store_restores_total",
               "counter",
               static_cast<double>(mRestoreCount));
  AppendMetric(
    text, "late_changes_total", "counter", static_cast<double>(LateChanges()));
  AppendMetric(text, "leading", "gauge", mElection.IsLeading() ? 1 : 0);
  AppendMetric(
    text, "open_requests", "gauge", static_cast<double>(mForwarder.Open()));
  AppendMetric(text,
               "targets",
               "gauge",
               static_cast<double>(mView.mDirectory.All().size()));
  const auto evacuatedTargets = std::count_if(
    mView.mDirectory.All().begin(),
    mView.mDirectory.All().end(),
    [](const auto& aTarget) { return aTarget.second.mEvacuated; });
  AppendMetric(text,
               "evacuated_zones",
               "gauge",
               static_cast<double>(mView.mDirectory.Evacuated().size()));
  AppendMetric(
    text, "evacuated_targets", "gauge", static_cast<double>(evacuatedTargets));
  AppendMetric(text,
               "unknown_evacuations_total",
               "counter",
               static_cast<double>(mUnknownEvacuations));
  AppendMetric(text,
               "unservable_routes",
               "gauge",
               static_cast<double>(mUnservableRoutes.size()));
  const time_point now = MonotonicNow();
  const auto& known = mView.mDirectory.All();
  AppendMetric(text,
               "targets_in_slow_start",
               "gauge",
               static_cast<double>(std::count_if(
                 known.begin(), known.end(), [now](const auto& aTarget) {
                   return aTarget.second.IsLimited(now);
                 })));
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
      { "evacuated", known.mEvacuated },
      { "entryMissing", known.mDropAt.has_value() },
      { "inFlight", mForwarder.Balancer().InFlight(name) },
      { "setAside", mForwarder.Balancer().IsEjected(name) },
      { "silent", mForwarder.Balancer().IsSilent(name, now) },
      { "slowStartSecondsLeft",
        known.IsLimited(now) ? ToSeconds(known.mLimitedUntil - now) : 0 },
    };
  }
  nlohmann::json ranges = nlohmann::json::object();
  for (const auto& [service, record] : mView.mRanges) {
    ranges[service.Value()] = nlohmann::json::parse(EncodeRangeRecord(record));
  }
  nlohmann::json contents = nlohmann::json::object();
  for (const crash_record& record : mForwarder.CrashGuard().Records(now)) {
    contents[FormatFingerprint(record.mContent)] = {
      { "crashes", record.mIncarnations.size() },
      { "refused", record.mIncarnations.size() >= kCrashesToRefuse },
      { "latestCrashSecondsAgo", ToSeconds(record.mAge) },
      { "trials", record.mTrials },
    };
  }
  nlohmann::json evacuated = nlohmann::json::array();
  for (const failure_domain_name& domain : mView.mDirectory.Evacuated()) {
    evacuated.push_back(domain.Value());
  }
  nlohmann::json unservable = nlohmann::json::array();
  for (const route_name& route : mUnservableRoutes) {
    unservable.push_back(route.Value());
  }
  const auto& leader = mElection.Leader();
  const nlohmann::json dump = {
    { "vm", mSettings.mVm.Value() },
    { "ready", IsReady() },
    { "shuttingDown", mShutdownStartedAt.has_value() },
    { "configurationVersion", ConfigurationVersion() },
    { "storeEra", mPlatform.mStore.Era().Value() },
    { "leader", leader ? leader->mVm.Value() : "" },
    { "leading", mElection.IsLeading() },
    { "relay", mRelayChoice.Current(now).value_or("") },
    { "isRelay", mRelayChoice.IsRelay(now) },
    { "routers", mRouters.size() },
    { "openRequests", mForwarder.Open() },
    { "openMoves", mRangeDriver.PendingMoves() },
    { "evacuatedZones", std::move(evacuated) },
    { "unservableRoutes", std::move(unservable) },
    { "targets", std::move(targets) },
    { "ranges", std::move(ranges) },
    { "crashingContents", std::move(contents) },
  };
  return ReportText(dump, 2) + "\n";
}

} // namespace parsleystair
