#pragma once

#include "Parsleystair/Operator/CommandResult.h"
#include "Parsleystair/Operator/OperatorArguments.h"
#include "Parsleystair/Settings/Configuration.h"
#include "Parsleystair/Settings/ReleaseNote.h"

#include <optional>
#include <string>

namespace parsleystair {

/// `check FILE`: router settings, a configuration or a release note. Uses the
/// platform only when its address is given.
command_result RunCheck(const operator_arguments& aArguments,
                        const std::string& aPath);

/// `release diff FILE`.
command_result RunDiff(const operator_arguments& aArguments,
                       const std::string& aPath);

/// Content of an input file. Throws `command_error`.
std::string ReadInput(const std::string& aPath);

/// Reads a release note. Throws `value_problems_error` and `command_error`.
release_note ReadNote(const std::string& aPath);

} // namespace parsleystair
