#pragma once

#include "Parsleystair/Gateway/RelayChoice.h"
#include "Parsleystair/KeyRanges/LoadReport.h"
#include "Parsleystair/Limits/CrashRecord.h"
#include "Parsleystair/Limits/KeyAdmission.h"

#include <optional>

namespace parsleystair {

/// Report that each router sends to the leader twice a second.
struct peer_report
{
  router_entry mRouter;
  /// Digest of the list of live routers that the sender has; 0 if it has no
  /// list.
  uint64_t mKnownRouters = 0;
  /// Version of the configuration that the sender uses; 0 if it has none.
  uint64_t mConfigurationVersion = 0;
  /// Digest of the limits for keys that the sender has.
  uint64_t mKnownLimits = 0;
  /// Digest of the leader's crash records that the sender has.
  uint64_t mKnownCrashes = 0;
  load_report mLoad;
  crash_report mCrashes;

  bool operator==(const peer_report&) const = default;
};

std::string EncodePeerReport(const peer_report& aReport);

/// Throws `parse_error` if the text is malformed.
peer_report DecodePeerReport(const std::string& aText);

/// Live routers in sorted order.
using router_list = std::vector<router_entry>;

std::string EncodeRouterList(const router_list& aRouters);

/// Throws `parse_error` if the text is malformed.
router_list DecodeRouterList(const std::string& aText);

/// Returns the same digest for equal lists; never 0.
uint64_t RouterListDigest(const router_list& aRouters);

std::string EncodeServiceLimits(const service_limits& aLimits);

/// Throws `parse_error` if the text is malformed.
service_limits DecodeServiceLimits(const std::string& aText);

/// Returns the same digest for equal limits; 0 if there are none.
uint64_t ServiceLimitsDigest(const service_limits& aLimits);

/// What the leader's response to a report contains.
struct report_response
{
  /// Nothing if the sender has the present list.
  std::optional<router_list> mRouters;
  /// Nothing if the sender has the present limits.
  std::optional<service_limits> mLimits;
  /// Nothing if the sender has the present crash records.
  std::optional<crash_records> mCrashes;

  bool operator==(const report_response&) const = default;
};

/// The result is empty if the response contains nothing.
std::string EncodeReportResponse(const report_response& aResponse);

/// Throws `parse_error` if the text is malformed.
report_response DecodeReportResponse(const std::string& aText);

} // namespace parsleystair
