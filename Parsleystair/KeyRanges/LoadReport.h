#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <map>
#include <string>
#include <vector>

namespace parsleystair {

/// Latencies of a target's answers, in milliseconds.
using latency_samples = std::vector<uint32_t>;

/// What a gateway saw of one keyed service since its last report.
struct service_load
{
  /// Requests of callers.
  key_counts mCounts;
  std::map<target_name, latency_samples> mLatencies;

  bool operator==(const service_load&) const = default;
};

/// What a gateway tells the leader.
using load_report = std::map<service_name, service_load>;

std::string EncodeLoadReport(const load_report& aReport);

/// Throws `parse_error`.
load_report DecodeLoadReport(const std::string& aText);

} // namespace parsleystair
