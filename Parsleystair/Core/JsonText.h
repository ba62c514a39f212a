#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace parsleystair {

/// JSON text for readers outside the system. Bytes that are not UTF-8 become
/// U+FFFD, so that no value from outside can make the output fail. Not for
/// values that are read again. `aIndent`: spaces per level; -1 for one line.
std::string ReportText(const nlohmann::json& aValue, int aIndent = -1);

} // namespace parsleystair
