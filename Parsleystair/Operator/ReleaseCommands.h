#pragma once

#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Operator/OperatorArguments.h"
#include "Parsleystair/Settings/Configuration.h"

#include <string>

namespace parsleystair {

/// `release submit FILE`.
command_result RunSubmit(const operator_arguments& aArguments,
                         const std::string& aPath);

/// `release show ID`.
command_result RunShow(const operator_arguments& aArguments,
                       const std::string& aId);

/// `release list`.
command_result RunList(const operator_arguments& aArguments);

/// `release status [ID]`; `aId` is empty for the newest revision.
command_result RunReleaseStatus(const operator_arguments& aArguments,
                                const std::string& aId);

/// The configuration in the platform's store; an empty one with revision 0 when
/// there is none. Throws `command_error`.
configuration ReadConfiguration(const operator_arguments& aArguments);

} // namespace parsleystair
