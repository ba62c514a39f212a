#pragma once

#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Operator/OperatorArguments.h"

#include <string>
#include <vector>

namespace parsleystair {

/// `explain REQUEST-ID LOG...`: what the logs say of one request. The exit code
/// is `kRefused` when no log names it.
command_result RunExplain(const std::string& aRequest,
                          const std::vector<std::string>& aPaths);

/// `report LOG...`: sums of a day, with the worst `--limit` seconds.
command_result RunReport(const operator_arguments& aArguments,
                         const std::vector<std::string>& aPaths);

} // namespace parsleystair
