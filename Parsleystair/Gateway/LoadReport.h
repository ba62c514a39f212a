#pragma once

#include "Parsleystair/KeyRanges/KeyLoad.h"

#include <map>
#include <string>

namespace parsleystair {

/// What a gateway tells the leader: requests by key bucket since its last
/// report, for each keyed service.
using load_report = std::map<service_name, key_counts>;

std::string EncodeLoadReport(const load_report& aReport);

/// Throws `parse_error`.
load_report DecodeLoadReport(const std::string& aText);

} // namespace parsleystair
