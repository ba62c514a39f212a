#pragma once

#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Operator/OperatorArguments.h"

#include <string>

namespace parsleystair {

/// `status`.
command_result RunStatus(const operator_arguments& aArguments);

/// `owner SERVICE KEY`.
command_result RunOwner(const operator_arguments& aArguments,
                        const std::string& aService,
                        const std::string& aKey);

/// `dump VM`.
command_result RunDump(const operator_arguments& aArguments,
                       const std::string& aVm);

/// Percent-encodes a text for a query.
std::string EncodeQueryValue(const std::string& aText);

} // namespace parsleystair
