#pragma once

#include "Parsleystair/Gateway/RelayChoice.h"
#include "Parsleystair/KeyRanges/LoadReport.h"

namespace parsleystair {

/// What a router tells the leader twice a second.
struct peer_report
{
  listed_router mRouter;
  /// Digest of the routers that it knows of; 0 for none.
  uint64_t mKnownRouters = 0;
  load_report mLoad;

  bool operator==(const peer_report&) const = default;
};

std::string EncodePeerReport(const peer_report& aReport);

/// Throws `parse_error`.
peer_report DecodePeerReport(const std::string& aText);

/// Live routers, sorted.
using router_list = std::vector<listed_router>;

std::string EncodeRouterList(const router_list& aRouters);

/// Throws `parse_error`.
router_list DecodeRouterList(const std::string& aText);

/// Equal lists have the same digest; never 0.
uint64_t RouterListDigest(const router_list& aRouters);

} // namespace parsleystair
