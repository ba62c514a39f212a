#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <map>
#include <string>
#include <vector>

namespace parsleystair {

/// Latencies of a target's responses, in milliseconds.
using latency_samples = std::vector<uint32_t>;

/// Load of one keyed service that a gateway has measured since its last report.
struct service_load
{
  /// Number of requests from callers.
  key_counts mCounts;
  std::map<target_name, latency_samples> mLatencies;

  bool operator==(const service_load&) const = default;
};

/// Load by service, as a gateway reports it to the leader.
using load_report = std::map<service_name, service_load>;

std::string EncodeLoadReport(const load_report& aReport);

/// Throws `parse_error` if the text is not a valid load report.
load_report DecodeLoadReport(const std::string& aText);

} // namespace parsleystair
