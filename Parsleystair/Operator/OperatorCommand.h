#pragma once

#include "Parsleystair/Operator/CommandResult.h"

#include <ostream>
#include <string>
#include <vector>

namespace parsleystair {

/// Runs the operators' command with the arguments after the program's name and
/// returns its exit code. Results go to `aOut`; errors and what to do next go
/// to `aError`, or with `--json` into the one object on `aOut`.
int RunOperatorCommand(const std::vector<std::string>& aArguments,
                       std::ostream& aOut,
                       std::ostream& aError);

} // namespace parsleystair
