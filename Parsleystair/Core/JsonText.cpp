#include "Parsleystair/Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace parsleystair {

std::string ReportText(const nlohmann::json& aValue, int aIndent)
{
  return aValue.dump(
    aIndent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace parsleystair
