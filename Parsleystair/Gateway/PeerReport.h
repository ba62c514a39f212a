#pragma once

#include "Parsleystair/Gateway/RelayChoice.h"
#include "Parsleystair/KeyRanges/LoadReport.h"

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
  load_report mLoad;

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

} // namespace parsleystair
